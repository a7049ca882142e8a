//! Tests how long a node uses its configuration without a new proof.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::time::Instant;
use rillgap_forward::freshness::Freshness;

const REVOCATION: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn proven_at(proof: u64) -> Freshness {
    let mut freshness = Freshness::new(Some(REVOCATION));
    freshness.record_proof(at(proof), 7, 7);
    freshness
}

#[gtest]
fn new_state_has_no_proof() {
    expect_that!(Freshness::new(Some(REVOCATION)).is_proven(at(0)), eq(false));
}

#[gtest]
fn no_proof_is_required_without_a_revocation_bound() {
    expect_that!(Freshness::new(None).is_proven(at(1_000_000)), eq(true));
    expect_that!(Freshness::new(None).queries_due(at(1_000_000)), none());
}

#[gtest]
fn proof_expires_before_the_bound() {
    let freshness = proven_at(1_000);
    expect_that!(freshness.is_proven(at(5_000)), eq(true));
    expect_that!(freshness.is_proven(at(6_000)), eq(false));
}

#[gtest]
fn proof_by_a_peer_counts_from_the_query_not_from_the_answer() {
    let mut freshness = Freshness::new(Some(REVOCATION));
    let number = freshness.begin_query(at(1_000));
    // The answer has waited in a socket for three seconds.
    freshness.on_answer(number, 7, millis(500), 7);
    expect_that!(freshness.proof_age(at(4_000)), some(eq(millis(3_500))));
}

#[gtest]
fn proof_from_before_the_start_of_the_process_keeps_its_age() {
    let mut freshness = Freshness::new(Some(REVOCATION));
    let number = freshness.begin_query(at(100));
    freshness.on_answer(number, 7, millis(4_000), 7);
    expect_that!(freshness.proof_age(at(100)), some(eq(millis(4_000))));
    expect_that!(freshness.is_proven(at(1_000)), eq(false));
}

#[gtest]
fn answer_without_a_query_proves_nothing() {
    let mut freshness = Freshness::new(Some(REVOCATION));
    let mut other = Freshness::new(Some(REVOCATION));
    let number = other.begin_query(at(0));
    freshness.on_answer(number, 7, millis(0), 7);
    expect_that!(freshness.is_proven(at(0)), eq(false));
}

#[gtest]
fn proof_of_a_newer_version_counts_once_the_version_is_in_force() {
    let mut freshness = Freshness::new(Some(REVOCATION));
    freshness.record_proof(at(1_000), 8, 7);
    expect_that!(freshness.is_proven(at(1_000)), eq(false));
    freshness.on_configuration_in_force(8);
    expect_that!(freshness.is_proven(at(1_000)), eq(true));
}

#[gtest]
fn proof_of_an_older_version_counts() {
    let mut freshness = Freshness::new(Some(REVOCATION));
    freshness.record_proof(at(1_000), 7, 8);
    expect_that!(freshness.is_proven(at(1_000)), eq(true));
}

#[gtest]
fn older_proof_does_not_replace_a_newer_one() {
    let mut freshness = proven_at(2_000);
    freshness.record_proof(at(1_000), 7, 7);
    expect_that!(freshness.proof_age(at(2_000)), some(eq(millis(0))));
}

#[gtest]
fn more_peers_are_queried_when_the_proof_is_older() {
    let freshness = proven_at(0);
    let young = freshness.queries_due(at(100));
    let middle = freshness.queries_due(at(1_500));
    let old = freshness.queries_due(at(4_000));
    expect_that!(young, none());
    expect_that!(middle, some(eq(1)));
    expect_that!(old, some(gt(1)));
}

#[gtest]
fn peers_are_not_queried_again_at_once() {
    let mut freshness = proven_at(0);
    freshness.begin_query(at(4_000));
    expect_that!(freshness.queries_due(at(4_100)), none());
    expect_that!(freshness.queries_due(at(4_300)), some(anything()));
}
