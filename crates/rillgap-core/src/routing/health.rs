//! Outlier ejection: a back end with repeated failures is excluded for a time and then probed.

use std::time::Duration;

use crate::time::Instant;

/// Consecutive failures after which a back end is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Time of the first ejection; it doubles with each further one, up to [`MAX_EJECTION_TIME`].
const MIN_EJECTION_TIME: Duration = Duration::from_millis(250);
/// Maximum time for which a back end is ejected before it is probed.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Time after which a probe without a result counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which the slow start of a back end raises its load to the full amount.
const SLOW_START_TIME: Duration = Duration::from_secs(1);
/// Fraction of its load that a back end gets at the beginning of its slow start.
const MIN_SLOW_START_FRACTION: f64 = 0.1;

/// Whether a back end may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It may be chosen.
    Available,
    /// Its ejection has ended; one call may probe it.
    Probe,
    /// It must not be chosen.
    Ejected,
}

/// Health of one back end, from the results of this node's calls.
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
    /// Creates the health of a back end whose slow start begins at `now`.
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

    /// Returns the fraction of its load that the back end may take, from
    /// [`MIN_SLOW_START_FRACTION`] to one.
    pub fn slow_start_fraction(&self, now: Instant) -> f64 {
        let Some(slow_start_at) = self.slow_start_at else {
            return 1.0;
        };
        let since = now.saturating_since(slow_start_at);
        (since.as_micros() as f64 / SLOW_START_TIME.as_micros() as f64)
            .clamp(MIN_SLOW_START_FRACTION, 1.0)
    }

    /// Records that a call was sent; at an ejected back end it is the probe.
    pub fn on_started(&mut self, now: Instant) {
        if self.ejected_until.is_some() {
            self.probe_until = Some(now + PROBE_TIMEOUT);
        }
    }

    /// Records that the back end answered, possibly with a refusal.
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

    /// Records that a call failed.
    pub fn on_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let probing = self.ejected_until.is_some();
        if probing || self.failures >= MAX_CONSECUTIVE_FAILURES {
            self.eject(now);
        }
    }

    /// Records that the back end cannot be reached and ejects it: one refused connection suffices.
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
