//! One random day.

use crate::world::{Fault, RETRY_BOUND, World, WorldEvent};

/// When faults begin, at the earliest and at the latest.
const FAULT_BEGIN_RANGE: (u64, u64) = (3_000, 9_000);
/// When the last fault is over.
const LAST_FAULT_END: u64 = 12_000;
/// From when to when what is sent must mostly be served again.
const RECOVERY_WINDOW: (u64, u64) = (16_000, 18_000);
/// End of the callers, and of the day.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (18_000, 20_000);

/// A fault of the world itself, to show that the judge catches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// None.
    None,
    /// A request that ran is reported as never sent.
    FalseNotSent,
    /// A back end says that it did not run what it ran.
    FalseNotExecuted,
    /// A back end's answer holds another request's body.
    SwappedAnswer,
    /// Draining is acknowledged and the node is not told.
    LostDrainAnnouncement,
    /// The store shows its first configuration for ever.
    StaleConfiguration,
    /// The steady clock of a host stands still while its machine is suspended.
    ClockStopsInSuspension,
    /// Nodes that own buckets give three times the tokens.
    ExcessTokens,
}

/// What a day came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Requests of callers.
    pub caller_requests: u64,
    /// Those that were answered with success.
    pub served: u64,
}

/// Plays the day of a seed.
pub fn run_scenario(seed: u64, injected_bug: InjectedBug) -> Report {
    let mut world = World::new(seed, injected_bug, CALLERS_AND_SCENARIO_END.0);
    let faults = 3 + world.draw(5);
    for _ in 0..faults {
        let begin = FAULT_BEGIN_RANGE.0 + world.draw(FAULT_BEGIN_RANGE.1 - FAULT_BEGIN_RANGE.0);
        schedule_random_fault(&mut world, begin);
    }
    world.run_until(CALLERS_AND_SCENARIO_END.1);
    world.check_configurations();
    let slack = f64::from(RETRY_BOUND.slack);
    world.checker.check_budget(RETRY_BOUND.ratio, slack);
    world.checker.check_limit();
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

/// Schedules one fault, with its end.
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
            // A node that does not remember meets late heartbeats of the one that leaves.
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
            // The store turns some hosts away while it serves the others and the operator.
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
