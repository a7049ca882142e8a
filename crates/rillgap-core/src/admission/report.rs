//! Load reports that answers carry upstream.

use bitcode::{Decode, Encode};

use super::level::Level;
use crate::id::{NodeId, ServiceName};

/// Maximum number of services in one report.
pub const MAX_SERVICE_LOADS: usize = 8;

/// Level below which a service would shed requests, as one of its nodes reports it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceLoad {
    /// Service that the level applies to.
    pub service: ServiceName,
    /// Node whose back end the level was computed for.
    pub reporter: NodeId,
    /// Requests below this level would be shed.
    pub level: Level,
}

/// Load of a node's back end, sent with every answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Requests running at the back end.
    pub running: u32,
    /// Requests queued for the back end.
    pub queued: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Time that the answered attempt and its nested calls spent in queues, in microseconds; 0 in
    /// reports that do not belong to a complete answer.
    pub waited_micros: u32,
    /// Levels of the answering service and of the downstream services that the request involved,
    /// at most [`MAX_SERVICE_LOADS`].
    pub services: Vec<ServiceLoad>,
}

impl LoadReport {
    /// Returns the running and queued requests as a fraction of the limit; may exceed 1.
    pub fn utilization(&self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.limit.max(1))
    }
}

/// Merges the levels of `from` into `into`: the highest level of each service is kept, and beyond
/// [`MAX_SERVICE_LOADS`] services those with the lowest levels are dropped.
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
