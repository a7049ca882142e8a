//! Runs one scenario with random faults and reports violated guarantees.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::world::{Fault, World, WorldEvent};

/// Range of the times at which faults begin, in milliseconds.
const FAULT_BEGIN_RANGE: (u64, u64) = (3_000, 9_000);
/// Time by which all faults have ended, in milliseconds.
const LAST_FAULT_END: u64 = 12_000;
/// Begin and end of the time after the faults in which requests must succeed again, in
/// milliseconds.
const RECOVERY_WINDOW: (u64, u64) = (16_000, 18_000);
/// Times at which callers stop and at which the scenario ends, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (18_000, 20_000);

/// A bug in the simulated environment, which the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// No bug.
    None,
    /// Some executed requests are reported as never sent to the back end.
    FalseNotSent,
    /// Back ends report some executed requests as not executed.
    FalseNotExecuted,
    /// Some executed requests are reported as meant for another incarnation.
    FalseMisdirected,
    /// Nodes report some requests that they hand to their back ends as not started.
    FalseNotStarted,
    /// When a link ends, the requests that are in flight on it are reported as not started.
    LinkEndAsNotRun,
    /// The report that a request did not run ends another request on the same link.
    CrossedClaims,
    /// Requests of unknown outcome are answered as refused.
    FalsePromise,
    /// Some answers have the body of another request.
    SwappedAnswer,
    /// The draining of a back end is acknowledged but never reaches its node.
    LostDrainAnnouncement,
    /// The store always returns its first configuration.
    StaleConfiguration,
    /// The monotonic clock of a host stops while its machine is suspended.
    ClockStopsInSuspension,
    /// The owners of tenants' buckets grant three times the tokens.
    ExcessTokens,
    /// A node that is cut off gets the votes that it requests all the same.
    ForgedVotes,
    /// Nodes that the store does not answer report a contact with it.
    FalseContacts,
    /// Nodes have a retry budget that covers every retry.
    ExcessRetries,
    /// The identifiers of calls do not tell which request they are made for.
    AnonymousCalls,
    /// Requests that back ends have rejected are reported as never sent.
    FreeRejections,
    /// A second attempt at a back end that has rejected a request gets the rejection of the first
    /// one, while it is executed.
    StaleRejections,
    /// Restarted nodes take the retries of their earlier run for forgotten at once.
    ForgottenRetries,
    /// Each node has the whole slack of the retry budget.
    UndividedSlack,
    /// A node that ends its connections does not wait for callers that read their answers.
    ForgottenReaders,
    /// The notices in the answers of back ends do not reach their nodes.
    LostNotices,
    /// Back ends announce more slots than they have.
    ExcessSlots,
    /// Back ends that have ended do not start again.
    NoRestarts,
}

/// Result of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Violated guarantees; each text begins with the name of the check.
    pub violations: Vec<String>,
    /// Requests that callers sent, without calls of back ends.
    pub caller_requests: u64,
    /// Requests of callers that were answered with status 200.
    pub served: u64,
}

/// Number of back ends that state a rate limit or their departure in a scenario.
const STATEMENTS: u64 = 4;
/// Distinguishes the seed of statements from that of faults.
const STATEMENT_SEED_MASK: u64 = 0x5374_6174_656d_656e;
/// Minimum time for which a rate limit is stated, in milliseconds: limits are checked from 3 s on.
const MIN_LIMITED_MILLIS: u64 = 4_000;

/// Runs the scenario of a seed.
pub fn run_scenario(seed: u64, injected_bug: InjectedBug) -> Report {
    let world = World::new(seed, injected_bug, CALLERS_AND_SCENARIO_END.0);
    run_faults(world)
}

/// Runs the scenario of a seed, in which back ends also state rate limits and departures.
pub fn run_scenario_with_statements(seed: u64, injected_bug: InjectedBug) -> Report {
    let mut world = World::new(seed, injected_bug, CALLERS_AND_SCENARIO_END.0);
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ STATEMENT_SEED_MASK);
    for _ in 0..STATEMENTS {
        schedule_random_statement(&mut world, |bound| {
            (u64::from(random.next_u32()) * bound) >> 32
        });
    }
    run_faults(world)
}

/// Schedules a back end to state a rate limit that changes once, or its departure.
fn schedule_random_statement(world: &mut World, mut draw: impl FnMut(u64) -> u64) {
    let host = draw(world.size() as u64) as usize;
    let latest = LAST_FAULT_END - MIN_LIMITED_MILLIS;
    let begin = FAULT_BEGIN_RANGE.0 + draw(latest - FAULT_BEGIN_RANGE.0);
    let mut at = |time, fault| world.schedule(time, WorldEvent::Fault(fault));
    if draw(4) == 0 {
        at(begin, Fault::StateLeaving(host));
        return;
    }
    let changed_at = begin + draw(LAST_FAULT_END - begin);
    for (time, rate) in [(begin, draw(20)), (changed_at, draw(20))] {
        let rate_limit = u32::try_from(rate).ok();
        at(time, Fault::StateRateLimit(host, rate_limit));
    }
    at(LAST_FAULT_END, Fault::StateRateLimit(host, None));
}

/// Runs a scenario with random faults.
fn run_faults(mut world: World) -> Report {
    let faults = 3 + world.draw(5);
    for _ in 0..faults {
        let begin = FAULT_BEGIN_RANGE.0 + world.draw(FAULT_BEGIN_RANGE.1 - FAULT_BEGIN_RANGE.0);
        schedule_random_fault(&mut world, begin);
    }
    world.run_until(CALLERS_AND_SCENARIO_END.1);
    world.check_configurations();
    world.checker.check_budget();
    world.check_limit();
    world.checker.check_rate_limits();
    let statuses = std::mem::take(&mut world.statuses);
    world
        .checker
        .check_recovery(&statuses, RECOVERY_WINDOW.0, RECOVERY_WINDOW.1);
    Report {
        violations: world.checker.violations,
        caller_requests: world.checker.caller_requests,
        served: world.checker.served,
    }
}

/// Schedules a random fault and its end.
fn schedule_random_fault(world: &mut World, begin: u64) {
    let size = world.size() as u64;
    let host = world.draw(size) as usize;
    let end = (begin + 500 + world.draw(3_500)).min(LAST_FAULT_END);
    let mut at = |time, fault| world.schedule(time, WorldEvent::Fault(fault));
    match begin % 16 {
        0 => {
            at(begin, Fault::Kill(host));
            at(end, Fault::Start(host));
        }
        1 => {
            at(begin, Fault::PowerOff(host));
            at(end, Fault::Start(host));
        }
        2 => {
            for host in 0..size as usize {
                at(begin, Fault::PowerOff(host));
                at(begin + 1_000, Fault::Start(host));
            }
        }
        3 => at(begin, Fault::Pause(host, end)),
        4 => {
            at(begin, Fault::Partition(host, true));
            at(end, Fault::Partition(host, false));
        }
        5 => {
            at(begin, Fault::StoreDown(true));
            at(end, Fault::StoreDown(false));
        }
        6 => {
            at(begin, Fault::StoreLosesAnswers(true));
            at(end, Fault::StoreLosesAnswers(false));
        }
        7 => {
            at(begin, Fault::Configure);
            at(begin + 50, Fault::StoreCompacts);
            at(begin + 60, Fault::Configure);
        }
        8 => at(begin, Fault::Crash(host)),
        9 => at(begin, Fault::Drain(host)),
        10 => {
            at(begin, Fault::Drain(host));
            // The restarted node has lost its state and receives late heartbeats of the draining
            // back end.
            at(begin + 700, Fault::Kill(host));
            at(begin + 1_200, Fault::Start(host));
        }
        11 => {
            for (number, host) in (0..size as usize).enumerate() {
                at(begin + 700 * number as u64, Fault::Stop(host));
            }
        }
        12 => {
            at(begin, Fault::LoseAnswers(host, 40));
            at(end, Fault::LoseAnswers(host, 0));
        }
        13 => {
            // The store refuses some hosts while it serves the others and the operator.
            for host in (0..size as usize).filter(|host| host % 3 != 0) {
                at(begin, Fault::StoreRefuses(host, true));
                at(end, Fault::StoreRefuses(host, false));
            }
            at(begin + 100, Fault::Configure);
            at(begin + 200, Fault::Kill(host));
            at(begin + 900, Fault::Start(host));
        }
        14 => {
            at(begin, Fault::FailRequests(host, 60));
            at(end, Fault::FailRequests(host, 0));
        }
        _ => {
            at(begin, Fault::Slow(host, 10));
            at(end, Fault::Slow(host, 1));
            at(end, Fault::Configure);
        }
    }
}
