//! Planned leave: waits until the claim replicas have settled, then leaves the view.
//!
//! A key needs the votes of two of its three replicas, and a replica that is new to a key's group
//! does not vote on it for some seconds. If a node left while another replica is still new, the keys
//! of both would find no majority. The node therefore goes on voting until earlier changes of the
//! view have settled.
//!
//! It then announces that it is leaving, and votes on until the coordinator of leaves permits it to
//! ask for its removal. The coordinator permits nodes of one zone at a time, so that nodes of
//! different zones never withhold their votes at the same time. From the request on the node does
//! not vote, since it may be removed without its knowledge. Announcement, permission and request name
//! the view from which the node may be removed: in any later view they are void.

use crate::action::{Action, Observation, Outbox};
use crate::id::{NodeId, ViewVersion};
use crate::time::Instant;

use super::change::{Removal, ViewChange};
use super::message::{MembershipMessage, Proposal, RemovalCause, RemovalRequest};
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
    /// Whether the coordinator has permitted the removal from this view.
    is_permitted: bool,
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
        self.request
            .is_some_and(|request| request.view == view && request.is_permitted)
    }

    /// Returns whether the leave from this view is announced or the removal requested.
    fn is_announced_for(&self, view: ViewVersion) -> bool {
        self.request.is_some_and(|request| request.view == view)
    }

    /// Records the permission to leave a view; returns whether the node has announced its leave from
    /// that view.
    fn permit(&mut self, now: Instant, view: ViewVersion) -> bool {
        let Some(request) = self.request.as_mut().filter(|request| request.view == view) else {
            return false;
        };
        request.is_permitted = true;
        request.next_at = now + MEMBERSHIP_REQUEST_INTERVAL;
        true
    }

    /// Returns whether the leave has been announced and requested in vain for [`LEAVE_TIMEOUT`].
    pub fn has_timed_out(&self, now: Instant) -> bool {
        self.request
            .is_some_and(|request| now.saturating_since(request.since) >= LEAVE_TIMEOUT)
    }

    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_since(self.wanted_since) >= MAX_LEAVE_DELAY
    }

    /// Returns whether an announcement or request for `view` is to be sent now, and records it.
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
                is_permitted: self.is_requested_from(view),
            });
        }
        !is_sent
    }
}

impl Protocol {
    /// Announces that this node is leaving, once that costs no key its majority or the maximum delay
    /// has passed, and repeats the announcement or the request for its removal.
    pub fn tick_leaving(&mut self, now: Instant, out: &mut Outbox) {
        if !self.is_member() {
            return;
        }
        let is_settled = self.has_settled_for_leave(now);
        let view = self.view.version;
        let Some(leave) = &mut self.leave else {
            return;
        };
        let is_announced = leave.is_announced_for(view);
        if !is_announced && !is_settled && !leave.is_overdue(now) {
            leave.request = None;
            if !std::mem::replace(&mut leave.is_wait_recorded, true) {
                out.push(Action::Observe(Observation::LeaveDeferred { view }));
            }
            return;
        }
        if leave.takes_request(now, view) {
            let request = self.leave_request();
            self.submit(now, Vec::new(), vec![request], out);
        }
    }

    /// Handles the permission to leave a view: gives up the vote and requests the removal.
    pub fn on_may_leave(
        &mut self,
        now: Instant,
        from: NodeId,
        view: ViewVersion,
        out: &mut Outbox,
    ) {
        let is_in_force = view == self.view.version && self.is_member();
        let leave = self.leave.as_mut().filter(|_| is_in_force);
        if !leave.is_some_and(|leave| leave.permit(now, view)) {
            return;
        }
        let request = self.leave_request();
        if from == self.identity.id {
            self.submit(now, Vec::new(), vec![request], out);
            return;
        }
        let record = self.removal_record(&request);
        out.push(Action::Observe(Observation::RemovalRequested(record)));
        let proposal = Proposal {
            removals: vec![request],
            ..Proposal::default()
        };
        self.send(from, MembershipMessage::Propose(proposal), out);
    }

    fn leave_request(&self) -> RemovalRequest {
        let view = self.view.version;
        let leave = self.leave.as_ref();
        let cause = if leave.is_some_and(|leave| leave.is_requested_from(view)) {
            RemovalCause::Left { view }
        } else {
            RemovalCause::Leaving { view }
        };
        RemovalRequest {
            removal: Removal {
                node: self.identity.id,
                incarnation: self.identity.member.incarnation,
                zone: self.identity.zone,
                ended: true,
            },
            cause,
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
