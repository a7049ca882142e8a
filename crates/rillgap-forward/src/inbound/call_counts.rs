//! How many calls the back end makes for a request, learned as moving means.
//!
//! Under overload most chains break at one of their first calls, so the calls that arrive further down
//! understate what the chains would need. The first call of a request therefore announces all of them.

use std::collections::BTreeMap;

/// Weight of the newest request.
const NEWEST: f32 = 0.05;

/// Mean number of calls to each service that a served request of a route makes.
#[derive(Clone, Debug, Default)]
pub(super) struct CallCounts {
    routes: BTreeMap<String, BTreeMap<String, f32>>,
}

impl CallCounts {
    /// Takes in the calls that were made for a request that was served.
    pub fn record(&mut self, route: &str, calls: &BTreeMap<String, u32>) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), BTreeMap::new());
        }
        let Some(means) = self.routes.get_mut(route) else {
            return;
        };
        for (service, mean) in means.iter_mut() {
            let made = calls.get(service).copied().unwrap_or(0);
            *mean += (made as f32 - *mean) * NEWEST;
        }
        for (service, made) in calls {
            if !means.contains_key(service) {
                means.insert(service.clone(), *made as f32);
            }
        }
    }

    /// Returns how many calls to a service a request of a route is expected to make, one at least.
    pub fn expected(&self, route: &str, service: &str) -> f32 {
        self.routes
            .get(route)
            .and_then(|means| means.get(service))
            .map_or(1.0, |mean| mean.max(1.0))
    }
}
