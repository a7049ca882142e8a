//! Measures the failure rate of the back end.
//!
//! A back end that loses answers, hangs or fails requests may look healthy to its health endpoint.
//! The node beside it observes how requests end and reports the failure rate, so that other nodes
//! send their requests to healthier back ends of the service.

use std::time::Duration;

use rillgap_core::time::Instant;

use crate::decaying_share::DecayingShare;

/// Time constant of the exponential decay, after which a counted request has 1/e of its weight
/// left.
const DECAY_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Successful requests that are added to those counted, so that one failure among few requests does
/// not mark a back end as failing.
const PRIOR_SUCCESSES: f64 = 5.0;

/// Exponentially decaying rate of the requests that the back end itself failed.
#[derive(Clone, Debug)]
pub(super) struct FailureRate(DecayingShare);

impl Default for FailureRate {
    fn default() -> Self {
        Self(DecayingShare::new(DECAY_TIME_CONSTANT))
    }
}

impl FailureRate {
    /// Records the outcome of a request.
    pub fn record(&mut self, now: Instant, is_failure: bool) {
        self.0.record(now, is_failure);
    }

    /// Returns the failure rate, in thousandths.
    pub fn permille(&self, now: Instant) -> u32 {
        (self.0.share(now, PRIOR_SUCCESSES) * 1_000.0) as u32
    }
}
