//! Requests that crash each back end that executes them.
//!
//! A request whose content crashes the process that executes it is sent repeatedly, each time with
//! a new identifier and to any node. Nodes that retry it like any request whose answer was lost,
//! and keep no record of it after an attempt, spread the crashes: three back ends of a service
//! crashed within 0.11 s, restarted 3.4 s later and crashed again for as long as the request was
//! sent. In most of these seconds the service answered next to no request successfully. The losses
//! at the nodes of the three back ends showed the cause: all requests in flight were lost within
//! 2 ms, with 8 of 134 slots in use:
//!
//! ```text
//!  9.8562 a-1 "inbound: no answer" code=71 running=7 queued=0 limit=134
//!  9.9264 b-1 "inbound: no answer" code=71 running=11 queued=0 limit=134
//!  9.9623 c-1 "inbound: no answer" code=71 running=23 queued=0 limit=134
//! ```

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Number of seeds that are simulated for each case.
const SEEDS: u64 = 30;
/// Time at which the crashing request is first sent, in milliseconds; seeds add to it.
const FIRST_SENT_AT: u64 = 4_000;
/// Maximum number of attempts that a caller makes with a request.
const MAX_CALLER_ATTEMPTS: u32 = 3;
/// Times at which callers stop and at which the scenario ends, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (24_000, 26_000);

/// Returns the time at which the crashing request of a seed is first sent, in milliseconds.
fn first_sent_at(seed: u64) -> u64 {
    FIRST_SENT_AT + seed % 1_000 * 37
}

/// Runs a scenario in which requests for these targets crash each back end that executes them.
fn run_scenario(seed: u64, targets: &[&'static str]) -> World {
    let mut world = World::new(seed, InjectedBug::None, CALLERS_AND_SCENARIO_END.0);
    world.set_max_caller_attempts(MAX_CALLER_ATTEMPTS);
    for (number, target) in targets.iter().enumerate() {
        let first = first_sent_at(seed) + number as u64 * 900;
        world.schedule(first, WorldEvent::CrashingRequest(target));
    }
    world.run_until(CALLERS_AND_SCENARIO_END.1);
    world.checker.check_crashing_requests();
    world
}

/// Targets that crash back ends, for one scenario each: an idempotent one, one that may be executed
/// at most once, and two of one service.
const CRASHING_TARGETS: [&[&str]; 3] = [
    &["/deep/crash/a"],
    &["/once/crash/a"],
    &["/deep/crash/a", "/deep/crash/b"],
];

#[gtest]
fn request_that_crashes_back_ends_stops_reaching_them() {
    for targets in CRASHING_TARGETS {
        for seed in 0..SEEDS {
            let world = run_scenario(seed, targets);
            expect_that!(
                world.checker.violations,
                is_empty(),
                "{targets:?}, seed {seed}"
            );
        }
    }
}

/// Disturbances of nodes while a crashing request is sent again and again.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// Processes of single nodes are killed or paused; single hosts lose power or are partitioned.
    Single,
    /// All hosts lose power at once, three times.
    AllLosePower,
    /// All hosts lose power at once, three times, and the store refuses a third of them afterwards.
    AllLosePowerAndStoreRefuses,
}

/// Target that crashes back ends and that a single caller requests.
const SINGLE_CALLER_TARGET: &str = "/deep/crash/one-caller";
/// Milliseconds from the first crashing request to the first power loss of all hosts, and between
/// two power losses.
const POWER_LOSS_INTERVAL: u64 = 7_000;
/// [`CALLERS_AND_SCENARIO_END`] of scenarios with disturbances.
const DISTURBED_CALLERS_AND_SCENARIO_END: (u64, u64) = (34_000, 36_000);
/// Duration of a power loss, in milliseconds.
const POWER_LOSS_MILLIS: u64 = 1_000;

fn schedule_disturbance(world: &mut World, first: u64, disturbance: Disturbance) {
    let mut faults: Vec<(usize, u64, u64, Fault, Fault)> = Vec::new();
    if let Disturbance::Single = disturbance {
        for _ in 0..4 {
            let host = world.draw(9) as usize;
            let from = first + world.draw(9_000);
            let to = from + 500 + world.draw(3_000);
            let (begin, end) = match world.draw(4) {
                0 => (Fault::Kill(host), Fault::Start(host)),
                1 => (Fault::PowerOff(host), Fault::Start(host)),
                2 => (Fault::Partition(host, true), Fault::Partition(host, false)),
                _ => (Fault::Pause(host, to), Fault::Start(host)),
            };
            faults.push((host, from, to, begin, end));
        }
    } else {
        for (host, time) in (0..9).flat_map(|host| (1..4).map(move |time| (host, time))) {
            let from = first + time * POWER_LOSS_INTERVAL;
            let to = from + POWER_LOSS_MILLIS;
            faults.push((host, from, to, Fault::PowerOff(host), Fault::Start(host)));
            if matches!(disturbance, Disturbance::AllLosePowerAndStoreRefuses) && host % 3 == 0 {
                world.schedule(to, WorldEvent::Fault(Fault::StoreRefuses(host, true)));
            }
        }
    }
    for (host, from, to, begin, end) in faults {
        world.schedule(from, WorldEvent::Fault(begin));
        world.schedule(to, WorldEvent::Fault(end));
        world.checker.on_disturbance(host, from, to);
    }
}

#[gtest]
fn request_that_crashes_back_ends_stops_reaching_them_although_nodes_are_disturbed() {
    let disturbances = [
        Disturbance::Single,
        Disturbance::AllLosePower,
        Disturbance::AllLosePowerAndStoreRefuses,
    ];
    for disturbance in disturbances {
        for seed in 0..SEEDS {
            let mut world = World::new(
                seed,
                InjectedBug::None,
                DISTURBED_CALLERS_AND_SCENARIO_END.0,
            );
            world.set_max_caller_attempts(MAX_CALLER_ATTEMPTS);
            let first = FIRST_SENT_AT + seed * 37;
            world.schedule(first, WorldEvent::CrashingRequest(SINGLE_CALLER_TARGET));
            schedule_disturbance(&mut world, first, disturbance);
            world.run_until(DISTURBED_CALLERS_AND_SCENARIO_END.1);
            world.checker.check_crashing_requests();
            expect_that!(
                world.checker.violations,
                is_empty(),
                "{disturbance:?}, seed {seed}"
            );
        }
    }
}

/// Milliseconds after the first crashing request for which requests of other callers are counted.
const OBSERVATION_MILLIS: u64 = 8_000;

/// Groups of [`SEEDS`] seeds over which requests of other callers are counted; the result of a
/// single group depends too much on its seeds.
const SEED_GROUPS: u64 = 5;

#[gtest]
fn other_requests_are_served_while_a_request_crashes_back_ends() {
    // Nearly all chains lead to one service with three back ends. Measured: 0.61, 0.75 and 0.31.
    let floors = [0.55, 0.68, 0.25];
    for (targets, floor) in CRASHING_TARGETS.iter().zip(floors) {
        let (mut requested, mut served) = (0, 0);
        for seed in
            (0..SEED_GROUPS).flat_map(|group| (0..SEEDS).map(move |index| group * 1_000 + index))
        {
            let world = run_scenario(seed, targets);
            let first = first_sent_at(seed);
            let counts = world.checker.count_other_requests(
                &world.statuses,
                first,
                first + OBSERVATION_MILLIS,
            );
            requested += counts.0;
            served += counts.1;
        }
        let served_fraction = served as f64 / requested as f64;
        expect_that!(served_fraction, gt(floor), "{targets:?}");
    }
}

/// Patterns of crashes that no request causes.
#[derive(Clone, Copy, Debug)]
enum CrashPattern {
    /// A random back end crashes every 300 ms.
    Wave,
    /// The back ends of one service crash one after the other, within the duration of a
    /// few requests.
    Rolling,
    /// The back ends of one zone crash at once, with their nodes.
    Zone,
    /// Two back ends of one service crash by turns and restart.
    Flapping,
}

/// Schedules five rounds of crashes that no request causes.
fn schedule_unrelated_crashes(world: &mut World, kind: CrashPattern) {
    let crash =
        |world: &mut World, at, host| world.schedule(at, WorldEvent::Fault(Fault::Crash(host)));
    for round in 0..5 {
        let begin = FIRST_SENT_AT + round * 3_500 + world.draw(500);
        match kind {
            CrashPattern::Wave => {
                for step in 0..11 {
                    let host = world.draw(9) as usize;
                    crash(world, begin + step * 300, host);
                }
            }
            CrashPattern::Rolling => {
                for (step, host) in (0..3).map(|step| (step, 2 + step as usize * 3)) {
                    let pause = 10 + world.draw(60);
                    crash(world, begin + step * pause, host);
                }
            }
            CrashPattern::Zone => {
                let zone = world.draw(3) as usize;
                for host in zone * 3..zone * 3 + 3 {
                    world.schedule(begin, WorldEvent::Fault(Fault::PowerOff(host)));
                    world.schedule(begin + 1_000, WorldEvent::Fault(Fault::Start(host)));
                }
            }
            CrashPattern::Flapping => {
                crash(world, begin, 2);
                crash(world, begin + 1_200, 5);
            }
        }
    }
}

/// Runs a scenario with crashes that no request causes.
fn run_with_unrelated_crashes(kind: CrashPattern, seed: u64) -> World {
    let mut world = World::new(seed, InjectedBug::None, CALLERS_AND_SCENARIO_END.0);
    // With up to six attempts, a request of a caller is often in flight at several crashes.
    world.set_max_caller_attempts(6);
    world.set_popular_percent(if seed.is_multiple_of(2) { 20 } else { 0 });
    schedule_unrelated_crashes(&mut world, kind);
    world.run_until(CALLERS_AND_SCENARIO_END.1);
    world
}

#[gtest]
fn unrelated_crashes_quarantine_no_request() {
    let kinds = [
        CrashPattern::Wave,
        CrashPattern::Rolling,
        CrashPattern::Zone,
        CrashPattern::Flapping,
    ];
    for kind in kinds {
        for seed in 0..SEEDS {
            let world = run_with_unrelated_crashes(kind, seed);
            expect_that!(world.quarantined_requests, eq(0), "{kind:?}, seed {seed}");
        }
    }
}

/// Guards against quarantining a request that was in flight at three crashes by chance, at two of
/// them as the only suspect. 2 of 1,200 scenarios failed this way. In the first one a fifth of all
/// callers requested the same content, and 1,110 of their requests were refused.
#[gtest]
fn request_in_flight_at_three_unrelated_crashes_is_not_quarantined() {
    for (kind, seed) in [(CrashPattern::Rolling, 140), (CrashPattern::Wave, 260)] {
        let world = run_with_unrelated_crashes(kind, seed);
        expect_that!(world.quarantined_requests, eq(0), "{kind:?}, seed {seed}");
    }
}

/// Guards against quarantining a request that was in flight at three crashes, when too few other
/// crashes were known to show that it did not cause them. One request was refused this way.
#[gtest]
fn request_in_flight_at_the_first_crashes_of_a_wave_is_not_quarantined() {
    let world = run_with_unrelated_crashes(CrashPattern::Wave, 297);
    expect_that!(world.quarantined_requests, eq(0));
}
