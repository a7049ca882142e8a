//! Requests that end each back end that runs them.
//!
//! A request whose content ends the process that works on it comes again and again, with a new identifier
//! and at any node. Nodes repeated it like any request whose answer was lost, and remembered nothing of it
//! beyond one try: three back ends of a service ended within 0.11 s, started again 3.4 s later and ended again, as
//! long as the request came, and the service had next to no success in most of these seconds. What settled it were the losses beside
//! the three back ends, all requests under way within 2 ms and with 8 of 134 slots in use:
//!
//! ```text
//!  9.8562 a-1 "inbound: no answer" code=71 running=7 queued=0 limit=134
//!  9.9264 b-1 "inbound: no answer" code=71 running=11 queued=0 limit=134
//!  9.9623 c-1 "inbound: no answer" code=71 running=23 queued=0 limit=134
//! ```

use googletest::prelude::*;

use crate::scenario::InjectedBug;
use crate::world::{Fault, World, WorldEvent};

/// Days that are played.
const SEEDS: u64 = 30;
/// When the request comes first, in milliseconds.
const FIRST_SENT_AT: u64 = 4_000;
/// Times that a caller comes with a request, in all.
const MAX_CALLER_ATTEMPTS: u32 = 3;
/// End of the callers, and of the day, in milliseconds.
const CALLERS_AND_SCENARIO_END: (u64, u64) = (24_000, 26_000);

/// Returns when such a request comes first on the day of a seed.
fn first_sent_at(seed: u64) -> u64 {
    FIRST_SENT_AT + seed % 1_000 * 37
}

/// Plays a day on which requests for these targets end each back end that runs them.
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

/// Targets that end back ends, of one day each: may be repeated, may run once only, two of one service.
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

/// Disturbances of nodes while such a request goes on coming.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// Processes of single nodes are killed, hosts lose power, are cut off or stand still.
    Single,
    /// All hosts lose power at once, three times.
    AllLosePower,
    /// The same, and the store refuses a third of them when they are back.
    AllLosePowerAndStoreRefuses,
}

/// Target that ends back ends and that one caller asks for.
const SINGLE_CALLER_TARGET: &str = "/deep/crash/one-caller";
/// Milliseconds after the first such request until all hosts lose power, and between two such losses.
const POWER_LOSS_INTERVAL: u64 = 7_000;
/// End of the callers, and of the day, on days of disturbances, in milliseconds.
const DISTURBED_CALLERS_AND_SCENARIO_END: (u64, u64) = (34_000, 36_000);
/// Milliseconds for which they are without it.
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

/// Milliseconds after the first such request for which the service to others is counted.
const OBSERVATION_MILLIS: u64 = 8_000;

/// Groups of days over which the service to others is counted: what one group comes to depends on its seeds.
const SEED_GROUPS: u64 = 5;

#[gtest]
fn other_requests_are_served_while_a_request_crashes_back_ends() {
    // Nearly all chains lead to one service of three back ends. 0.61, 0.75 and 0.31 as measured.
    let floors = [0.55, 0.68, 0.25];
    for (targets, floor) in CRASHING_TARGETS.iter().zip(floors) {
        let (mut caller_requests, mut served) = (0, 0);
        for seed in
            (0..SEED_GROUPS).flat_map(|group| (0..SEEDS).map(move |day| group * 1_000 + day))
        {
            let world = run_scenario(seed, targets);
            let first = first_sent_at(seed);
            let counts = world.checker.count_other_requests(
                &world.statuses,
                first,
                first + OBSERVATION_MILLIS,
            );
            caller_requests += counts.0;
            served += counts.1;
        }
        let share = served as f64 / caller_requests as f64;
        expect_that!(share, gt(floor), "{targets:?}");
    }
}

/// Ways in which back ends end although no request is to blame.
#[derive(Clone, Copy, Debug)]
enum CrashPattern {
    /// Any one, every 300 ms.
    Wave,
    /// Those of one service one after the other, within the time of a few requests.
    Rolling,
    /// Those of one zone at once, with their nodes.
    Zone,
    /// Two of one service down and up by turns.
    Flapping,
}

/// Schedules crashes that no request is to blame for.
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

/// Plays a day on which back ends end although no request is to blame.
fn run_with_unrelated_crashes(kind: CrashPattern, seed: u64) -> World {
    let mut world = World::new(seed, InjectedBug::None, CALLERS_AND_SCENARIO_END.0);
    // Callers that come at once and often meet several crashes with one request.
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

/// On these 2 of 1,200 days requests were refused that were under way at three crashes by chance, twice as the only suspect.
/// On the first it was what a fifth of all callers asked for, and 1,110 of their requests were refused.
#[gtest]
fn request_in_flight_at_three_unrelated_crashes_is_not_quarantined() {
    for (kind, seed) in [(CrashPattern::Rolling, 140), (CrashPattern::Wave, 260)] {
        let world = run_with_unrelated_crashes(kind, seed);
        expect_that!(world.quarantined_requests, eq(0), "{kind:?}, seed {seed}");
    }
}

/// One request was refused on this day: it met three crashes before enough others were known to doubt that it is to blame.
#[gtest]
fn request_in_flight_at_the_first_crashes_of_a_wave_is_not_quarantined() {
    let world = run_with_unrelated_crashes(CrashPattern::Wave, 297);
    expect_that!(world.quarantined_requests, eq(0));
}
