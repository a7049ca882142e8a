//! Choice among the services of a route by their weights.
//!
//! Smooth weighted round robin: every span of requests holds each service's share as closely as
//! whole requests allow. Each node starts at another place, so that the nodes do not move as one.

use std::collections::BTreeMap;

use crate::configuration::Route;

/// Position of each route's round.
#[derive(Clone, Debug)]
pub(super) struct WeightedChoice {
    seed: u64,
    credits: BTreeMap<String, Vec<(String, i64)>>,
}

impl WeightedChoice {
    /// Creates the choice of a fresh node.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            credits: BTreeMap::new(),
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
        let total: i64 = route
            .services
            .iter()
            .map(|part| i64::from(part.weight))
            .sum();
        let known = self.credits.get(&route.name).is_some_and(|credits| {
            credits.len() == route.services.len()
                && credits
                    .iter()
                    .zip(&route.services)
                    .all(|((name, _), part)| *name == part.service)
        });
        if !known {
            let start = self.start(route, total);
            self.credits.insert(route.name.clone(), start);
        }
        let Some(credits) = self.credits.get_mut(&route.name) else {
            return "";
        };
        for ((_, credit), part) in credits.iter_mut().zip(&route.services) {
            *credit += i64::from(part.weight);
        }
        let chosen = (0..credits.len())
            .max_by_key(|index| credits[*index].1)
            .unwrap_or(0);
        credits[chosen].1 -= total;
        &route.services[chosen].service
    }

    /// Returns the credits of a round that begins somewhere within itself.
    fn start(&self, route: &Route, total: i64) -> Vec<(String, i64)> {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(route.name.as_bytes(), self.seed);
        let offset = i64::try_from(hash % u64::try_from(total.max(1)).unwrap_or(1)).unwrap_or(0);
        let others = i64::try_from(route.services.len()).unwrap_or(1) - 1;
        route
            .services
            .iter()
            .enumerate()
            .map(|(index, part)| {
                let credit = if index == 0 {
                    -offset
                } else {
                    offset / others.max(1)
                };
                (part.service.clone(), credit)
            })
            .collect()
    }
}
