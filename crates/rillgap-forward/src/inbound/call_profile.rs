//! Calls that the back end makes for a request, by route.

use std::collections::BTreeMap;

/// Part of the difference by which an expected number of calls falls after a run that made fewer.
const DECLINE: f64 = 0.05;

/// Numbers of calls by called service.
pub type CallCounts = BTreeMap<String, u32>;

/// Numbers of calls that runs of each route are expected to make. They follow the runs that make
/// most, so that few runs make more calls than expected.
#[derive(Clone, Debug, Default)]
pub struct CallProfile {
    routes: BTreeMap<String, BTreeMap<String, f64>>,
}

impl CallProfile {
    /// Records the calls of a run that was answered with success.
    pub fn record(&mut self, route: &str, calls: &CallCounts) {
        if calls.is_empty() && !self.routes.contains_key(route) {
            return;
        }
        let expected = self.routes.entry(route.to_owned()).or_default();
        for (service, expected) in expected.iter_mut() {
            let count = f64::from(calls.get(service).copied().unwrap_or(0));
            *expected -= (*expected - count).max(0.0) * DECLINE;
        }
        for (service, count) in calls {
            let expected = expected.entry(service.clone()).or_default();
            *expected = expected.max(f64::from(*count));
        }
    }

    /// Returns the calls that a run of a route is expected to make.
    pub fn expected(&self, route: &str) -> CallCounts {
        let services = self.routes.get(route).into_iter().flatten();
        services
            .map(|(service, expected)| (service.clone(), expected.round() as u32))
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}
