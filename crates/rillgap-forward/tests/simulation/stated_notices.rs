//! Back ends state rate limits and departures in their answers only. Nodes must respect them from
//! then on, also after a restart of the node beside the back end.

use googletest::prelude::*;

use crate::checker::Outcomes;
use crate::scenario::InjectedBug;
use crate::world::{Fault, SERVICES, World, WorldEvent};

/// Number of seeds that a test run simulates.
const SEEDS: u64 = 60;
/// Range of the times at which back ends begin to state something, in milliseconds.
const STATEMENT_BEGIN_RANGE: (u64, u64) = (4_000, 5_000);
/// Range of the stated limits, in requests per second. Each back end gets more without a limit.
const RATE_RANGE: (u64, u64) = (4, 16);
/// Times at which callers stop and at which the scenario ends, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (15_000, 17_000);

/// Restarts the node of a host at a random time after `begin`.
fn schedule_restart(world: &mut World, host: usize, begin: u64) {
    let killed_at = begin + 500 + world.draw(5_000);
    world.schedule(killed_at, WorldEvent::Fault(Fault::Kill(host)));
    world.schedule(killed_at + 600, WorldEvent::Fault(Fault::Start(host)));
}

/// Begins a scenario in which `schedule` affects one to three back ends of a service. In every
/// second scenario the nodes beside them are restarted later.
fn run_statements(
    seed: u64,
    injected_bug: InjectedBug,
    schedule: impl Fn(&mut World, usize, u64),
) -> Vec<String> {
    let mut world = World::new(seed, injected_bug, CALLERS_AND_SCENARIO_END.0);
    let service = world.draw(SERVICES.len() as u64) as usize;
    let per_service = world.size() / SERVICES.len();
    let affected = 1 + world.draw(per_service as u64) as usize;
    for number in 0..affected {
        let host = service + number * SERVICES.len();
        let (earliest, latest) = STATEMENT_BEGIN_RANGE;
        let begin = earliest + world.draw(latest - earliest);
        schedule(&mut world, host, begin);
        if seed % 2 == 1 {
            schedule_restart(&mut world, host, begin);
        }
    }
    world.run_until(CALLERS_AND_SCENARIO_END.1);
    world.checker.check_rate_limits();
    world.checker.violations
}

/// States a limit, changes it after some seconds, and in some scenarios ends it.
fn schedule_rate_limits(world: &mut World, host: usize, begin: u64) {
    let (lowest, highest) = RATE_RANGE;
    for number in 0..3 {
        let rate = lowest + world.draw(highest - lowest);
        let has_limit = number < 2 || world.draw(2) == 0;
        let rate_limit = has_limit.then_some(rate as u32);
        let at = begin + number * 4_000;
        let fault = Fault::StateRateLimit(host, rate_limit);
        world.schedule(at, WorldEvent::Fault(fault));
    }
}

fn schedule_departure(world: &mut World, host: usize, begin: u64) {
    world.schedule(begin, WorldEvent::Fault(Fault::StateLeaving(host)));
}

#[gtest]
fn back_ends_receive_no_more_requests_than_the_rate_limit_that_they_state() {
    for seed in 0..SEEDS {
        let violations = run_statements(seed, InjectedBug::None, schedule_rate_limits);
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn back_ends_that_state_their_departure_receive_no_more_requests_from_nodes_that_know_it() {
    for seed in 0..SEEDS {
        let violations = run_statements(seed, InjectedBug::None, schedule_departure);
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}

/// Returns the violations of all seeds if the notices of back ends do not reach their nodes.
fn violations_without_notices(schedule: impl Fn(&mut World, usize, u64)) -> Vec<String> {
    (0..SEEDS)
        .flat_map(|seed| run_statements(seed, InjectedBug::LostNotices, &schedule))
        .collect()
}

#[gtest]
fn checker_detects_a_back_end_above_its_stated_rate_limit() {
    let violations = violations_without_notices(schedule_rate_limits);
    expect_that!(violations, contains(starts_with("LIMIT")));
}

#[gtest]
fn checker_detects_requests_at_a_back_end_that_states_its_departure() {
    let violations = violations_without_notices(schedule_departure);
    expect_that!(violations, contains(starts_with("DRAIN")));
}

/// Time range in which outcomes are counted, in milliseconds: limits are stated from its begin on.
const COUNTED_RANGE: (u64, u64) = (6_000, 14_000);

/// Runs scenarios in which the first `limited` back ends of a service state a limit, and sums the
/// outcomes of all seeds. The back ends of the service take `slowdown` times as long as others.
fn outcomes_under_limits(service: &str, slowdown: u64, limited: usize, rate: u32) -> Outcomes {
    let position = SERVICES.iter().position(|name| *name == service);
    let first = position.expect("a simulated service");
    let mut sum = Outcomes::default();
    for seed in 0..10 {
        let mut world = World::new(seed, InjectedBug::None, CALLERS_AND_SCENARIO_END.0);
        for host in (first..world.size()).step_by(SERVICES.len()) {
            let fault = Fault::Slow(host, slowdown);
            world.schedule(COUNTED_RANGE.0 / 2, WorldEvent::Fault(fault));
        }
        for number in 0..limited {
            let host = first + number * SERVICES.len();
            let fault = Fault::StateRateLimit(host, Some(rate));
            world.schedule(COUNTED_RANGE.0, WorldEvent::Fault(fault));
        }
        world.run_until(CALLERS_AND_SCENARIO_END.1);
        let (from, to) = COUNTED_RANGE;
        let outcomes = world.checker.outcomes(&world.statuses, from, to);
        sum.requests += outcomes.requests;
        sum.served += outcomes.served;
        sum.refused += outcomes.refused;
        sum.failed_after_work += outcomes.failed_after_work;
    }
    sum
}

#[gtest]
fn nothing_is_refused_while_a_back_end_without_a_limit_has_room() {
    for limited_back_ends in 1..=2 {
        let outcomes = outcomes_under_limits("deep", 1, limited_back_ends, 12);
        expect_that!(outcomes.requests, gt(10_000));
        expect_that!(outcomes.refused, eq(0), "{limited_back_ends} limited");
    }
}

#[gtest]
fn limited_back_ends_do_not_close_their_service_while_the_last_one_has_room() {
    // The third back end has half of its slots in use on average.
    let outcomes = outcomes_under_limits("front", 5, 2, 5);
    expect_that!(outcomes.requests, gt(10_000));
    expect_that!(outcomes.refused * 500, le(outcomes.requests));
}

#[gtest]
fn few_chains_begin_that_a_limited_service_cannot_complete() {
    let limited = outcomes_under_limits("deep", 1, 3, 12);
    // Without early refusal, most of the unserved requests fail after work was done for them.
    let not_served = limited.requests - limited.served;
    expect_that!(limited.failed_after_work * 2, le(not_served));
}
