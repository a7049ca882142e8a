//! Load: runs of a route make different numbers of calls. Retries are reserved for as many as runs of
//! the route are expected to make.

use googletest::prelude::*;
use rillgap_forward::inbound::call_profile::{CallCounts, CallProfile};

fn calls(counts: &[(&str, u32)]) -> CallCounts {
    let counts = counts.iter();
    counts
        .map(|(service, count)| ((*service).to_owned(), *count))
        .collect()
}

#[gtest]
fn expected_calls_follow_the_runs_that_make_most() {
    let mut profile = CallProfile::default();
    profile.record("book", &calls(&[("deep", 8), ("other", 1)]));
    profile.record("book", &calls(&[("deep", 2)]));
    let expected = profile.expected("book");
    expect_that!(expected, eq(&calls(&[("deep", 8), ("other", 1)])));
}

#[gtest]
fn expected_calls_decline_while_runs_make_fewer() {
    let mut profile = CallProfile::default();
    profile.record("book", &calls(&[("deep", 8)]));
    for _ in 0..200 {
        profile.record("book", &calls(&[("deep", 2)]));
    }
    expect_that!(profile.expected("book"), eq(&calls(&[("deep", 2)])));
    for _ in 0..200 {
        profile.record("book", &CallCounts::new());
    }
    expect_that!(profile.expected("book"), eq(&CallCounts::new()));
}

#[gtest]
fn routes_are_told_apart() {
    let mut profile = CallProfile::default();
    profile.record("book", &calls(&[("deep", 8)]));
    expect_that!(profile.expected("browse"), eq(&CallCounts::new()));
}
