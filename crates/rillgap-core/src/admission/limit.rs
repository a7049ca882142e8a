//! Adaptive concurrency limit of one back end, adjusted by how its requests end.
//!
//! The slots of the policy are the upper bound. Below it, the limit grows by one per answer while
//! it recovers (slow start), then by one per `limit` answers (additive increase). An answer raises
//! the limit only if at least half of it was in use. The limit is multiplied by
//! [`DECREASE_FACTOR`] when the back end sheds. After [`FAILURES_BEFORE_SLOW_START`] consecutive
//! failures it drops to at most [`SLOW_START_FRACTION`] of the slots, and slow start begins again.

use std::time::Duration;

use super::Completion;
use crate::time::Instant;

/// Factor applied to the limit when the back end sheds a request.
const DECREASE_FACTOR: f64 = 0.8;
/// Number of consecutive failures after which slow start begins again.
const FAILURES_BEFORE_SLOW_START: u32 = 8;
/// Fraction of the slots at which slow start begins.
const SLOW_START_FRACTION: f64 = 0.25;
/// Minimum limit: one request is always admitted, so that the limit can recover.
const MIN_LIMIT: f64 = 1.0;
/// Minimum time after a decrease during which shed requests do not decrease the limit again, so
/// that one burst counts once. The latency of the shed request is used instead if it is longer.
const MIN_COOLDOWN: Duration = Duration::from_millis(20);

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    slots: f64,
    limit: f64,
    /// Limit at which slow start ends.
    slow_start_until: f64,
    consecutive_failures: u32,
    decreased_at: Option<Instant>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            slots: MIN_LIMIT,
            limit: MIN_LIMIT,
            slow_start_until: MIN_LIMIT,
            consecutive_failures: 0,
            decreased_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Sets the upper bound. After a change, growth up to the new bound is slow start. If the
    /// previous bound was one slot, as it is initially, the limit becomes [`SLOW_START_FRACTION`]
    /// of the new bound.
    pub fn configure(&mut self, slots: u16) {
        let slots = f64::from(slots.max(1));
        if slots == self.slots {
            return;
        }
        if self.slots == MIN_LIMIT {
            self.limit = (slots * SLOW_START_FRACTION).max(MIN_LIMIT);
        }
        self.slots = slots;
        self.slow_start_until = slots;
        self.limit = self.limit.min(slots);
    }

    /// Returns the number of requests that may run concurrently.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Adjusts the limit when a request ends; `running` counts the running requests, including
    /// that one.
    pub fn finish(
        &mut self,
        now: Instant,
        completion: Completion,
        latency: Duration,
        running: usize,
    ) {
        match completion {
            Completion::Answered => self.on_answered(running),
            Completion::Shed => self.on_shed(now, latency),
            Completion::Failed => self.on_failed(now),
        }
    }

    fn on_answered(&mut self, running: usize) {
        self.consecutive_failures = 0;
        // At least half of the limit must be in use for an answer to raise the limit.
        let is_half_used = running as f64 >= self.limit * 0.5;
        if !is_half_used || self.limit >= self.slots {
            return;
        }
        let growth = if self.limit < self.slow_start_until {
            1.0
        } else {
            1.0 / self.limit
        };
        self.limit = (self.limit + growth).min(self.slots);
    }

    fn on_shed(&mut self, now: Instant, latency: Duration) {
        self.consecutive_failures = 0;
        let cooldown = latency.max(MIN_COOLDOWN);
        let is_cooling_down = self
            .decreased_at
            .is_some_and(|at| now.saturating_since(at) < cooldown);
        if !is_cooling_down {
            self.decrease(now, self.limit * DECREASE_FACTOR);
        }
    }

    fn on_failed(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= FAILURES_BEFORE_SLOW_START {
            self.consecutive_failures = 0;
            self.decrease(now, self.limit.min(self.slots * SLOW_START_FRACTION));
            self.slow_start_until = self.slots;
        }
    }

    fn decrease(&mut self, now: Instant, limit: f64) {
        self.limit = limit.max(MIN_LIMIT);
        self.slow_start_until = self.limit;
        self.decreased_at = Some(now);
    }
}
