//! Routing: which back end of a service gets a call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::admission::LoadReport;
use crate::id::{BackEndName, Incarnation, NodeId, ServiceName, ZoneName};
use crate::policy::{BackEndState, Policy};
use crate::time::Instant;
use crate::view::View;

/// A back end together with the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Node beside the back end.
    pub node: NodeId,
    /// Run of that node.
    pub incarnation: Incarnation,
    /// Mesh address of that node.
    pub address: SocketAddr,
    /// The back end.
    pub back_end: BackEndName,
}

/// How a call to a target ended, as routing sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetResult {
    /// Answered whole.
    Answered,
    /// Refused before it ran.
    Refused,
    /// Failed, lost or too late.
    Failed,
}

/// What routing may choose from.
#[derive(Clone, Copy, Debug)]
pub struct Candidates<'a> {
    /// Policy in force.
    pub policy: &'a Policy,
    /// View in force.
    pub view: &'a View,
    /// Zone of this node.
    pub zone: &'a ZoneName,
}

/// Chooses back ends. (Least calls outstanding from this node; the first of equals.)
#[derive(Debug, Default)]
pub struct Router {
    outstanding: BTreeMap<BackEndName, u32>,
}

impl Router {
    /// Chooses a serving back end of `service` that is not in `excluded`, or `None`.
    pub fn pick(
        &mut self,
        _now: Instant,
        candidates: Candidates<'_>,
        service: &ServiceName,
        excluded: &[BackEndName],
    ) -> Option<Target> {
        candidates
            .policy
            .back_ends
            .iter()
            .filter(|back_end| back_end.service == *service)
            .filter(|back_end| back_end.state == BackEndState::Serving)
            .filter(|back_end| !excluded.contains(&back_end.name))
            .filter_map(|back_end| {
                let member = candidates.view.member(back_end.node.id())?;
                Some(Target {
                    node: member.id(),
                    incarnation: member.incarnation,
                    address: member.mesh_address,
                    back_end: back_end.name.clone(),
                })
            })
            .min_by_key(|target| self.outstanding.get(&target.back_end).copied().unwrap_or(0))
    }

    /// Tells that an attempt was sent to a target.
    pub fn started(&mut self, _now: Instant, target: &Target) {
        *self.outstanding.entry(target.back_end.clone()).or_default() += 1;
    }

    /// Tells that an attempt at a target has ended after `latency`.
    pub fn finished(
        &mut self,
        _now: Instant,
        target: &Target,
        _latency: Duration,
        _result: TargetResult,
    ) {
        if let Some(count) = self.outstanding.get_mut(&target.back_end) {
            *count = count.saturating_sub(1);
        }
    }

    /// Takes in the load that an answer of a target carried.
    pub fn observe(&mut self, _now: Instant, _back_end: &BackEndName, _load: &LoadReport) {}
}
