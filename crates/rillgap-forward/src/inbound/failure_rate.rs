//! Measures the failure rate of the back end.
//!
//! A back end that loses answers, hangs or fails requests may look healthy to its health endpoint.
//! The node beside it observes how requests end and reports the failure rate, so that other nodes
//! send their requests to healthier back ends of the service.

use std::time::Duration;

use rillgap_core::time::Instant;

/// Time constant of the exponential decay, after which a counted request has 1/e of its weight
/// left.
const DECAY_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Successful requests that are added to those counted, so that one failure among few requests does
/// not mark a back end as failing.
const PRIOR_SUCCESSES: f64 = 5.0;

/// Exponentially decaying rate of the requests that the back end itself failed.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureRate {
    failed: f64,
    ended: f64,
    decayed_at: Instant,
}

impl FailureRate {
    /// Records the outcome of a request.
    pub fn record(&mut self, now: Instant, is_failure: bool) {
        self.decay(now);
        self.ended += 1.0;
        if is_failure {
            self.failed += 1.0;
        }
    }

    /// Returns the failure rate, in thousandths.
    pub fn permille(&mut self, now: Instant) -> u32 {
        self.decay(now);
        (self.failed * 1_000.0 / (self.ended + PRIOR_SUCCESSES)) as u32
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let kept = (-elapsed / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        self.failed *= kept;
        self.ended *= kept;
    }
}
