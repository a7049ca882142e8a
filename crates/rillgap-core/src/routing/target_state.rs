//! State that a router keeps for one back end: health, load and latency.

use std::time::Duration;

use super::TargetResult;
use super::health::Health;
use crate::admission::LoadReport;
use crate::id::Incarnation;
use crate::time::{Instant, micros};

/// Weight of a new sample in the exponentially weighted moving average of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// Time after which the load of a report is ignored; its limit stays in use.
const REPORT_TTL: Duration = Duration::from_millis(500);
/// Concurrency limit assumed for a back end that has not reported one.
const DEFAULT_LIMIT: f64 = 8.0;

/// A load report with the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    /// Running and queued requests.
    load: f64,
    limit: f64,
    /// Calls of this node that were outstanding when the report was received.
    outstanding: u32,
}

/// State of one back end.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    /// Incarnation of the node beside the back end.
    pub incarnation: Incarnation,
    /// Health, from the results of calls.
    pub health: Health,
    outstanding: u32,
    latency_micros: f64,
    report: Option<Report>,
}

impl TargetState {
    /// Creates the state of a back end.
    pub fn new(incarnation: Incarnation, health: Health) -> Self {
        Self {
            incarnation,
            health,
            outstanding: 0,
            latency_micros: 0.0,
            report: None,
        }
    }

    /// Returns the estimated load as a fraction of the limit: the reported load, plus the calls
    /// that this node has sent since the report, minus those that have ended since. Without a
    /// recent report, and at least, the load is the number of this node's outstanding calls.
    pub fn utilization(&self, now: Instant) -> f64 {
        let own = f64::from(self.outstanding);
        let load = match self.report {
            Some(report) if now.saturating_since(report.at) < REPORT_TTL => {
                (report.load + own - f64::from(report.outstanding)).max(own)
            }
            _ => own,
        };
        let limit = self.report.map_or(DEFAULT_LIMIT, |report| report.limit);
        load / limit.max(1.0) / self.health.slow_start_fraction(now)
    }

    /// Returns the average latency in microseconds, zero if unknown.
    pub fn latency_micros(&self) -> f64 {
        self.latency_micros
    }

    /// Records that a call was sent.
    pub fn on_started(&mut self, now: Instant) {
        self.outstanding += 1;
        self.health.on_started(now);
    }

    /// Records that a call has ended.
    pub fn on_finished(&mut self, now: Instant, latency: Duration, result: TargetResult) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match result {
            TargetResult::Answered => {
                self.health.on_success(now);
                self.record_latency(latency);
            }
            TargetResult::Refused => self.health.on_success(now),
            TargetResult::Unreachable => self.health.on_unreachable(now),
            TargetResult::Failed => {
                self.health.on_failure(now);
                if micros(latency) as f64 > self.latency_micros {
                    self.record_latency(latency);
                }
            }
        }
    }

    /// Records a load report.
    pub fn on_load_report(&mut self, now: Instant, load: &LoadReport) {
        self.report = Some(Report {
            at: now,
            load: f64::from(load.running + load.queued),
            limit: f64::from(load.limit),
            outstanding: self.outstanding,
        });
    }

    fn record_latency(&mut self, latency: Duration) {
        let sample = micros(latency) as f64;
        if self.latency_micros == 0.0 {
            self.latency_micros = sample;
        } else {
            self.latency_micros += LATENCY_EWMA_WEIGHT * (sample - self.latency_micros);
        }
    }
}
