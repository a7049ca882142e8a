//! Condition 5: work that may not be repeated runs at most once, and stays usable.

use std::sync::Arc;

use googletest::prelude::*;
use rillgap_core::claim::ClaimFaults;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::TimedFault;
use rillgap_lab::model::scenario::Scenario;
use rillgap_lab::observe::usability::{self, KeyedUsability};
use rillgap_lab::observe::{self, Condition};
use rillgap_lab::sim::engine;
use rillgap_lab::sim::options::SimulationOptions;

use crate::support::{cut, deployment, expect_conditions, freeze, kill, stop};

const SEEDS: u64 = 4;
const ENTRY_A: &str = "node-entry-hall-a-1";
const ENTRY_B: &str = "node-entry-hall-b-1";
const ENTRY_C: &str = "node-entry-hall-c-1";

/// Trondheim with impatient passengers, who repeat through another zone while the first attempt
/// is running.
fn impatient(faults: Vec<TimedFault>) -> Result<Scenario> {
    let mut scenario = deployment(Deployment::Trondheim, 0.3)?;
    for caller in &mut scenario.callers {
        caller.patience_millis = 50;
        caller.repeats = 5;
    }
    scenario.faults = faults;
    Ok(scenario)
}

fn entry_nodes_killed() -> Vec<TimedFault> {
    let entries = [ENTRY_A, ENTRY_B, ENTRY_C];
    (0..9)
        .map(|round| kill(500 + 700 * round, 300, entries[round as usize % 3]))
        .collect()
}

fn holders_frozen() -> Vec<TimedFault> {
    vec![
        freeze(500, 1_500, ENTRY_A),
        freeze(1_000, 2_500, "node-bestilling-1"),
        freeze(3_000, 4_000, ENTRY_B),
        freeze(3_500, 900, "node-bestilling-2"),
        freeze(5_000, 2_000, "node-oppgjor-1"),
    ]
}

#[gtest]
fn impatient_repeats_through_other_zones() -> Result<()> {
    expect_conditions(impatient(Vec::new())?, SEEDS)?;
    Ok(())
}

#[gtest]
fn entry_nodes_killed_between_claim_and_answer() -> Result<()> {
    expect_conditions(impatient(entry_nodes_killed())?, SEEDS)?;
    Ok(())
}

#[gtest]
fn holders_frozen_and_thawed() -> Result<()> {
    expect_conditions(impatient(holders_frozen())?, SEEDS)?;
    Ok(())
}

#[gtest]
fn zones_cut_two_ways_and_one_way() -> Result<()> {
    let faults = vec![
        cut(500, 2_500, "hall-a", false),
        cut(2_000, 3_000, "hall-b", true),
        cut(5_500, 1_000, "hall-c", true),
    ];
    expect_conditions(impatient(faults)?, SEEDS)?;
    Ok(())
}

#[gtest]
fn two_replicas_of_three_restarted_together() -> Result<()> {
    let faults = vec![
        kill(500, 200, "node-logbok-1"),
        kill(500, 200, "node-takst-2"),
        kill(2_000, 100, "node-bestilling-3"),
        kill(2_000, 100, ENTRY_A),
        kill(4_000, 50, ENTRY_B),
        kill(4_000, 50, ENTRY_C),
        kill(4_000, 50, "node-oppgjor-2"),
        kill(4_000, 50, "node-oppgjor-3"),
    ];
    expect_conditions(impatient(faults)?, SEEDS)?;
    Ok(())
}

#[gtest]
fn views_change_while_requests_are_in_flight() -> Result<()> {
    let faults = vec![
        stop(500, 5_000, "node-takst-1"),
        stop(1_000, 5_000, "node-logbok-2"),
        kill(1_500, 6_000, "node-oppgjor-3"),
        stop(2_500, 5_000, ENTRY_C),
        freeze(2_500, 3_000, "node-bestilling-2"),
    ];
    expect_conditions(impatient(faults)?, SEEDS)?;
    Ok(())
}

#[gtest]
fn requests_stay_usable_with_one_node_down() -> Result<()> {
    let mut total = KeyedUsability::default();
    for victim in ["node-takst-1", "node-bestilling-2", "node-oppgjor-3"] {
        let mut scenario = deployment(Deployment::Trondheim, 0.3)?;
        scenario.faults = vec![kill(2_000, 20_000, victim)];
        for outcome in expect_conditions(scenario, SEEDS)? {
            total.add(usability::measure(&outcome));
        }
    }
    println!("one node down: {total:?}");
    expect_that!(total.completed as f64, ge(total.wanted as f64 * 0.98));
    Ok(())
}

/// Returns whether any of the seeds shows a key that ran twice.
fn runs_twice(scenario: Scenario, claim_faults: ClaimFaults) -> Result<bool> {
    let scenario = Arc::new(scenario);
    let options = SimulationOptions {
        claim_faults,
        ..SimulationOptions::default()
    };
    for seed in 0..SEEDS {
        let outcome = engine::run(&scenario, seed, options)?;
        let violations = observe::check(&outcome);
        let twice = violations
            .iter()
            .find(|violation| violation.condition == Condition::AtMostOnce);
        if let Some(violation) = twice {
            println!("seed {seed}: {violation}");
            return Ok(true);
        }
    }
    Ok(false)
}

#[gtest]
fn ignored_holders_are_caught() -> Result<()> {
    let faults = ClaimFaults {
        ignore_holder: true,
        ..ClaimFaults::default()
    };
    expect_that!(runs_twice(impatient(Vec::new())?, faults)?, eq(true));
    Ok(())
}

#[gtest]
fn votes_without_standing_are_caught() -> Result<()> {
    let faults = ClaimFaults {
        ignore_voter_eligibility: true,
        ..ClaimFaults::default()
    };
    let replicas = ["logbok", "takst", "oppgjor"]
        .into_iter()
        .flat_map(|service| {
            (1..=3).map(move |number| kill(1_000, 20, &format!("node-{service}-{number}")))
        });
    let mut scenario = impatient(replicas.collect())?;
    for caller in &mut scenario.callers {
        caller.repeat_delay_millis = 3_500;
    }
    expect_that!(runs_twice(scenario, faults)?, eq(true));
    Ok(())
}
