//! Repeated sends, bounded per service over a sliding window.
//!
//! The bound of a deployment is a sum over all nodes. Nodes do not coordinate: each allows itself
//! a share of its *own* requests, and a small number that shrinks with the number of nodes, so that
//! the sum holds whoever comes or goes. A repeat makes its back end repeat the calls below it, so the
//! share is a fraction of the deployment's ratio: with `depth` hops that each add it, the sum stays
//! below the ratio.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::settings::RetryBound;

/// Slices of the window.
const SLICES: u32 = 20;
/// Share of the deployment's ratio that one node uses for one service.
const SHARE: f64 = 0.25;
/// Most repeats of one node for each service whatever the number of requests.
const MOST_FLOOR: f64 = 1.0;
/// Share of the deployment's slack that the floors of all nodes add up to. The rest is for nodes that
/// restart and have forgotten what they spent.
const FLOOR_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Repeats of one node, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    slice: Duration,
    services: BTreeMap<String, VecDeque<Slice>>,
}

impl RetryBudget {
    /// Creates the budget of a fresh node.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            ratio: bound.ratio * SHARE,
            slack: f64::from(bound.slack),
            slice: bound.window / SLICES,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, now: Instant, service: &str) {
        self.current(now, service).requests += 1;
    }

    /// Counts a repeat that cannot be refused any more: a call made by a repeated request.
    pub fn spend(&mut self, now: Instant, service: &str) {
        self.current(now, service).repeats += 1;
    }

    /// Takes one repeat out of the budget of a node among so many; returns whether there was one.
    pub fn try_spend(&mut self, now: Instant, service: &str, nodes: usize) -> bool {
        self.current(now, service);
        let ratio = self.ratio;
        let floor = (self.slack * FLOOR_SHARE / nodes.max(1) as f64).min(MOST_FLOOR);
        let Some(slices) = self.services.get_mut(service) else {
            return false;
        };
        let requests: u32 = slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = slices.iter().map(|slice| slice.repeats).sum();
        if f64::from(repeats) + 1.0 > f64::from(requests) * ratio + floor {
            return false;
        }
        if let Some(slice) = slices.back_mut() {
            slice.repeats += 1;
        }
        true
    }

    /// Returns the slice of `now`, after those that left the window were dropped.
    fn current(&mut self, now: Instant, service: &str) -> &mut Slice {
        let length = u64::try_from(self.slice.as_micros()).unwrap_or(u64::MAX);
        let number = now.as_micros() / length.max(1);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), VecDeque::new());
        }
        let slices = self.services.entry(service.to_owned()).or_default();
        while slices
            .front()
            .is_some_and(|slice| slice.number + u64::from(SLICES) < number)
        {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| slice.number != number) {
            slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
