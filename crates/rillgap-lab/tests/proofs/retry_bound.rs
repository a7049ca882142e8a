//! Condition 1: a chain of five services, each hop repeating five times.

use googletest::prelude::*;
use rillgap_core::id::ServiceName;
use rillgap_core::policy::Class;
use rillgap_lab::model::deployment::Deployment;
use rillgap_lab::model::fault::Fault;
use rillgap_lab::model::policy::back_end_name;
use rillgap_lab::model::scenario::{
    CallModel, CallerModel, RouteModel, Scenario, ServiceModel, TokenUse,
};
use rillgap_lab::observe::retry_bound;
use rillgap_lab::sim::ledger::Told;

use crate::support::{at, cut, deployment, expect_conditions};

const SEEDS: u64 = 3;
const DEPTH: usize = 5;
const REPEATS: u8 = 5;

fn service_name(position: usize) -> ServiceName {
    ServiceName::new(format!("hop-{position}"))
}

fn service(base: &ServiceModel, position: usize) -> ServiceModel {
    ServiceModel {
        name: service_name(position),
        ..base.clone()
    }
}

fn route(position: usize, token: TokenUse) -> RouteModel {
    let call = CallModel {
        service: service_name(position + 1),
        method: "POST".to_owned(),
        path: "/step".to_owned(),
        repeats: REPEATS,
        timeout_millis: 300,
        token,
    };
    RouteModel {
        service: service_name(position),
        method: "POST".to_owned(),
        path: "/step".to_owned(),
        class: Class::Critical,
        repeatable: position > 0,
        deadline_millis: 4_000,
        work_micros: 4_000,
        answer_bytes: 200,
        calls: if position + 1 < DEPTH {
            vec![call]
        } else {
            Vec::new()
        },
    }
}

/// A chain of five services whose last one fails again and again; bookings are repeated with
/// their key through another zone.
fn chain(token: TokenUse) -> Result<Scenario> {
    let mut scenario = deployment(Deployment::Trondheim, 1.0)?;
    let base = scenario.services[0].clone();
    scenario.services = (0..DEPTH)
        .map(|position| service(&base, position))
        .collect();
    scenario.routes = (0..DEPTH).map(|position| route(position, token)).collect();
    scenario.callers = vec![CallerModel {
        name: "bookings".to_owned(),
        service: service_name(0),
        method: "POST".to_owned(),
        path: "/step".to_owned(),
        zone: None,
        rate_per_second: 40.0,
        patience_millis: 1_500,
        repeats: REPEATS,
        repeat_delay_millis: 20,
        switch_zone: true,
        population: 100,
    }];
    let last = service_name(DEPTH - 1);
    scenario.faults = (1..=base.back_ends)
        .map(|number| {
            let back_end = back_end_name(last.as_str(), number);
            let after = 1_000 + 200 * u64::from(number);
            at(after, 4_000, Fault::KillBackEnd { back_end })
        })
        .collect();
    scenario.faults.push(cut(5_500, 2_300, "hall-b", true));
    Ok(scenario)
}

#[gtest]
fn hops_that_repeat_with_their_token_stay_within_the_bound() -> Result<()> {
    let scenario = chain(TokenUse::Valid)?;
    let bound = u64::from(scenario.bounds.extra_attempts);
    for outcome in expect_conditions(scenario, SEEDS)? {
        let highest = retry_bound::highest(&outcome);
        println!("highest number of extra attempts {highest}, bound {bound}");
        expect_that!(highest, gt(0));
        expect_that!(highest, le(bound));
    }
    Ok(())
}

#[gtest]
fn calls_without_a_valid_token_never_run() -> Result<()> {
    for token in [TokenUse::Missing, TokenUse::Stale] {
        for outcome in expect_conditions(chain(token)?, SEEDS)? {
            let calls = &outcome.ledger.calls;
            expect_that!(calls.len(), gt(0));
            let answered = calls
                .iter()
                .filter(|call| matches!(call.told, Told::Answer { .. }));
            expect_that!(answered.count(), eq(0));
        }
    }
    Ok(())
}
