//! Tests the deployment's bound on the total retries of its nodes, also during restarts and
//! partitions.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_core::admission::Level;
use rillgap_forward::retry_budget::RetryBudget;
use rillgap_forward::settings::RetryBound;
use support::at;

const SERVICE: &str = "takst";
const HIGHEST: Level = Level(u32::MAX);
const WINDOW_MILLIS: u64 = 10_000;
const STEP_MILLIS: u64 = 500;

fn bound(slack: u32) -> RetryBound {
    RetryBound {
        ratio: 0.2,
        slack,
        window: Duration::from_millis(WINDOW_MILLIS),
    }
}

/// Returns how many retries `nodes` nodes with `requests` requests each may send if all requests
/// fail.
fn granted_retries(nodes: usize, requests: u32, slack: u32) -> f64 {
    let mut granted_retries = 0;
    for seed in 0..nodes as u64 {
        let mut budget = RetryBudget::new(bound(slack), seed);
        budget.record_calls(SERVICE, false);
        for _ in 0..requests {
            budget.count_request(at(0), SERVICE);
        }
        let granted = (0..100).filter(|_| budget.try_spend(at(1), SERVICE, nodes, HIGHEST));
        granted_retries += granted.count();
    }
    granted_retries as f64
}

#[gtest]
fn nodes_with_few_requests_get_their_share_of_the_retries() {
    // Five requests per node and window. Allowed are the share of the ratio for a service without
    // calls, and a quarter of the slack.
    for (nodes, slack) in [(300, 302), (985, 1_040), (1_900, 2_000)] {
        let requests = nodes as f64 * 5.0;
        let allowed = 0.2 * 0.8 * requests + 0.25 * f64::from(slack);
        let tolerance = (nodes as f64).sqrt();
        expect_that!(
            granted_retries(nodes, 5, slack),
            near(allowed, tolerance),
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
}

/// Simulates a minute in which all requests fail and are retried as often as the nodes allow. Some
/// of the requests are calls made for a retried request. Returns the maximum excess over the bound.
fn max_excess(nodes: usize, slack: u32, fault: Fault, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = |below: u64| (u64::from(random.next_u32()) * below) >> 32;
    let mut budgets: Vec<RetryBudget> = Vec::new();
    for number in 0..nodes as u64 {
        budgets.push(RetryBudget::new(bound(slack), seed * 10_000 + number));
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
                Fault::None | Fault::Partitions => false,
            };
            if restarts {
                *budget = RetryBudget::new(bound(slack), draw(u64::from(u32::MAX)));
            }
            let is_partitioned =
                matches!(fault, Fault::Partitions) && step % 8 < 4 && number % 2 == 0;
            if is_partitioned {
                continue;
            }
            budget.record_calls(SERVICE, false);
            // Nodes differ in the number of requests that they send.
            for _ in 0..draw(1 + number as u64 % 8) {
                budget.count_request(now, SERVICE);
                requests += 1.0;
                // 8 % of the requests are calls made for a request that was retried further up.
                if draw(100) < 8 {
                    budget.spend(now, SERVICE);
                    retries += 1.0;
                }
                for _ in 0..3 {
                    retries += f64::from(u8::from(budget.try_spend(now, SERVICE, nodes, HIGHEST)));
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
