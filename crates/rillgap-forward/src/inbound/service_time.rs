//! Measures the service times of the back end as moving averages.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest sample.
const EWMA_WEIGHT: f64 = 0.05;

/// Exponentially weighted moving average of service times.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    micros: f64,
    /// Whether the average is that of an earlier incarnation: the next sample replaces it.
    is_from_earlier_run: bool,
}

impl MovingAverage {
    fn record(&mut self, micros: f64) {
        if self.micros == 0.0 || self.is_from_earlier_run {
            self.micros = micros;
            self.is_from_earlier_run = false;
        } else {
            self.micros += (micros - self.micros) * EWMA_WEIGHT;
        }
    }
}

/// Moving averages of the service times, by route and of all requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    all: MovingAverage,
    by_route: BTreeMap<String, MovingAverage>,
}

impl ServiceTimes {
    /// Records the service time of a request.
    pub fn record(&mut self, route: &str, elapsed: Duration) {
        let micros = elapsed.as_micros() as f64;
        self.all.record(micros);
        match self.by_route.get_mut(route) {
            Some(mean) => mean.record(micros),
            None => {
                let mut mean = MovingAverage::default();
                mean.record(micros);
                self.by_route.insert(route.to_owned(), mean);
            }
        }
    }

    /// Marks the averages as those of an earlier incarnation. They are used until the first answers
    /// of the new one arrive: with averages of zero, the queue would seem to drain at once.
    pub fn on_restart(&mut self) {
        self.all.is_from_earlier_run = true;
        for mean in self.by_route.values_mut() {
            mean.is_from_earlier_run = true;
        }
    }

    /// Returns the expected service time of a request on a route; zero if unknown.
    pub fn expected(&self, route: &str) -> Duration {
        let micros = self.by_route.get(route).map_or(0.0, |mean| mean.micros);
        Duration::from_micros(micros as u64)
    }

    /// Returns the average service time of all requests, in microseconds; zero if unknown.
    pub fn mean_micros(&self) -> u32 {
        self.all.micros as u32
    }
}
