//! Measures the share of attempts that the back ends of a service refuse themselves.
//!
//! A back end that refuses a share of what it gets, whatever its load, has no queue that would show
//! it. Only how attempts end does.

use std::time::Duration;

use rillgap_core::time::Instant;

use crate::decaying_share::DecayingShare;

/// Time constant of the exponential decay, after which a counted attempt has 1/e of its weight
/// left.
const DECAY_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Accepted attempts that are added to those counted before a service counts as refusing: one
/// refusal among few attempts stays below [`MIN_REFUSED_SHARE`].
const PRIOR_ACCEPTED: f64 = 20.0;
/// Accepted attempts that are added to those counted for the share of a service that refuses. A
/// prior as large as the above one would understate the share of a service with few attempts.
const SHARE_PRIOR_ACCEPTED: f64 = 2.0;
/// Share of attempts from which a service counts as refusing.
pub const MIN_REFUSED_SHARE: f64 = 0.05;

/// Exponentially decaying share of attempts that back ends refused.
#[derive(Clone, Debug)]
pub struct Refusals(DecayingShare);

impl Default for Refusals {
    fn default() -> Self {
        Self(DecayingShare::new(DECAY_TIME_CONSTANT))
    }
}

impl Refusals {
    /// Records how an attempt that reached a back end has ended.
    pub fn record(&mut self, now: Instant, is_refused: bool) {
        self.0.record(now, is_refused);
    }

    /// Returns the share of attempts that were refused, from 0 to 1.
    pub fn share(&self, now: Instant) -> f64 {
        self.0.share(now, SHARE_PRIOR_ACCEPTED)
    }

    /// Returns whether so many attempts were refused that the service counts as refusing.
    pub fn is_refusing(&self, now: Instant) -> bool {
        self.0.share(now, PRIOR_ACCEPTED) >= MIN_REFUSED_SHARE
    }
}
