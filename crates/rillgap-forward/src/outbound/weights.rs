//! Choice among the services of a route by their weights.
//!
//! Smooth weighted round robin: any sequence of consecutive requests is divided by the weights as
//! closely as whole requests allow. Each node starts at a different, uniformly distributed offset
//! in the round, so that the weights also hold for the total over nodes that receive one request
//! each.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::{Route, WeightedService};

/// Upper bound (exclusive) of the start offset in a round, in requests.
const MAX_START_OFFSET: u64 = 10_000;

/// Credit of a service in a round. The service with the highest credit is chosen next.
#[derive(Clone, Debug)]
struct Credit {
    service: String,
    weight: u32,
    credit: i64,
}

/// Round-robin state of one route.
#[derive(Clone, Debug)]
struct Round {
    credits: Vec<Credit>,
    total: i64,
}

impl Round {
    /// Creates the round of a route, advanced by `offset` requests modulo its length.
    fn new(route: &Route, offset: u64) -> Self {
        let credits: Vec<Credit> = route.services.iter().map(initial_credit).collect();
        let total = credits.iter().map(|credit| i64::from(credit.weight)).sum();
        let mut round = Self { credits, total };
        let length = round.length();
        for _ in 0..offset % length.clamp(1, MAX_START_OFFSET) {
            round.advance();
        }
        round
    }

    /// Returns whether the route still has the services and weights of this round.
    fn matches(&self, route: &Route) -> bool {
        let is_same = |(credit, part): (&Credit, &WeightedService)| {
            credit.service == part.service && credit.weight == part.weight
        };
        self.credits.len() == route.services.len()
            && self.credits.iter().zip(&route.services).all(is_same)
    }

    /// Returns the number of requests after which the round repeats.
    fn length(&self) -> u64 {
        let weights = self.credits.iter().map(|credit| u64::from(credit.weight));
        let divisor = weights.fold(0, greatest_common_divisor);
        self.total.unsigned_abs() / divisor.max(1)
    }

    /// Chooses the next service and returns its index in the route.
    fn advance(&mut self) -> usize {
        for credit in &mut self.credits {
            credit.credit += i64::from(credit.weight);
        }
        let chosen = (0..self.credits.len())
            .max_by_key(|index| self.credits[*index].credit)
            .unwrap_or(0);
        self.credits[chosen].credit -= self.total;
        chosen
    }
}

/// Round-robin state of all routes with several services.
#[derive(Clone, Debug)]
pub(super) struct WeightedChoice {
    seed: u64,
    rounds: BTreeMap<String, Round>,
}

impl WeightedChoice {
    /// Creates the state of a node that has just started; `seed` determines its start offsets.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            rounds: BTreeMap::new(),
        }
    }

    /// Chooses the service for the route's next request; empty if the route has no services.
    pub fn choose<'a>(&mut self, route: &'a Route) -> &'a str {
        match route.services.as_slice() {
            [] => "",
            [only] => &only.service,
            _ => self.choose_weighted(route),
        }
    }

    fn choose_weighted<'a>(&mut self, route: &'a Route) -> &'a str {
        let is_current = self
            .rounds
            .get(&route.name)
            .is_some_and(|round| round.matches(route));
        if !is_current {
            let round = Round::new(route, self.start_offset(route));
            self.rounds.insert(route.name.clone(), round);
        }
        let Some(round) = self.rounds.get_mut(&route.name) else {
            return "";
        };
        &route.services[round.advance()].service
    }

    /// Returns the offset at which the round of a route starts. The offset depends on the weights
    /// as well: after a change of weights, a node that has received few requests is as likely as
    /// any other node to start with each service.
    fn start_offset(&self, route: &Route) -> u64 {
        let route_hash = xxh3_64_with_seed(route.name.as_bytes(), self.seed);
        route.services.iter().fold(route_hash, |hash, part| {
            xxh3_64_with_seed(&part.weight.to_le_bytes(), hash)
        })
    }
}

fn initial_credit(part: &WeightedService) -> Credit {
    Credit {
        service: part.service.clone(),
        weight: part.weight,
        credit: 0,
    }
}

const fn greatest_common_divisor(first: u64, second: u64) -> u64 {
    let (mut first, mut second) = (first, second);
    while second > 0 {
        (first, second) = (second, first % second);
    }
    first
}
