//! The deployment's bound on retries in the sum over its nodes, also during restarts and
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
const WINDOW: u64 = 10_000;
const STEP: u64 = 500;

fn bound(slack: u32) -> RetryBound {
    RetryBound {
        ratio: 0.2,
        slack,
        window: Duration::from_millis(WINDOW),
    }
}

/// Returns how many retries `nodes` nodes with `requests` requests each may send if all requests
/// fail.
fn spent(nodes: usize, requests: u32, slack: u32) -> f64 {
    let mut spent = 0;
    for seed in 0..nodes as u64 {
        let mut budget = RetryBudget::new(bound(slack), seed);
        budget.record_calls(SERVICE, false);
        for _ in 0..requests {
            budget.count_request(at(0), SERVICE);
        }
        let tries = (0..100).filter(|_| budget.try_spend(at(1), SERVICE, nodes, HIGHEST));
        spent += tries.count();
    }
    spent as f64
}

#[gtest]
fn nodes_of_few_requests_have_their_share_of_the_repeats() {
    // Five requests per node and window. Allowed are the share of the ratio for a service without
    // calls, and a quarter of the slack.
    for (nodes, slack) in [(300, 302), (985, 1_040), (1_900, 2_000)] {
        let requests = nodes as f64 * 5.0;
        let allowed = 0.2 * 0.8 * requests + 0.25 * f64::from(slack);
        let off = (nodes as f64).sqrt();
        expect_that!(spent(nodes, 5, slack), near(allowed, off), "{nodes} nodes");
    }
}

/// Faults that the nodes undergo.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// Each node restarts with a probability of 1 in 20 in each step.
    Restarts,
    /// Half of the nodes restart at the same time, every four seconds.
    HalfRestarts,
    /// Half of the nodes send nothing for two of every four seconds.
    Cuts,
}

/// Simulates a minute in which all requests fail and are retried as often as the nodes allow. Some
/// of the requests are calls made for a retried request. Returns the maximum excess over the bound.
fn worst_excess(nodes: usize, slack: u32, trouble: Trouble, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = |below: u64| (u64::from(random.next_u32()) * below) >> 32;
    let mut budgets: Vec<RetryBudget> = Vec::new();
    for number in 0..nodes as u64 {
        budgets.push(RetryBudget::new(bound(slack), seed * 10_000 + number));
    }
    let mut steps: Vec<(f64, f64)> = Vec::new();
    let mut worst = f64::MIN;
    for step in 0..60_000 / STEP {
        let now = at(step * STEP);
        let is_burst = step % 8 == 0;
        let (mut requests, mut repeats) = (0.0, 0.0);
        for (number, budget) in budgets.iter_mut().enumerate() {
            let restarts = match trouble {
                Trouble::Restarts => draw(20) == 0,
                Trouble::HalfRestarts => is_burst && number % 2 == 0,
                Trouble::None | Trouble::Cuts => false,
            };
            if restarts {
                *budget = RetryBudget::new(bound(slack), draw(u64::from(u32::MAX)));
            }
            let is_cut = matches!(trouble, Trouble::Cuts) && step % 8 < 4 && number % 2 == 0;
            if is_cut {
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
                    repeats += 1.0;
                }
                for _ in 0..3 {
                    repeats += f64::from(u8::from(budget.try_spend(now, SERVICE, nodes, HIGHEST)));
                }
            }
        }
        steps.push((requests, repeats));
        let first = steps.len().saturating_sub((WINDOW / STEP) as usize);
        let within = &steps[first..];
        let requests: f64 = within.iter().map(|step| step.0).sum();
        let repeats: f64 = within.iter().map(|step| step.1).sum();
        worst = worst.max(repeats - 0.2 * requests - f64::from(slack));
    }
    worst
}

#[gtest]
fn bound_holds_in_the_sum_over_restarts_and_cuts() {
    let troubles = [
        Trouble::None,
        Trouble::Restarts,
        Trouble::HalfRestarts,
        Trouble::Cuts,
    ];
    for (nodes, slack) in [(12, 55), (82, 113), (295, 302), (985, 1_040)] {
        for trouble in troubles {
            for seed in 0..3 {
                let excess = worst_excess(nodes, slack, trouble, seed);
                expect_that!(excess, le(0.0), "{nodes} nodes, {trouble:?}, seed {seed}");
            }
        }
    }
}
