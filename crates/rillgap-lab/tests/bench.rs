//! The benchmark measures both paths and reads the usage of a process.

mod common;

use std::time::Duration;

use common::{back_end_settings, serve_back_end};
use googletest::prelude::*;
use rillgap_lab::bench::{self, BenchSettings, ProcessUsage};

#[gtest]
#[tokio::test]
async fn both_paths_are_measured_in_alternating_phases() {
    let mut back_end = back_end_settings();
    back_end.slots = 100;
    let (address, _back_end) = serve_back_end(back_end).await;
    let report = bench::run(&BenchSettings {
        direct: address,
        through: address,
        nodes: vec![std::process::id()],
        rate: 100.0,
        warm_up: Duration::from_millis(20),
        phase: Duration::from_millis(50),
        rounds: 2,
        concurrency: 2,
    })
    .await
    .expect("this process can be read");
    expect_that!(report.requests, len(eq(2)));
    for request in &report.requests {
        expect_that!(request.direct.whole, eq(10));
        expect_that!(request.through.whole, eq(10));
        expect_that!(request.added_p99_micros_by_round, len(eq(2)));
        expect_that!(request.full_load.failed_calls, eq(0));
    }
    expect_that!(report.resident_bytes, each(gt(&0)));
}

#[gtest]
fn a_process_that_does_not_exist_cannot_be_read() {
    expect_that!(ProcessUsage::read(u32::MAX), err(anything()));
}
