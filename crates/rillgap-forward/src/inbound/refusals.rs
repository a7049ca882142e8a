//! Measures the share of attempts that the back ends of a service refuse themselves.
//!
//! A back end that refuses a share of what it gets, whatever its load, has no queue that would show
//! it. Only how attempts end does.

use std::time::Duration;

use rillgap_core::time::Instant;

/// Time constant of the exponential decay, after which a counted attempt has 1/e of its weight
/// left.
const DECAY_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Accepted attempts that are added to those counted before a service counts as refusing: one
/// refusal among few attempts stays below [`MIN_REFUSED_SHARE`].
const PRIOR_ACCEPTED: f64 = 20.0;
/// Accepted attempts that are added to those counted for the share of a service that refuses. A
/// prior as large as the above one would understate the share of a service with few attempts.
const SHARE_PRIOR_ACCEPTED: f64 = 2.0;
/// Refusals that are added to those counted, each followed by a retry, for the share of refusals
/// that are retried.
const PRIOR_RETRIED: f64 = 5.0;
/// Share of refusals followed by a retry that counts as all of them: retries arrive later, and a
/// few calls have used up their attempts.
const FULLY_RETRIED_SHARE: f64 = 0.9;
/// Share of attempts from which a service counts as refusing.
pub const MIN_REFUSED_SHARE: f64 = 0.05;

/// Exponentially decaying share of attempts that back ends refused.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    refused: f64,
    attempts: f64,
    retries: f64,
    decayed_at: Instant,
}

impl Refusals {
    /// Records how an attempt that reached a back end has ended.
    pub fn record(&mut self, now: Instant, is_refused: bool) {
        self.decay(now);
        self.attempts += 1.0;
        if is_refused {
            self.refused += 1.0;
        }
    }

    /// Records the arrival of a retry.
    pub fn record_retry(&mut self, now: Instant) {
        self.decay(now);
        self.retries += 1.0;
    }

    /// Returns the share of refusals that are followed by a retry, from 0 to 1.
    pub fn retried_share(&self, now: Instant) -> f64 {
        let kept = self.kept(now);
        let retried = self.retries * kept + PRIOR_RETRIED;
        let refused = self.refused * kept + PRIOR_RETRIED;
        (retried / refused / FULLY_RETRIED_SHARE).min(1.0)
    }

    /// Returns the share of attempts that were refused, from 0 to 1.
    pub fn share(&self, now: Instant) -> f64 {
        self.share_with_prior(now, SHARE_PRIOR_ACCEPTED)
    }

    /// Returns whether so many attempts were refused that the service counts as refusing.
    pub fn is_refusing(&self, now: Instant) -> bool {
        self.share_with_prior(now, PRIOR_ACCEPTED) >= MIN_REFUSED_SHARE
    }

    fn share_with_prior(&self, now: Instant, prior: f64) -> f64 {
        let kept = self.kept(now);
        self.refused * kept / (self.attempts * kept + prior)
    }

    fn decay(&mut self, now: Instant) {
        let kept = self.kept(now);
        self.decayed_at = self.decayed_at.max(now);
        self.refused *= kept;
        self.attempts *= kept;
        self.retries *= kept;
    }

    fn kept(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_since(self.decayed_at).as_secs_f64();
        (-elapsed / DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
