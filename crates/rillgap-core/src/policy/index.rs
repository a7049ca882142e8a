//! A policy with indexes for lookups in the data path.

use std::collections::BTreeMap;
use std::ops::Deref;

use super::{BackEndPolicy, Policy, RoutePolicy, ServicePolicy};
use crate::id::{BackEndName, ServiceName};

/// Positions of the entries of one service in the lists of the policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ServiceIndex {
    service: Option<usize>,
    /// Routes by decreasing length of the path, then by decreasing length of the method.
    routes: Vec<usize>,
    back_ends: Vec<usize>,
}

/// A policy with indexes by service and back end, built once for each version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexedPolicy {
    policy: Policy,
    services: BTreeMap<ServiceName, ServiceIndex>,
    back_ends: BTreeMap<BackEndName, usize>,
}

impl IndexedPolicy {
    /// Builds the indexes of a policy.
    pub fn new(policy: Policy) -> Self {
        let mut services: BTreeMap<ServiceName, ServiceIndex> = BTreeMap::new();
        for (position, service) in policy.services.iter().enumerate() {
            services.entry(service.name.clone()).or_default().service = Some(position);
        }
        for position in routes_by_precedence(&policy) {
            let service = policy.routes[position].service.clone();
            services.entry(service).or_default().routes.push(position);
        }
        for (position, back_end) in policy.back_ends.iter().enumerate() {
            let entry = services.entry(back_end.service.clone()).or_default();
            entry.back_ends.push(position);
        }
        let names = policy
            .back_ends
            .iter()
            .map(|back_end| back_end.name.clone());
        Self {
            back_ends: names.zip(0..).collect(),
            services,
            policy,
        }
    }

    /// Returns the policy of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        let position = self.services.get(name)?.service?;
        self.policy.services.get(position)
    }

    /// Returns the route with the longest matching prefix for a request.
    pub fn route(&self, service: &ServiceName, method: &str, path: &str) -> Option<&RoutePolicy> {
        let routes = &self.services.get(service)?.routes;
        routes
            .iter()
            .map(|&position| &self.policy.routes[position])
            .find(|route| route.matches(method, path))
    }

    /// Returns a back end by name.
    pub fn back_end(&self, name: &BackEndName) -> Option<&BackEndPolicy> {
        let position = *self.back_ends.get(name)?;
        self.policy.back_ends.get(position)
    }

    /// Returns the back ends of a service, in the order of the policy.
    pub fn back_ends_of(&self, service: &ServiceName) -> impl Iterator<Item = &BackEndPolicy> {
        let positions = self.services.get(service).into_iter();
        positions
            .flat_map(|index| &index.back_ends)
            .map(|&position| &self.policy.back_ends[position])
    }
}

impl Deref for IndexedPolicy {
    type Target = Policy;

    fn deref(&self) -> &Policy {
        &self.policy
    }
}

/// Returns the positions of the routes, those with the highest precedence first.
fn routes_by_precedence(policy: &Policy) -> Vec<usize> {
    let mut positions: Vec<usize> = (0..policy.routes.len()).collect();
    positions.sort_by_key(|&position| {
        let route = &policy.routes[position];
        std::cmp::Reverse((route.path.len(), route.method.len(), position))
    });
    positions
}
