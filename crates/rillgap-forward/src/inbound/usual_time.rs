//! Usual times of requests at the back end, as slow moving averages.
//!
//! They follow a lasting change, such as the end of a cold start, over several seconds. A back end
//! that is slow for half a second moves them little; that is what [`super::slowdown`] measures.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

/// Time constant of the averages.
const TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Maximum weight of a sample once several are known.
const MAX_WEIGHT: f64 = 0.05;

/// Number of samples from which the own time of a route counts as known.
const MIN_SAMPLES: u32 = 10;

/// Moving average in which the weight of a sample is the part of the time constant that it covers.
#[derive(Clone, Copy, Debug, Default)]
struct SlowMean {
    micros: f64,
    samples: u32,
    recorded_at: Instant,
}

impl SlowMean {
    fn record(&mut self, now: Instant, micros: f64) {
        let covered = now.saturating_since(self.recorded_at).as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        self.recorded_at = now;
        let by_time = (covered / TIME_CONSTANT.as_secs_f64()).min(MAX_WEIGHT);
        let weight = by_time.max(1.0 / f64::from(self.samples));
        self.micros += (micros - self.micros) * weight;
    }

    /// Lets the next sample replace the average.
    fn on_restart(&mut self) {
        self.samples = 0;
    }
}

/// Usual own times by route, and usual times of all requests.
#[derive(Clone, Debug, Default)]
pub(super) struct UsualTimes {
    own_by_route: BTreeMap<String, SlowMean>,
    own: SlowMean,
    total: SlowMean,
}

impl UsualTimes {
    /// Records the own time and the whole time of a request at the back end.
    pub fn record(&mut self, now: Instant, route: &str, own: Duration, total: Duration) {
        let own = own.as_micros() as f64;
        self.own.record(now, own);
        self.total.record(now, total.as_micros() as f64);
        match self.own_by_route.get_mut(route) {
            Some(mean) => mean.record(now, own),
            None => {
                let mut mean = SlowMean::default();
                mean.record(now, own);
                self.own_by_route.insert(route.to_owned(), mean);
            }
        }
    }

    /// Lets the first samples of a new incarnation replace the averages. Until then those of the
    /// earlier one are used.
    pub fn on_restart(&mut self) {
        self.own.on_restart();
        self.total.on_restart();
        for mean in self.own_by_route.values_mut() {
            mean.on_restart();
        }
    }

    /// Returns the usual own time of a request on a route, in microseconds; 0 while too few samples
    /// of the incarnation are known.
    pub fn own_micros_of(&self, route: &str) -> f64 {
        self.own_by_route
            .get(route)
            .filter(|mean| mean.samples >= MIN_SAMPLES)
            .map_or(0.0, |mean| mean.micros)
    }

    /// Returns the usual own time of a request, in microseconds; 0 if unknown.
    pub const fn own_micros(&self) -> f64 {
        self.own.micros
    }

    /// Returns the expected time of a request in microseconds when its own work takes `slowdown`
    /// times as long as usual; 0 if unknown.
    pub fn expected_micros(&self, slowdown: f64) -> f64 {
        (self.total.micros + self.own.micros * (slowdown - 1.0)).max(0.0)
    }
}
