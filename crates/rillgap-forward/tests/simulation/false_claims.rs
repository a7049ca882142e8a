//! False claims that a request did not run, one for each kind of claim: the checker must report
//! all of them.

use googletest::prelude::*;

use crate::scenario::{InjectedBug, run_scenario};

/// Number of seeds.
const SEEDS: u64 = 60;
/// Number of seeds for claims that seldom meet another attempt which may not be repeated.
const CROSSED_CLAIM_SEEDS: u64 = 240;

/// Returns the violations of all seeds of a simulation with a false claim.
fn violations_with(injected_bug: InjectedBug) -> Vec<String> {
    let seeds = match injected_bug {
        InjectedBug::CrossedClaims => CROSSED_CLAIM_SEEDS,
        _ => SEEDS,
    };
    (0..seeds)
        .flat_map(|seed| run_scenario(seed, injected_bug).violations)
        .collect()
}

/// Expects that requests are found to run twice, and to run although they were refused.
fn expect_both_reported(injected_bug: InjectedBug) {
    let violations = violations_with(injected_bug);
    expect_that!(
        violations,
        contains(starts_with("TWICE")),
        "{injected_bug:?}"
    );
    expect_that!(
        violations,
        contains(starts_with("REFUSED")),
        "{injected_bug:?}"
    );
}

#[gtest]
fn checker_detects_a_request_that_runs_although_no_connection_was_opened() {
    expect_both_reported(InjectedBug::FalseNotSent);
}

#[gtest]
fn checker_detects_a_request_that_runs_although_the_back_end_has_refused_it() {
    expect_both_reported(InjectedBug::FalseNotExecuted);
}

#[gtest]
fn checker_detects_a_request_that_runs_although_it_was_meant_for_another_incarnation() {
    expect_both_reported(InjectedBug::FalseMisdirected);
}

#[gtest]
fn checker_detects_a_request_that_runs_although_its_node_has_not_started_it() {
    expect_both_reported(InjectedBug::FalseNotStarted);
}

#[gtest]
fn checker_detects_requests_that_count_as_not_run_when_their_link_ends() {
    // The other back ends of the service have room, so these requests are sent again, not refused.
    let violations = violations_with(InjectedBug::LinkEndAsNotRun);
    expect_that!(violations, contains(starts_with("TWICE")));
}

#[gtest]
fn checker_detects_a_claim_that_ends_another_attempt() {
    expect_both_reported(InjectedBug::CrossedClaims);
}

#[gtest]
fn checker_detects_a_request_of_unknown_outcome_that_is_answered_as_refused() {
    let violations = violations_with(InjectedBug::FalsePromise);
    expect_that!(violations, contains(starts_with("REFUSED")));
}
