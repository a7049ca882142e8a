//! Restores the store from a backup while back ends restart under their previous identifiers.

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Number of seeds that a test run simulates by default.
const SEEDS: u64 = 60;
/// Environment variable that overrides [`SEEDS`] for manual exploration.
const SEEDS_VARIABLE: &str = "RILLGAP_RETURN_DAYS";
/// Seeds with which the record of a node that had just started was missing from the restored store:
/// its registration was in flight when the store became unreachable, and timed out only after the
/// store was reachable again.
const REGRESSION_SEEDS: [u64; 6] = [108, 125, 197, 278, 519, 995];
/// Range of the time at which the restored store is reachable, in milliseconds.
const RESTORED_RANGE: (u64, u64) = (4_000, 10_000);
/// Range of the age of the backup, in milliseconds.
const BACKUP_AGE_RANGE: (u64, u64) = (1_000, 8_000);
/// Milliseconds after the restore within which the store must hold the records of all running
/// nodes.
const MAX_REGISTRATION_MILLIS: u64 = 2_000;
/// Times at which callers stop and at which the scenario ends, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (16_000, 18_000);

fn draw_between(world: &mut World, (min, max): (u64, u64)) -> u64 {
    min + world.draw(max - min)
}

/// Schedules the restore, with configuration changes, process restarts and crashes around it;
/// returns its time.
fn schedule_faults(world: &mut World) -> u64 {
    let restored_at = draw_between(world, RESTORED_RANGE);
    let backup_age = draw_between(world, BACKUP_AGE_RANGE);
    let size = world.size() as u64;
    let mut faults = vec![
        (restored_at - 1_000, Fault::StoreDown(true)),
        (restored_at, Fault::StoreDown(false)),
        (restored_at, Fault::StoreRestored(backup_age)),
    ];
    for _ in 0..3 {
        let host = world.draw(size) as usize;
        let killed_at = restored_at - world.draw(3_500);
        faults.push((killed_at, Fault::Kill(host)));
        faults.push((killed_at + 300, Fault::Start(host)));
        faults.push((restored_at - world.draw(3_000), Fault::Configure));
        let crashing = world.draw(size) as usize;
        faults.push((restored_at + world.draw(2_000), Fault::Crash(crashing)));
    }
    let draining = world.draw(size) as usize;
    faults.push((restored_at - world.draw(2_000), Fault::Drain(draining)));
    faults.push((restored_at + 3_000, Fault::Configure));
    for (at, fault) in faults {
        world.schedule(at, WorldEvent::Fault(fault));
    }
    restored_at
}

/// Runs a scenario and returns the violated guarantees.
fn run_scenario(seed: u64) -> Vec<String> {
    let mut world = World::new(seed, InjectedBug::None, CALLERS_AND_SCENARIO_END.0);
    world.reuse_back_end_identifiers();
    let restored_at = schedule_faults(&mut world);
    world.run_until(restored_at + MAX_REGISTRATION_MILLIS);
    let missing = world.missing_records().join(" ");
    if !missing.is_empty() {
        world
            .checker
            .violations
            .push(format!("RECORDS {missing} are missing"));
    }
    world.run_until(CALLERS_AND_SCENARIO_END.1);
    world.check_configurations();
    world.checker.check_budget();
    world.checker.violations
}

#[gtest]
fn store_restored_from_a_backup_violates_no_guarantee() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    for seed in (0..seeds).chain(REGRESSION_SEEDS) {
        expect_that!(run_scenario(seed), is_empty(), "seed {seed}");
    }
}
