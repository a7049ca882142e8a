//! Measures how much of the time that calls may wait is used up in the queue.
//!
//! The queue is ordered by rank, so under overload the calls of the lowest rank reach the end of
//! their wait while the queue is still short. A call that is refused then makes the work that was
//! done for its chain worthless. The admission level must rise before that, so the wait of these
//! calls counts as queue length in the controller of the level.

use std::time::Duration;

/// Weight of the newest sample in the mean bound of waits.
const BOUND_WEIGHT: f64 = 0.05;
/// Minimum bound of a call that counts, as a fraction of the mean bound. A call that has already
/// waited elsewhere has little of its bound left, which says nothing about this queue.
const MIN_COUNTED_FRACTION: f64 = 0.5;
/// Fraction of its bound that a call may wait while the queue counts as on target.
const TARGET_FRACTION: f64 = 0.5;

/// Maximum queue length that waits correspond to, as a multiple of the target length. A single call
/// whose wait has ended moves the level no further than a queue of this length.
const MAX_TARGETS: f64 = 1.5;

/// Waits of calls in the queue, relative to their bound, in one control window.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitPressure {
    mean_bound_micros: f64,
    /// Tier of the last call whose wait has ended unserved in this window; `None` without one.
    expired_tier: Option<u8>,
}

/// Queue length that the waits of a tier's calls correspond to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EquivalentQueue {
    /// Tier of the calls.
    pub tier: u8,
    /// Queue length, as a multiple of the target length of the queue.
    pub targets: f64,
}

impl WaitPressure {
    /// Records the time that a queued call may wait.
    pub fn observe_bound(&mut self, bound: Duration) {
        let micros = bound.as_micros() as f64;
        if self.mean_bound_micros == 0.0 {
            self.mean_bound_micros = micros;
        } else if self.counts(bound) {
            self.mean_bound_micros += (micros - self.mean_bound_micros) * BOUND_WEIGHT;
        }
    }

    /// Records that a call of a tier was refused after this wait, at the end of its bound.
    pub fn record_expired(&mut self, tier: u8, waited: Duration) {
        if self.counts(waited) {
            self.expired_tier = Some(tier);
        }
    }

    /// Ends the control window. `oldest` is the tier and the wait so far of the oldest queued call
    /// of the lowest rank. Returns `None` if no call waits or has waited to the end of its bound.
    pub fn end_window(&mut self, oldest: Option<(u8, Duration)>) -> Option<EquivalentQueue> {
        if let Some(tier) = self.expired_tier.take() {
            return Some(EquivalentQueue {
                tier,
                targets: MAX_TARGETS,
            });
        }
        let (tier, waited) = oldest?;
        let bound = self.mean_bound_micros;
        if bound == 0.0 {
            return None;
        }
        let used = waited.as_micros() as f64 / bound;
        Some(EquivalentQueue {
            tier,
            targets: (used / TARGET_FRACTION).min(MAX_TARGETS),
        })
    }

    fn counts(&self, wait: Duration) -> bool {
        wait.as_micros() as f64 >= self.mean_bound_micros * MIN_COUNTED_FRACTION
    }
}
