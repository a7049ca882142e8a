//! Planned stops of nodes, one after the other, while some callers read their answers slowly.

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Number of seeds.
const SEEDS: u64 = 20;
/// Time of the first stop and time between two stops, in milliseconds.
const FIRST_STOP: u64 = 4_000;
const STOP_INTERVAL: u64 = 1_300;
/// Percentage of answers that callers read slowly.
const SLOW_READER_PERCENT: u64 = 40;
/// Times at which callers stop and at which the scenario ends, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (20_000, 24_000);
/// Status of a request that may have run, with unknown outcome.
const UNKNOWN_STATUS: u16 = 502;

/// Stops all nodes in turn; returns what is lost.
fn run(seed: u64, injected_bug: InjectedBug) -> Vec<String> {
    let (callers_until, end) = CALLERS_AND_SCENARIO_END;
    let mut world = World::new(seed, injected_bug, callers_until);
    world.set_slow_reader_percent(SLOW_READER_PERCENT);
    for host in 0..world.size() {
        let at = FIRST_STOP + STOP_INTERVAL * host as u64 + seed * 7;
        world.schedule(at, WorldEvent::Fault(Fault::Stop(host)));
    }
    world.run_until(end);
    let unknown = world.statuses.iter();
    let unknown = unknown.filter(|(_, status)| **status == UNKNOWN_STATUS);
    let mut lost = std::mem::take(&mut world.checker.violations);
    lost.extend(unknown.map(|(id, _)| format!("LOST {id}: its outcome is unknown")));
    lost
}

#[gtest]
fn planned_stop_cuts_no_answer_that_a_caller_is_still_reading() {
    for seed in 0..SEEDS {
        let lost = run(seed, InjectedBug::None);
        expect_that!(lost, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn checker_detects_a_planned_stop_that_forgets_callers() {
    let lost = run(0, InjectedBug::ForgottenReaders);
    expect_that!(lost, contains(starts_with("LOST")));
}
