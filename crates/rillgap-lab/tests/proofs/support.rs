//! Builds runs for the proofs and expects that no condition is broken.

use std::sync::Arc;

use googletest::prelude::*;
use rillgap_core::id::{BackEndName, NodeName, ZoneName};
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::{Fault, TimedFault};
use rillgap_lab::model::scenario::{Bootstrap, STORE_BOOTSTRAP_MILLIS, Scenario};
use rillgap_lab::observe;
use rillgap_lab::sim::engine;
use rillgap_lab::sim::options::SimulationOptions;
use rillgap_lab::sim::outcome::RunOutcome;

/// Time for which callers send, in milliseconds.
pub const LOAD_MILLIS: u64 = 8_000;
/// Time after the last arrival, in milliseconds.
const SETTLE_MILLIS: u64 = 16_000;

/// Returns a deployment that starts from the store, at a share of its ordinary rate.
pub fn deployment(deployment: Deployment, rate_share: f64) -> Result<Scenario> {
    let mut scenario = deployment.scenario()?;
    scenario.bootstrap = Bootstrap::Store;
    scenario.callers_start_millis = STORE_BOOTSTRAP_MILLIS;
    scenario.duration_millis = STORE_BOOTSTRAP_MILLIS + LOAD_MILLIS;
    scenario.settle_millis = SETTLE_MILLIS;
    for caller in &mut scenario.callers {
        caller.rate_per_second *= rate_share;
    }
    Ok(scenario)
}

/// Returns a fault at a time after the callers' start, both in milliseconds.
pub fn at(after_millis: u64, for_millis: u64, fault: Fault) -> TimedFault {
    TimedFault {
        at_millis: STORE_BOOTSTRAP_MILLIS + after_millis,
        for_millis,
        fault,
    }
}

/// Runs a scenario with several seeds and expects that no condition is broken.
pub fn expect_conditions(scenario: Scenario, seeds: u64) -> Result<Vec<RunOutcome>> {
    let scenario = Arc::new(scenario);
    let mut outcomes = Vec::new();
    for seed in 0..seeds {
        let outcome = engine::run(&scenario, seed, SimulationOptions::default())?;
        for violation in observe::check(&outcome) {
            add_failure!("seed {seed}: {violation}");
        }
        outcomes.push(outcome);
    }
    Ok(outcomes)
}

/// Returns the name of a node.
pub fn node(name: &str) -> NodeName {
    NodeName::new(name)
}

/// Returns the name of a back end.
pub fn back_end(name: &str) -> BackEndName {
    BackEndName::new(name)
}

/// Returns the name of a zone.
pub fn zone(name: &str) -> ZoneName {
    ZoneName::new(name)
}

/// Kills a node for a time.
pub fn kill(after_millis: u64, for_millis: u64, name: &str) -> TimedFault {
    at(
        after_millis,
        for_millis,
        Fault::KillNode { node: node(name) },
    )
}

/// Freezes a node for a time.
pub fn freeze(after_millis: u64, for_millis: u64, name: &str) -> TimedFault {
    let node = node(name);
    at(after_millis, for_millis, Fault::FreezeNode { node })
}

/// Stops a node as planned and starts it again after a time.
pub fn stop(after_millis: u64, for_millis: u64, name: &str) -> TimedFault {
    at(
        after_millis,
        for_millis,
        Fault::StopNode { node: node(name) },
    )
}

/// Cuts a zone off from all others.
pub fn cut(after_millis: u64, for_millis: u64, name: &str, one_way: bool) -> TimedFault {
    let fault = Fault::CutZones {
        from: zone(name),
        to: None,
        one_way,
    };
    at(after_millis, for_millis, fault)
}
