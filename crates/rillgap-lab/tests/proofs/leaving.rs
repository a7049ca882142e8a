//! Condition 6: a leaving back end receives nothing new after a few seconds.

use googletest::prelude::*;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::{Fault, TimedFault};
use rillgap_lab::sim::outcome::RunOutcome;

use crate::support::{at, back_end, cut, deployment, expect_conditions, node};

const SEEDS: u64 = 3;
const LEAVING: &str = "takst-2";
const LEAVING_MILLIS: u64 = 20_000;

/// Runs with faults and expects that the back end was leaving for a while.
fn expect_leaving(faults: Vec<TimedFault>) -> Result<Vec<RunOutcome>> {
    let mut scenario = deployment(Deployment::Trondheim, 0.3)?;
    scenario.duration_millis += 8_000;
    scenario.faults = faults;
    let outcomes = expect_conditions(scenario, SEEDS)?;
    for outcome in &outcomes {
        expect_that!(outcome.ledger.leavings.len(), gt(0));
    }
    Ok(outcomes)
}

fn announced() -> TimedFault {
    let back_end = back_end(LEAVING);
    at(1_000, LEAVING_MILLIS, Fault::AnnounceLeaving { back_end })
}

fn drained(through: &str) -> TimedFault {
    let fault = Fault::DrainBackEnd {
        back_end: back_end(LEAVING),
        through: node(through),
    };
    at(1_000, LEAVING_MILLIS, fault)
}

#[gtest]
fn drained_by_an_operator() -> Result<()> {
    expect_leaving(vec![drained("node-entry-hall-c-1")])?;
    Ok(())
}

#[gtest]
fn drained_by_an_operator_while_a_zone_is_cut_off_and_heals() -> Result<()> {
    let faults = vec![
        drained("node-entry-hall-c-1"),
        cut(900, 4_000, "hall-b", false),
    ];
    expect_leaving(faults)?;
    Ok(())
}

#[gtest]
fn named_by_the_machine_list() -> Result<()> {
    let node = node("node-takst-2");
    let fault = at(1_000, LEAVING_MILLIS, Fault::MachineLeaving { node });
    expect_leaving(vec![fault])?;
    Ok(())
}

#[gtest]
fn announced_by_itself() -> Result<()> {
    expect_leaving(vec![announced()])?;
    Ok(())
}

#[gtest]
fn announced_by_itself_with_the_store_down() -> Result<()> {
    let down = at(500, LEAVING_MILLIS, Fault::StoreDown);
    expect_leaving(vec![down, announced()])?;
    Ok(())
}

#[gtest]
fn announced_by_itself_with_its_zone_cut_off() -> Result<()> {
    expect_leaving(vec![cut(500, 10_000, "hall-b", false), announced()])?;
    Ok(())
}
