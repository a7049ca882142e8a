//! The simulation itself: equal seeds give equal runs, and an ordinary minute goes well.

use std::sync::Arc;

use googletest::prelude::*;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::scenario::Scenario;
use rillgap_lab::sim::engine;
use rillgap_lab::sim::options::SimulationOptions;

fn short(deployment: Deployment) -> Result<Arc<Scenario>> {
    let mut scenario = deployment.scenario()?;
    scenario.duration_millis = 3_000;
    Ok(Arc::new(scenario))
}

#[gtest]
fn equal_seeds_give_equal_runs() -> Result<()> {
    let options = SimulationOptions {
        timeline: true,
        ..SimulationOptions::default()
    };
    for deployment in Deployment::ALL {
        let scenario = short(deployment)?;
        let first = engine::run(&scenario, 7, options)?;
        let second = engine::run(&scenario, 7, options)?;
        let other = engine::run(&scenario, 8, options)?;
        expect_that!(first.digest, eq(second.digest));
        expect_that!(first.timeline == second.timeline, eq(true));
        expect_that!(first.digest, not(eq(other.digest)));
    }
    Ok(())
}

#[gtest]
fn an_ordinary_minute_completes_every_request() -> Result<()> {
    for deployment in Deployment::ALL {
        let scenario = short(deployment)?;
        let outcome = engine::run(&scenario, 1, SimulationOptions::default())?;
        for (group, model) in outcome.summary().iter().zip(&scenario.callers) {
            expect_that!(group.wanted, gt(0), "{}", model.name);
            expect_that!(group.completed, eq(group.wanted), "{}", model.name);
        }
    }
    Ok(())
}
