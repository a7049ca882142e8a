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

use crate::day::Planted;
use crate::world::{Fault, Happening, World};

/// Days that are played.
const DAYS: u64 = 30;
/// When the request comes first, in milliseconds.
const FIRST: u64 = 4_000;
/// Times that a caller comes with a request, in all.
const MOST_TRIES: u32 = 3;
/// End of the callers, and of the day, in milliseconds.
const END: (u64, u64) = (24_000, 26_000);

/// Returns when such a request comes first on the day of a seed.
fn first_of(seed: u64) -> u64 {
    FIRST + seed % 1_000 * 37
}

/// Plays a day on which requests for these targets end each back end that runs them.
fn play(seed: u64, targets: &[&'static str]) -> World {
    let mut world = World::new(seed, Planted::Nothing, END.0);
    world.let_callers_come_again(MOST_TRIES);
    for (number, target) in targets.iter().enumerate() {
        let first = first_of(seed) + number as u64 * 900;
        world.at(first, Happening::CrashingRequest(target));
    }
    world.run_until(END.1);
    world.judge.check_crashing_requests();
    world
}

/// Targets that end back ends, of one day each: may be repeated, may run once only, two of one service.
const SCENARIOS: [&[&str]; 3] = [
    &["/deep/crash/a"],
    &["/once/crash/a"],
    &["/deep/crash/a", "/deep/crash/b"],
];

#[gtest]
fn request_that_crashes_back_ends_stops_reaching_them() {
    for targets in SCENARIOS {
        for seed in 0..DAYS {
            let world = play(seed, targets);
            expect_that!(world.judge.broken, is_empty(), "{targets:?}, seed {seed}");
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
const OF_ONE_CALLER: &str = "/deep/crash/one-caller";
/// Milliseconds after the first such request until all hosts lose power, and between two such losses.
const POWER_LOST_AFTER: u64 = 7_000;
/// End of the callers, and of the day, on days of disturbances, in milliseconds.
const DISTURBED_END: (u64, u64) = (34_000, 36_000);
/// Milliseconds for which they are without it.
const POWER_LOST_FOR: u64 = 1_000;

fn disturb(world: &mut World, first: u64, disturbance: Disturbance) {
    let mut faults: Vec<(usize, u64, u64, Fault, Fault)> = Vec::new();
    if let Disturbance::Single = disturbance {
        for _ in 0..4 {
            let host = world.draw(9) as usize;
            let from = first + world.draw(9_000);
            let to = from + 500 + world.draw(3_000);
            let (begin, end) = match world.draw(4) {
                0 => (Fault::Kill(host), Fault::Start(host)),
                1 => (Fault::PowerOff(host), Fault::Start(host)),
                2 => (Fault::Cut(host, true), Fault::Cut(host, false)),
                _ => (Fault::Freeze(host, to), Fault::Start(host)),
            };
            faults.push((host, from, to, begin, end));
        }
    } else {
        for (host, time) in (0..9).flat_map(|host| (1..4).map(move |time| (host, time))) {
            let from = first + time * POWER_LOST_AFTER;
            let to = from + POWER_LOST_FOR;
            faults.push((host, from, to, Fault::PowerOff(host), Fault::Start(host)));
            if matches!(disturbance, Disturbance::AllLosePowerAndStoreRefuses) && host % 3 == 0 {
                world.at(to, Happening::Fault(Fault::StoreRefuses(host, true)));
            }
        }
    }
    for (host, from, to, begin, end) in faults {
        world.at(from, Happening::Fault(begin));
        world.at(to, Happening::Fault(end));
        world.judge.disturbed(host, from, to);
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
        for seed in 0..DAYS {
            let mut world = World::new(seed, Planted::Nothing, DISTURBED_END.0);
            world.let_callers_come_again(MOST_TRIES);
            let first = FIRST + seed * 37;
            world.at(first, Happening::CrashingRequest(OF_ONE_CALLER));
            disturb(&mut world, first, disturbance);
            world.run_until(DISTURBED_END.1);
            world.judge.check_crashing_requests();
            expect_that!(
                world.judge.broken,
                is_empty(),
                "{disturbance:?}, seed {seed}"
            );
        }
    }
}

/// Milliseconds after the first such request for which the service to others is counted.
const AFTERMATH: u64 = 8_000;

/// Groups of days over which the service to others is counted: what one group comes to depends on its seeds.
const GROUPS: u64 = 5;

#[gtest]
fn others_are_served_while_a_request_crashes_back_ends() {
    // Nearly all chains lead to one service of three back ends. 0.61, 0.75 and 0.31 as measured.
    let floors = [0.55, 0.68, 0.25];
    for (targets, floor) in SCENARIOS.iter().zip(floors) {
        let (mut asked, mut served) = (0, 0);
        for seed in (0..GROUPS).flat_map(|group| (0..DAYS).map(move |day| group * 1_000 + day)) {
            let world = play(seed, targets);
            let first = first_of(seed);
            let counts = world
                .judge
                .count_others(&world.statuses, first, first + AFTERMATH);
            asked += counts.0;
            served += counts.1;
        }
        let share = served as f64 / asked as f64;
        expect_that!(share, gt(floor), "{targets:?}");
    }
}

/// Ways in which back ends end although no request is to blame.
#[derive(Clone, Copy, Debug)]
enum Unrelated {
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
fn schedule(world: &mut World, kind: Unrelated) {
    let crash = |world: &mut World, at, host| world.at(at, Happening::Fault(Fault::Crash(host)));
    for round in 0..5 {
        let begin = FIRST + round * 3_500 + world.draw(500);
        match kind {
            Unrelated::Wave => {
                for step in 0..11 {
                    let host = world.draw(9) as usize;
                    crash(world, begin + step * 300, host);
                }
            }
            Unrelated::Rolling => {
                for (step, host) in (0..3).map(|step| (step, 2 + step as usize * 3)) {
                    let pause = 10 + world.draw(60);
                    crash(world, begin + step * pause, host);
                }
            }
            Unrelated::Zone => {
                let zone = world.draw(3) as usize;
                for host in zone * 3..zone * 3 + 3 {
                    world.at(begin, Happening::Fault(Fault::PowerOff(host)));
                    world.at(begin + 1_000, Happening::Fault(Fault::Start(host)));
                }
            }
            Unrelated::Flapping => {
                crash(world, begin, 2);
                crash(world, begin + 1_200, 5);
            }
        }
    }
}

/// Plays a day on which back ends end although no request is to blame.
fn play_unrelated(kind: Unrelated, seed: u64) -> World {
    let mut world = World::new(seed, Planted::Nothing, END.0);
    // Callers that come at once and often meet several crashes with one request.
    world.let_callers_come_again(6);
    world.let_requests_be_alike(if seed.is_multiple_of(2) { 20 } else { 0 });
    schedule(&mut world, kind);
    world.run_until(END.1);
    world
}

#[gtest]
fn no_request_is_refused_where_back_ends_crash_without_one_to_blame() {
    let kinds = [
        Unrelated::Wave,
        Unrelated::Rolling,
        Unrelated::Zone,
        Unrelated::Flapping,
    ];
    for kind in kinds {
        for seed in 0..DAYS {
            let world = play_unrelated(kind, seed);
            expect_that!(world.held_back, eq(0), "{kind:?}, seed {seed}");
        }
    }
}

/// On these 2 of 1,200 days requests were refused that were under way at three crashes by chance, twice as the only suspect.
/// On the first it was what a fifth of all callers asked for, and 1,110 of their requests were refused.
#[gtest]
fn request_that_met_three_crashes_by_chance_is_not_refused() {
    for (kind, seed) in [(Unrelated::Rolling, 140), (Unrelated::Wave, 260)] {
        let world = play_unrelated(kind, seed);
        expect_that!(world.held_back, eq(0), "{kind:?}, seed {seed}");
    }
}

/// One request was refused on this day: it met three crashes before enough others were known to doubt that it is to blame.
#[gtest]
fn request_that_met_the_first_crashes_of_a_wave_by_chance_is_not_refused() {
    let world = play_unrelated(Unrelated::Wave, 297);
    expect_that!(world.held_back, eq(0));
}
