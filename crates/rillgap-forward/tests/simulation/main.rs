//! Simulates a whole deployment on a virtual clock with random faults, and checks its guarantees
//! against what the back ends executed.
//!
//! A seed determines the whole scenario. Scenarios that failed once are kept as test cases of their
//! own.

mod checker;
mod crashing_requests;
mod cut_owners;
mod cut_watchers;
mod false_claims;
mod late_rejections;
mod planned_stops;
mod retry_budget;
mod scenario;
mod size;
mod stated_notices;
mod store_restore;
mod suspension;
mod world;

use googletest::prelude::*;
use scenario::{InjectedBug, run_scenario, run_scenario_with_statements};
use world::{Fault, World, WorldEvent};

/// Number of seeds that a test run simulates by default.
const SEEDS: u64 = 150;

/// Number of seeds with statements of back ends.
const SEEDS_WITH_STATEMENTS: u64 = 60;

/// Environment variable that overrides the number of seeds for manual exploration.
const SEEDS_VARIABLE: &str = "RILLGAP_SIMULATED_DAYS";

/// Returns the number of seeds to simulate: `default`, unless [`SEEDS_VARIABLE`] overrides it.
fn seeds_or(default: u64) -> u64 {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    seeds.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[gtest]
fn random_scenarios_violate_no_guarantee() {
    let mut served = 0;
    let mut caller_requests = 0;
    for seed in 0..seeds_or(SEEDS) {
        let report = run_scenario(seed, InjectedBug::None);
        expect_that!(report.violations, is_empty(), "seed {seed}");
        served += report.served;
        caller_requests += report.caller_requests;
    }
    // Despite the faults, more than 60 % of the requests must succeed.
    expect_that!(served * 10, gt(caller_requests * 6));
}

#[gtest]
fn random_scenarios_with_statements_of_back_ends_violate_no_guarantee() {
    for seed in 0..seeds_or(SEEDS_WITH_STATEMENTS) {
        let report = run_scenario_with_statements(seed, InjectedBug::None);
        expect_that!(report.violations, is_empty(), "seed {seed}");
    }
}

/// Milliseconds within which a stored configuration must be in force at every node.
const MAX_APPLY_MILLIS: u64 = 2_000;

#[gtest]
fn few_nodes_watch_the_store_for_all() {
    for seed in 0..20 {
        let mut world = World::new(seed, InjectedBug::None, 5_000);
        world.run_until(5_000);
        expect_that!(world.watcher_count(), all!(ge(1), le(3)), "seed {seed}");
    }
}

#[gtest]
fn configuration_is_in_force_in_time_although_the_store_ignores_all_watchers() {
    for seed in 0..20 {
        let mut world = World::new(seed, InjectedBug::None, 5_000);
        let ignored_at = 5_000 + seed * 37;
        let changed_at = ignored_at + 10;
        world.schedule(ignored_at, WorldEvent::Fault(Fault::StoreIgnoresWatchers));
        world.schedule(changed_at, WorldEvent::Fault(Fault::Configure));
        world.run_until(changed_at + MAX_APPLY_MILLIS);
        let (in_force, stored) = world.configuration_versions();
        expect_that!(stored, gt(1));
        expect_that!(in_force, each(eq(&stored)), "seed {seed}");
    }
}

/// Milliseconds for which a node is paused or partitioned while the configuration changes.
const DISCONNECTED_MILLIS: u64 = 5_000;
/// Number of seeds that are simulated for each kind of outage.
const DISCONNECTED_SEEDS: u64 = 45;

/// Changes the configuration during an outage of one node, and expects the new version to be in
/// force at every node within [`MAX_APPLY_MILLIS`] after the outage.
///
/// `schedule_outage` schedules the outage of a host from a begin to an end.
fn expect_in_force_after_outage(seed: u64, schedule_outage: impl Fn(&mut World, usize, u64, u64)) {
    let mut world = World::new(seed, InjectedBug::None, 12_000);
    let host = seed as usize % world.size();
    let from = 4_000 + seed * 37;
    let until = from + DISCONNECTED_MILLIS;
    schedule_outage(&mut world, host, from, until);
    world.schedule(from + 1_300, WorldEvent::Fault(Fault::Configure));
    world.run_until(until + MAX_APPLY_MILLIS);
    let (in_force, stored) = world.configuration_versions();
    expect_that!(stored, gt(1));
    expect_that!(in_force, each(eq(&stored)), "seed {seed}");
}

fn schedule_process_pause(world: &mut World, host: usize, from: u64, until: u64) {
    world.schedule(from, WorldEvent::Fault(Fault::Pause(host, until)));
}

#[gtest]
fn configuration_is_in_force_in_time_after_a_process_pause() {
    for seed in 0..DISCONNECTED_SEEDS {
        expect_in_force_after_outage(seed, schedule_process_pause);
    }
}

#[gtest]
fn configuration_is_in_force_in_time_after_a_process_pause_while_the_store_refuses_the_node() {
    for seed in 0..DISCONNECTED_SEEDS {
        expect_in_force_after_outage(seed, |world, host, from, until| {
            schedule_process_pause(world, host, from, until);
            world.schedule(from, WorldEvent::Fault(Fault::StoreRefuses(host, true)));
        });
    }
}

#[gtest]
fn configuration_is_in_force_in_time_after_a_partition() {
    for seed in 0..DISCONNECTED_SEEDS {
        expect_in_force_after_outage(seed, |world, host, from, until| {
            world.schedule(from, WorldEvent::Fault(Fault::Partition(host, true)));
            world.schedule(until, WorldEvent::Fault(Fault::Partition(host, false)));
        });
    }
}

#[gtest]
fn same_seed_gives_the_same_report() {
    for seed in [3, 77] {
        let first = run_scenario(seed, InjectedBug::None);
        let second = run_scenario(seed, InjectedBug::None);
        expect_that!(first, eq(&second));
    }
}

/// Returns the violations of all seeds of a simulation with an injected bug.
fn violations_with(injected_bug: InjectedBug) -> Vec<String> {
    (0..SEEDS)
        .flat_map(|seed| run_scenario(seed, injected_bug).violations)
        .collect()
}

#[gtest]
fn checker_detects_requests_beyond_the_slots_of_a_back_end() {
    let violations = violations_with(InjectedBug::ExcessSlots);
    expect_that!(violations, contains(starts_with("SLOTS")));
}

#[gtest]
fn checker_detects_a_service_that_does_not_come_back() {
    let violations = violations_with(InjectedBug::NoRestarts);
    expect_that!(violations, contains(starts_with("RECOVER")));
}

#[gtest]
fn checker_detects_swapped_answers() {
    let violations = violations_with(InjectedBug::SwappedAnswer);
    expect_that!(violations, contains(starts_with("MIXED")));
}

#[gtest]
fn checker_detects_requests_at_a_drained_back_end() {
    let violations = violations_with(InjectedBug::LostDrainAnnouncement);
    expect_that!(violations, contains(starts_with("DRAIN")));
}

#[gtest]
fn checker_detects_a_key_accepted_after_its_revocation() {
    let violations = violations_with(InjectedBug::StaleConfiguration);
    expect_that!(violations, contains(starts_with("REVOKED")));
}

#[gtest]
fn checker_detects_a_tenant_above_its_limit() {
    let violations = violations_with(InjectedBug::ExcessTokens);
    expect_that!(violations, contains(starts_with("LIMIT")));
}

#[gtest]
fn checker_detects_an_outdated_configuration() {
    let violations = violations_with(InjectedBug::StaleConfiguration);
    expect_that!(violations, contains(starts_with("CONFIG")));
}
