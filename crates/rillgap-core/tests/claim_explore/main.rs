//! Random runs of claims and guards under loss, delay, link_failures, pauses, restarts and view changes.

mod data_path;
mod membership;
mod oracle;
mod random;
mod world;

use googletest::prelude::*;
use rillgap_core::claim::ClaimFaults;
use rillgap_core::code::{Outcome, ResultCode};
use rillgap_core::id::{Fingerprint, IdempotencyKey};
use rillgap_core::message::KeyedAttempt;
use world::{FaultPlan, KEY_LIFE_SECONDS, MILLI, SECOND, World};

/// Runs of each test, unless `RILLGAP_CLAIM_RUNS` says otherwise.
const DEFAULT_RUNS: u64 = 2_000;

fn runs() -> u64 {
    let runs = std::env::var("RILLGAP_CLAIM_RUNS").ok();
    runs.and_then(|runs| runs.parse().ok())
        .unwrap_or(DEFAULT_RUNS)
}

const NO_FAULTS: FaultPlan = FaultPlan {
    drop_percent: 0,
    late_percent: 0,
    restarts: 0,
    pauses: 0,
    link_failures: 0,
    departures: 0,
    missed_view_percent: 0,
};

const FREQUENT_FAULTS: FaultPlan = FaultPlan {
    drop_percent: 4,
    late_percent: 4,
    restarts: 4,
    pauses: 5,
    link_failures: 6,
    departures: 2,
    missed_view_percent: 10,
};

/// A world in which callers repeat their keys through any entry node, some with other bodies.
fn world(seed: u64, fault_plan: FaultPlan, faults: ClaimFaults) -> World {
    let (hosts, zones) = [(3, 3), (7, 3), (9, 4)][(seed % 3) as usize];
    let mut world = World::new(seed, hosts, zones, fault_plan, faults);
    for number in 0..8 {
        let first = world.draws.within(6 * SECOND..18 * SECOND);
        let created = World::wall_millis(first) + world.draws.within(0..2_000) - 1_000;
        let key = IdempotencyKey(u128::from(created) << 80 | 0x7 << 76 | number);
        let longest = [300 * MILLI, 4 * SECOND, 2 * KEY_LIFE_SECONDS * SECOND];
        let spread = longest[world.draws.index(3)];
        for repeat in 0..world.draws.within(1..6) {
            let later = if repeat == 0 {
                0
            } else {
                world.draws.within(0..spread)
            };
            let fingerprint = Fingerprint(u128::from(world.draws.percent(10)));
            let entry = world.draws.index(hosts);
            world.request(entry, first + later, KeyedAttempt { key, fingerprint });
        }
    }
    world
}

/// Seeds beyond the usual ones in which a fault of the protocol was found.
const REGRESSION_SEEDS: [u64; 4] = [6_674, 9_972, 17_381, 19_995];

fn violations(faults: ClaimFaults) -> Vec<String> {
    (0..runs())
        .chain(REGRESSION_SEEDS)
        .filter_map(|seed| {
            let mut world = world(seed, FREQUENT_FAULTS, faults);
            world.run();
            let violation = world.oracle.violation()?;
            Some(format!("seed {seed}: {violation}"))
        })
        .collect()
}

fn is_detected(faults: ClaimFaults) -> bool {
    let found = violations(faults);
    println!(
        "{faults:?}: {} of {DEFAULT_RUNS} runs, {:?}",
        found.len(),
        found.first()
    );
    !found.is_empty()
}

#[gtest]
fn no_key_runs_twice_and_not_run_is_true() {
    let found = violations(ClaimFaults::default());
    for f in &found {
        println!("violation: {f}");
    }
    expect_that!(found.len(), eq(0), "first: {:?}", found.first());
}

#[gtest]
fn voting_without_standing_is_caught() {
    expect_true!(is_detected(ClaimFaults {
        ignore_voter_eligibility: true,
        ..ClaimFaults::default()
    }));
}

#[gtest]
fn granting_a_held_key_is_caught() {
    expect_true!(is_detected(ClaimFaults {
        ignore_holder: true,
        ..ClaimFaults::default()
    }));
}

#[gtest]
fn barring_a_live_holder_is_caught() {
    expect_true!(is_detected(ClaimFaults {
        ignore_protection: true,
        ..ClaimFaults::default()
    }));
}

#[gtest]
fn starting_barred_attempts_is_caught() {
    expect_true!(is_detected(ClaimFaults {
        ignore_bars: true,
        ..ClaimFaults::default()
    }));
}

/// A key that is first used after a second.
fn early_key() -> KeyedAttempt {
    KeyedAttempt {
        key: IdempotencyKey(u128::from(World::wall_millis(SECOND)) << 80 | 0x7 << 76),
        fingerprint: Fingerprint(0),
    }
}

#[gtest]
fn a_lone_request_is_in_no_doubt_while_at_most_one_node_is_down() {
    let mut doubtful = 0;
    for seed in 0..DEFAULT_RUNS {
        let mut world = World::new(seed, 7, 3, NO_FAULTS, ClaimFaults::default());
        if seed % 2 == 0 {
            world.pause(1 + (seed as usize / 2) % 6, 60 * SECOND);
        }
        world.request(0, SECOND, early_key());
        world.run();
        doubtful += world.oracle.claim_replies(Outcome::Unknown);
    }
    expect_that!(doubtful, eq(0));
}

#[gtest]
fn of_racing_claimants_one_wins() {
    let mut undecided = 0;
    for seed in 0..DEFAULT_RUNS {
        let mut world = World::new(seed, 7, 3, NO_FAULTS, ClaimFaults::default());
        for entry in 0..2 + seed as usize % 3 {
            let apart = world.draws.within(0..MILLI);
            world.request(entry, SECOND + apart, early_key());
        }
        world.run();
        let granted = !world.oracle.dispatched.is_empty();
        let given_back = world.oracle.claim_replies(Outcome::NotRun) > 0;
        undecided += usize::from(!granted && !given_back);
    }
    println!("undecided: {undecided} of {DEFAULT_RUNS}");
    expect_that!(undecided, eq(0));
}

/// The entry node dies around its grant; a repeat comes through another one after the deadline.
#[gtest]
fn key_of_a_dead_entry_node_is_settled_after_its_deadline() {
    let mut unsettled = 0;
    let mut ran = 0;
    for seed in 0..DEFAULT_RUNS {
        let mut world = World::new(seed, 7, 3, NO_FAULTS, ClaimFaults::default());
        let dies_after = world.draws.within(0..8 * MILLI);
        world.request(0, SECOND, early_key());
        world.restart_at(0, SECOND + dies_after);
        world.request(1, 4 * SECOND, early_key());
        world.run();
        let replies = world.oracle.replies.iter();
        let ended = replies.filter(|reply| {
            matches!(
                reply.code,
                ResultCode::ResultLost | ResultCode::AnswerForgotten
            )
        });
        unsettled += world.oracle.claim_replies(Outcome::Unknown) - ended.count();
        ran += world.oracle.executions.len();
    }
    println!("ran: {ran} of {DEFAULT_RUNS}, unsettled: {unsettled}");
    expect_that!(unsettled, eq(0));
    expect_that!(ran, gt(DEFAULT_RUNS as usize / 2));
}
