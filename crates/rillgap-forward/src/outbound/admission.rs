//! Admission control at the entry node.
//!
//! A request whose chain of calls would be shed at a service further down is refused at the entry
//! node, before any work is done for it. Each node with a back end publishes the admission level
//! below which it sheds requests. Answers carry the levels of all services that were called for
//! them, so an entry node records both which services a route involves and their current levels. It
//! admits a request whose level is at least the highest of these.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::admission::{Involvement, Level, ServiceLevels};
use rillgap_core::time::Instant;

use crate::message::{ServiceAdmissionLevel, priority_of};

/// Smallest change of a service's level that is logged: a tenth of a tier.
const MIN_REPORTED_CHANGE: f64 = Level::PER_TIER as f64 / 10.0;

/// Lowest level that sheds any requests.
const LOWEST_SHEDDING_LEVEL: f64 = 1.0;

/// Change of the admission threshold that a service's level sets for an entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AdmissionChange {
    /// Service whose level has changed.
    pub service: String,
    /// Lowest priority of which requests are admitted.
    pub priority: u8,
    /// Part of that priority's requests that is admitted, in percent. Requests of more important
    /// priorities are all admitted.
    pub admitted_percent: u32,
}

/// Admission levels of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Levels published by the nodes of the service's own back ends. Only these are sent on to
    /// other nodes: if nodes relayed levels received from each other, outdated levels would
    /// circulate.
    own: ServiceLevels<String>,
    /// Levels of `own`, and levels that other nodes have relayed.
    all: ServiceLevels<String>,
    /// Level that was last logged.
    logged_level: f64,
    /// Time since which the level has shed requests without a pause; `None` if it did not at the
    /// last report.
    short_since: Option<Instant>,
}

impl ServiceState {
    /// Records a level of `reporter`, and whether requests are shed from now on.
    fn report(&mut self, now: Instant, reporter: &str, level: Level) {
        let is_calm = level == Level(0) && self.short_since.is_none();
        if is_calm {
            self.all.report(now, reporter.to_owned(), level);
            return;
        }
        let was_shedding = self.sheds(now);
        self.all.report(now, reporter.to_owned(), level);
        self.short_since = match self.short_since {
            _ if !self.sheds(now) => None,
            Some(since) if was_shedding => Some(since),
            _ => Some(now),
        };
    }

    fn sheds(&self, now: Instant) -> bool {
        self.all.at(now) >= LOWEST_SHEDDING_LEVEL
    }

    /// Returns for how long requests have been shed.
    fn shortage(&self, now: Instant) -> Duration {
        self.short_since
            .map_or(Duration::ZERO, |since| now.saturating_since(since))
    }
}

/// Admission state of an entry node.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryAdmission {
    services: BTreeMap<String, ServiceState>,
    /// Services that requests involve, by route and by the service that the request is sent to.
    involvement: BTreeMap<String, BTreeMap<String, Involvement<String>>>,
}

impl EntryAdmission {
    /// Records the level published by `reporter`, a node with a back end of the service.
    pub fn record_published(&mut self, now: Instant, service: &str, reporter: &str, level: Level) {
        let state = self.service_state(service);
        state.own.report(now, reporter.to_owned(), level);
        state.report(now, reporter, level);
    }

    /// Records the level of a service that `reporter` has relayed.
    pub fn record_relayed(
        &mut self,
        now: Instant,
        involved: &ServiceAdmissionLevel,
        reporter: &str,
    ) {
        let state = self.service_state(&involved.service);
        state.report(now, reporter, involved.level);
    }

    /// Records which services the answer to a caller's request involved. A failed request may have
    /// reached only some of them, but its answer is the only source while no request succeeds.
    pub fn record_involvement(
        &mut self,
        route: &str,
        service: &str,
        involved: &[ServiceAdmissionLevel],
        is_success: bool,
    ) {
        if !self.involvement.contains_key(route) {
            self.involvement.insert(route.to_owned(), BTreeMap::new());
        }
        let Some(by_service) = self.involvement.get_mut(route) else {
            return;
        };
        if !by_service.contains_key(service) {
            by_service.insert(service.to_owned(), Involvement::default());
        }
        let Some(involvement) = by_service.get_mut(service) else {
            return;
        };
        let services = involved.iter().map(|involved| &involved.service);
        if is_success {
            involvement.record_answer(services);
        } else {
            involvement.record_partial_answer(services);
        }
    }

    /// Returns whether a caller's request is admitted.
    pub fn admits(&self, now: Instant, route: &str, service: &str, level: Level) -> bool {
        f64::from(level.0) >= self.threshold(now, route, service).floor()
    }

    /// Returns the level of a service as published by the nodes of its own back ends.
    pub fn published_level(&self, now: Instant, service: &str) -> Level {
        let state = self.services.get(service);
        Level(state.map_or(0.0, |state| state.own.at(now)) as u32)
    }

    /// Returns the services whose level differs by a tenth of a tier or more from the level that
    /// was last logged, or has fallen to 0, and records their levels as logged.
    pub fn take_changes(&mut self, now: Instant) -> Vec<AdmissionChange> {
        let mut changes = Vec::new();
        for (service, state) in &mut self.services {
            let level = state.all.at(now);
            let has_ended = level == 0.0 && state.logged_level > 0.0;
            if !has_ended && (level - state.logged_level).abs() < MIN_REPORTED_CHANGE {
                continue;
            }
            state.logged_level = level;
            changes.push(admission_change(service, level));
        }
        changes
    }

    /// Returns for how long the service that sets the threshold of the route has been short.
    pub fn shortage(&self, now: Instant, route: &str, service: &str) -> Duration {
        let (scarcest, _) = self.scarcest(now, route, service);
        let state = self.services.get(scarcest);
        state.map_or(Duration::ZERO, |state| state.shortage(now))
    }

    /// Returns the highest level of the services that a request of the route involves.
    fn threshold(&self, now: Instant, route: &str, service: &str) -> f64 {
        self.scarcest(now, route, service).1
    }

    /// Returns the service with the highest level of those that a request of the route involves, and
    /// that level.
    fn scarcest<'a>(&'a self, now: Instant, route: &str, service: &'a str) -> (&'a str, f64) {
        let own = (service, self.level_at(now, service));
        let by_service = self.involvement.get(route);
        let Some(involved) = by_service.and_then(|by_service| by_service.get(service)) else {
            return own;
        };
        let mut scarcest = own;
        for service in involved.services() {
            let level = self.level_at(now, service);
            if level > scarcest.1 {
                scarcest = (service, level);
            }
        }
        scarcest
    }

    fn service_state(&mut self, service: &str) -> &mut ServiceState {
        self.services.entry(service.to_owned()).or_default()
    }

    fn level_at(&self, now: Instant, service: &str) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |state| state.all.at(now))
    }
}

fn admission_change(service: &str, level: f64) -> AdmissionChange {
    let threshold = Level(level as u32);
    let floor = f64::from(Level::tier_floor(threshold.tier()).0);
    let shed_fraction = (level - floor) / f64::from(Level::PER_TIER);
    AdmissionChange {
        service: service.to_owned(),
        priority: priority_of(threshold),
        admitted_percent: ((1.0 - shed_fraction) * 100.0) as u32,
    }
}
