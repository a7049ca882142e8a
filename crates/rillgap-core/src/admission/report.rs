//! Load that answers carry upstream.

use bitcode::{Decode, Encode};

use super::level::Level;
use crate::id::{NodeId, ServiceName};

/// Most services that one report names.
pub const MAX_SERVICE_LOADS: usize = 8;

/// Admission level that a service would shed below.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Node beside the back end that says so.
    pub reporter: NodeId,
    /// Requests below this level would be shed.
    pub level: Level,
}

/// Load of a node's back end, carried on every answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Requests running at the back end.
    pub running: u32,
    /// Requests queued beside it.
    pub queued: u32,
    /// Concurrency limit now in force.
    pub limit: u32,
    /// Time that the answered attempt and the calls made for it spent in queues, in microseconds;
    /// zero on reports that belong to no whole answer.
    pub waited_micros: u32,
    /// Levels of the answering service and of services that the answer involved further down,
    /// at most [`MAX_SERVICE_LOADS`].
    pub services: Vec<ServiceLoad>,
}

impl LoadReport {
    /// Returns running and queued requests as a share of the limit.
    pub fn utilization(&self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.limit.max(1))
    }
}

/// Adds the levels of `from` to `into`; of one service the higher stays, and when there are
/// too many the lowest go.
pub(super) fn merge_service_loads(into: &mut Vec<ServiceLoad>, from: &[ServiceLoad]) {
    for load in from {
        match into.iter_mut().find(|known| known.service == load.service) {
            Some(known) if known.level < load.level => *known = load.clone(),
            Some(_) => {}
            None => into.push(load.clone()),
        }
    }
    if into.len() > MAX_SERVICE_LOADS {
        into.sort_by_key(|load| std::cmp::Reverse(load.level));
        into.truncate(MAX_SERVICE_LOADS);
    }
}
