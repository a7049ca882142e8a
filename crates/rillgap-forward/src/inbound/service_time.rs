//! How long requests take at the back end, learned as moving means.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest sample.
const NEWEST: f64 = 0.05;

/// Moving mean of one kind of time.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    micros: f64,
    /// Whether it is of an earlier run of the back end: the first sample takes its place.
    is_prior: bool,
}

impl Mean {
    fn record(&mut self, micros: f64) {
        if self.micros == 0.0 || self.is_prior {
            self.micros = micros;
            self.is_prior = false;
        } else {
            self.micros += (micros - self.micros) * NEWEST;
        }
    }
}

/// Moving means of the time that requests take, by route and of all.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    all: Mean,
    by_route: BTreeMap<String, Mean>,
}

impl ServiceTimes {
    /// Takes in how long a request took.
    pub fn record(&mut self, route: &str, elapsed: Duration) {
        let micros = elapsed.as_micros() as f64;
        self.all.record(micros);
        match self.by_route.get_mut(route) {
            Some(mean) => mean.record(micros),
            None => {
                let mut mean = Mean::default();
                mean.record(micros);
                self.by_route.insert(route.to_owned(), mean);
            }
        }
    }

    /// Takes in that another run of the back end begins. The means hold until its first answers: without any, the
    /// queue would be taken for one that drains at once.
    pub fn begin_run(&mut self) {
        self.all.is_prior = true;
        for mean in self.by_route.values_mut() {
            mean.is_prior = true;
        }
    }

    /// Returns how long a request of a route is expected to take; zero if unknown.
    pub fn expected(&self, route: &str) -> Duration {
        let micros = self.by_route.get(route).map_or(0.0, |mean| mean.micros);
        Duration::from_micros(micros as u64)
    }

    /// Returns the mean of all requests, in microseconds; zero if unknown.
    pub fn mean_micros(&self) -> u32 {
        self.all.micros as u32
    }
}
