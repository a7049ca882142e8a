//! Measurements of the process itself: processor time and memory.
#![allow(
    clippy::disallowed_methods,
    reason = "what is measured here is real time, which no decision depends on"
)]

use std::time::Duration;

/// Bytes of a page, as `/proc/self/statm` counts.
const PAGE: u64 = 4_096;
/// Fields of `/proc/self/stat` between the name of the process and its processor times.
const PROCESSOR_FIELDS_AFTER_NAME: usize = 11;

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

/// Tells for which share of real time the process, which has one busy thread, was on a processor.
///
/// A machine that is busy with other work takes the processor away in the middle of a step; the
/// stopwatch counts that, so that its sum has to be scaled by this share.
#[derive(Clone, Copy, Debug)]
pub struct PhaseClock {
    began: std::time::Instant,
    on_processor: Option<Duration>,
}

impl PhaseClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            began: std::time::Instant::now(),
            on_processor: on_processor(),
        }
    }

    /// Returns the share since the start, or one where the system does not tell.
    pub fn share(&self) -> f64 {
        let passed = self.began.elapsed().as_secs_f64();
        match (self.on_processor, on_processor()) {
            (Some(before), Some(now)) if passed > 0.0 => {
                (now.saturating_sub(before).as_secs_f64() / passed).min(1.0)
            }
            _ => 1.0,
        }
    }
}

/// Returns the processor time of the process, which counts in hundredths of a second.
fn on_processor() -> Option<Duration> {
    let statistics = std::fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = statistics.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(PROCESSOR_FIELDS_AFTER_NAME);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 10))
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
