//! Outlier ejection: a back end that keeps failing is left out and probed again.

use std::time::Duration;

use crate::time::Instant;

/// Failures in a row after which a back end is left out.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Time for which a back end is left out at first.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(250);
/// Longest time for which a back end is left out before it is probed.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Time after which a probe without a result is taken for lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a returning back end comes back to its full share.
const SLOW_START_TIME: Duration = Duration::from_secs(1);
/// Share that a returning back end gets at first.
const MIN_SLOW_START_FRACTION: f64 = 0.1;

/// Whether a back end may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It may be chosen.
    Available,
    /// It was left out for long enough; one call may try it.
    Probe,
    /// It is left out.
    Ejected,
}

/// Health of one back end as its callers see it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probe_until: Option<Instant>,
    slow_start_at: Option<Instant>,
    is_unreachable: bool,
}

impl Health {
    /// Creates the health of a back end that has just come into service.
    pub fn slow_starting(now: Instant) -> Self {
        Self {
            slow_start_at: Some(now),
            ..Self::default()
        }
    }

    /// Returns whether the back end may be chosen.
    pub fn availability(&self, now: Instant) -> Availability {
        match (self.ejected_until, self.probe_until) {
            (None, _) => Availability::Available,
            (Some(until), _) if now < until => Availability::Ejected,
            (Some(_), Some(probe)) if now < probe => Availability::Ejected,
            (Some(_), _) => Availability::Probe,
        }
    }

    /// Returns the share of its load that the back end may take, from [`MIN_SLOW_START_FRACTION`] to one.
    pub fn slow_start_fraction(&self, now: Instant) -> f64 {
        let Some(slow_start_at) = self.slow_start_at else {
            return 1.0;
        };
        let since = now.saturating_since(slow_start_at);
        (since.as_micros() as f64 / SLOW_START_TIME.as_micros() as f64)
            .clamp(MIN_SLOW_START_FRACTION, 1.0)
    }

    /// Tells that a call was sent; on an ejected back end it is the probe.
    pub fn on_started(&mut self, now: Instant) {
        if self.ejected_until.is_some() {
            self.probe_until = Some(now + PROBE_TIMEOUT);
        }
    }

    /// Tells that the back end answered, be it with a refusal.
    pub fn on_success(&mut self, now: Instant) {
        self.failures = 0;
        self.is_unreachable = false;
        if self.ejected_until.take().is_some() {
            self.probe_until = None;
            self.slow_start_at = Some(now);
        }
        if self.slow_start_fraction(now) >= 1.0 {
            self.ejections = 0;
        }
    }

    /// Tells that a call failed.
    pub fn on_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let probing = self.ejected_until.is_some();
        if probing || self.failures >= MAX_CONSECUTIVE_FAILURES {
            self.eject(now);
        }
    }

    /// Tells that the back end cannot be reached: one refused connection is proof enough.
    pub fn on_unreachable(&mut self, now: Instant) {
        self.is_unreachable = true;
        self.eject(now);
    }

    /// Returns whether the back end could not be reached when it was last tried.
    pub const fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    fn eject(&mut self, now: Instant) {
        let factor = 1_u32 << self.ejections.min(8);
        let duration = (MIN_EJECTION_TIME * factor).min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.failures = 0;
        self.probe_until = None;
        self.ejected_until = Some(now + duration);
    }
}
