//! Retry budget of a node, per service over a sliding window.
//!
//! The bound applies to the whole deployment: within a window, the nodes together send at most
//! `R <= ratio * B + slack` retries to a service, where `B` is the number of requests for it in the
//! best of three windows: the same one, the one before it or the one half a window before it.
//! Nodes do not coordinate. The allowance of each node is a share `U` of `ratio` times the number
//! of its *own* requests, plus its part of a share `F` of the slack, minus the retries that it has
//! sent.
//!
//! While back ends of the service do not refuse, a node counts its requests `Q` of the present
//! window, and `Q <= B`. While they refuse, requests become fewer because chains end early. A node then counts the requests `B_n(s)` in its own best window, for each
//! beginning `s` of a window that contains the present moment, and sends a retry only if its
//! retries `R_n(s)` since `s` stay within its allowance for every `s`. Both counts of all nodes
//! refer to the same `s`, so for the window that begins at `s`
//!
//! ```text
//! R(s) = sum of R_n(s) <= U * ratio * sum of B_n(s) + F * slack + ...
//! sum of B_n(s) = B(s) + moved(s)
//! ```
//!
//! `moved` is what nodes had more of in another window than in the one that is the best of the
//! whole deployment. It is 0 while requests keep their distribution over the nodes; for nodes with
//! few requests it is the spread of the larger of three random numbers, less than one request per
//! node and square root of its requests. The unused part of the ratio covers
//! `moved(s) <= (1 / U - 1) * B(s)`. Older windows count only while back ends refuse, so that
//! shifts of requests by crashes and restarts alone do not use it up.
//!
//! At a node with few requests the allowance is less than one retry. It is therefore rounded at
//! random: each node draws a number uniformly from 0 to 1, adds it to its allowance and may send as
//! many retries as the integer part of the sum. On average, the total over all nodes is the sum of
//! the allowances; with `N` nodes, it differs from that sum by at most the square root of `N`,
//! except in one of thousands of cases. So
//!
//! ```text
//! R <= U * ratio * (B + moved) + F * slack + sqrt(N) + restarted + inherited
//! ```
//!
//! Nodes that restart lose their counts and may spend their part of the slack again (`restarted`).
//! A retry makes its back end repeat the calls below it. The node that sends these calls counts
//! them against its own allowance, so a service gets `U * ratio * (B + moved)` retries in total, no
//! matter which service above it was retried. `inherited` is only the excess over the allowances of
//! single nodes. `U` is `LEAF_RATIO_SHARE` for a service whose answers so far have involved no
//! calls, and `RATIO_SHARE` for others, where a retry also causes retries below it. `F` is
//! `FLOOR_SLACK_SHARE`.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::inbound::refusals::Refusals;
use crate::request_window::{
    PRESENT_WINDOW, RequestWindow, SLICES_PER_WINDOW, remaining_retries, slice_number,
};
use crate::retry_demand::RetryDemand;
use crate::settings::RetryBound;

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

/// Fraction of the window for which the remaining budget has to last while more retries are
/// requested than it covers.
const HORIZON_FRACTION: f64 = 0.5;

/// Retries that are granted while back ends refuse, as a multiple of the even pace at which the
/// allowance lasts for a window. The demand for them fluctuates.
const EVEN_PACE_TOLERANCE: f64 = 1.5;

/// Returns the share of the deployment's ratio that a node may use for a service; `has_calls` says
/// whether an answer of it has involved calls, `None` before the first answer.
pub fn ratio_share(has_calls: Option<bool>) -> f64 {
    match has_calls {
        Some(false) => LEAF_RATIO_SHARE,
        Some(true) | None => RATIO_SHARE,
    }
}

/// Requests and retries of one service.
#[derive(Clone, Debug, Default)]
struct ServiceBudget {
    requests: RequestWindow,
    retries: RequestWindow,
    demand: RetryDemand,
    /// How attempts at back ends of the service end.
    refusals: Refusals,
    /// Whether an answer of the service has involved calls; `None` before the first answer.
    has_calls: Option<bool>,
}

/// Retries that a node may send to a service, without the floor.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Retries that are left; negative if more were sent.
    remaining: f64,
    /// Retries per window at which the allowance lasts.
    per_window: f64,
}

/// What a node has counted for a service, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetState {
    /// Own requests of the present window.
    pub requests: u32,
    /// Retries of the present window, with the calls made for retried requests.
    pub retries: u32,
    /// Retries that are left in the present window; negative if more were sent.
    pub remaining: f64,
}

impl ServiceBudget {
    /// Returns the allowance in the slice `number`, given the deployment's ratio of retries to
    /// requests.
    fn allowance(&mut self, number: u64, ratio: f64, is_refusing: bool) -> Allowance {
        let ratio = ratio * ratio_share(self.has_calls);
        let requests = self.requests.sums(number);
        let retries = self.retries.sums(number);
        if is_refusing {
            return Allowance {
                remaining: remaining_retries(&requests, &retries, ratio),
                per_window: f64::from(requests.best(PRESENT_WINDOW)) * ratio,
            };
        }
        let per_window = f64::from(requests.since(PRESENT_WINDOW)) * ratio;
        Allowance {
            remaining: per_window - f64::from(retries.since(PRESENT_WINDOW)),
            per_window,
        }
    }
}

/// Retry budget of one node for all services.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    seed: u64,
    ratio: f64,
    slack: f64,
    slice: Duration,
    window: Duration,
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
            slice: bound.window / SLICES_PER_WINDOW as u32,
            window: bound.window,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, now: Instant, service: &str) {
        let number = slice_number(now, self.slice);
        self.service(service).requests.count(number);
    }

    /// Records whether an answered request of a service involved calls to other services.
    pub fn record_calls(&mut self, service: &str, has_calls: bool) {
        let budget = self.service(service);
        budget.has_calls = Some(has_calls || budget.has_calls == Some(true));
    }

    /// Records whether a back end of a service has refused an attempt that reached it.
    pub fn record_attempt(&mut self, now: Instant, service: &str, is_refused: bool) {
        self.service(service).refusals.record(now, is_refused);
    }

    /// Returns whether back ends of a service refuse a share of what they get.
    pub fn is_refusing(&self, now: Instant, service: &str) -> bool {
        let budget = self.services.get(service);
        budget.is_some_and(|budget| budget.refusals.is_refusing(now))
    }

    /// Counts a retry that cannot be refused any more: a call made for a retried request.
    pub fn spend(&mut self, now: Instant, service: &str) {
        let number = slice_number(now, self.slice);
        self.service(service).retries.count(number);
    }

    /// Returns what the node has counted for a service.
    pub fn state(&mut self, now: Instant, service: &str, nodes: usize) -> RetryBudgetState {
        let ratio = self.ratio;
        let floor = self.floor(nodes);
        let number = slice_number(now, self.slice);
        let budget = self.service(service);
        let is_refusing = budget.refusals.is_refusing(now);
        RetryBudgetState {
            requests: budget.requests.sums(number).since(PRESENT_WINDOW),
            retries: budget.retries.sums(number).since(PRESENT_WINDOW),
            remaining: budget.allowance(number, ratio, is_refusing).remaining + floor,
        }
    }

    /// Returns the retries per window that a node of a deployment of `nodes` nodes may send without
    /// any requests.
    fn floor(&self, nodes: usize) -> f64 {
        (self.slack * FLOOR_SLACK_SHARE / nodes.max(1) as f64).min(MAX_FLOOR)
    }

    /// Spends one retry, for a chain whose root has this level, if the budget of a node in a
    /// deployment of `nodes` nodes covers it. Returns whether it does.
    pub fn try_spend(&mut self, now: Instant, service: &str, nodes: usize, level: Level) -> bool {
        let ratio = self.ratio;
        let window = self.window.as_secs_f64();
        let floor = self.floor(nodes);
        let number = slice_number(now, self.slice);
        let rounding = self.rounding(number, service);
        let budget = self.service(service);
        let is_refusing = budget.refusals.is_refusing(now);
        let allowance = budget.allowance(number, ratio, is_refusing);
        let remaining = allowance.remaining + floor;
        budget.demand.count(now, level);
        let rate = if is_refusing {
            let even_pace = allowance.per_window / window;
            even_pace * EVEN_PACE_TOLERANCE * budget.demand.averaged_part(now)
        } else {
            remaining.max(0.0) / (window * HORIZON_FRACTION)
        };
        let is_preferred = level >= budget.demand.min_level(now, rate);
        if remaining + rounding < 1.0 || !is_preferred {
            return false;
        }
        budget.retries.count(number);
        true
    }

    /// Returns the number from 0 to 1 by which the node's allowance for a service is rounded.
    fn rounding(&self, slice: u64, service: &str) -> f64 {
        let draw = slice / (SLICES_PER_WINDOW as u64 * REDRAW_WINDOWS);
        let node_hash = xxh3_64_with_seed(&draw.to_le_bytes(), self.seed);
        xxh3_64_with_seed(service.as_bytes(), node_hash) as f64 / u64::MAX as f64
    }

    fn service(&mut self, service: &str) -> &mut ServiceBudget {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceBudget::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }
}
