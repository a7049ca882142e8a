//! State of an entry node: levels that back ends report, and services that each route involves.

use std::collections::BTreeMap;
use std::time::Duration;

use super::level::Level;
use super::record::ReportRecord;
use crate::id::NodeId;
use crate::time::{Instant, micros};

/// Time constant of the smoothing of reported levels, in microseconds.
const SMOOTHING_MICROS: f64 = 50_000.0;
/// Time without a report after which a level begins to decay.
const DECAY_DELAY: Duration = Duration::from_millis(300);
/// Time without a report after which the level of a back end is removed.
const REPORT_EXPIRY: Duration = Duration::from_secs(5);
/// Minimum weight of one report.
const MIN_REPORT_WEIGHT: f64 = 0.02;
/// Decay of a level without reports, in levels per microsecond: one tier in 250 ms.
const DECAY_PER_MICRO: f64 = Level::PER_TIER as f64 / 250_000.0;
/// Weight of one answer in the fraction of answers that involve a service.
const INVOLVEMENT_WEIGHT: f64 = 0.05;
/// Minimum fraction of a route's answers that involve a service for its level to apply to the
/// route.
const MIN_INVOLVED_FRACTION: f64 = 0.2;

/// Smoothed level of one reporter.
#[derive(Clone, Copy, Debug)]
struct ReportedLevel {
    level: f64,
    reported_at: Instant,
}

impl ReportedLevel {
    fn report(&mut self, now: Instant, level: Level) {
        let elapsed = micros(now.saturating_since(self.reported_at)) as f64;
        // The minimum weight keeps reports that arrive at the same time from having no effect.
        let weight = (elapsed / (elapsed + SMOOTHING_MICROS)).max(MIN_REPORT_WEIGHT);
        let current = self.at(now);
        self.level = current + weight * (f64::from(level.0) - current);
        self.reported_at = now;
    }

    /// Returns the level at `now`; it decays after [`DECAY_DELAY`] without a report.
    fn at(&self, now: Instant) -> f64 {
        let over = micros(self.age(now).saturating_sub(DECAY_DELAY)) as f64;
        (self.level - over * DECAY_PER_MICRO).max(0.0)
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_since(self.reported_at)
    }
}

/// Levels of one service, by reporter.
#[derive(Clone, Debug)]
pub struct ServiceLevels<R> {
    reporters: BTreeMap<R, ReportedLevel>,
}

impl<R> Default for ServiceLevels<R> {
    fn default() -> Self {
        Self {
            reporters: BTreeMap::new(),
        }
    }
}

impl<R: Ord> ServiceLevels<R> {
    /// Records a level, and removes expired reporters.
    pub fn report(&mut self, now: Instant, reporter: R, level: Level) {
        self.reporters
            .retain(|_, level| level.age(now) < REPORT_EXPIRY);
        self.reporters
            .entry(reporter)
            .or_insert(ReportedLevel {
                level: f64::from(level.0),
                reported_at: now,
            })
            .report(now, level);
    }

    /// Returns the smoothed level of each reporter, for logs.
    pub fn reports(&self, now: Instant) -> Vec<ReportRecord>
    where
        R: Into<NodeId> + Copy,
    {
        let records = self.reporters.iter().map(|(reporter, level)| ReportRecord {
            reporter: (*reporter).into(),
            level: level.at(now),
            age: level.age(now),
        });
        records.collect()
    }

    /// Returns the median level of the reporters with a recent report, or of all if none has one.
    ///
    /// With a mean, a single overloaded back end could shed a class that most of the others have
    /// capacity for.
    pub fn at(&self, now: Instant) -> f64 {
        let is_recent = |level: &&ReportedLevel| level.age(now) < DECAY_DELAY;
        let mut levels: Vec<f64> = self
            .reporters
            .values()
            .filter(is_recent)
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

/// Downstream services that requests of one route involve, estimated from their answers.
#[derive(Clone, Debug)]
pub struct Involvement<S> {
    /// Moving fraction of answers that involve each service.
    fractions: BTreeMap<S, f64>,
}

impl<S> Default for Involvement<S> {
    fn default() -> Self {
        Self {
            fractions: BTreeMap::new(),
        }
    }
}

impl<S: Ord + Clone> Involvement<S> {
    /// Records which services one complete answer involved. A new service counts at once.
    pub fn record_answer<'a>(&mut self, services: impl Iterator<Item = &'a S>)
    where
        S: 'a,
    {
        for fraction in self.fractions.values_mut() {
            *fraction -= INVOLVEMENT_WEIGHT * *fraction;
        }
        for service in services {
            match self.fractions.get_mut(service) {
                Some(fraction) => *fraction += INVOLVEMENT_WEIGHT,
                None => {
                    let fraction = MIN_INVOLVED_FRACTION + INVOLVEMENT_WEIGHT;
                    self.fractions.insert(service.clone(), fraction);
                }
            }
        }
        self.fractions
            .retain(|_, fraction| *fraction > INVOLVEMENT_WEIGHT / 10.0);
    }

    /// Records the services that an incomplete answer involved. The request may have failed before
    /// it reached others, so no fraction is reduced.
    pub fn record_partial_answer<'a>(&mut self, services: impl Iterator<Item = &'a S>)
    where
        S: 'a,
    {
        for service in services {
            let known = self.fractions.get(service).copied().unwrap_or_default();
            if known < MIN_INVOLVED_FRACTION {
                let fraction = MIN_INVOLVED_FRACTION + INVOLVEMENT_WEIGHT;
                self.fractions.insert(service.clone(), fraction);
            }
        }
    }

    /// Returns the services whose levels apply to the route.
    pub fn services(&self) -> impl Iterator<Item = &S> {
        self.fractions
            .iter()
            .filter(|(_, fraction)| **fraction >= MIN_INVOLVED_FRACTION)
            .map(|(service, _)| service)
    }
}
