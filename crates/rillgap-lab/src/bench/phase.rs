//! One phase of a measurement: steady load or full load on one path.
#![allow(
    clippy::disallowed_methods,
    reason = "a phase lasts for a time of the real clock"
)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::load::{CallReport, Caller, PlannedCall, RequestShape, pace};

/// Begins calls at a steady rate for a time and returns what came back.
pub(super) async fn steady(
    caller: &Arc<Caller>,
    shape: &RequestShape,
    rate: f64,
    duration: Duration,
) -> CallReport {
    let mut calls = JoinSet::new();
    let mut planned = pace(rate, duration);
    while let Some(call) = planned.recv().await {
        let caller = Arc::clone(caller);
        let shape = shape.clone();
        calls.spawn(async move { caller.call(call, &shape).await });
    }
    let mut report = CallReport::default();
    for record in calls.join_all().await {
        report.count(&record);
    }
    report
}

/// Keeps a number of calls under way for a time and returns what came back.
pub(super) async fn full(
    caller: &Arc<Caller>,
    shape: &RequestShape,
    concurrency: u32,
    duration: Duration,
) -> CallReport {
    let end = Instant::now() + duration;
    let mut workers = JoinSet::new();
    for worker in 0..concurrency {
        let caller = Arc::clone(caller);
        let shape = shape.clone();
        workers.spawn(async move { call_until(end, worker, &caller, &shape).await });
    }
    let mut report = CallReport::default();
    for part in workers.join_all().await {
        report.merge(&part);
    }
    report
}

async fn call_until(
    end: Instant,
    worker: u32,
    caller: &Caller,
    shape: &RequestShape,
) -> CallReport {
    let mut report = CallReport::default();
    // Numbers of different workers differ in their upper half.
    let mut number = u64::from(worker) << u32::BITS;
    loop {
        let due = Instant::now();
        if due >= end {
            return report;
        }
        report.count(&caller.call(PlannedCall { number, due }, shape).await);
        number += 1;
    }
}
