//! Retry budget of a node, per service over a sliding window.
//!
//! The bound applies to the whole deployment: within a window, the nodes together send at most
//! `R <= ratio * Q + slack` retries to a service, where `Q` is the number of requests for it.
//! Nodes do not coordinate. The allowance of each node is a share `U` of `ratio` times the number
//! of its *own* requests, plus its part of a share `F` of the slack, minus the retries that it has
//! sent.
//!
//! At a node with few requests the allowance is less than one retry. It is therefore rounded at
//! random: each node draws a number uniformly from 0 to 1, adds it to its allowance and may send as
//! many retries as the integer part of the sum. On average, the total over all nodes is the sum of
//! the allowances; with `N` nodes, it differs from that sum by at most the square root of `N`,
//! except in one of thousands of cases. So
//!
//! ```text
//! R <= U * ratio * Q + F * slack + sqrt(N) + restarted + inherited
//! ```
//!
//! Nodes that restart lose their counts and may spend their part of the slack again (`restarted`).
//! A retry makes its back end repeat the calls below it. The node that sends these calls counts
//! them against its own allowance, so a service gets `U * ratio * Q` retries in total, no matter
//! which service above it was retried. `inherited` is only the excess over the allowances of single
//! nodes. `U` is `LEAF_RATIO_SHARE` for a service whose answers so far have involved no calls, and
//! `RATIO_SHARE` for others, where a retry also causes retries below it. `F` is
//! `FLOOR_SLACK_SHARE`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::retry_demand::RetryDemand;
use crate::settings::RetryBound;

/// Number of slices that the window is divided into.
const SLICES: u32 = 20;
/// Share of the deployment's ratio that a node may use for a service whose back ends make calls.
const RATIO_SHARE: f64 = 0.4;
/// Share of the deployment's ratio that a node may use for a service whose back ends make no calls.
const LEAF_RATIO_SHARE: f64 = 0.8;
/// Maximum floor: retries per window that a node may send for a service without any requests.
const MAX_FLOOR: f64 = 1.0;
/// Number of windows after which a node draws its rounding number again, so that no node with few
/// requests is without retries permanently.
const REDRAW_WINDOWS: u64 = 6;
/// Share of the deployment's slack that is divided into the floors of all nodes. The rest is for
/// nodes that restart and lose their counts.
const FLOOR_SLACK_SHARE: f64 = 0.25;

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Fraction of the window for which the remaining budget has to last while more retries are
/// requested than it covers.
const HORIZON_FRACTION: f64 = 0.5;

/// Requests and retries of one service within the window.
#[derive(Clone, Debug, Default)]
struct ServiceBudget {
    slices: VecDeque<Slice>,
    demand: RetryDemand,
    /// Whether an answer of the service has involved calls; `None` before the first answer.
    has_calls: Option<bool>,
}

impl ServiceBudget {
    /// Returns the slice with this number, after removing the slices that have left the window.
    fn current(&mut self, number: u64) -> &mut Slice {
        let slices = &mut self.slices;
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

    /// Returns the number of retries left, without the floor, given the deployment's ratio of
    /// retries to requests; negative if more were sent.
    fn remaining(&self, ratio: f64) -> f64 {
        let share = match self.has_calls {
            Some(false) => LEAF_RATIO_SHARE,
            Some(true) | None => RATIO_SHARE,
        };
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        f64::from(requests) * ratio * share - f64::from(retries)
    }
}

/// Retry budget of one node for all services.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    seed: u64,
    ratio: f64,
    slack: f64,
    slice: Duration,
    horizon: Duration,
    services: BTreeMap<String, ServiceBudget>,
}

impl RetryBudget {
    /// Creates the budget of a node that has just started.
    ///
    /// `seed` must differ between nodes, so that they round their allowances independently.
    pub fn new(bound: RetryBound, seed: u64) -> Self {
        Self {
            seed,
            ratio: bound.ratio,
            slack: f64::from(bound.slack),
            slice: bound.window / SLICES,
            horizon: bound.window.mul_f64(HORIZON_FRACTION),
            services: BTreeMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, now: Instant, service: &str) {
        self.current(now, service).requests += 1;
    }

    /// Records whether an answered request of a service involved calls to other services.
    pub fn record_calls(&mut self, service: &str, has_calls: bool) {
        let budget = self.service(service);
        budget.has_calls = Some(has_calls || budget.has_calls == Some(true));
    }

    /// Counts a retry that cannot be refused any more: a call made for a retried request.
    pub fn spend(&mut self, now: Instant, service: &str) {
        self.current(now, service).retries += 1;
    }

    /// Spends one retry, for a chain whose root has this level, if the budget of a node in a
    /// deployment of `nodes` nodes covers it. Returns whether it does.
    pub fn try_spend(&mut self, now: Instant, service: &str, nodes: usize, level: Level) -> bool {
        let ratio = self.ratio;
        let horizon = self.horizon.as_secs_f64();
        let floor = (self.slack * FLOOR_SLACK_SHARE / nodes.max(1) as f64).min(MAX_FLOOR);
        let number = self.slice_number(now);
        let rounding = self.rounding(number, service);
        let budget = self.service(service);
        budget.current(number);
        let remaining = budget.remaining(ratio) + floor;
        budget.demand.count(level);
        let is_preferred = level >= budget.demand.min_level(now, remaining.max(0.0) / horizon);
        if remaining + rounding < 1.0 || !is_preferred {
            return false;
        }
        budget.current(number).retries += 1;
        true
    }

    /// Returns the number from 0 to 1 by which the node's allowance for a service is rounded.
    fn rounding(&self, slice: u64, service: &str) -> f64 {
        let draw = slice / (u64::from(SLICES) * REDRAW_WINDOWS);
        let node_hash = xxh3_64_with_seed(&draw.to_le_bytes(), self.seed);
        xxh3_64_with_seed(service.as_bytes(), node_hash) as f64 / u64::MAX as f64
    }

    fn current(&mut self, now: Instant, service: &str) -> &mut Slice {
        let number = self.slice_number(now);
        self.service(service).current(number)
    }

    fn service(&mut self, service: &str) -> &mut ServiceBudget {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceBudget::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }

    fn slice_number(&self, now: Instant) -> u64 {
        let length = u64::try_from(self.slice.as_micros()).unwrap_or(u64::MAX);
        now.as_micros() / length.max(1)
    }
}
