//! Measurements of the process itself: processor time and memory.
#![allow(
    clippy::disallowed_methods,
    reason = "what is measured here is real time, which no decision depends on"
)]

use std::time::Duration;

/// Bytes of a page, as `/proc/self/statm` counts.
const PAGE: u64 = 4_096;

/// Real time spent in one step; the process is single-threaded and does not wait.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch(std::time::Instant);

impl Stopwatch {
    /// Starts a stopwatch.
    pub fn start() -> Self {
        Self(std::time::Instant::now())
    }

    /// Returns the time since its start.
    pub fn elapsed(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Returns the resident memory of the process in bytes, or zero where it cannot be read.
pub fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}
