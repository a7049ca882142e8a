//! Records of admission decisions, for logs.

use std::fmt;
use std::time::Duration;

use super::level::Level;
use crate::id::{NodeId, ServiceName};

/// Inputs of the decision to shed a root request at the entry.
#[derive(Clone, Debug, PartialEq)]
pub struct ShedRequest {
    /// Service that the request was sent to.
    pub service: ServiceName,
    /// Level of the request.
    pub level: Level,
    /// Service with the highest level among those that the route involves.
    pub overloaded: ServiceName,
    /// Smoothed level of that service; requests below it are shed.
    pub threshold: f64,
    /// What its nodes have reported.
    pub reports: Vec<ReportRecord>,
}

/// Smoothed level that one node reported, and its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportRecord {
    /// Node whose back end the level was computed for.
    pub reporter: NodeId,
    /// Smoothed level at the time of the decision.
    pub level: f64,
    /// Time since the last report.
    pub age: Duration,
}

impl fmt::Display for ReportRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (level, age) = (self.level, self.age.as_millis());
        write!(
            formatter,
            "{} level {level:.0} age {age} ms",
            self.reporter.0
        )
    }
}

/// Start or end of shedding at a back end, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelChange {
    /// New level; 0 if nothing is shed any more.
    pub level: Level,
    /// Concurrency limit.
    pub limit: u32,
    /// Requests running at the back end.
    pub running: usize,
    /// Requests queued for the back end.
    pub queued: usize,
    /// Estimated demand of all tiers, as a fraction of the limit.
    pub demand: f64,
    /// Estimated mean slot time in microseconds.
    pub mean_occupancy_micros: f64,
}
