//! The observers catch faults of the claim protocol in whole deployments under random faults.

use std::sync::Arc;

use googletest::prelude::*;
use rillgap_core::claim::ClaimFaults;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::exploration;
use rillgap_lab::observe::{self, Condition};
use rillgap_lab::sim::engine;
use rillgap_lab::sim::options::SimulationOptions;

/// Returns the seeds in which a key ran twice or was wrongly told as not run.
fn broken_seeds(seeds: std::ops::Range<u64>, claim_faults: ClaimFaults) -> Result<Vec<u64>> {
    let options = SimulationOptions {
        claim_faults,
        ..SimulationOptions::default()
    };
    let mut broken = Vec::new();
    for seed in seeds {
        let scenario = Arc::new(exploration::draw(Deployment::Trondheim, seed)?);
        let violations = observe::check(&engine::run(&scenario, seed, options)?);
        let found = violations.iter().find(|violation| {
            matches!(
                violation.condition,
                Condition::AtMostOnce | Condition::NotRun
            )
        });
        if let Some(violation) = found {
            println!("{claim_faults:?}, seed {seed}: {violation}");
            broken.push(seed);
        }
    }
    Ok(broken)
}

#[gtest]
fn replicas_that_grant_a_held_key_are_caught() -> Result<()> {
    let held_key_granted = ClaimFaults {
        ignore_holder: true,
        ..ClaimFaults::default()
    };
    expect_that!(broken_seeds(0..4, ClaimFaults::default())?, is_empty());
    expect_that!(broken_seeds(0..4, held_key_granted)?, not(is_empty()));
    Ok(())
}
