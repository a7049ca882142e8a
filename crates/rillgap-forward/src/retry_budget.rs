//! Retry budget of a node, per service over a sliding window.
//!
//! The bound applies to the whole deployment: in each window `[x, x + W]`, the back ends of a
//! service receive at most `ratio * B + slack` retries from all nodes together, where `B` is the
//! number of requests for the service in the best of three windows: the same one, the one before it
//! and the one half a window before it.
//!
//! Nodes do not coordinate. A node charges a retry when it decides to send it, and it arrives up to
//! `D` later. For each beginning `x` of a window that contains the present moment, the node keeps
//!
//! ```text
//! R_n(x - D, now) <= U * ratio * (w * Q_n(x, now) + (1 - w) * Q_n(x - W, x)) + S_n
//! ```
//!
//! with its own charges `R_n`, its own requests `Q_n`, a fixed weight `w` and its part `S_n` of the
//! slack. All nodes keep it for the same `x`, so the sum over the nodes is
//!
//! ```text
//! R(x, x + W) <= U * ratio * (w * Q(x, x + W) + (1 - w) * Q(x - W, x)) + sum of S_n
//!             <= U * ratio * B + sum of S_n
//! ```
//!
//! A weighted mean of two windows, unlike the larger one, adds up over the nodes: it does not matter
//! whether requests move from node to node, nor whether nodes differ in `U` or change it. What is
//! counted as a request must be one by the bound, so calls made for a retry are not.
//!
//! A node that restarts loses its counts. Its requests before and after add up like those of two
//! nodes, and it gets a part of the slack only when the charges of its earlier run have left all
//! windows. The slack is divided by the largest number of nodes known in the last windows, and a node that
//! has not read the list of nodes yet gets no part. So `sum of S_n <= F * slack`, `F` being
//! [`SLACK_SHARE`].
//!
//! A retry makes its back end repeat the calls below it, several for one. The node that sends these
//! calls charges them against its own allowance like its own retries, and refuses those that it does
//! not cover. Retries for the calls of a run are reserved before the run begins.
//!
//! `U` is [`LEAF_RATIO_SHARE`] for a service whose answers so far have involved no calls, and
//! [`RATIO_SHARE`] for others, where a retry also causes retries below it.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use crate::inbound::CallCounts;
use crate::inbound::refusals::Refusals;
use crate::request_window::{
    ARRIVAL_SLICES, PRESENT_WINDOW, RequestWindow, SLICES_PER_WINDOW, remaining_retries,
    slice_number,
};
use crate::retry_demand::RetryDemand;
use crate::settings::RetryBound;

/// Share of the deployment's ratio that a node may use for a service whose back ends make calls.
const RATIO_SHARE: f64 = 0.45;
/// Share of the deployment's ratio that a node may use for a service whose back ends make no calls.
/// The rest covers retries that arrive later than expected.
const LEAF_RATIO_SHARE: f64 = 0.95;
/// Share of the deployment's slack that is divided among all nodes. The rest is for nodes that
/// others do not know yet.
const SLACK_SHARE: f64 = 0.8;
/// Number of windows for which the largest number of nodes is remembered, so that an incomplete list
/// does not raise the part of each node.
const SIZE_MEMORY_WINDOWS: u32 = 3;

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
    /// Retries that are reserved for calls of retried runs.
    reserved: u32,
    demand: RetryDemand,
    /// How attempts at back ends of the service end.
    refusals: Refusals,
    /// Whether an answer of the service has involved calls; `None` before the first answer.
    has_calls: Option<bool>,
}

/// Retries that a node may send to a service, without its part of the slack.
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
    /// Retries that are left, without those that are reserved; negative if the requests have become
    /// fewer since they were sent.
    pub remaining: f64,
}

impl ServiceBudget {
    /// Returns the allowance in the slice `number`, given the deployment's ratio of retries to
    /// requests.
    fn allowance(&mut self, number: u64, ratio: f64) -> Allowance {
        let ratio = ratio * ratio_share(self.has_calls);
        let requests = self.requests.sums(number);
        let retries = self.retries.sums(number);
        Allowance {
            remaining: remaining_retries(&requests, &retries, ratio),
            per_window: requests.weighted_mean(PRESENT_WINDOW) * ratio,
        }
    }
}

/// Largest number of nodes of the deployment that was known recently.
#[derive(Clone, Copy, Debug, Default)]
struct DeploymentSize {
    /// Number of nodes; 0 before it is known.
    nodes: usize,
    known_at: Instant,
}

impl DeploymentSize {
    fn observe(&mut self, now: Instant, nodes: usize, memory: Duration) {
        if nodes >= self.nodes || now > self.known_at + memory {
            self.nodes = nodes;
            self.known_at = now;
        }
    }
}

/// Retry budget of one node for all services.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    slice: Duration,
    window: Duration,
    /// When the charges of an earlier run of the node have left all windows; the time of the start
    /// if there was none.
    has_slack_from: Instant,
    size: DeploymentSize,
    services: BTreeMap<String, ServiceBudget>,
}

impl RetryBudget {
    /// Creates the budget of a node that has just started. `had_earlier_run` says whether retries
    /// of an earlier run of the node may still count.
    pub fn new(now: Instant, bound: RetryBound, had_earlier_run: bool) -> Self {
        let slice = bound.window / SLICES_PER_WINDOW as u32;
        // One slice more than the retries need to arrive: a window may begin anywhere within one.
        let earlier_charges = bound.window + slice * (ARRIVAL_SLICES as u32 + 1);
        let has_slack_from = if had_earlier_run {
            now + earlier_charges
        } else {
            now
        };
        Self {
            ratio: bound.ratio,
            slack: f64::from(bound.slack),
            slice,
            window: bound.window,
            has_slack_from,
            size: DeploymentSize::default(),
            services: BTreeMap::new(),
        }
    }

    /// Records the number of nodes of the deployment, this one included.
    pub fn observe_nodes(&mut self, now: Instant, nodes: usize) {
        let memory = self.window * SIZE_MEMORY_WINDOWS;
        self.size.observe(now, nodes, memory);
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

    /// Reserves retries for the calls of a retried run, if the budget covers them all. Returns
    /// whether it does.
    pub fn try_reserve(&mut self, now: Instant, calls: &CallCounts) -> bool {
        let mut services = calls.iter();
        let is_covered =
            services.all(|(service, count)| self.remaining(now, service) >= f64::from(*count));
        if is_covered {
            for (service, count) in calls {
                self.service(service).reserved += count;
            }
        }
        is_covered
    }

    /// Releases retries that were reserved and are not needed any more.
    pub fn release(&mut self, calls: &CallCounts) {
        for (service, count) in calls {
            let budget = self.service(service);
            budget.reserved = budget.reserved.saturating_sub(*count);
        }
    }

    /// Spends one retry on a call of a retried run, if the budget covers it. Returns whether it does.
    /// `is_reserved` says whether the call uses a reserved retry, which it takes in any case.
    pub fn try_spend_call(&mut self, now: Instant, service: &str, is_reserved: bool) -> bool {
        let own = u32::from(is_reserved);
        let budget = self.service(service);
        budget.reserved = budget.reserved.saturating_sub(own);
        // Reserved retries precede others, but the budget may have become smaller since.
        let reserved_for_others = if is_reserved { 0 } else { budget.reserved };
        let covered = self.uncharged(now, service) - f64::from(reserved_for_others);
        if covered < 1.0 {
            return false;
        }
        let number = slice_number(now, self.slice);
        self.service(service).retries.count(number);
        true
    }

    /// Charges a call that may belong to a retried run of an earlier run of the node, whether or not
    /// the budget covers it.
    pub fn charge_unattributed(&mut self, now: Instant, service: &str) {
        let number = slice_number(now, self.slice);
        self.service(service).retries.count(number);
    }

    /// Returns whether retries that an earlier run of the node has charged may still count.
    pub fn may_have_earlier_charges(&self, now: Instant) -> bool {
        now < self.has_slack_from
    }

    /// Returns the maximum time for which a retry may wait in a queue, so that it reaches its back
    /// end before its charge has left the windows that it arrives in.
    pub fn max_queue_time(&self) -> Duration {
        self.slice * ARRIVAL_SLICES as u32 / 2
    }

    /// Returns the retries that are neither charged nor reserved.
    fn remaining(&mut self, now: Instant, service: &str) -> f64 {
        let uncharged = self.uncharged(now, service);
        uncharged - f64::from(self.service(service).reserved)
    }

    /// Returns the retries that are not charged.
    fn uncharged(&mut self, now: Instant, service: &str) -> f64 {
        let ratio = self.ratio;
        let slack = self.slack_part(now);
        let number = slice_number(now, self.slice);
        let budget = self.service(service);
        budget.allowance(number, ratio).remaining + slack
    }

    /// Returns what the node has counted for a service.
    pub fn state(&mut self, now: Instant, service: &str) -> RetryBudgetState {
        let remaining = self.remaining(now, service);
        let number = slice_number(now, self.slice);
        let budget = self.service(service);
        RetryBudgetState {
            requests: budget.requests.sums(number).since(PRESENT_WINDOW),
            retries: budget.retries.sums(number).since(PRESENT_WINDOW),
            remaining,
        }
    }

    /// Returns the number of nodes by which the slack is divided; 0 before it is known.
    pub const fn known_nodes(&self) -> usize {
        self.size.nodes
    }

    /// Returns this node's part of the deployment's slack, in retries per window and service.
    pub fn slack_part(&self, now: Instant) -> f64 {
        if now < self.has_slack_from || self.size.nodes == 0 {
            return 0.0;
        }
        self.slack * SLACK_SHARE / self.size.nodes as f64
    }

    /// Spends one retry, for a chain whose root has this level, if the budget covers it. Returns
    /// whether it does.
    pub fn try_spend(&mut self, now: Instant, service: &str, level: Level) -> bool {
        let ratio = self.ratio;
        let window = self.window.as_secs_f64();
        let slack = self.slack_part(now);
        let number = slice_number(now, self.slice);
        let budget = self.service(service);
        let allowance = budget.allowance(number, ratio);
        let remaining = allowance.remaining + slack - f64::from(budget.reserved);
        budget.demand.count(now, level);
        let rate = if budget.refusals.is_refusing(now) {
            let even_pace = allowance.per_window / window;
            even_pace * EVEN_PACE_TOLERANCE * budget.demand.averaged_part(now)
        } else {
            remaining.max(0.0) / (window * HORIZON_FRACTION)
        };
        let is_preferred = level >= budget.demand.min_level(now, rate);
        if remaining < 1.0 || !is_preferred {
            return false;
        }
        budget.retries.count(number);
        true
    }

    fn service(&mut self, service: &str) -> &mut ServiceBudget {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceBudget::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }
}
