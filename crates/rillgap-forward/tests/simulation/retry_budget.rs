//! Tests the retry budget of services while retries begin at several levels of a chain.

use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::scenario::InjectedBug;
use crate::seeds_or;
use crate::world::{Fault, SERVICES, World, WorldEvent};

/// Number of seeds that are simulated for each shape of a chain.
const SEEDS: u64 = 10;
/// Begin and end of the time in which the deepest service rejects requests, in milliseconds. At its
/// end, the services above begin to lose answers.
const REJECTING: (u64, u64) = (8_000, 14_000);
/// Percentage of requests that the deepest service rejects.
const REJECT_PERCENT: u64 = 60;
/// Percentage of answers that the services above lose.
const LOSE_PERCENT: u64 = 40;
/// Times at which callers stop and at which the scenario ends, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (24_000, 25_000);

/// Shape of the chains of calls and of the load.
#[derive(Clone, Copy, Debug)]
struct Chain {
    /// Number of calls to the deepest service that a run of the middle one makes.
    middle_calls: u32,
    /// Factor on the time between two requests of a caller.
    pause_factor: u64,
}

const CHAINS: [Chain; 3] = [
    Chain {
        middle_calls: 4,
        pause_factor: 1,
    },
    Chain {
        middle_calls: 8,
        pause_factor: 1,
    },
    Chain {
        middle_calls: 8,
        pause_factor: 5,
    },
];

/// Runs a scenario to its end and returns the violations of the retry budget.
fn budget_violations(mut world: World, end: u64) -> Vec<String> {
    world.run_until(end);
    world.checker.check_budget();
    world.checker.violations
}

/// Simulates a deepest service that rejects requests until its retries have used up its budget, and
/// services above it that then lose answers. Returns the violations.
fn run_scenario(seed: u64, chain: Chain, injected_bug: InjectedBug) -> Vec<String> {
    let mut world = World::new(seed, injected_bug, CALLERS_AND_SCENARIO_END.0);
    world.set_middle_calls(chain.middle_calls);
    world.set_caller_pause_factor(chain.pause_factor);
    let (begin, end) = REJECTING;
    for host in 0..world.size() {
        let mut at = |time, fault| world.schedule(time, WorldEvent::Fault(fault));
        if SERVICES[host % SERVICES.len()] == "deep" {
            at(begin, Fault::Reject(host, REJECT_PERCENT));
            at(end, Fault::Reject(host, 0));
        } else {
            at(end, Fault::LoseAnswers(host, LOSE_PERCENT));
        }
    }
    budget_violations(world, CALLERS_AND_SCENARIO_END.1)
}

#[gtest]
fn calls_of_retried_runs_exceed_no_retry_budget_that_own_retries_have_used_up() {
    for chain in CHAINS {
        for seed in 0..SEEDS {
            let violations = run_scenario(seed, chain, InjectedBug::None);
            expect_that!(violations, is_empty(), "{chain:?}, seed {seed}");
        }
    }
}

#[gtest]
fn checker_detects_retries_above_the_budget() {
    let violations = run_scenario(0, CHAINS[0], InjectedBug::ExcessRetries);
    for service in SERVICES {
        let prefix = format!("BUDGET {service}:");
        expect_that!(violations, contains(starts_with(prefix.as_str())));
    }
}

/// Expects the checker to report the deepest service in a scenario with an injected bug.
fn expect_budget_violation(chain: Chain, injected_bug: InjectedBug) {
    let violations = run_scenario(0, chain, injected_bug);
    expect_that!(violations, contains(starts_with("BUDGET deep:")));
}

/// Percentage of requests that all back ends reject in [`run_rejections`].
const REJECT_ALL_PERCENT: u64 = 40;

/// Simulates back ends that all reject requests. Returns the violations of the retry budget.
fn run_rejections(injected_bug: InjectedBug) -> Vec<String> {
    let mut world = World::new(0, injected_bug, CALLERS_AND_SCENARIO_END.0);
    world.set_middle_calls(4);
    for host in 0..world.size() {
        let reject = Fault::Reject(host, REJECT_ALL_PERCENT);
        world.schedule(REJECTING.1, WorldEvent::Fault(reject));
    }
    budget_violations(world, CALLERS_AND_SCENARIO_END.1)
}

#[gtest]
fn checker_detects_calls_that_are_not_known_as_calls_of_retries() {
    expect_that!(run_rejections(InjectedBug::None), is_empty());
    let violations = run_rejections(InjectedBug::AnonymousCalls);
    expect_that!(violations, contains(starts_with("BUDGET deep:")));
}

#[gtest]
fn checker_detects_rejected_attempts_that_are_not_charged() {
    expect_budget_violation(CHAINS[0], InjectedBug::FreeRejections);
}

#[gtest]
fn checker_detects_nodes_that_do_not_divide_the_slack() {
    expect_budget_violation(CHAINS[2], InjectedBug::UndividedSlack);
}

/// Number of back ends of each service in [`run_restarts`].
const RESTARTING_PER_SERVICE: usize = 5;
/// Milliseconds between two restarts of a node in [`run_restarts`].
const RESTART_INTERVAL: u64 = 2_000;

/// Simulates few requests to back ends that lose most answers, while each node is killed again and
/// again. Returns the violations of the retry budget.
fn run_restarts(seed: u64, injected_bug: InjectedBug) -> Vec<String> {
    let (callers_until, end) = CALLERS_AND_SCENARIO_END;
    let mut world = World::of_size(seed, injected_bug, callers_until, RESTARTING_PER_SERVICE);
    world.set_caller_pause_factor(4);
    world.set_middle_calls(4);
    let size = world.size() as u64;
    for host in 0..world.size() {
        let mut at = |time, fault| world.schedule(time, WorldEvent::Fault(fault));
        at(REJECTING.0, Fault::LoseAnswers(host, 90));
        let first = REJECTING.0 + host as u64 * RESTART_INTERVAL / size;
        for restart in 0..8 {
            let killed_at = first + restart * RESTART_INTERVAL;
            at(killed_at, Fault::Kill(host));
            at(killed_at + 50, Fault::Start(host));
        }
    }
    budget_violations(world, end)
}

#[gtest]
fn series_of_restarts_exceed_no_retry_budget() {
    for seed in 0..SEEDS {
        let violations = run_restarts(seed, InjectedBug::None);
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn checker_detects_nodes_that_forget_their_retries_at_a_restart() {
    let violations = run_restarts(0, InjectedBug::ForgottenRetries);
    expect_that!(violations, contains(starts_with("BUDGET")));
}

/// Number of seeds of random failures.
const RANDOM_SEEDS: u64 = 40;
/// Seeds with which the calls of retried runs came on top of own retries of the deepest service.
const REGRESSION_SEEDS: [u64; 2] = [256, 1_260];
/// Range of the time at which a random failure begins, in milliseconds.
const FAILURE_BEGIN_RANGE: (u64, u64) = (5_000, 25_000);
/// Range of the length of a random failure, in milliseconds.
const FAILURE_LENGTH_RANGE: (u64, u64) = (300, 8_300);
/// Times at which callers stop and at which a scenario of random failures ends, in milliseconds.
const RANDOM_CALLERS_AND_SCENARIO_END: (u64, u64) = (30_000, 32_000);
/// Milliseconds between two kills of a node that is killed several times.
const KILL_INTERVAL: u64 = 700;

/// Simulates a deployment of random size, shape and load in which back ends fail in random ways at
/// all levels, and nodes are killed in series.
fn random_failures(seed: u64) -> World {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = |bound: u64| (u64::from(random.next_u32()) * bound) >> 32;
    let per_service = 3 + draw(3) as usize;
    let callers_until = RANDOM_CALLERS_AND_SCENARIO_END.0;
    let mut world = World::of_size(seed, InjectedBug::None, callers_until, per_service);
    world.set_middle_calls([1, 2, 4, 5, 8][draw(5) as usize]);
    world.set_caller_pause_factor([1, 1, 2, 5, 10, 30][draw(6) as usize]);
    for _ in 0..3 + draw(8) {
        schedule_random_failure(&mut world, &mut draw);
    }
    world
}

/// Schedules a failure of one back end, of a service, of a service without one back end, or of all.
fn schedule_random_failure(world: &mut World, draw: &mut impl FnMut(u64) -> u64) {
    let (first, last) = FAILURE_BEGIN_RANGE;
    let begin = first + draw(last - first);
    let (shortest, longest) = FAILURE_LENGTH_RANGE;
    let end = begin + shortest + draw(longest - shortest);
    let kind = draw(8);
    let scope = draw(5);
    let service = draw(3) as usize;
    let one = draw(world.size() as u64) as usize;
    let spared = draw(world.size() as u64) as usize;
    let percent = 20 + draw(81);
    let is_concerned = |host: &usize| {
        let is_of_service = host % SERVICES.len() == service;
        match scope {
            0 => *host == one,
            1 => is_of_service,
            2 => is_of_service && *host != spared,
            3 => is_of_service && host / SERVICES.len() != spared / SERVICES.len(),
            _ => true,
        }
    };
    for host in (0..world.size()).filter(is_concerned) {
        schedule_failure(world, host, kind, percent, (begin, end));
    }
}

/// Schedules a failure of one back end or node.
fn schedule_failure(
    world: &mut World,
    host: usize,
    kind: u64,
    percent: u64,
    (begin, end): (u64, u64),
) {
    let offset = host as u64;
    let mut at = |time, fault| world.schedule(time, WorldEvent::Fault(fault));
    match kind {
        0 => {
            at(begin, Fault::Reject(host, percent));
            at(end, Fault::Reject(host, 0));
        }
        1 => {
            at(begin, Fault::LoseAnswers(host, percent));
            at(end, Fault::LoseAnswers(host, 0));
        }
        2 => {
            at(begin, Fault::FailRequests(host, percent));
            at(end, Fault::FailRequests(host, 0));
        }
        3 => {
            at(begin, Fault::FailAfterCalls(host, percent));
            at(end, Fault::FailAfterCalls(host, 0));
        }
        4 => {
            at(begin, Fault::Slow(host, percent / 5));
            at(end, Fault::Slow(host, 1));
        }
        5 => {
            for number in 0..1 + percent % 8 {
                let killed_at = begin + number * KILL_INTERVAL + offset * 31;
                at(killed_at, Fault::Kill(host));
                at(killed_at + 200, Fault::Start(host));
            }
        }
        6 => at(begin + offset * 100, Fault::Crash(host)),
        _ => {
            at(begin, Fault::PowerOff(host));
            at(begin + 1_000, Fault::Start(host));
        }
    }
}

/// Distinguishes the seed of disturbances from that of failures.
const DISTURBANCE_SEED_MASK: u64 = 0x4469_7374_7572_6261;

/// Schedules pauses of processes and partitions, which delay messages, beside random failures.
fn schedule_disturbances(world: &mut World, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ DISTURBANCE_SEED_MASK);
    let mut draw = |bound: u64| (u64::from(random.next_u32()) * bound) >> 32;
    for _ in 0..8 {
        let host = draw(world.size() as u64) as usize;
        let (first, last) = FAILURE_BEGIN_RANGE;
        let begin = first + draw(last - first);
        let end = begin + 300 + draw(5_000);
        let mut at = |time, fault| world.schedule(time, WorldEvent::Fault(fault));
        if draw(2) == 0 {
            at(begin, Fault::Pause(host, end));
        } else {
            at(begin, Fault::Partition(host, true));
            at(end, Fault::Partition(host, false));
        }
    }
}

#[gtest]
fn random_failures_with_delayed_messages_exceed_no_retry_budget() {
    for seed in 0..seeds_or(RANDOM_SEEDS) {
        let mut world = random_failures(seed);
        schedule_disturbances(&mut world, seed);
        let violations = budget_violations(world, RANDOM_CALLERS_AND_SCENARIO_END.1);
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn random_failures_at_all_levels_exceed_no_retry_budget() {
    for seed in (0..seeds_or(RANDOM_SEEDS)).chain(REGRESSION_SEEDS) {
        let end = RANDOM_CALLERS_AND_SCENARIO_END.1;
        let violations = budget_violations(random_failures(seed), end);
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}
