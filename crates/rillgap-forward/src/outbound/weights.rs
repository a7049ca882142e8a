//! Choice among the services of a route by their weights.
//!
//! Smooth weighted round robin: every span of requests holds each service's share as closely as
//! whole requests allow. Each node starts at another place of the round, drawn evenly, so that the shares hold
//! in the sum over nodes that see one request each.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::{Route, WeightedService};

/// Longest part of a round that a start passes over, in requests.
const LONGEST_START: u64 = 10_000;

/// Credits of a service in the round: the highest is chosen next.
#[derive(Clone, Debug)]
struct Credit {
    service: String,
    weight: u32,
    credit: i64,
}

/// Round of one route.
#[derive(Clone, Debug)]
struct Round {
    credits: Vec<Credit>,
    total: i64,
}

impl Round {
    /// Creates the round of a route, moved on by `place` requests.
    fn new(route: &Route, place: u64) -> Self {
        let credits: Vec<Credit> = route.services.iter().map(first_credit).collect();
        let total = credits.iter().map(|credit| i64::from(credit.weight)).sum();
        let mut round = Self { credits, total };
        let length = round.length();
        for _ in 0..place % length.clamp(1, LONGEST_START) {
            round.advance();
        }
        round
    }

    /// Returns whether the route still splits requests as this round does.
    fn is_of(&self, route: &Route) -> bool {
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

    /// Chooses the next service; returns its place in the route.
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

/// Position in each route's round.
#[derive(Clone, Debug)]
pub(super) struct WeightedChoice {
    seed: u64,
    rounds: BTreeMap<String, Round>,
}

impl WeightedChoice {
    /// Creates the choice of a fresh node.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            rounds: BTreeMap::new(),
        }
    }

    /// Chooses the service of the route's next request; empty if the route has none.
    pub fn choose<'a>(&mut self, route: &'a Route) -> &'a str {
        match route.services.as_slice() {
            [] => "",
            [only] => &only.service,
            _ => self.choose_weighted(route),
        }
    }

    fn choose_weighted<'a>(&mut self, route: &'a Route) -> &'a str {
        let is_known = self
            .rounds
            .get(&route.name)
            .is_some_and(|round| round.is_of(route));
        if !is_known {
            let round = Round::new(route, self.start(route));
            self.rounds.insert(route.name.clone(), round);
        }
        let Some(round) = self.rounds.get_mut(&route.name) else {
            return "";
        };
        &route.services[round.advance()].service
    }

    /// Returns the number of requests that the round of a route is moved on at its start. It follows from the
    /// weights as well, so that a node which saw few requests before a change of weights is as likely as any
    /// other to begin with each service.
    fn start(&self, route: &Route) -> u64 {
        let of_route = xxh3_64_with_seed(route.name.as_bytes(), self.seed);
        route.services.iter().fold(of_route, |hash, part| {
            xxh3_64_with_seed(&part.weight.to_le_bytes(), hash)
        })
    }
}

fn first_credit(part: &WeightedService) -> Credit {
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
