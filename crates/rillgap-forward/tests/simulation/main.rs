//! Random days of a whole deployment on a virtual clock, judged by what truly ran.
//!
//! Every day follows from its seed. A day that ever failed stays here as a case of its own.

mod crashing;
mod day;
mod judge;
mod returns;
mod size;
mod suspended;
mod world;

use day::{Planted, play};
use googletest::prelude::*;
use world::{Fault, Happening, World};

/// Days that every run of the tests plays.
const DAYS: u64 = 150;

/// Environment variable that names another number of days, for exploration by hand.
const DAYS_VARIABLE: &str = "RILLGAP_SIMULATED_DAYS";

#[gtest]
fn no_promise_is_broken_on_random_days() {
    let mut served = 0;
    let mut asked = 0;
    let days = std::env::var(DAYS_VARIABLE).ok();
    let days = days.and_then(|text| text.parse().ok()).unwrap_or(DAYS);
    for seed in 0..days {
        let report = play(seed, Planted::Nothing);
        expect_that!(report.broken, is_empty(), "seed {seed}");
        served += report.served;
        asked += report.asked;
    }
    // Days full of faults, but by far not all is lost.
    expect_that!(served * 10, gt(asked * 6));
}

/// Milliseconds within which an accepted configuration must be in force everywhere.
const APPLY_BOUND: u64 = 2_000;

#[gtest]
fn few_nodes_watch_the_store_for_all() {
    for seed in 0..20 {
        let mut world = World::new(seed, Planted::Nothing, 5_000);
        world.run_until(5_000);
        expect_that!(world.watching(), all!(ge(1), le(3)), "seed {seed}");
    }
}

#[gtest]
fn configuration_is_in_force_in_time_although_the_store_ignores_all_watchers() {
    for seed in 0..20 {
        let mut world = World::new(seed, Planted::Nothing, 5_000);
        let ignored_at = 5_000 + seed * 37;
        let changed_at = ignored_at + 10;
        world.at(ignored_at, Happening::Fault(Fault::StoreIgnoresWatchers));
        world.at(changed_at, Happening::Fault(Fault::Configure));
        world.run_until(changed_at + APPLY_BOUND);
        let (in_force, stored) = world.versions();
        expect_that!(stored, gt(1));
        expect_that!(in_force, each(eq(&stored)), "seed {seed}");
    }
}

/// Time for which a node is out of touch while the configuration changes.
const OUT_OF_TOUCH: u64 = 5_000;
/// Days on which a node is out of touch.
const DAYS_OUT_OF_TOUCH: u64 = 45;

/// Plays a day on which one node is out of touch from a first to a second moment, as `schedule` says, while
/// the configuration changes; expects the new version to be in force everywhere in time after that.
fn expect_in_force_after(seed: u64, schedule: impl Fn(&mut World, usize, u64, u64)) {
    let mut world = World::new(seed, Planted::Nothing, 12_000);
    let host = seed as usize % world.size();
    let from = 4_000 + seed * 37;
    let until = from + OUT_OF_TOUCH;
    schedule(&mut world, host, from, until);
    world.at(from + 1_300, Happening::Fault(Fault::Configure));
    world.run_until(until + APPLY_BOUND);
    let (in_force, stored) = world.versions();
    expect_that!(stored, gt(1));
    expect_that!(in_force, each(eq(&stored)), "seed {seed}");
}

fn stand_still(world: &mut World, host: usize, from: u64, until: u64) {
    world.at(from, Happening::Fault(Fault::Freeze(host, until)));
}

#[gtest]
fn configuration_is_in_force_in_time_at_a_node_that_stood_still() {
    for seed in 0..DAYS_OUT_OF_TOUCH {
        expect_in_force_after(seed, stand_still);
    }
}

#[gtest]
fn configuration_is_in_force_in_time_at_a_node_that_stood_still_and_that_the_store_refuses() {
    for seed in 0..DAYS_OUT_OF_TOUCH {
        expect_in_force_after(seed, |world, host, from, until| {
            stand_still(world, host, from, until);
            world.at(from, Happening::Fault(Fault::StoreRefuses(host, true)));
        });
    }
}

#[gtest]
fn configuration_is_in_force_in_time_at_a_node_that_was_cut_off() {
    for seed in 0..DAYS_OUT_OF_TOUCH {
        expect_in_force_after(seed, |world, host, from, until| {
            world.at(from, Happening::Fault(Fault::Cut(host, true)));
            world.at(until, Happening::Fault(Fault::Cut(host, false)));
        });
    }
}

#[gtest]
fn same_seed_gives_the_same_day() {
    for seed in [3, 77] {
        let first = play(seed, Planted::Nothing);
        let second = play(seed, Planted::Nothing);
        expect_that!(first, eq(&second));
    }
}

/// Returns what is broken on the first days, with a fault planted into the world.
fn broken_with(planted: Planted) -> Vec<String> {
    (0..DAYS)
        .flat_map(|seed| play(seed, planted).broken)
        .collect()
}

#[gtest]
fn judge_catches_a_request_that_is_run_twice() {
    let broken = broken_with(Planted::RunTwice);
    expect_that!(broken, contains(starts_with("TWICE")));
}

#[gtest]
fn judge_catches_a_false_word_that_something_did_not_run() {
    let broken = broken_with(Planted::FalseNotExecuted);
    expect_that!(broken, contains(starts_with("REFUSED")));
}

#[gtest]
fn judge_catches_answers_that_are_swapped() {
    let broken = broken_with(Planted::SwappedAnswer);
    expect_that!(broken, contains(starts_with("MIXED")));
}

#[gtest]
fn judge_catches_requests_that_reach_a_drained_back_end() {
    let broken = broken_with(Planted::ForgottenDraining);
    expect_that!(broken, contains(starts_with("DRAIN")));
}

#[gtest]
fn judge_catches_a_key_that_works_long_after_it_was_taken_away() {
    let broken = broken_with(Planted::StaleConfiguration);
    expect_that!(broken, contains(starts_with("REVOKED")));
}

#[gtest]
fn judge_catches_a_tenant_beyond_its_limit() {
    let broken = broken_with(Planted::ManyTokens);
    expect_that!(broken, contains(starts_with("LIMIT")));
}

#[gtest]
fn judge_catches_an_older_configuration() {
    let broken = broken_with(Planted::StaleConfiguration);
    expect_that!(broken, contains(starts_with("CONFIG")));
}
