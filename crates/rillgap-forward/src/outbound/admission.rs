//! Refusal at the entry of requests that a service further down would shed.
//!
//! A chain that is overloaded at its deepest service is refused where it begins, before any work is
//! done for it. Each node beside a back end publishes the level below which it would shed; answers
//! carry the levels of all services that they involved, so an entry learns both which services a route
//! depends on and how they stand. A request is let in if its level is at least the highest of those.

use std::collections::BTreeMap;

use rillgap_core::admission::{Involvement, Level, ServiceLevels};
use rillgap_core::time::Instant;

use crate::message::{ServiceAdmissionLevel, priority_of};

/// Move of a service's level at which the log tells it: a tenth of a tier.
const REPORTED_MOVE: f64 = Level::PER_TIER as f64 / 10.0;

/// Change of what an entry lets in for the sake of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AdmissionChange {
    /// The service.
    pub service: String,
    /// Lowest priority of which anything is let in.
    pub priority: u8,
    /// Share of that priority that is let in, in percent; more important requests are let in whole.
    pub admitted_percent: u32,
}

/// Levels of one service, and what was last told of them.
#[derive(Clone, Debug, Default)]
struct KnownService {
    /// By the nodes beside its back ends. Only these are passed on: nodes that passed on what they
    /// heard from each other would keep an old level alive.
    own: ServiceLevels<String>,
    /// The same, and those that other nodes have passed on.
    all: ServiceLevels<String>,
    reported: f64,
}

/// Admission at the entry.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryAdmission {
    services: BTreeMap<String, KnownService>,
    /// By route and the service that it leads to.
    involvement: BTreeMap<String, BTreeMap<String, Involvement<String>>>,
}

impl EntryAdmission {
    /// Takes in the level that a node beside a back end of the service publishes.
    pub fn observe(&mut self, now: Instant, service: &str, reporter: &str, level: Level) {
        let known = self.known(service);
        known.own.report(now, reporter.to_owned(), level);
        known.all.report(now, reporter.to_owned(), level);
    }

    /// Takes in the level of a service that `reporter` has passed on.
    pub fn observe_relayed(
        &mut self,
        now: Instant,
        involved: &ServiceAdmissionLevel,
        reporter: &str,
    ) {
        let known = self.known(&involved.service);
        known.all.report(now, reporter.to_owned(), involved.level);
    }

    /// Learns from an answer to a caller's request which services the route involves. A failure tells some
    /// of them: while nothing succeeds, that is all there is to learn from.
    pub fn learn(
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
        let Some(known) = by_service.get_mut(service) else {
            return;
        };
        let services = involved.iter().map(|involved| &involved.service);
        if is_success {
            known.record_answer(services);
        } else {
            known.record_partial_answer(services);
        }
    }

    /// Decides whether a caller's request is let in.
    pub fn admits(&self, now: Instant, route: &str, service: &str, level: Level) -> bool {
        f64::from(level.0) >= self.threshold(now, route, service).floor()
    }

    /// Returns the level of a service as the nodes beside its back ends publish it.
    pub fn published_level(&self, now: Instant, service: &str) -> Level {
        let known = self.services.get(service);
        Level(known.map_or(0.0, |known| known.own.at(now)) as u32)
    }

    /// Returns what has changed by a tenth of a tier or more since the last look.
    pub fn take_changes(&mut self, now: Instant) -> Vec<AdmissionChange> {
        let mut changes = Vec::new();
        for (service, known) in &mut self.services {
            let level = known.all.at(now);
            let has_ended = level == 0.0 && known.reported > 0.0;
            if !has_ended && (level - known.reported).abs() < REPORTED_MOVE {
                continue;
            }
            known.reported = level;
            changes.push(change(service, level));
        }
        changes
    }

    /// Returns the highest level over the services that a request of the route involves.
    fn threshold(&self, now: Instant, route: &str, service: &str) -> f64 {
        let own = self.level_at(now, service);
        let by_service = self.involvement.get(route);
        let Some(involved) = by_service.and_then(|by_service| by_service.get(service)) else {
            return own;
        };
        involved
            .services()
            .map(|service| self.level_at(now, service))
            .fold(own, f64::max)
    }

    fn known(&mut self, service: &str) -> &mut KnownService {
        self.services.entry(service.to_owned()).or_default()
    }

    fn level_at(&self, now: Instant, service: &str) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |known| known.all.at(now))
    }
}

fn change(service: &str, level: f64) -> AdmissionChange {
    let whole = Level(level as u32);
    let floor = f64::from(Level::tier_floor(whole.tier()).0);
    let shed = (level - floor) / f64::from(Level::PER_TIER);
    AdmissionChange {
        service: service.to_owned(),
        priority: priority_of(whole),
        admitted_percent: ((1.0 - shed) * 100.0) as u32,
    }
}
