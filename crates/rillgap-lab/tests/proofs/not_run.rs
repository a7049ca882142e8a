//! Condition 4: what was told as not run was not run.

use googletest::prelude::*;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::{Fault, TimedFault};
use rillgap_lab::sim::outcome::RunOutcome;

use crate::support::{at, back_end, cut, deployment, expect_conditions, freeze, kill};

const SEEDS: u64 = 4;

fn surge(factor: f64) -> TimedFault {
    let fault = Fault::Surge {
        caller: None,
        factor,
    };
    at(500, 6_000, fault)
}

fn refusals(outcomes: &[RunOutcome]) -> usize {
    let submissions = outcomes
        .iter()
        .flat_map(|outcome| &outcome.ledger.submissions);
    submissions
        .filter(|submission| submission.told.not_run())
        .count()
}

/// Callers give up at once, so that cancellations race with starts, under overload.
#[gtest]
fn cancellations_race_with_starts() -> Result<()> {
    for kind in Deployment::ALL {
        let mut scenario = deployment(kind, 0.5)?;
        for caller in &mut scenario.callers {
            caller.patience_millis = 60;
            caller.repeats = 3;
        }
        scenario.faults = vec![surge(5.0)];
        let outcomes = expect_conditions(scenario, SEEDS)?;
        expect_that!(refusals(&outcomes), gt(0));
    }
    Ok(())
}

#[gtest]
fn refusals_under_freezes_kills_and_cuts() -> Result<()> {
    let mut scenario = deployment(Deployment::Trondheim, 0.3)?;
    let killed = |number: u64| {
        let back_end = back_end(&format!("logbok-{number}"));
        at(700 + 500 * number, 1_500, Fault::KillBackEnd { back_end })
    };
    scenario.faults = vec![
        surge(4.0),
        freeze(1_000, 1_500, "node-logbok-1"),
        kill(1_500, 1_000, "node-takst-1"),
        cut(2_500, 2_500, "hall-c", true),
        freeze(4_000, 2_500, "node-entry-hall-a-1"),
        killed(1),
        killed(2),
        killed(3),
    ];
    let outcomes = expect_conditions(scenario, SEEDS)?;
    expect_that!(refusals(&outcomes), gt(0));
    Ok(())
}

/// A refusal is told within the caller's patience, and most of them far earlier.
#[gtest]
fn refusals_are_not_held_back() -> Result<()> {
    let mut scenario = deployment(Deployment::Trondheim, 1.0)?;
    scenario.faults = vec![surge(3.0)];
    for outcome in expect_conditions(scenario, 1)? {
        let mut waits: Vec<u128> = outcome
            .ledger
            .submissions
            .iter()
            .filter(|submission| submission.told.not_run())
            .map(|submission| {
                submission
                    .told_at
                    .saturating_since(submission.sent)
                    .as_millis()
            })
            .collect();
        waits.sort_unstable();
        let median = waits.get(waits.len() / 2).copied();
        println!("{} refusals, median wait {median:?} ms", waits.len());
        expect_that!(median, some(le(250)));
    }
    Ok(())
}
