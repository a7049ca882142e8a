//! The steady clock counts like the uptime of the machine, which includes suspended time.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_clock::SteadyClock;

/// Returns the uptime of the machine in seconds, including suspended time (proc(5),
/// `/proc/uptime`).
fn uptime() -> f64 {
    let text = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let first = text.split_whitespace().next().unwrap_or_default();
    first.parse().unwrap_or_default()
}

#[gtest]
fn clock_advances_with_the_uptime_of_the_machine() {
    let clock = SteadyClock::start();
    let before = uptime();
    std::thread::sleep(Duration::from_millis(200));
    let elapsed = clock.elapsed().as_secs_f64();
    let passed = uptime() - before;
    // The uptime has a resolution of 10 ms.
    expect_that!((elapsed - passed).abs(), lt(0.05));
}

#[gtest]
fn readings_never_decrease() {
    let clock = SteadyClock::start();
    let mut last = clock.now();
    for _ in 0..1_000 {
        let now = clock.now();
        expect_that!(now, ge(last));
        last = now;
    }
}
