//! Condition 8: an accepted policy is in force everywhere within seconds and never reverts.

use std::sync::Arc;

use googletest::prelude::*;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::{Fault, TimedFault};
use rillgap_lab::observe::{self, Condition};
use rillgap_lab::sim::engine;
use rillgap_lab::sim::options::{PlantedFault, SimulationOptions};
use rillgap_lab::sim::outcome::RunOutcome;

use crate::support::{at, cut, deployment, expect_conditions, freeze, kill, node};

const SEEDS: u64 = 3;

fn apply(after_millis: u64, through: &str, queue_millis: u32) -> TimedFault {
    let fault = Fault::ApplyPolicy {
        through: node(through),
        queue_millis,
    };
    at(after_millis, 0, fault)
}

/// Two operators change the policy at the same moment, twice.
fn two_operators() -> Vec<TimedFault> {
    vec![
        apply(1_000, "node-entry-hall-a-1", 210),
        apply(1_000, "node-entry-hall-b-1", 220),
        apply(4_000, "node-takst-3", 230),
        apply(4_000, "node-entry-hall-a-1", 240),
    ]
}

/// Runs the changes of two operators with more faults; all changes must be accepted at last.
fn expect_spread(more: Vec<TimedFault>) -> Result<Vec<RunOutcome>> {
    let mut scenario = deployment(Deployment::Trondheim, 0.1)?;
    scenario.settle_millis = 60_000;
    scenario.faults = two_operators();
    scenario.faults.extend(more);
    let outcomes = expect_conditions(scenario, SEEDS)?;
    for outcome in &outcomes {
        for (index, change) in outcome.ledger.changes.iter().enumerate() {
            expect_that!(
                change.accepted,
                some(anything()),
                "change {index}: {change:?}"
            );
        }
    }
    Ok(outcomes)
}

#[gtest]
fn two_operators_at_once() -> Result<()> {
    expect_spread(Vec::new())?;
    Ok(())
}

#[gtest]
fn slow_store_and_lost_answers() -> Result<()> {
    let slow = Fault::StoreSlow {
        extra_millis: 1_500,
    };
    let faults = vec![
        at(500, 3_000, slow),
        at(3_500, 2_000, Fault::StoreLosesAnswers),
    ];
    expect_spread(faults)?;
    Ok(())
}

#[gtest]
fn stale_reader_and_store_down() -> Result<()> {
    let faults = vec![
        at(500, 4_000, Fault::StoreStale),
        at(4_100, 4_000, Fault::StoreDown),
    ];
    expect_spread(faults)?;
    Ok(())
}

#[gtest]
fn restarts_and_a_frozen_node_during_the_spread() -> Result<()> {
    let faults = vec![
        kill(1_010, 100, "node-logbok-1"),
        kill(1_500, 1_000, "node-takst-1"),
        freeze(900, 6_000, "node-bestilling-2"),
        freeze(3_990, 2_000, "node-entry-hall-b-1"),
        kill(4_020, 300, "node-oppgjor-1"),
    ];
    expect_spread(faults)?;
    Ok(())
}

#[gtest]
fn an_operator_in_a_zone_that_is_cut_off() -> Result<()> {
    expect_spread(vec![cut(900, 6_000, "hall-b", false)])?;
    Ok(())
}

#[gtest]
fn a_policy_that_reverts_is_caught() -> Result<()> {
    let mut scenario = deployment(Deployment::Trondheim, 0.1)?;
    scenario.faults = vec![
        apply(500, "node-entry-hall-a-1", 210),
        kill(6_000, 100, "node-logbok-1"),
    ];
    let options = SimulationOptions {
        planted: Some(PlantedFault::PolicyReverts),
        ..SimulationOptions::default()
    };
    let outcome = engine::run(&Arc::new(scenario), 1, options)?;
    let violations = observe::check(&outcome);
    for violation in violations.iter().take(2) {
        println!("{violation}");
    }
    let found = violations
        .iter()
        .any(|violation| violation.condition == Condition::PolicySpread);
    expect_that!(found, eq(true));
    Ok(())
}
