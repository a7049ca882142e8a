//! How long requests take at the back end, learned as moving means.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

/// Weight of the newest sample.
const NEWEST: f64 = 0.05;

/// Weight of the newest wait.
const NEWEST_WAIT: f64 = 0.1;

/// Time in which a wait that no request confirms loses all but 1/e.
const WAIT_MEMORY: Duration = Duration::from_secs(1);

/// Moving means of the time that requests take, by route and of all.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    all_micros: f64,
    by_route: BTreeMap<String, f64>,
    wait_micros: f64,
    wait_decayed_at: Instant,
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

    /// Takes in how long a request has waited before it was started or refused.
    pub fn record_wait(&mut self, waited: Duration) {
        let micros = waited.as_micros() as f64;
        self.wait_micros += (micros - self.wait_micros) * NEWEST_WAIT;
    }

    /// Lets the mean wait fade: a back end that gets no requests is under no pressure.
    pub fn fade_wait(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.wait_decayed_at).as_secs_f64();
        self.wait_decayed_at = now;
        self.wait_micros *= (-elapsed / WAIT_MEMORY.as_secs_f64()).exp();
    }

    /// Returns the mean wait of recent requests, in microseconds.
    pub fn wait_micros(&self) -> u32 {
        self.wait_micros as u32
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
