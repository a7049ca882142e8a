//! Days on which the store comes back from a copy, and back ends start again under the identifier that they had.

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, RETRY_BOUND, World, WorldEvent};

/// Days that every run of the tests plays.
const SEEDS: u64 = 60;
/// Environment variable that names another number of days, for exploration by hand.
const SEEDS_VARIABLE: &str = "RILLGAP_RETURN_DAYS";
/// Days on which a node that had just started was missing: its registration was under way when the store fell silent, and
/// was given up only after the store was back.
const REGRESSION_SEEDS: [u64; 6] = [108, 125, 197, 278, 519, 995];
/// Time at which the store is back, at the earliest and at the latest, in milliseconds.
const RESTORED_RANGE: (u64, u64) = (4_000, 10_000);
/// Age of the copy, at least and at most, in milliseconds.
const BACKUP_AGE_RANGE: (u64, u64) = (1_000, 8_000);
/// Time within which all records are there again, in milliseconds.
const MAX_REGISTRATION_MILLIS: u64 = 2_000;
/// End of the callers, and of the day, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (16_000, 18_000);

fn draw_between(world: &mut World, (least, most): (u64, u64)) -> u64 {
    least + world.draw(most - least)
}

/// Schedules changes, restarts and crashes around the return, and the return itself; returns its time.
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

/// Plays a day; returns what was broken.
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
    let slack = f64::from(RETRY_BOUND.slack);
    world.checker.check_budget(RETRY_BOUND.ratio, slack);
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
