//! Planned leave: waits until the claim replicas have settled, then requests the removal of this node.
//!
//! A key needs the votes of two of its three replicas, and a replica that is new to a key's group
//! does not vote on it for some seconds. If a node left while another replica is still new, the keys
//! of both would find no majority. The node therefore goes on voting until earlier changes of the
//! view have settled, and stops voting when it requests its removal. The request names
//! the view from which the node may be removed: in any later view it is void, so that two nodes of
//! different zones do not leave at the same time.

use crate::action::{Action, Observation, Outbox};
use crate::id::ViewVersion;
use crate::time::Instant;

use super::change::{Removal, ViewChange};
use super::message::{RemovalCause, RemovalRequest};
use super::protocol::Protocol;
use super::timing::{LEAVE_TIMEOUT, MAX_LEAVE_DELAY, MEMBERSHIP_REQUEST_INTERVAL};
use super::topology::{Topology, ZoneId};

/// Number of zones from which on each replica group has at most one member of a zone.
const ZONES_OF_A_GROUP: usize = 3;

/// State of a planned leave.
#[derive(Debug)]
pub(super) struct Leave {
    wanted_since: Instant,
    request: Option<LeaveRequest>,
    /// Whether the log has a record of the wait.
    is_wait_recorded: bool,
}

/// Request for the removal of this node.
#[derive(Clone, Copy, Debug)]
struct LeaveRequest {
    /// View from which the node is to be removed.
    view: ViewVersion,
    /// Time since when the removal has been requested, from this or an earlier view.
    since: Instant,
    next_at: Instant,
}

impl Leave {
    /// Creates the state of a leave that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            wanted_since: now,
            request: None,
            is_wait_recorded: false,
        }
    }

    /// Returns whether the removal from this view is requested. It may happen at any time then, so the
    /// node does not vote.
    pub fn is_requested_from(&self, view: ViewVersion) -> bool {
        self.request.is_some_and(|request| request.view == view)
    }

    /// Returns whether the removal has been requested in vain for [`LEAVE_TIMEOUT`].
    pub fn has_timed_out(&self, now: Instant) -> bool {
        self.request
            .is_some_and(|request| now.saturating_since(request.since) >= LEAVE_TIMEOUT)
    }

    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_since(self.wanted_since) >= MAX_LEAVE_DELAY
    }

    /// Returns whether a request for the removal from `view` is to be sent now, and records it.
    fn takes_request(&mut self, now: Instant, view: ViewVersion) -> bool {
        let since = self.request.map_or(now, |request| request.since);
        let is_sent = self
            .request
            .is_some_and(|request| request.view == view && now < request.next_at);
        if !is_sent {
            self.request = Some(LeaveRequest {
                view,
                since,
                next_at: now + MEMBERSHIP_REQUEST_INTERVAL,
            });
        }
        !is_sent
    }
}

impl Protocol {
    /// Requests the removal of this node from the view while it is leaving, once that costs no key
    /// its majority or the maximum delay has passed.
    pub fn tick_leaving(&mut self, now: Instant, out: &mut Outbox) {
        if !self.is_member() {
            return;
        }
        let is_settled = self.has_settled_for_leave(now);
        let view = self.view.version;
        let Some(leave) = &mut self.leave else {
            return;
        };
        let is_requested = leave.is_requested_from(view);
        if !is_requested && !is_settled && !leave.is_overdue(now) {
            // A request for the removal from an earlier view is void, so the node may vote again.
            leave.request = None;
            if !std::mem::replace(&mut leave.is_wait_recorded, true) {
                out.push(Action::Observe(Observation::LeaveDeferred { view }));
            }
            return;
        }
        if leave.takes_request(now, view) {
            self.submit(now, Vec::new(), vec![self.leave_request()], out);
        }
    }

    fn leave_request(&self) -> RemovalRequest {
        RemovalRequest {
            removal: Removal {
                node: self.identity.id,
                incarnation: self.identity.member.incarnation,
                zone: self.identity.zone,
                ended: true,
            },
            cause: RemovalCause::Left {
                view: self.view.version,
            },
        }
    }

    /// Returns whether all replica groups keep a majority of replicas that vote when this node
    /// leaves: the changes that have not settled yet concern only its own zone. Before any view has
    /// settled, no replica votes, so there is no majority to keep.
    fn has_settled_for_leave(&self, now: Instant) -> bool {
        let Some(settled) = self.history.settled(now) else {
            return true;
        };
        if !self.log.covers(settled) {
            return false;
        }
        let mut changes = self.log.between(settled, self.view.version).peekable();
        let zone = self.identity.zone;
        changes.peek().is_none()
            || (has_group_zones(&self.topology) && changes.all(|change| is_within(change, zone)))
    }
}

/// Returns whether there are so many zones that a replica group has at most one member of each.
pub(super) fn has_group_zones(topology: &Topology) -> bool {
    topology.zones.len() >= ZONES_OF_A_GROUP
}

/// Returns whether a change adds and removes members of one zone only.
pub(super) fn is_within(change: &ViewChange, zone: ZoneId) -> bool {
    let mut removed = change.removed.iter();
    let mut added = change.added.iter();
    removed.all(|removal| removal.zone == zone)
        && added.all(|member| ZoneId::from(&member.zone) == zone)
}
