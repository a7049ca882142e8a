//! How long requests take at the back end, learned as moving means.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest sample.
const NEWEST: f64 = 0.05;

/// Moving means of the time that requests take, by route and of all.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    all_micros: f64,
    by_route: BTreeMap<String, f64>,
}

impl ServiceTimes {
    /// Takes in how long a request took.
    pub fn record(&mut self, route: &str, elapsed: Duration) {
        let micros = elapsed.as_micros() as f64;
        blend(&mut self.all_micros, micros);
        match self.by_route.get_mut(route) {
            Some(mean) => blend(mean, micros),
            None => {
                self.by_route.insert(route.to_owned(), micros);
            }
        }
    }

    /// Returns how long a request of a route is expected to take; zero if unknown.
    pub fn expected(&self, route: &str) -> Duration {
        let micros = self.by_route.get(route).copied().unwrap_or(0.0);
        Duration::from_micros(micros as u64)
    }

    /// Returns the mean of all requests, in microseconds; zero if unknown.
    pub fn mean_micros(&self) -> u32 {
        self.all_micros as u32
    }
}

fn blend(mean: &mut f64, sample: f64) {
    if *mean == 0.0 {
        *mean = sample;
    } else {
        *mean += (sample - *mean) * NEWEST;
    }
}
