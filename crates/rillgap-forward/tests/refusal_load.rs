//! Load test without a network: deep back ends refuse 55 % of what they get for eight seconds,
//! under chains of four sequential calls of two priorities.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_core::admission::Level;
use rillgap_forward::message::level_of;
use rillgap_forward::retry_budget::RetryBudget;
use rillgap_forward::settings::RetryBound;
use support::at;

const SERVICE: &str = "deep";
const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 20,
    window: Duration::from_secs(10),
};
/// Nodes that make the calls.
const CALLERS: u64 = 7;
const CALLS_PER_CHAIN: u32 = 4;
const MAX_RETRIES: u32 = 6;
/// Chains that begin in each millisecond and priority, in thousandths.
const CHAINS_PERMILLE: u64 = 400;
const PRIORITIES: [u8; 2] = [0, 2];
const REFUSED_PERCENT: u64 = 55;
/// Milliseconds within which back ends refuse, and the end of the test.
const REFUSED_RANGE: (u64, u64) = (12_000, 20_000);
const END_MILLIS: u64 = 26_000;
/// Milliseconds that an attempt takes.
const ATTEMPT_MILLIS: u64 = 20;
/// Milliseconds at the edges of the refusals that are left out.
const EDGE_MILLIS: u64 = 1_000;

/// A call that waits for its next attempt.
struct Call {
    begun_at: u64,
    priority: usize,
    level: Level,
    caller: usize,
    calls_left: u32,
    retries: u32,
}

/// Chains of one priority that began within a time range.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    begun: u64,
    ended_well: u64,
}

struct Load {
    random: ChaCha8Rng,
    /// Whether the nodes take the refusals into account in their budgets.
    reacts: bool,
    /// Maximum number of retries of a call.
    max_retries: u32,
    budgets: Vec<RetryBudget>,
    attempts: BTreeMap<u64, Vec<Call>>,
    /// Requests and retries that reached the service, in each millisecond.
    arrivals: Vec<(u32, u32)>,
    outcomes: BTreeMap<(u64, usize), Outcomes>,
}

impl Load {
    fn new(seed: u64, reacts: bool, max_retries: u32) -> Self {
        let budget = |_| {
            let mut budget = RetryBudget::new(at(0), BOUND, false);
            budget.observe_nodes(at(0), CALLERS as usize);
            budget.record_calls(SERVICE, false);
            budget
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            reacts,
            max_retries,
            budgets: (0..CALLERS).map(budget).collect(),
            attempts: BTreeMap::new(),
            arrivals: vec![(0, 0); END_MILLIS as usize],
            outcomes: BTreeMap::new(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        (u64::from(self.random.next_u32()) * below) >> 32
    }

    fn run(&mut self) {
        for now in 0..END_MILLIS {
            for priority in 0..PRIORITIES.len() {
                if self.draw(1_000) < CHAINS_PERMILLE {
                    self.begin_chain(now, priority);
                }
            }
            for call in self.attempts.remove(&now).unwrap_or_default() {
                self.attempt(now, call);
            }
        }
    }

    fn begin_chain(&mut self, now: u64, priority: usize) {
        let root = format!("{now}-{priority}");
        let level = level_of(PRIORITIES[priority], &root);
        self.outcomes.entry((now, priority)).or_default().begun += 1;
        self.begin_call(now, now, priority, level, CALLS_PER_CHAIN);
    }

    fn begin_call(&mut self, now: u64, begun_at: u64, priority: usize, level: Level, left: u32) {
        let caller = self.draw(CALLERS) as usize;
        self.budgets[caller].count_request(at(now), SERVICE);
        let call = Call {
            begun_at,
            priority,
            level,
            caller,
            calls_left: left,
            retries: 0,
        };
        self.attempt_after(now, call);
    }

    fn attempt_after(&mut self, now: u64, call: Call) {
        let at = now + ATTEMPT_MILLIS;
        self.attempts.entry(at).or_default().push(call);
    }

    fn attempt(&mut self, now: u64, mut call: Call) {
        let is_retry = call.retries > 0;
        let arrivals = &mut self.arrivals[now as usize];
        arrivals.0 += u32::from(!is_retry);
        arrivals.1 += u32::from(is_retry);
        let (from, to) = REFUSED_RANGE;
        let is_refused = (from..to).contains(&now) && self.draw(100) < REFUSED_PERCENT;
        let budget = &mut self.budgets[call.caller];
        if self.reacts {
            budget.record_attempt(at(now), SERVICE, is_refused);
        }
        if !is_refused {
            self.end_call(now, &call);
            return;
        }
        let has_retries = call.retries < self.max_retries;
        if has_retries && budget.try_spend(at(now), SERVICE, call.level) {
            call.retries += 1;
            self.attempt_after(now, call);
        }
    }

    fn end_call(&mut self, now: u64, call: &Call) {
        if call.calls_left > 1 {
            let (begun_at, priority) = (call.begun_at, call.priority);
            self.begin_call(now, begun_at, priority, call.level, call.calls_left - 1);
            return;
        }
        let outcomes = self.outcomes.entry((call.begun_at, call.priority));
        outcomes.or_default().ended_well += 1;
    }

    fn outcomes(&self, from: u64, to: u64, priority: usize) -> Outcomes {
        let mut sum = Outcomes::default();
        for now in from..to {
            if let Some(outcomes) = self.outcomes.get(&(now, priority)) {
                sum.begun += outcomes.begun;
                sum.ended_well += outcomes.ended_well;
            }
        }
        sum
    }

    /// Returns the greatest excess of retries over the bound of the deployment, in any window.
    fn max_excess(&self) -> f64 {
        let window = BOUND.window.as_millis() as usize;
        let mut sums = vec![(0, 0)];
        for (requests, retries) in &self.arrivals {
            let (all_requests, all_retries) = sums[sums.len() - 1];
            sums.push((all_requests + requests, all_retries + retries));
        }
        let last = sums.len() - 1;
        let requests = |first: usize, end: usize| sums[end.min(last)].0 - sums[first].0;
        let excess = |first: usize| {
            let retries = sums[(first + window).min(last)].1 - sums[first].1;
            let before = first.saturating_sub(window);
            let half = first.saturating_sub(window / 2);
            let best = requests(first, first + window)
                .max(requests(before, first))
                .max(requests(half, half + window));
            f64::from(retries) - BOUND.ratio * f64::from(best) - f64::from(BOUND.slack)
        };
        (0..last).map(excess).fold(f64::MIN, f64::max)
    }
}

fn run(seed: u64, reacts: bool, max_retries: u32) -> Load {
    let mut load = Load::new(seed, reacts, max_retries);
    load.run();
    load
}

/// Outcomes by priority of the chains that began while back ends refused.
fn outcomes_under_refusals(load: &Load) -> [Outcomes; 2] {
    let (from, to) = (REFUSED_RANGE.0 + EDGE_MILLIS, REFUSED_RANGE.1 - EDGE_MILLIS);
    [0, 1].map(|priority| load.outcomes(from, to, priority))
}

const SEEDS: std::ops::Range<u64> = 0..3;

/// The bound of the deployment covers the retries of a tenth to a fifth of all calls, which is up to
/// two fifths of the urgent half of the chains.
#[gtest]
fn retries_complete_a_fifth_of_the_urgent_chains() {
    for seed in SEEDS {
        let [urgent, other] = outcomes_under_refusals(&run(seed, true, MAX_RETRIES));
        expect_that!(
            urgent.ended_well * 5,
            ge(urgent.begun),
            "seed {seed}: {urgent:?}"
        );
        let urgent_share = urgent.ended_well as f64 / urgent.begun as f64;
        let other_share = other.ended_well as f64 / other.begun as f64;
        expect_that!(urgent_share, gt(other_share), "seed {seed}: {other:?}");
    }
}

/// Each call has two retries where each of three back ends is tried once.
#[gtest]
fn without_older_windows_and_further_attempts_fewer_chains_complete() {
    for seed in SEEDS {
        let [with, _] = outcomes_under_refusals(&run(seed, true, MAX_RETRIES));
        let [without, _] = outcomes_under_refusals(&run(seed, false, 2));
        expect_that!(
            with.ended_well * 2,
            ge(without.ended_well * 3),
            "seed {seed}"
        );
    }
}

#[gtest]
fn retries_of_all_nodes_stay_within_the_bound_of_the_best_window() {
    for seed in SEEDS {
        let excess = run(seed, true, MAX_RETRIES).max_excess();
        expect_that!(excess, le(0.0), "seed {seed}");
    }
}
