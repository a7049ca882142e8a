//! Each observer catches the fault that is planted for it, and no fault is seen without one.

use std::sync::Arc;

use googletest::prelude::*;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::{Fault, TimedFault};
use rillgap_lab::model::scenario::{Bootstrap, Scenario};
use rillgap_lab::observe::{self, Condition};
use rillgap_lab::sim::engine;
use rillgap_lab::sim::options::{PlantedFault, SimulationOptions};

/// Builds a short run of Trondheim with a share of the ordinary rate and the given faults.
fn scenario(rate_share: f64, faults: Vec<TimedFault>) -> Result<Arc<Scenario>> {
    let mut scenario = Deployment::Trondheim.scenario()?;
    scenario.bootstrap = Bootstrap::Fixed;
    scenario.duration_millis = 8_000;
    scenario.settle_millis = 12_000;
    for caller in &mut scenario.callers {
        caller.rate_per_second *= rate_share;
    }
    scenario.faults = faults;
    Ok(Arc::new(scenario))
}

fn at(at_millis: u64, for_millis: u64, fault: Fault) -> TimedFault {
    TimedFault {
        at_millis,
        for_millis,
        fault,
    }
}

/// Returns the conditions that a run breaks.
fn broken(scenario: &Arc<Scenario>, planted: Option<PlantedFault>) -> Result<Vec<Condition>> {
    let options = SimulationOptions {
        planted,
        ..SimulationOptions::default()
    };
    let outcome = engine::run(scenario, 1, options)?;
    let violations = observe::check(&outcome);
    for violation in violations.iter().take(2) {
        println!("{planted:?}: {violation}");
    }
    let mut conditions: Vec<Condition> = violations
        .into_iter()
        .map(|violation| violation.condition)
        .collect();
    conditions.sort_unstable();
    conditions.dedup();
    Ok(conditions)
}

/// Expects that a condition is broken with a planted fault and none without it.
fn expect_caught(
    planted: PlantedFault,
    condition: Condition,
    rate_share: f64,
    faults: Vec<TimedFault>,
) -> Result<()> {
    let scenario = scenario(rate_share, faults)?;
    expect_that!(broken(&scenario, None)?, is_empty());
    expect_that!(broken(&scenario, Some(planted))?, contains(eq(&condition)));
    Ok(())
}

fn kill_back_ends_of_trip_log() -> Vec<TimedFault> {
    (1..=3)
        .map(|number| {
            let back_end = rillgap_lab::model::policy::back_end_name("logbok", number);
            at(
                1_000 + 300 * u64::from(number),
                2_000,
                Fault::KillBackEnd { back_end },
            )
        })
        .collect()
}

/// Kills every back end again and again for a moment, each at another time, so that requests break at
/// back ends that worked a moment ago. Attempts at one that is known to have ended do not reach it:
/// longer outages cause few extra attempts, whatever the bound is.
fn restarting_back_ends() -> Vec<TimedFault> {
    let services = ["oppgjor", "bestilling", "logbok", "takst"];
    let numbered = services
        .into_iter()
        .flat_map(|service| (1..=3).map(move |number| (service, number)));
    let kills = numbered.zip(1..).flat_map(|(back_end, position)| {
        (0..12).map(move |round| (back_end, 1_000 + 500 * round + 41 * position))
    });
    kills
        .map(|((service, number), at_millis)| {
            let back_end = rillgap_lab::model::policy::back_end_name(service, number);
            at(at_millis, 20, Fault::KillBackEnd { back_end })
        })
        .collect()
}

fn overload() -> Vec<TimedFault> {
    let surge = Fault::Surge {
        caller: None,
        factor: 6.0,
    };
    vec![at(1_000, 3_000, surge)]
}

fn node(name: &str) -> rillgap_core::id::NodeName {
    rillgap_core::id::NodeName::new(name)
}

#[gtest]
fn raised_bound_is_caught() -> Result<()> {
    expect_caught(
        PlantedFault::BoundRaised,
        Condition::RetryBound,
        0.3,
        restarting_back_ends(),
    )
}

#[gtest]
fn exchanged_classes_are_caught() -> Result<()> {
    let planted = PlantedFault::ClassesExchanged;
    expect_caught(planted, Condition::ClassOrder, 1.0, overload())
}

#[gtest]
fn mixed_up_answers_are_caught() -> Result<()> {
    let planted = PlantedFault::AnswersMixedUp;
    expect_caught(planted, Condition::WholeAnswers, 0.1, Vec::new())
}

#[gtest]
fn refused_requests_that_run_are_caught() -> Result<()> {
    let planted = PlantedFault::RefusedRequestsRun;
    expect_caught(
        planted,
        Condition::NotRun,
        0.3,
        kill_back_ends_of_trip_log(),
    )
}

#[gtest]
fn requests_that_run_twice_are_caught() -> Result<()> {
    let planted = PlantedFault::RequestsRunTwice;
    expect_caught(planted, Condition::AtMostOnce, 0.1, Vec::new())
}

#[gtest]
fn unheard_leaving_is_caught() -> Result<()> {
    let back_end = rillgap_lab::model::policy::back_end_name("takst", 1);
    let leaving = at(1_000, 0, Fault::AnnounceLeaving { back_end });
    let planted = PlantedFault::LeavingUnheard;
    expect_caught(planted, Condition::Leaving, 0.3, vec![leaving])
}

#[gtest]
fn stop_at_once_is_caught() -> Result<()> {
    let stop = Fault::StopNode {
        node: node("node-bestilling-1"),
    };
    let faults = vec![at(1_000, 10_000, stop)];
    expect_caught(
        PlantedFault::StopAtOnce,
        Condition::PlannedStop,
        0.5,
        faults,
    )
}
