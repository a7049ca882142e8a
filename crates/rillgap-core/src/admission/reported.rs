//! Levels that back ends report, as an entry sees them, and which services a route involves.

use std::collections::BTreeMap;
use std::time::Duration;

use super::level::Level;
use crate::time::{Instant, micros};

/// Time constant with which reported levels are smoothed, in microseconds.
const SMOOTHING_MICROS: f64 = 50_000.0;
/// Time without a report after which a level begins to decay.
const DECAY_DELAY: Duration = Duration::from_millis(300);
/// Time without a report after which a back end is forgotten.
const REPORT_EXPIRY: Duration = Duration::from_secs(5);
/// Least weight of one report.
const MIN_REPORT_WEIGHT: f64 = 0.02;
/// Levels by which a level without reports decays in a microsecond: a tier in a quarter of a second.
const DECAY_PER_MICRO: f64 = Level::PER_TIER as f64 / 250_000.0;
/// Weight of one answer in the learned involvement of a service.
const INVOLVEMENT_WEIGHT: f64 = 0.05;
/// Share of answers that must involve a service for its level to count for a route.
const MIN_INVOLVED_FRACTION: f64 = 0.2;

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
        let weight = (elapsed / (elapsed + SMOOTHING_MICROS)).max(MIN_REPORT_WEIGHT);
        let current = self.at(now);
        self.level = current + weight * (f64::from(level.0) - current);
        self.reported_at = now;
    }

    /// Returns the level, decayed if nothing was reported lately.
    fn at(&self, now: Instant) -> f64 {
        let over = micros(self.age(now).saturating_sub(DECAY_DELAY)) as f64;
        (self.level - over * DECAY_PER_MICRO).max(0.0)
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_since(self.reported_at)
    }
}

/// Levels of one service, by who reports them.
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
    /// Takes in a level.
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

    /// Returns the median over the reporters that were heard lately, or over all if none was.
    ///
    /// A mean would shut out a class that most back ends have room for, for the sake of one.
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

/// Services further down that requests of one route involve, learned from their answers.
#[derive(Clone, Debug)]
pub struct Involvement<S> {
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
    /// Takes in which services one answer involved.
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

    /// Takes in that one answer involved these services, and perhaps others that it did not come to.
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

    /// Returns the services that are involved often enough for their levels to count.
    pub fn services(&self) -> impl Iterator<Item = &S> {
        self.fractions
            .iter()
            .filter(|(_, fraction)| **fraction >= MIN_INVOLVED_FRACTION)
            .map(|(service, _)| service)
    }
}
