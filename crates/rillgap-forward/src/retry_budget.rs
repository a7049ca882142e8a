//! Repeated sends, bounded per service over a sliding window.
//!
//! The bound of a deployment is a sum over all nodes: repeats `R` of a service within a window are at most
//! `ratio * Q + slack`, where `Q` are the requests for it. Nodes do not coordinate: each allows itself a share `U` of
//! the ratio of its *own* requests, and on top its part of a share `F` of the slack, less what it has sent again.
//!
//! Both come to less than one repeat at a node of few requests. There a number of its own decides, drawn evenly
//! from 0 to 1: the node may send again as often as its allowance and that number have whole units. Over all nodes this is
//! the sum of the allowances in the mean, and with `N` nodes off it by the square root of `N` at the most, but for one
//! case in thousands. So
//!
//! ```text
//! R <= U * ratio * Q + F * slack + sqrt(N) + restarted + inherited
//! ```
//!
//! Nodes that restart have forgotten what they spent, and may spend their part of the slack again. A repeat makes its
//! back end repeat the calls below it. The node that sends these counts them against its own allowance, so a service
//! gets `U * ratio * Q` in all, whichever of the services above it was repeated, and `inherited` is only what exceeds
//! the allowance of single nodes. `U` is [`LEAF_SHARE`] for a service whose back ends call nobody, as far as answers have
//! shown, and [`SHARE`] for others, where a repeat costs repeats below it as well.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::retry_demand::RetryDemand;
use crate::settings::RetryBound;

/// Slices of the window.
const SLICES: u32 = 20;
/// Share of the deployment's ratio that one node uses for one service.
const SHARE: f64 = 0.4;
/// The same for a service whose back ends call nobody.
const LEAF_SHARE: f64 = 0.8;
/// Most repeats of one node for each service whatever the number of requests.
const MOST_FLOOR: f64 = 1.0;
/// Windows after which a node draws its number anew, so that no node of few requests is without repeats for ever.
const DRAW_LASTS: u64 = 6;
/// Share of the deployment's slack that the floors of all nodes add up to. The rest is for nodes that
/// restart and have forgotten what they spent.
const FLOOR_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Time for which the budget that is left is to last while more repeats are wanted than it pays for:
/// half of the window.
const HORIZON_SHARE: f64 = 0.5;

/// Requests and repeats of one service within the window.
#[derive(Clone, Debug, Default)]
struct ServiceBudget {
    slices: VecDeque<Slice>,
    demand: RetryDemand,
    /// Whether the service's back ends make calls, as far as an answer has shown.
    has_calls: Option<bool>,
}

impl ServiceBudget {
    /// Returns the slice of this number, after those that left the window were dropped.
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

    /// Returns the repeats that are left, by the deployment's ratio of repeats to requests.
    fn left(&self, ratio: f64) -> f64 {
        let share = match self.has_calls {
            Some(false) => LEAF_SHARE,
            Some(true) | None => SHARE,
        };
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        f64::from(requests) * ratio * share - f64::from(repeats)
    }
}

/// Repeats of one node, by service.
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
    /// Creates the budget of a fresh node.
    ///
    /// `seed` differs from that of all other nodes.
    pub fn new(bound: RetryBound, seed: u64) -> Self {
        Self {
            seed,
            ratio: bound.ratio,
            slack: f64::from(bound.slack),
            slice: bound.window / SLICES,
            horizon: bound.window.mul_f64(HORIZON_SHARE),
            services: BTreeMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, now: Instant, service: &str) {
        self.current(now, service).requests += 1;
    }

    /// Takes in whether a request that was answered has made its back end call others.
    pub fn learn_calls(&mut self, service: &str, has_calls: bool) {
        let budget = self.service(service);
        budget.has_calls = Some(has_calls || budget.has_calls == Some(true));
    }

    /// Counts a repeat that cannot be refused any more: a call made by a repeated request.
    pub fn spend(&mut self, now: Instant, service: &str) {
        self.current(now, service).repeats += 1;
    }

    /// Takes one repeat, for a chain whose root has this level, out of the budget of a node among so
    /// many; returns whether there was one for it.
    pub fn try_spend(&mut self, now: Instant, service: &str, nodes: usize, level: Level) -> bool {
        let ratio = self.ratio;
        let horizon = self.horizon.as_secs_f64();
        let floor = (self.slack * FLOOR_SHARE / nodes.max(1) as f64).min(MOST_FLOOR);
        let number = self.slice_number(now);
        let rounding = self.rounding(number, service);
        let budget = self.service(service);
        budget.current(number);
        let left = budget.left(ratio) + floor;
        budget.demand.count(level);
        let is_preferred = level >= budget.demand.floor(now, left.max(0.0) / horizon);
        if left + rounding < 1.0 || !is_preferred {
            return false;
        }
        budget.current(number).repeats += 1;
        true
    }

    /// Returns the node's number for a service, from 0 to 1, by which its allowance is rounded.
    fn rounding(&self, slice: u64, service: &str) -> f64 {
        let draw = slice / (u64::from(SLICES) * DRAW_LASTS);
        let of_node = xxh3_64_with_seed(&draw.to_le_bytes(), self.seed);
        xxh3_64_with_seed(service.as_bytes(), of_node) as f64 / u64::MAX as f64
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
