//! Days on which the store comes back from a copy, and back ends start again under the identifier that they had.

use googletest::prelude::*;

use crate::day::Planted;
use crate::world::{Fault, Happening, RETRY_BOUND, World};

/// Days that every run of the tests plays.
const DAYS: u64 = 60;
/// Environment variable that names another number of days, for exploration by hand.
const DAYS_VARIABLE: &str = "RILLGAP_RETURN_DAYS";
/// Days on which a node that had just started was missing: its registration was under way when the store fell silent, and
/// was given up only after the store was back.
const FAILED_ONCE: [u64; 6] = [108, 125, 197, 278, 519, 995];
/// Time at which the store is back, at the earliest and at the latest, in milliseconds.
const RETURN: (u64, u64) = (4_000, 10_000);
/// Age of the copy, at least and at most, in milliseconds.
const COPY_AGE: (u64, u64) = (1_000, 8_000);
/// Time within which all records are there again, in milliseconds.
const COMPLETE_WITHIN: u64 = 2_000;
/// End of the callers, and of the day, in milliseconds.
const END: (u64, u64) = (16_000, 18_000);

fn draw_between(world: &mut World, (least, most): (u64, u64)) -> u64 {
    least + world.draw(most - least)
}

/// Schedules changes, restarts and crashes around the return, and the return itself; returns its time.
fn schedule(world: &mut World) -> u64 {
    let returned_at = draw_between(world, RETURN);
    let copy_age = draw_between(world, COPY_AGE);
    let size = world.size() as u64;
    let mut faults = vec![
        (returned_at - 1_000, Fault::StoreDown(true)),
        (returned_at, Fault::StoreDown(false)),
        (returned_at, Fault::StoreReturns(copy_age)),
    ];
    for _ in 0..3 {
        let host = world.draw(size) as usize;
        let killed_at = returned_at - world.draw(3_500);
        faults.push((killed_at, Fault::Kill(host)));
        faults.push((killed_at + 300, Fault::Start(host)));
        faults.push((returned_at - world.draw(3_000), Fault::Configure));
        let crashing = world.draw(size) as usize;
        faults.push((returned_at + world.draw(2_000), Fault::Crash(crashing)));
    }
    let draining = world.draw(size) as usize;
    faults.push((returned_at - world.draw(2_000), Fault::Drain(draining)));
    faults.push((returned_at + 3_000, Fault::Configure));
    for (at, fault) in faults {
        world.at(at, Happening::Fault(fault));
    }
    returned_at
}

/// Plays a day; returns what was broken.
fn play(seed: u64) -> Vec<String> {
    let mut world = World::new(seed, Planted::Nothing, END.0);
    world.let_back_ends_keep_identifiers();
    let returned_at = schedule(&mut world);
    world.run_until(returned_at + COMPLETE_WITHIN);
    let missing = world.missing_records().join(" ");
    if !missing.is_empty() {
        world
            .judge
            .broken
            .push(format!("RECORDS {missing} are missing"));
    }
    world.run_until(END.1);
    world.judge_configurations();
    let slack = f64::from(RETRY_BOUND.slack);
    world.judge.check_budget(RETRY_BOUND.ratio, slack);
    world.judge.broken
}

#[gtest]
fn nothing_is_broken_when_the_store_comes_back_from_a_copy() {
    let days = std::env::var(DAYS_VARIABLE).ok();
    let days = days.and_then(|text| text.parse().ok()).unwrap_or(DAYS);
    for seed in (0..days).chain(FAILED_ONCE) {
        expect_that!(play(seed), is_empty(), "seed {seed}");
    }
}
