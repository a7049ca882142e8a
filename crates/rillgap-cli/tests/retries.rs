//! Tests the sums of retries over the logs of all nodes.

use googletest::prelude::*;
use rillgap_cli::retries::{RetryBudget, RetryLogs, WorstWindow};

const BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    slack: 10.0,
    window: 10.0,
};

/// Returns a log line of a node, as written by `rillgap-fleet`.
fn line(node: &str, time: f64, requests: u32, retries: u32, calls: u32) -> String {
    format!(
        r#"{{"node":"{node}","message":"outbound: retries of a service","service":"deep","covered_millis":1000,"requests":{requests},"retries":{retries},"calls":{calls},"unattributed":0,"time":{time}}}"#
    )
}

fn worst(lines: &[String]) -> WorstWindow {
    let mut logs = RetryLogs::default();
    logs.read("", lines.join("\n").as_bytes())
        .expect("log is readable");
    let mut windows = logs.worst_windows(BUDGET);
    expect_that!(windows.len(), eq(1));
    windows.remove(0)
}

#[gtest]
fn retries_of_all_nodes_and_calls_made_for_retries_add_up() {
    // Each node stays below 10 + 0.2 * 100, both together do not.
    let mut lines = Vec::new();
    for second in 1..=10 {
        let time = 100.0 + f64::from(second);
        lines.push(line("n-1", time, 5, 2, 0));
        lines.push(line("n-2", time, 5, 0, 2));
    }
    let worst = worst(&lines);
    expect_that!(worst.sums.charged(), near(40.0, 1e-6));
    expect_that!(worst.sums.calls, near(20.0, 1e-6));
    expect_that!(worst.allowed, near(30.0, 1e-6));
    expect_that!(worst.is_exceeded(), eq(true));
}

#[gtest]
fn requests_of_an_earlier_window_count() {
    let mut lines = Vec::new();
    for second in 1..=10 {
        lines.push(line("n-1", 100.0 + f64::from(second), 100, 0, 0));
    }
    for second in 11..=19 {
        lines.push(line("n-1", 100.0 + f64::from(second), 1, 20, 0));
    }
    let worst = worst(&lines);
    expect_that!(worst.sums.charged(), near(180.0, 1e-6));
    expect_that!(worst.counted_requests, ge(900.0));
    expect_that!(worst.is_exceeded(), eq(false));
}

#[gtest]
fn worst_window_names_the_node_with_most_retries() {
    let lines = [line("n-1", 101.0, 10, 1, 0), line("n-2", 101.2, 10, 3, 4)];
    let worst = worst(&lines);
    expect_that!(worst.busiest_node, eq("n-2"));
    expect_that!(worst.busiest_charged, near(7.0, 1e-6));
}

#[gtest]
fn other_records_are_ignored() {
    let mut logs = RetryLogs::default();
    let log = r#"{"node":"n-1","message":"outbound: answered","request":"a","time":1.0}"#;
    logs.read("", log.as_bytes()).expect("log is readable");
    expect_that!(logs.worst_windows(BUDGET), is_empty());
}
