//! The steady clock reads the time since the machine was started, suspension included.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_clock::SteadyClock;

/// Returns the machine's time since its start in seconds, which counts suspended time (proc(5),
/// `/proc/uptime`).
fn uptime() -> f64 {
    let text = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let first = text.split_whitespace().next().unwrap_or_default();
    first.parse().unwrap_or_default()
}

#[gtest]
fn clock_goes_on_with_the_uptime_of_the_machine() {
    let clock = SteadyClock::start();
    let before = uptime();
    std::thread::sleep(Duration::from_millis(200));
    let elapsed = clock.elapsed().as_secs_f64();
    let passed = uptime() - before;
    // The uptime is told in hundredths of a second.
    expect_that!((elapsed - passed).abs(), lt(0.05));
}

#[gtest]
fn readings_never_go_back() {
    let clock = SteadyClock::start();
    let mut last = clock.now();
    for _ in 0..1_000 {
        let now = clock.now();
        expect_that!(now, ge(last));
        last = now;
    }
}
