//! Tests the deployment's bound on the total retries of its nodes, also during restarts and
//! partitions.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_core::admission::Level;
use rillgap_core::time::Instant;
use rillgap_forward::retry_budget::RetryBudget;
use rillgap_forward::settings::RetryBound;
use support::at;

const SERVICE: &str = "takst";
const HIGHEST: Level = Level(u32::MAX);
const WINDOW_MILLIS: u64 = 10_000;
const STEP_MILLIS: u64 = 500;
/// Length of a turn while requests move between two halves of the nodes: the larger one of two
/// windows of a node does not have those of the same turn as that of a node of the other half.
const TURN_MILLIS: u64 = 8_000;

fn bound(slack: u32) -> RetryBound {
    RetryBound {
        ratio: 0.2,
        slack,
        window: Duration::from_millis(WINDOW_MILLIS),
    }
}

/// Returns the budget of one of `nodes` nodes that starts now.
fn started(now: Instant, nodes: usize, slack: u32, had_earlier_run: bool) -> RetryBudget {
    let mut budget = RetryBudget::new(now, bound(slack), had_earlier_run);
    budget.observe_nodes(now, nodes);
    budget.record_calls(SERVICE, false);
    budget
}

/// Returns how many retries `nodes` nodes with `requests` requests each may send if all requests
/// fail.
fn granted_retries(nodes: usize, requests: u32, slack: u32) -> f64 {
    let mut granted_retries = 0;
    for _ in 0..nodes {
        let mut budget = started(at(0), nodes, slack, false);
        for _ in 0..requests {
            budget.count_request(at(0), SERVICE);
        }
        let granted = (0..100).filter(|_| budget.try_spend(at(1), SERVICE, HIGHEST));
        granted_retries += granted.count();
    }
    granted_retries as f64
}

#[gtest]
fn nodes_with_few_requests_get_their_share_of_the_retries() {
    // Five requests per node, all in the present window, which has a quarter of the weight. Each node
    // may send a retry, and all stay within 0.95 of the ratio and 0.8 of the slack.
    for (nodes, slack) in [(300, 302), (985, 1_040), (1_900, 2_000)] {
        let requests = nodes as f64 * 5.0;
        let allowed = 0.95 * 0.2 * 0.25 * requests + 0.8 * f64::from(slack);
        let granted = granted_retries(nodes, 5, slack);
        expect_that!(
            granted,
            all!(ge(nodes as f64), le(allowed)),
            "{nodes} nodes"
        );
    }
}

/// Faults that the nodes undergo.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// Each node restarts with a probability of 1 in 20 in each step.
    Restarts,
    /// Half of the nodes restart at the same time, every four seconds.
    HalfRestarts,
    /// Half of the nodes send nothing for two of every four seconds.
    Partitions,
    /// The two halves of the nodes send all requests in turns of some seconds.
    Moves,
}

/// Simulates a minute in which all requests fail and are retried as often as the nodes allow. Some
/// of the requests are calls made for a retried request. Returns the maximum excess over the bound.
fn max_excess(nodes: usize, slack: u32, fault: Fault, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = |below: u64| (u64::from(random.next_u32()) * below) >> 32;
    let mut budgets: Vec<RetryBudget> = Vec::new();
    for _ in 0..nodes {
        budgets.push(started(at(0), nodes, slack, false));
    }
    let mut steps: Vec<(f64, f64)> = Vec::new();
    let mut max_seen = f64::MIN;
    for step in 0..60_000 / STEP_MILLIS {
        let now = at(step * STEP_MILLIS);
        let is_burst = step % 8 == 0;
        let (mut requests, mut retries) = (0.0, 0.0);
        for (number, budget) in budgets.iter_mut().enumerate() {
            let restarts = match fault {
                Fault::Restarts => draw(20) == 0,
                Fault::HalfRestarts => is_burst && number % 2 == 0,
                Fault::None | Fault::Partitions | Fault::Moves => false,
            };
            if restarts {
                *budget = started(now, nodes, slack, true);
            }
            let is_partitioned =
                matches!(fault, Fault::Partitions) && step % 8 < 4 && number % 2 == 0;
            let turn = step * STEP_MILLIS / TURN_MILLIS;
            let is_idle = matches!(fault, Fault::Moves) && turn % 2 == number as u64 % 2;
            if is_partitioned || is_idle {
                continue;
            }
            // Nodes differ in the number of requests that they send.
            for _ in 0..draw(1 + number as u64 % 8) {
                budget.count_request(now, SERVICE);
                requests += 1.0;
                // 8 % of the requests are calls made for a request that was retried further up.
                if draw(100) < 8 {
                    let is_covered = budget.try_spend_call(now, SERVICE, false);
                    retries += f64::from(u8::from(is_covered));
                }
                for _ in 0..3 {
                    retries += f64::from(u8::from(budget.try_spend(now, SERVICE, HIGHEST)));
                }
            }
        }
        steps.push((requests, retries));
        let first = steps
            .len()
            .saturating_sub((WINDOW_MILLIS / STEP_MILLIS) as usize);
        let window = &steps[first..];
        let requests: f64 = window.iter().map(|step| step.0).sum();
        let retries: f64 = window.iter().map(|step| step.1).sum();
        max_seen = max_seen.max(retries - 0.2 * requests - f64::from(slack));
    }
    max_seen
}

#[gtest]
fn bound_holds_over_all_nodes_during_restarts_and_partitions() {
    let faults = [
        Fault::None,
        Fault::Restarts,
        Fault::HalfRestarts,
        Fault::Partitions,
        Fault::Moves,
    ];
    for (nodes, slack) in [(12, 55), (82, 113), (295, 302), (985, 1_040)] {
        for fault in faults {
            for seed in 0..3 {
                let excess = max_excess(nodes, slack, fault, seed);
                expect_that!(excess, le(0.0), "{nodes} nodes, {fault:?}, seed {seed}");
            }
        }
    }
}

/// Seconds that are simulated with frequent restarts.
const RESTARTING_SECONDS: u64 = 30;
/// Steps per second of that simulation.
const STEPS_PER_SECOND: u64 = 20;

/// Simulates nodes with a few requests per second, all of which fail, that restart once a second on
/// average. Returns the maximum excess over the bound.
fn max_excess_with_frequent_restarts(nodes: usize, slack: u32, rate: u64, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = |below: u64| (u64::from(random.next_u32()) * below) >> 32;
    let mut budgets: Vec<RetryBudget> = (0..nodes)
        .map(|_| started(at(0), nodes, slack, false))
        .collect();
    let mut steps: Vec<(f64, f64)> = Vec::new();
    let mut max_seen = f64::MIN;
    for step in 0..RESTARTING_SECONDS * STEPS_PER_SECOND {
        let now = at(step * 1_000 / STEPS_PER_SECOND);
        let (mut requests, mut retries) = (0.0, 0.0);
        for budget in &mut budgets {
            if draw(STEPS_PER_SECOND) == 0 {
                *budget = started(now, nodes, slack, true);
            }
            if draw(STEPS_PER_SECOND) < rate {
                budget.count_request(now, SERVICE);
                requests += 1.0;
                for _ in 0..3 {
                    retries += f64::from(u8::from(budget.try_spend(now, SERVICE, HIGHEST)));
                }
            }
        }
        steps.push((requests, retries));
        let window_steps = (WINDOW_MILLIS * STEPS_PER_SECOND / 1_000) as usize;
        let window = &steps[steps.len().saturating_sub(window_steps)..];
        let requests: f64 = window.iter().map(|step| step.0).sum();
        let retries: f64 = window.iter().map(|step| step.1).sum();
        max_seen = max_seen.max(retries - 0.2 * requests - f64::from(slack));
    }
    max_seen
}

#[gtest]
fn nodes_that_restart_again_and_again_exceed_no_retry_budget() {
    for (nodes, slack) in [(14, 60), (15, 49), (82, 113)] {
        for rate in [1, 5] {
            for seed in 0..5 {
                let excess = max_excess_with_frequent_restarts(nodes, slack, rate, seed);
                expect_that!(excess, le(0.0), "{nodes} nodes, rate {rate}, seed {seed}");
            }
        }
    }
}
