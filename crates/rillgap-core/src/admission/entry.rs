//! Admission at the entry: refuses root requests that a downstream service would shed.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use super::level::Level;
use super::mode::{AdmissionSettings, ControlMode};
use super::record::ShedRequest;
use super::report::LoadReport;
use super::reported::{Involvement, ServiceLevels};
use crate::code::ResultCode;
use crate::id::{NodeId, RootId, ServiceName};
use crate::policy::{Class, RoutePolicy};
use crate::request::{Refusal, RetryAfter};
use crate::time::Instant;

/// Bounds of the `Retry-After` time of a refusal, in milliseconds.
const RETRY_AFTER_RANGE_MILLIS: (u32, u32) = (200, 2_000);

/// Identifies a route of the policy by a digest of its service, method and path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(u64);

impl RouteId {
    /// Computes the identifier of a route.
    pub fn of(route: &RoutePolicy) -> Self {
        let mut digest = Xxh3::new();
        for part in [route.service.as_str(), &route.method, &route.path] {
            digest.update(part.as_bytes());
            digest.update(&[0]);
        }
        Self(digest.digest())
    }
}

/// A root request that is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct RootRequest<'a> {
    /// Service that the request is sent to.
    pub service: &'a ServiceName,
    /// Route that the request matches.
    pub route: RouteId,
    /// Class of the route.
    pub class: Class,
    /// Identifier of the root, from which its admission level is derived.
    pub root: RootId,
}

/// Admission controller of an entry node, based on the load reports that answers carry.
#[derive(Clone, Debug, Default)]
pub struct EntryAdmission {
    settings: AdmissionSettings,
    levels: BTreeMap<ServiceName, ServiceLevels<NodeId>>,
    involvement: BTreeMap<RouteId, Involvement<ServiceName>>,
}

impl EntryAdmission {
    /// Creates the controller of a node that has just started.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Decides whether a root request is admitted.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a downstream service would shed the request.
    pub fn admit(&mut self, now: Instant, request: RootRequest<'_>) -> Result<(), Refusal> {
        if self.settings.mode != ControlMode::Full {
            return Ok(());
        }
        let threshold = self.threshold(now, request.service, request.route);
        if f64::from(Level::of(request.class, request.root).0) >= threshold.floor() {
            return Ok(());
        }
        Err(Refusal {
            code: ResultCode::Overloaded,
            retry_after: retry_after(threshold),
        })
    }

    /// Returns the inputs of the decision on a request, for logs.
    pub fn describe(&self, now: Instant, request: RootRequest<'_>) -> ShedRequest {
        let own = (request.service, self.level_of(now, request.service));
        let involved = self.involvement.get(&request.route);
        let downstream = involved
            .into_iter()
            .flat_map(Involvement::services)
            .map(|name| (name, self.level_of(now, name)));
        let (overloaded, threshold) =
            downstream.fold(
                own,
                |highest, next| if next.1 > highest.1 { next } else { highest },
            );
        let reports = self
            .levels
            .get(overloaded)
            .map(|levels| levels.reports(now));
        ShedRequest {
            service: request.service.clone(),
            level: Level::of(request.class, request.root),
            overloaded: overloaded.clone(),
            threshold,
            reports: reports.unwrap_or_default(),
        }
    }

    /// Records the levels that an answer or refusal of a service carried.
    pub fn record_levels(&mut self, now: Instant, _service: &ServiceName, load: &LoadReport) {
        for reported in &load.services {
            if let Some(levels) = self.levels.get_mut(&reported.service) {
                levels.report(now, reported.reporter, reported.level);
                continue;
            }
            let mut levels = ServiceLevels::default();
            levels.report(now, reported.reporter, reported.level);
            self.levels.insert(reported.service.clone(), levels);
        }
    }

    /// Records from the complete answer to a root request which services its route involves.
    pub fn record_involvement(&mut self, service: &ServiceName, route: RouteId, load: &LoadReport) {
        let below = load
            .services
            .iter()
            .map(|reported| &reported.service)
            .filter(|involved| *involved != service);
        self.involvement
            .entry(route)
            .or_default()
            .record_answer(below);
    }

    /// Returns the highest level of the services that requests of the route involve.
    fn threshold(&self, now: Instant, service: &ServiceName, route: RouteId) -> f64 {
        let own = self.level_of(now, service);
        let Some(involved) = self.involvement.get(&route) else {
            return own;
        };
        let downstream = involved.services().map(|name| self.level_of(now, name));
        downstream.fold(own, f64::max)
    }

    fn level_of(&self, now: Instant, service: &ServiceName) -> f64 {
        let levels = self.levels.get(service);
        levels.map_or(0.0, |levels| levels.at(now))
    }
}

fn retry_after(threshold: f64) -> RetryAfter {
    let (shortest, longest) = RETRY_AFTER_RANGE_MILLIS;
    let span = f64::from(longest - shortest);
    let millis = shortest + (threshold / f64::from(Level::COUNT) * span) as u32;
    RetryAfter { millis }
}
