//! Admission at the entry: refuses root requests that a service further down would shed.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::level::Level;
use super::mode::{AdmissionSettings, ControlMode};
use super::report::{LoadReport, ServiceLoad};
use crate::code::ResultCode;
use crate::id::{NodeId, RootId, ServiceName};
use crate::policy::{Class, RoutePolicy};
use crate::request::{Refusal, RetryAfter};
use crate::time::{Instant, micros};

/// Time constant with which reported levels are smoothed, in microseconds.
const SMOOTHING_MICROS: f64 = 50_000.0;
/// Time without a report after which a level begins to decay.
const HOLD: Duration = Duration::from_millis(300);
/// Time without a report after which a back end is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(5);
/// Least weight of one report.
const LEAST_WEIGHT: f64 = 0.02;
/// Time in which a level without reports decays from the highest to nothing, in microseconds.
const DECAY_MICROS: f64 = 1_000_000.0;
/// Weight of one answer in the learned involvement of a service.
const INVOLVEMENT_WEIGHT: f64 = 0.05;
/// Share of answers that must involve a service for its level to count for a route.
const INVOLVED: f64 = 0.2;
/// Shortest and longest time after which a refused caller is asked back, in milliseconds.
const RETRY_AFTER_MILLIS: (u32, u32) = (200, 2_000);

/// Identifies a route of the policy, by a digest of what it matches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(u64);

impl RouteId {
    /// Returns the identifier of a route.
    pub fn of(route: &RoutePolicy) -> Self {
        let mut digest = Xxh3::new();
        for part in [route.service.as_str(), &route.method, &route.path] {
            digest.update(part.as_bytes());
            digest.update(&[0]);
        }
        Self(digest.digest())
    }
}

/// A root request that asks to begin.
#[derive(Clone, Copy, Debug)]
pub struct RootRequest<'a> {
    /// Service that it enters.
    pub service: &'a ServiceName,
    /// Route that it matches.
    pub route: RouteId,
    /// Class of the route.
    pub class: Class,
    /// The root.
    pub root: RootId,
}

/// Smoothed level that one back end reports.
#[derive(Clone, Copy, Debug)]
struct ReportedLevel {
    level: f64,
    reported_at: Instant,
}

impl ReportedLevel {
    fn report(&mut self, now: Instant, level: Level) {
        let elapsed = micros(now.saturating_since(self.reported_at)) as f64;
        // Reports that arrive together share one step, so that none is lost to a zero weight.
        let weight = (elapsed / (elapsed + SMOOTHING_MICROS)).max(LEAST_WEIGHT);
        let current = self.at(now);
        self.level = current + weight * (f64::from(level.0) - current);
        self.reported_at = now;
    }

    /// Returns the level, decayed if nothing was reported lately.
    fn at(&self, now: Instant) -> f64 {
        let over = micros(self.silence(now).saturating_sub(HOLD)) as f64;
        (self.level - over / DECAY_MICROS * f64::from(Level::COUNT)).max(0.0)
    }

    fn silence(&self, now: Instant) -> Duration {
        now.saturating_since(self.reported_at)
    }
}

/// Levels that the back ends of one service report.
#[derive(Clone, Debug, Default)]
struct ServiceLevels {
    reporters: BTreeMap<NodeId, ReportedLevel>,
}

impl ServiceLevels {
    fn report(&mut self, now: Instant, reported: &ServiceLoad) {
        self.reporters
            .retain(|_, level| level.silence(now) < FORGOTTEN);
        self.reporters
            .entry(reported.reporter)
            .or_insert(ReportedLevel {
                level: f64::from(reported.level.0),
                reported_at: now,
            })
            .report(now, reported.level);
    }

    /// Returns the median over the back ends that were heard lately, or over all if none was.
    ///
    /// A mean would shut out a class that most back ends have room for, for the sake of one.
    fn at(&self, now: Instant) -> f64 {
        let heard = |level: &&ReportedLevel| level.silence(now) < HOLD;
        let mut levels: Vec<f64> = self
            .reporters
            .values()
            .filter(heard)
            .map(|level| level.at(now))
            .collect();
        if levels.is_empty() {
            levels.extend(self.reporters.values().map(|level| level.at(now)));
        }
        levels.sort_by(f64::total_cmp);
        let median = levels.len().saturating_sub(1) / 2;
        levels.get(median).copied().unwrap_or(0.0)
    }
}

/// Admission at the entry, from load that answers carry.
#[derive(Clone, Debug, Default)]
pub struct EntryAdmission {
    settings: AdmissionSettings,
    levels: BTreeMap<ServiceName, ServiceLevels>,
    involvement: BTreeMap<RouteId, BTreeMap<ServiceName, f64>>,
}

impl EntryAdmission {
    /// Creates the admission of a fresh node.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Decides whether a root request may begin.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a request of this class would be shed further down.
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

    /// Takes in the levels that any answer or refusal of a service carried.
    pub fn observe(&mut self, now: Instant, _service: &ServiceName, load: &LoadReport) {
        for reported in &load.services {
            if let Some(levels) = self.levels.get_mut(&reported.service) {
                levels.report(now, reported);
                continue;
            }
            let mut levels = ServiceLevels::default();
            levels.report(now, reported);
            self.levels.insert(reported.service.clone(), levels);
        }
    }

    /// Learns from the whole answer to a root request which services such requests involve.
    pub fn learn(&mut self, service: &ServiceName, route: RouteId, load: &LoadReport) {
        let involved = self.involvement.entry(route).or_default();
        for share in involved.values_mut() {
            *share -= INVOLVEMENT_WEIGHT * *share;
        }
        for reported in &load.services {
            if reported.service == *service {
                continue;
            }
            let share = involved.entry(reported.service.clone()).or_insert(INVOLVED);
            *share += INVOLVEMENT_WEIGHT;
        }
        involved.retain(|_, share| *share > INVOLVEMENT_WEIGHT / 10.0);
    }

    /// Returns the highest level over the services that such requests involve.
    fn threshold(&self, now: Instant, service: &ServiceName, route: RouteId) -> f64 {
        let level_of = |name: &ServiceName| self.levels.get(name).map_or(0.0, |at| at.at(now));
        let own = level_of(service);
        let Some(involved) = self.involvement.get(&route) else {
            return own;
        };
        involved
            .iter()
            .filter(|(_, share)| **share >= INVOLVED)
            .map(|(name, _)| level_of(name))
            .fold(own, f64::max)
    }
}

fn retry_after(threshold: f64) -> RetryAfter {
    let (shortest, longest) = RETRY_AFTER_MILLIS;
    let span = f64::from(longest - shortest);
    let millis = shortest + (threshold / f64::from(Level::COUNT) * span) as u32;
    RetryAfter { millis }
}
