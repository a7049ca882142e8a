//! A tenant that sends several times its limit at all entry nodes, without a network.

mod world;

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_forward::configuration::RateLimit;
use rillgap_forward::message::{level_of, priority_of};
use rillgap_forward::rate_limit::TOKEN_LIFETIME;
use rillgap_forward::rate_limit::bucket::Buckets;
use rillgap_forward::rate_limit::demand::{Bin, LevelDemand};
use rillgap_forward::rate_limit::level_change::LevelChangeKind;

use world::{Decided, Fate, PRIORITIES, StatedLevel, Traffic, World, at};

const HOT: &str = "hot";
const OTHER: &str = "other";
/// Limit of the hot tenant: 1.6 times its usual requests.
const LIMIT: RateLimit = RateLimit {
    per_second: 800.0,
    burst: 400.0,
};
const HOT_PERIOD: (u64, u64) = (2_000, 9_000);
/// Part of the hot period that is judged: after the burst is spent and the level is known.
const JUDGED: (u64, u64) = (3_000, 8_000);

fn hot() -> Traffic {
    Traffic {
        tenant: HOT,
        limit: LIMIT,
        usual: [50.0, 200.0, 250.0],
        factor: 8.0,
        hot: HOT_PERIOD,
    }
}

fn other() -> Traffic {
    Traffic {
        tenant: OTHER,
        limit: RateLimit {
            per_second: 300.0,
            burst: 150.0,
        },
        usual: [40.0, 100.0, 60.0],
        factor: 1.0,
        hot: HOT_PERIOD,
    }
}

fn run(seed: u64, stated: StatedLevel, traffic: Vec<Traffic>) -> World {
    let mut world = World::new(seed, stated, traffic);
    world.run(0, 10_000);
    world
}

fn passed_in(world: &World, tenant: &str, from: u64, until: u64) -> usize {
    let is_counted = |request: &&Decided| {
        request.tenant == tenant
            && request.fate == Fate::Passed
            && (from..until).contains(&request.decided)
    };
    world.decided.iter().filter(is_counted).count()
}

/// Returns the fraction of the requests of a priority that arrived in a period and have passed.
fn served_fraction(world: &World, tenant: &str, priority: usize, period: (u64, u64)) -> f64 {
    let arrived: Vec<&Decided> = world
        .decided
        .iter()
        .filter(|request| request.tenant == tenant && request.priority == priority)
        .filter(|request| (period.0..period.1).contains(&request.arrived))
        .collect();
    let passed = arrived
        .iter()
        .filter(|request| request.fate == Fate::Passed);
    passed.count() as f64 / arrived.len() as f64
}

fn refused_in(world: &World, from: u64, until: u64) -> usize {
    let is_counted = |request: &&Decided| {
        request.fate == Fate::Refused && (from..until).contains(&request.decided)
    };
    world.decided.iter().filter(is_counted).count()
}

/// Checks that in no window of 5 s more requests pass than the bound of tenants allows.
fn expect_bound_kept(world: &World, tenant: &str, limit: RateLimit) {
    let bound = limit.per_second * (5.0 + TOKEN_LIFETIME.as_secs_f64()) + limit.burst;
    for start in (0..10_000).step_by(50) {
        let passed = passed_in(world, tenant, start, start + 5_000);
        expect_that!(passed as f64, le(bound), "from {start} ms");
    }
}

#[gtest]
fn limit_is_used_in_full_and_never_exceeded() {
    for seed in 0..5 {
        let world = run(seed, StatedLevel::Own, vec![hot()]);
        let allowed = LIMIT.per_second * 5.0;
        let passed = passed_in(&world, HOT, JUDGED.0, JUDGED.1) as f64;
        expect_that!(passed, ge(0.95 * allowed), "seed {seed}");
        expect_bound_kept(&world, HOT, LIMIT);
    }
}

#[gtest]
fn tokens_are_spent_evenly_over_time() {
    let world = run(1, StatedLevel::Own, vec![hot()]);
    for start in (JUDGED.0..JUDGED.1).step_by(500) {
        let passed = passed_in(&world, HOT, start, start + 500) as f64;
        expect_that!(passed, ge(0.85 * 400.0), "from {start} ms");
    }
}

#[gtest]
fn most_important_requests_are_served_whole_and_the_least_important_not_at_all() {
    for seed in 0..5 {
        let world = run(seed, StatedLevel::Own, vec![hot()]);
        let served: Vec<f64> = (0..PRIORITIES)
            .map(|priority| served_fraction(&world, HOT, priority, JUDGED))
            .collect();
        expect_that!(served[0], ge(0.99), "seed {seed}");
        expect_that!(served[1], all![ge(0.2), le(0.3)], "seed {seed}");
        expect_that!(served[2], le(0.01), "seed {seed}");
    }
}

/// Shows what the level is for: without it, the most important requests fare little better.
#[gtest]
fn without_levels_the_most_important_requests_are_refused_too() {
    let world = run(1, StatedLevel::None, vec![hot()]);
    expect_that!(served_fraction(&world, HOT, 0, JUDGED), le(0.8));
}

#[gtest]
fn requests_that_pass_wait_only_briefly_for_their_token() {
    let world = run(1, StatedLevel::Own, vec![hot()]);
    let passed = world
        .decided
        .iter()
        .filter(|request| request.fate == Fate::Passed)
        .filter(|request| (JUDGED.0..JUDGED.1).contains(&request.arrived));
    let mut waits: Vec<u64> = passed
        .map(|request| request.decided - request.arrived)
        .collect();
    waits.sort_unstable();
    let median = waits[waits.len() / 2];
    let late = waits[waits.len() * 95 / 100];
    expect_that!(median, le(10));
    expect_that!(late, le(60));
}

#[gtest]
fn no_request_waits_in_vain_while_the_owner_answers() {
    let world = run(1, StatedLevel::Own, vec![hot()]);
    let overdue = |request: &&Decided| request.fate == Fate::Overdue;
    expect_that!(world.decided.iter().filter(overdue).count(), eq(0));
}

#[gtest]
fn messages_to_the_owner_are_few_against_the_refused_requests() {
    let world = run(1, StatedLevel::Own, vec![hot()]);
    let (from, until) = JUDGED;
    let is_counted = |sent: &&u64| (from..until).contains(*sent);
    let queries = world.queries.iter().filter(is_counted).count();
    let refused = refused_in(&world, from, until);
    expect_that!(refused, ge(14_000));
    expect_that!(queries as f64, le(0.25 * refused as f64));
}

#[gtest]
fn level_does_not_swing() {
    let world = run(1, StatedLevel::Own, vec![hot()]);
    let levels = &world.levels;
    let judged = &levels[levels.len() / 2..levels.len() * 3 / 4];
    let priorities: Vec<u8> = judged.iter().map(|level| priority_of(*level)).collect();
    expect_that!(priorities, each(eq(&1)));
}

#[gtest]
fn level_ends_with_the_demand() {
    let mut world = run(1, StatedLevel::Own, vec![hot()]);
    world.run(10_000, 11_000);
    expect_that!(world.levels.last(), some(eq(&Level(0))));
    for priority in 0..PRIORITIES {
        let served = served_fraction(&world, HOT, priority, (10_000, 10_900));
        expect_that!(served, ge(0.99));
    }
}

#[gtest]
fn new_owner_learns_the_level_and_keeps_the_bound() {
    for seed in 0..5 {
        let mut world = World::new(seed, StatedLevel::Own, vec![hot()]);
        world.run(0, 5_000);
        world.replace_owner(5_000);
        world.run(5_000, 10_000);
        expect_bound_kept(&world, HOT, LIMIT);
        let served = served_fraction(&world, HOT, 0, (6_000, 8_900));
        expect_that!(served, ge(0.99), "seed {seed}");
        let passed = passed_in(&world, HOT, 6_000, 8_900) as f64;
        expect_that!(passed, ge(0.95 * 2.9 * LIMIT.per_second), "seed {seed}");
    }
}

#[gtest]
fn other_tenants_are_served_as_without_the_hot_one() {
    let with = run(1, StatedLevel::Own, vec![hot(), other()]);
    let without = run(1, StatedLevel::Own, vec![other()]);
    for priority in 0..PRIORITIES {
        let with = served_fraction(&with, OTHER, priority, JUDGED);
        let without = served_fraction(&without, OTHER, priority, JUDGED);
        expect_that!(with, near(without, 0.02), "priority {priority}");
    }
}

#[gtest]
fn absurd_levels_let_nothing_more_through() {
    for seed in 0..5 {
        let world = run(seed, StatedLevel::Random, vec![hot()]);
        expect_bound_kept(&world, HOT, LIMIT);
    }
}

#[gtest]
fn shortage_is_reported_as_it_begins_and_ends() {
    let mut buckets = Buckets::default();
    let seen = [(Bin::of(level_of(2, "request")).number(), 100)];
    let mut kinds = Vec::new();
    for now in (0..4_000).step_by(50) {
        let wanted = if now < 2_000 { 100 } else { 1 };
        let seen = if now < 2_000 { &seen[..] } else { &[] };
        buckets.grant(at(now), HOT, LIMIT, at(0), wanted, seen);
        let changes = buckets.poll(at(now));
        kinds.extend(changes.iter().map(|change| change.kind));
    }
    expect_that!(kinds.first(), some(eq(&LevelChangeKind::Began)));
    expect_that!(kinds.last(), some(eq(&LevelChangeKind::Ended)));
    expect_that!(kinds.len(), le(4));
    expect_that!(buckets.short_tenants(), eq(0));
}

#[gtest]
fn demand_from_a_level_on_is_interpolated_within_a_bin() {
    let time_constant = Duration::from_secs(1);
    let mut demand = LevelDemand::new(at(0), time_constant);
    demand.add(at(0), Bin::from_number(10), 100);
    demand.add(at(0), Bin::from_number(12), 50);
    expect_that!(demand.rate(), near(150.0, 0.001));
    let level = demand.level_within(75.0);
    expect_that!(Bin::of(level), eq(Bin::from_number(10)));
    expect_that!(demand.rate_from(level), near(75.0, 0.2));
    expect_that!(demand.level_within(150.0), eq(Level(0)));
}

#[gtest]
fn highest_bin_is_covered_in_part_if_its_demand_exceeds_the_limit() {
    let mut demand = LevelDemand::new(at(0), Duration::from_secs(1));
    demand.add(at(0), Bin::from_number(191), 100_000);
    let level = demand.level_within(1.0);
    expect_that!(demand.rate_from(level), gt(0.0));
}

#[gtest]
fn demand_that_has_ended_leaves_no_state() {
    let mut demand = LevelDemand::new(at(0), Duration::from_secs(1));
    demand.add(at(0), Bin::from_number(10), 1_000);
    demand.decay(at(60_000));
    expect_that!(demand.rate(), eq(0.0));
}
