//! Measures how much longer than usual a back end takes for its own work at the moment.
//!
//! The own time of a request is the time during which it runs and none of its calls is pending. Own
//! time that requests spend is compared with the usual own time of the work that they complete. A
//! request completes part of its work evenly while it runs, until its usual time has passed, and
//! the rest when it ends. A request that runs for longer than usual therefore counts before it
//! ends, and each request that has ended counts exactly its own time against its usual time.

use std::time::Duration;

use rillgap_core::time::Instant;

/// Time constant of the exponential decay. The mean age of what counts is that of a window twice as
/// long.
const DECAY_TIME_CONSTANT: Duration = Duration::from_millis(150);
/// Part of the work of a request that counts as completed evenly over its usual time; the rest
/// counts at its end. With all of it, a slowdown would show only after the usual time; with none,
/// each burst of arrivals would look like a slowdown.
const EVEN_PART: f64 = 0.7;
/// Requests of the usual time that are added to those measured, so that few requests move the
/// estimate little.
const PRIOR_REQUESTS: f64 = 2.0;
/// Own time of a request beyond which it no longer counts, as a multiple of its usual time.
const MAX_COUNTED_MULTIPLE: f64 = 8.0;
/// Interval between two observations of a request above which it no longer counts: the node itself
/// was stalled or had no processor time.
const MAX_OBSERVATION_GAP: Duration = Duration::from_millis(250);
/// Own time that must have been measured lately, in requests of the usual time, for an estimate
/// that rests on measurements.
const MIN_MEASURED_REQUESTS: f64 = 1.0;

/// Minimum and maximum slowdown.
pub const SLOWDOWN_RANGE: (f64, f64) = (0.25, 8.0);

/// Own time of a request that runs on the back end.
#[derive(Clone, Copy, Debug)]
pub struct OwnTime {
    /// Usual own time of the route when the request was started, in microseconds; 0 if unknown.
    usual_micros: f64,
    /// Own time up to the last observation, in microseconds.
    spent_micros: f64,
    /// Last observation.
    observed_at: Instant,
    /// Whether the request works on its own, so that no call of it is pending.
    is_working: bool,
    /// Whether the request counts: it does until its observation was interrupted.
    is_counted: bool,
}

impl OwnTime {
    /// Starts the clock of a request whose route takes this own time usually, in microseconds; 0 if
    /// that is unknown.
    pub const fn start(now: Instant, usual_micros: f64) -> Self {
        Self {
            usual_micros,
            spent_micros: 0.0,
            observed_at: now,
            is_working: true,
            is_counted: usual_micros > 0.0,
        }
    }

    /// Returns the own time at `now`.
    pub fn elapsed(&self, now: Instant) -> Duration {
        Duration::from_micros((self.spent_micros + self.unobserved_micros(now)) as u64)
    }

    fn unobserved_micros(&self, now: Instant) -> f64 {
        if self.is_working {
            now.saturating_since(self.observed_at).as_micros() as f64
        } else {
            0.0
        }
    }

    /// Returns the work that counts as completed after an own time, in microseconds.
    fn even_work_micros(&self, spent_micros: f64) -> f64 {
        spent_micros.min(self.usual_micros) * EVEN_PART
    }
}

/// Slowdown of the back end: own time that requests take, as a multiple of the usual own time.
#[derive(Clone, Debug, Default)]
pub struct Slowdown {
    /// Own time spent lately, in microseconds.
    spent_micros: f64,
    /// Usual own time of the work completed lately, in microseconds.
    work_micros: f64,
    decayed_at: Instant,
}

impl Slowdown {
    /// Counts the own time of a running request since its last observation.
    pub fn observe(&mut self, now: Instant, own: &mut OwnTime) {
        self.decay(now);
        let is_interrupted = now.saturating_since(own.observed_at) > MAX_OBSERVATION_GAP;
        own.is_counted &= !is_interrupted || !own.is_working;
        let before = own.spent_micros;
        let after = before + own.unobserved_micros(now);
        own.spent_micros = after;
        own.observed_at = own.observed_at.max(now);
        if !own.is_counted {
            return;
        }
        let longest = own.usual_micros * MAX_COUNTED_MULTIPLE;
        self.spent_micros += after.min(longest) - before.min(longest);
        self.work_micros += own.even_work_micros(after) - own.even_work_micros(before);
    }

    /// Records that a call of a running request has begun to be pending, or that none is pending
    /// any more.
    pub fn set_working(&mut self, now: Instant, own: &mut OwnTime, is_working: bool) {
        self.observe(now, own);
        own.is_working = is_working;
    }

    /// Counts the end of a request that the back end has answered.
    pub fn record_end(&mut self, now: Instant, own: &mut OwnTime) {
        self.observe(now, own);
        if own.is_counted {
            self.work_micros += own.usual_micros - own.even_work_micros(own.spent_micros);
        }
    }

    /// Returns the slowdown at `now` of a back end whose requests usually take this own time, in
    /// microseconds. Without recent requests it tends to 1.
    pub fn estimate(&mut self, now: Instant, usual_micros: f64) -> f64 {
        self.decay(now);
        let prior = usual_micros * PRIOR_REQUESTS;
        let work = self.work_micros + prior;
        if work <= 0.0 {
            return 1.0;
        }
        bounded((self.spent_micros + prior) / work)
    }

    /// Returns whether an estimate for this usual own time, in microseconds, rests on measurements.
    pub fn is_measured(&self, usual_micros: f64) -> bool {
        self.spent_micros.max(self.work_micros) >= usual_micros * MIN_MEASURED_REQUESTS
            && usual_micros > 0.0
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.decayed_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.decayed_at = now;
        let kept = (-elapsed / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        self.spent_micros *= kept;
        self.work_micros *= kept;
    }
}

/// Limits a slowdown to [`SLOWDOWN_RANGE`].
pub fn bounded(slowdown: f64) -> f64 {
    slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
}
