//! Back ends that reject requests and get them again: at most one attempt of a request that is not
//! idempotent runs, and none that was reported as not run.

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Number of seeds.
const SEEDS: u64 = 30;
/// Time from which all back ends reject requests, in milliseconds.
const REJECT_FROM: u64 = 4_000;
/// Percentage of requests that they reject.
const REJECT_PERCENT: u64 = 45;
/// Times at which callers stop and at which the scenario ends, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (12_000, 14_000);

/// Simulates services with one back end each, which gets every retry of what it rejects.
fn run(seed: u64, injected_bug: InjectedBug) -> Vec<String> {
    let (callers_until, end) = CALLERS_AND_SCENARIO_END;
    let mut world = World::of_size(seed, injected_bug, callers_until, 1);
    for host in 0..world.size() {
        let reject = Fault::Reject(host, REJECT_PERCENT);
        world.schedule(REJECT_FROM, WorldEvent::Fault(reject));
    }
    world.run_until(end);
    world.checker.violations
}

#[gtest]
fn rejected_requests_run_at_most_once() {
    for seed in 0..SEEDS {
        let violations = run(seed, InjectedBug::None);
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn checker_detects_rejections_that_belong_to_an_earlier_attempt() {
    let runs = (0..SEEDS).flat_map(|seed| run(seed, InjectedBug::StaleRejections));
    let violations: Vec<String> = runs.collect();
    expect_that!(violations, contains(starts_with("TWICE")));
    expect_that!(violations, contains(starts_with("REFUSED")));
}
