//! Condition 2: protected work is shed after browsing and bulk downloads.

use googletest::prelude::*;
use rillgap_core::id::ServiceName;
use rillgap_core::policy::Class;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::Fault;
use rillgap_lab::sim::outcome::RunOutcome;

use crate::support::{at, deployment, expect_conditions};

const SEEDS: u64 = 2;

/// Overload at the entries and of a deep shared service at once.
fn expect_order(kind: Deployment, deep: &str) -> Result<()> {
    let mut scenario = deployment(kind, 1.0)?;
    scenario.settle_millis = 6_000;
    let surge = Fault::Surge {
        caller: None,
        factor: 4.0,
    };
    let slow = Fault::SlowService {
        service: ServiceName::new(deep),
        factor: 2.0,
    };
    scenario.faults = vec![at(1_000, 4_000, surge), at(1_500, 3_000, slow)];
    for outcome in expect_conditions(scenario, SEEDS)? {
        let (unprotected, protected) = (shed(&outcome, false), shed(&outcome, true));
        println!("shed: {unprotected} unprotected, {protected} protected");
        expect_that!(unprotected, gt(0));
    }
    Ok(())
}

fn shed(outcome: &RunOutcome, protected: bool) -> usize {
    let ledger = &outcome.ledger;
    let submissions = ledger.submissions.iter();
    submissions
        .filter(|submission| submission.told.not_run())
        .filter(|submission| (ledger.roots[submission.root].class == Class::Critical) == protected)
        .count()
}

#[gtest]
fn overload_of_trondheim() -> Result<()> {
    expect_order(Deployment::Trondheim, "logbok")
}

#[gtest]
fn overload_of_jylland() -> Result<()> {
    expect_order(Deployment::Jylland, "boringslog")
}
