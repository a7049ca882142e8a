//! Load: services with and without retries. Reports add up to all that was counted.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::time::Instant;
use rillgap_forward::log_record::RetryCharge;
use rillgap_forward::outbound::retry_report::{RetryReports, RetryTally};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[gtest]
fn service_with_retries_is_reported_each_second_and_others_every_five() {
    let mut reports = RetryReports::default();
    expect_that!(reports.take_due(at(0)), is_empty());
    reports.count_request(at(0), "calm");
    reports.count_request(at(0), "failing");
    reports.count_charge(at(300), "failing", RetryCharge::Retry);
    let due = reports.take_due(at(1_000));
    let tally = RetryTally {
        requests: 1,
        retries: 1,
        ..RetryTally::default()
    };
    let expected = ("failing".to_owned(), Duration::from_secs(1), tally);
    expect_that!(due, elements_are![eq(&expected)]);
    expect_that!(reports.take_due(at(4_000)), is_empty());
    let due = reports.take_due(at(5_000));
    let tally = RetryTally {
        requests: 1,
        ..RetryTally::default()
    };
    let expected = ("calm".to_owned(), Duration::from_secs(5), tally);
    expect_that!(due, elements_are![eq(&expected)]);
}

#[gtest]
fn each_kind_of_charge_has_a_count_of_its_own() {
    let mut reports = RetryReports::default();
    let charges = [
        RetryCharge::Retry,
        RetryCharge::Call,
        RetryCharge::Unattributed,
        RetryCharge::Denied,
        RetryCharge::CallDenied,
    ];
    for charge in charges {
        reports.count_charge(at(0), "deep", charge);
    }
    reports.count_free(at(0), "deep");
    let tallies: Vec<RetryTally> = reports
        .take_due(at(1_000))
        .into_iter()
        .map(|(_, _, tally)| tally)
        .collect();
    let expected = RetryTally {
        requests: 0,
        retries: 1,
        calls: 1,
        unattributed: 1,
        denied: 1,
        calls_denied: 1,
        free: 1,
    };
    expect_that!(tallies, elements_are![eq(&expected)]);
}
