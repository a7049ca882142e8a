//! Suspends machines for seconds while the rest of the deployment continues to run.
//!
//! A clock that stops during the suspension makes every measured age too small. Nodes with this
//! clock accept keys after a resume that were revoked longer ago than the revocation bound, because
//! the proof that no newer configuration exists still seems recent.

use std::collections::BTreeSet;

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Number of seeds that are simulated.
const SEEDS: u64 = 60;
/// Range of the times at which machines are suspended, in milliseconds.
const SUSPENSION_BEGIN_RANGE: (u64, u64) = (3_500, 6_000);
/// Times at which callers stop and at which the scenario ends, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (22_000, 24_000);

/// Milliseconds for which a resumed machine reaches neither peers nor the store.
const PARTITION_MILLIS: u64 = 3_000;

/// Runs a scenario in which three machines are suspended for 5 to 9 s while a key is revoked, and
/// resume partitioned from all others; returns the names of the checks that failed.
fn run_scenario(seed: u64, injected_bug: InjectedBug) -> BTreeSet<String> {
    let mut world = World::new(seed, injected_bug, CALLERS_AND_SCENARIO_END.0);
    for _ in 0..3 {
        let host = world.draw(9) as usize;
        let begin = SUSPENSION_BEGIN_RANGE.0
            + world.draw(SUSPENSION_BEGIN_RANGE.1 - SUSPENSION_BEGIN_RANGE.0);
        let end = begin + 5_000 + world.draw(4_000);
        let mut at = |time, fault| world.schedule(time, WorldEvent::Fault(fault));
        at(begin, Fault::Suspend(host, end));
        at(begin, Fault::Partition(host, true));
        at(begin, Fault::StoreRefuses(host, true));
        at(begin + 300, Fault::Configure);
        at(end + PARTITION_MILLIS, Fault::Partition(host, false));
        at(end + PARTITION_MILLIS, Fault::StoreRefuses(host, false));
    }
    world.run_until(CALLERS_AND_SCENARIO_END.1);
    world.check_configurations();
    world.check_limit();
    let names = world.checker.violations.iter();
    names
        .filter_map(|violation| violation.split(' ').next())
        .map(str::to_owned)
        .collect()
}

#[gtest]
fn suspended_machines_violate_no_guarantee() {
    for seed in 0..SEEDS {
        expect_that!(
            run_scenario(seed, InjectedBug::None),
            is_empty(),
            "seed {seed}"
        );
    }
}

#[gtest]
fn checker_detects_a_clock_that_stops_during_suspension() {
    let violations: BTreeSet<String> = (0..SEEDS)
        .flat_map(|seed| run_scenario(seed, InjectedBug::ClockStopsInSuspension))
        .collect();
    expect_that!(violations, contains(eq("REVOKED")));
}
