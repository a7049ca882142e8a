//! Condition 3: whole answers, to whom they belong.

use googletest::prelude::*;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::Fault;
use rillgap_lab::sim::ledger::Told;

use crate::support::{at, back_end, cut, deployment, expect_conditions, freeze, kill};

const SEEDS: u64 = 4;

/// Long downloads while back ends fall silent and nodes are killed in the middle of bodies.
#[gtest]
fn bodies_that_break_off_never_look_whole() -> Result<()> {
    let mut scenario = deployment(Deployment::Jylland, 0.5)?;
    let silent = |after: u64, name: &str| {
        let back_end = back_end(name);
        at(after, 1_500, Fault::SilenceBackEnd { back_end })
    };
    let killed = |after: u64, name: &str| {
        let back_end = back_end(name);
        at(after, 1_000, Fault::KillBackEnd { back_end })
    };
    scenario.faults = vec![
        silent(500, "scanbank-1"),
        silent(1_500, "katalog-2"),
        killed(2_500, "scanbank-2"),
        kill(3_500, 500, "node-scanbank-3"),
        kill(4_500, 500, "node-entry-hal-a-1"),
        freeze(5_000, 1_500, "node-scanbank-1"),
        cut(6_000, 3_000, "hal-b", false),
    ];
    let outcomes = expect_conditions(scenario, SEEDS)?;
    let broken = outcomes
        .iter()
        .flat_map(|outcome| &outcome.ledger.submissions)
        .filter(|submission| matches!(submission.told, Told::Broken | Told::Lost));
    expect_that!(broken.count(), gt(0));
    Ok(())
}

/// Keys repeated while their first attempt is running, with late answers.
#[gtest]
fn repeated_keys_receive_their_own_answers() -> Result<()> {
    let mut scenario = deployment(Deployment::Trondheim, 0.3)?;
    for caller in &mut scenario.callers {
        caller.patience_millis = 70;
        caller.repeats = 6;
        caller.repeat_delay_millis = 5;
    }
    scenario.network.jitter_micros = 5_000;
    scenario.faults = vec![
        freeze(1_000, 200, "node-bestilling-1"),
        freeze(2_000, 200, "node-entry-hall-b-1"),
        cut(3_000, 1_000, "hall-a", false),
    ];
    expect_conditions(scenario, SEEDS)?;
    Ok(())
}
