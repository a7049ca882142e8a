//! Condition 7: a planned stop cuts nothing in flight.

use googletest::prelude::*;
use rillgap_core::code::{Outcome, ResultCode};
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::policy;
use rillgap_lab::model::scenario::Scenario;
use rillgap_lab::observe::usability;
use rillgap_lab::sim::ledger::{HostRecordKind, Submission, Told};
use rillgap_lab::sim::outcome::RunOutcome;

use crate::support::{deployment, expect_conditions, stop};

const SEEDS: u64 = 2;
/// Time between the stops of two nodes, in milliseconds.
const STEP_MILLIS: u64 = 3_000;
/// Time from the stop of a node to its replacement's start, in milliseconds.
const DOWN_MILLIS: u64 = 16_000;

/// Stops every node in turn, the entry nodes included.
fn rolling_stop(kind: Deployment) -> Result<Scenario> {
    let mut scenario = deployment(kind, 0.5)?;
    let policy = policy::policy(&scenario);
    let beside = policy
        .back_ends
        .iter()
        .map(|back_end| back_end.node.0.clone());
    let zones = scenario.network.zones.iter();
    let entries = zones.map(|zone| format!("node-entry-{zone}-1"));
    let nodes: Vec<String> = beside.chain(entries).collect();
    scenario.faults = (0..)
        .zip(&nodes)
        .map(|(position, node)| stop(500 + STEP_MILLIS * position, DOWN_MILLIS, node))
        .collect();
    scenario.duration_millis += STEP_MILLIS * nodes.len() as u64;
    scenario.settle_millis = DOWN_MILLIS + 4_000;
    Ok(scenario)
}

/// Returns whether a request that a node had taken in was cut off.
///
/// A request that was refused because its key found no majority of replicas was not in flight:
/// it was never sent to a back end.
fn is_cut(submission: &Submission) -> bool {
    let taken_in = submission.run.is_some();
    let cut = match submission.told {
        Told::Broken | Told::Lost => true,
        Told::Refused(ResultCode::NoQuorum | ResultCode::KeyUnchecked) => false,
        Told::Refused(code) => code.outcome() == Outcome::Unknown,
        _ => false,
    };
    taken_in && cut
}

fn exits(outcome: &RunOutcome) -> usize {
    let records = outcome.ledger.host_records.iter();
    records
        .filter(|record| matches!(record.kind, HostRecordKind::Exited { .. }))
        .count()
}

fn expect_nothing_cut(kind: Deployment) -> Result<()> {
    let scenario = rolling_stop(kind)?;
    let nodes = scenario.faults.len();
    for outcome in expect_conditions(scenario, SEEDS)? {
        let cut: Vec<&Submission> = outcome
            .ledger
            .submissions
            .iter()
            .filter(|submission| is_cut(submission))
            .collect();
        let sample: Vec<String> = cut
            .iter()
            .take(5)
            .map(|submission| {
                let host = &outcome.facts.hosts[submission.host];
                format!("{host} {:?} {:?}", submission.sent, submission.told)
            })
            .collect();
        expect_that!(cut.len(), eq(0), "{sample:#?}");
        expect_that!(exits(&outcome), eq(nodes));
        println!("rolling stop: {:?}", usability::measure(&outcome));
    }
    Ok(())
}

#[gtest]
fn rolling_stop_of_trondheim_under_load() -> Result<()> {
    expect_nothing_cut(Deployment::Trondheim)
}

#[gtest]
fn rolling_stop_of_jylland_with_long_downloads() -> Result<()> {
    expect_nothing_cut(Deployment::Jylland)
}

/// Times from the stop of one entry node to that of another one, in milliseconds.
const OVERLAPS_MILLIS: [u64; 5] = [0, 40, 300, 1_000, 3_000];
/// Time from the callers' start to the first stop: the claim replicas of a fresh deployment vote then.
const FIRST_STOP_MILLIS: u64 = 12_000;

/// Stops two of three entry nodes, the second one while the first one stops.
fn overlapping_stops(first: &str, second: &str, overlap_millis: u64) -> Result<Scenario> {
    let mut scenario = deployment(Deployment::Trondheim, 0.1)?;
    scenario.faults = vec![
        stop(FIRST_STOP_MILLIS, DOWN_MILLIS, first),
        stop(FIRST_STOP_MILLIS + overlap_millis, DOWN_MILLIS, second),
    ];
    scenario.duration_millis += FIRST_STOP_MILLIS + overlap_millis;
    Ok(scenario)
}

/// Guards against bookings without a known result while two entry nodes stop at the same time.
#[gtest]
fn overlapping_stops_of_entry_nodes_leave_no_booking_unknown() -> Result<()> {
    let entries = [
        "node-entry-hall-a-1",
        "node-entry-hall-b-1",
        "node-entry-hall-c-1",
    ];
    for first in entries {
        for second in entries.into_iter().filter(|second| *second != first) {
            for overlap in OVERLAPS_MILLIS {
                for outcome in expect_conditions(overlapping_stops(first, second, overlap)?, 1)? {
                    let keyed = usability::measure(&outcome);
                    println!("{first} {second} {overlap} ms: {keyed:?}");
                    let unknown = keyed.unknown_ran + keyed.unknown_not_run;
                    expect_that!(unknown, eq(0), "{first}, {second} {overlap} ms later");
                }
            }
        }
    }
    Ok(())
}
