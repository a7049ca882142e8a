//! Decides when an answer that has begun is overdue.
//!
//! The load pattern is a back end that sends a head or a body byte by byte, without an end. Nothing tells
//! such an answer from a true one that comes in pieces as the work goes on, so it is not broken off: that would take true answers
//! from their callers. A request that may be repeated is sent to another back end as well (see
//! [`outbound`](crate::outbound)), so that it is served in time whichever of the two it is. All others wait
//! until their deadline.

use std::time::Duration;

use rillgap_core::time::Instant;

/// Fraction of the target latency of a route after which an answer that has begun and is not whole is overdue.
const GRACE_FRACTION: f64 = 0.25;
/// Range of that time.
const GRACE_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Rate at which the bytes of a longer answer prolong that time, in bytes per second.
const MIN_BYTES_PER_SECOND: f64 = 1_048_576.0;

/// Returns the time after which an answer that has begun and is not whole is overdue.
pub fn grace(target_latency: Duration) -> Duration {
    let (shortest, longest) = GRACE_RANGE;
    target_latency
        .mul_f64(GRACE_FRACTION)
        .clamp(shortest, longest)
}

/// Pace of one answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerPace {
    grace: Duration,
    begun_at: Option<Instant>,
    received: u64,
    /// Since when the node itself does not read.
    paused_at: Option<Instant>,
}

impl AnswerPace {
    /// Creates the pace of an answer that has not begun.
    pub const fn new(grace: Duration) -> Self {
        Self {
            grace,
            begun_at: None,
            received: 0,
            paused_at: None,
        }
    }

    /// Records bytes of the answer.
    pub fn on_bytes(&mut self, now: Instant, count: usize) {
        self.begun_at.get_or_insert(now);
        self.received += count as u64;
    }

    /// Records that what has arrived so far was not a part of the answer, which is still to begin.
    pub fn restart(&mut self) {
        self.begun_at = None;
        self.received = 0;
    }

    /// Records that the node does not read for lack of room.
    pub fn pause(&mut self, now: Instant) {
        self.paused_at.get_or_insert(now);
    }

    /// Records that the node reads again. The time in which it did not does not count.
    pub fn resume(&mut self, now: Instant) {
        let Some(paused_at) = self.paused_at.take() else {
            return;
        };
        let paused = now.saturating_since(paused_at);
        self.begun_at = self.begun_at.map(|begun_at| begun_at + paused);
    }

    /// Returns when the answer is overdue; `None` if it has not begun or the node does not read.
    pub fn overdue_at(&self) -> Option<Instant> {
        if self.paused_at.is_some() {
            return None;
        }
        let transfer = Duration::from_secs_f64(self.received as f64 / MIN_BYTES_PER_SECOND);
        self.begun_at
            .map(|begun_at| begun_at + self.grace + transfer)
    }
}
