//! Proposed joins and removals: forwards them to a store reader, which batches and writes them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::{Action, Observation, Outbox};
use crate::id::{NodeId, ViewVersion};
use crate::store::Machine;
use crate::time::Instant;
use crate::view::{Member, View};

use super::change::{Removal, ViewChange};
use super::leaving::{has_group_zones, is_within};
use super::message::{MembershipMessage, Proposal, RemovalCause, RemovalRequest};
use super::protocol::Protocol;
use super::record::{PlannedRemoval, RemovalReason, RemovalRecord, ViewWrite};
use super::timing::{
    BATCH_INTERVAL, FALLBACK_BATCH_INTERVAL, LEAVE_TIMEOUT, MAX_HOPS, RELAY_EXCHANGE_INTERVAL,
};
use super::topology::{Topology, ZoneId};

/// Time after which a proposal that is not repeated is dropped.
const PROPOSAL_LIFETIME: Duration = Duration::from_secs(15);
/// Time after which the removal of a silent member that is not requested again is dropped: four
/// requests are missing, so the member works again.
const SILENT_REMOVAL_LIFETIME: Duration = RELAY_EXCHANGE_INTERVAL.saturating_mul(4);
/// Interval at which the permission to leave is repeated to a node that has not asked for its removal.
const PERMIT_RESEND_INTERVAL: Duration = BATCH_INTERVAL;
/// Maximum time for which changes wait for the requests of nodes that were permitted to leave.
const MAX_PERMIT_WAIT: Duration = BATCH_INTERVAL;
/// One change removes at most one in this many members, but at least one, for silence.
const SILENT_REMOVAL_DIVISOR: usize = 10;

#[derive(Debug)]
struct Pending<T> {
    change: T,
    refreshed_at: Instant,
}

/// Request for a removal and the node from which it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedRemoval {
    request: RemovalRequest,
    from: NodeId,
}

impl ReceivedRemoval {
    const fn is_announcement(&self) -> bool {
        matches!(self.request.cause, RemovalCause::Leaving { .. })
    }
}

/// Joins and removals that this node is to write to the store.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    joins: BTreeMap<NodeId, Pending<Member>>,
    removals: BTreeMap<NodeId, Pending<ReceivedRemoval>>,
    /// Start of the current batch: receipt of its first proposal, or the last write; `None` if
    /// there are no proposals.
    pub pending_since: Option<Instant>,
    /// Nodes that were permitted to leave the view in force; `None` if none was.
    permits: Option<LeavePermits>,
}

/// Members that were permitted to ask for their removal from a view.
#[derive(Debug)]
struct LeavePermits {
    view: ViewVersion,
    nodes: Vec<NodeId>,
    /// Time of the first permission.
    since: Instant,
    /// Time of the last one.
    sent_at: Instant,
}

impl Proposals {
    /// Records or refreshes a join, unless one of a later incarnation is recorded.
    pub fn join(&mut self, now: Instant, member: Member) {
        let known = self.joins.get(&member.id());
        if known.is_some_and(|known| known.change.incarnation > member.incarnation) {
            return;
        }
        self.pending_since.get_or_insert(now);
        let pending = Pending {
            change: member,
            refreshed_at: now,
        };
        self.joins.insert(pending.change.id(), pending);
    }

    /// Records or refreshes a removal that was received from a node, possibly this one. The request
    /// to remove a member that the machine list omits takes the place of no other one: a member that
    /// has been silent for long is the subject of both.
    pub fn remove(&mut self, now: Instant, from: NodeId, request: RemovalRequest) {
        let known = self.removals.get(&request.removal.node);
        let is_same = known.is_some_and(|known| {
            let other = known.change.request;
            other.removal.incarnation == request.removal.incarnation
                && other.cause != RemovalCause::Unlisted
        });
        if is_same && request.cause == RemovalCause::Unlisted {
            return;
        }
        // An announcement may arrive after the request that followed it.
        let is_late = known.is_some_and(|known| is_announcement_of(request, known.change.request));
        if is_late {
            return;
        }
        self.pending_since.get_or_insert(now);
        let pending = Pending {
            change: ReceivedRemoval { request, from },
            refreshed_at: now,
        };
        self.removals.insert(request.removal.node, pending);
    }

    /// Returns whether the current batch has been open for `interval`.
    pub fn is_due(&self, now: Instant, interval: Duration) -> bool {
        self.pending_since
            .is_some_and(|since| now.saturating_since(since) >= interval)
    }

    /// Drops the proposals that the view already contains and those that have expired. A join is
    /// also dropped if the view contains a later incarnation: it was delayed.
    pub fn prune(&mut self, now: Instant, view: &View) {
        let is_alive = |refreshed_at: Instant, lifetime: Duration| {
            now.saturating_since(refreshed_at) <= lifetime
        };
        self.joins.retain(|node, pending| {
            let present = view.member(*node).map(|member| member.incarnation);
            is_alive(pending.refreshed_at, PROPOSAL_LIFETIME)
                && present < Some(pending.change.incarnation)
        });
        self.removals.retain(|node, pending| {
            let request = pending.change.request;
            let present = view.member(*node).map(|member| member.incarnation);
            let lifetime = match request.cause {
                RemovalCause::Silent => SILENT_REMOVAL_LIFETIME,
                RemovalCause::Left { .. }
                | RemovalCause::Leaving { .. }
                | RemovalCause::Unlisted => PROPOSAL_LIFETIME,
            };
            is_alive(pending.refreshed_at, lifetime)
                && present == Some(request.removal.incarnation)
                && applies_to(request.cause, view)
        });
        if self.joins.is_empty() && self.removals.is_empty() {
            self.pending_since = None;
        }
    }

    /// Combines the proposals into the next change of the view, which has this topology, within the
    /// limits for removals; returns `None` if there is nothing to change.
    pub fn to_change(
        &self,
        view: &View,
        topology: &Topology,
        machines: Option<&[Machine]>,
    ) -> Option<PlannedChange> {
        let mut planned = PlannedChange::after(view);
        for join in self.joins.values() {
            planned.add(view, &join.change);
        }
        let (leaving, failed): (Vec<_>, Vec<_>) = self
            .removals
            .iter()
            .filter(|(node, _)| !self.joins.contains_key(node))
            .filter(|(_, pending)| !pending.change.is_announcement())
            .filter_map(|(node, pending)| Some((view.member(*node)?, pending.change)))
            .partition(|(_, removal)| matches!(removal.request.cause, RemovalCause::Left { .. }));
        let limit = (view.members.len() / SILENT_REMOVAL_DIVISOR).max(1);
        let mut silent = 0;
        for (member, removal) in failed {
            let is_silent = removal.request.cause == RemovalCause::Silent;
            let is_unlisted = machines.is_some_and(|machines| omits(machines, member));
            if (is_silent && silent < limit) || (!is_silent && is_unlisted) {
                silent += usize::from(is_silent);
                planned.remove(view, member, removal);
            }
        }
        let has_group_zones = has_group_zones(topology);
        for (member, removal) in leaving {
            let zone = ZoneId::from(&member.zone);
            if planned.is_empty() || (has_group_zones && is_within(&planned.change, zone)) {
                planned.remove(view, member, removal);
            }
        }
        Some(planned).filter(|planned| !planned.is_empty())
    }

    /// Chooses the members that may ask for their removal from the view in force now, and records
    /// the choice. It holds until the view changes, or for [`LEAVE_TIMEOUT`], after which these nodes
    /// have ended; meanwhile it is repeated to those that have not asked.
    pub fn take_permits(
        &mut self,
        now: Instant,
        view: &View,
        topology: &Topology,
        machines: Option<&[Machine]>,
    ) -> Vec<NodeId> {
        let announced: Vec<(NodeId, ZoneId)> = self
            .removals
            .iter()
            .filter(|(_, pending)| pending.change.is_announcement())
            .map(|(node, pending)| (*node, pending.change.request.removal.zone))
            .collect();
        if let Some(permits) = self.permits_in_force(now, view) {
            if now.saturating_since(permits.sent_at) < PERMIT_RESEND_INTERVAL {
                return Vec::new();
            }
            permits.sent_at = now;
            let mut nodes = permits.nodes.clone();
            nodes.retain(|node| announced.iter().any(|(announcing, _)| announcing == node));
            return nodes;
        }
        let earlier = self.permits.take().map(|permits| permits.nodes);
        let is_new = |node: &NodeId| !earlier.iter().flatten().any(|earlier| earlier == node);
        let Some(&(first, zone)) = announced.iter().find(|(node, _)| is_new(node)) else {
            return Vec::new();
        };
        let planned = self.to_change(view, topology, machines);
        let is_alone = planned.is_none();
        let fits = |zone| planned.is_none_or(|planned| is_within(&planned.change, zone));
        let nodes = match (has_group_zones(topology), is_alone) {
            (true, _) if fits(zone) => announced
                .iter()
                .filter(|(_, announcing)| *announcing == zone)
                .map(|(node, _)| *node)
                .collect(),
            (false, true) => vec![first],
            _ => return Vec::new(),
        };
        self.permits = Some(LeavePermits {
            view: view.version,
            nodes: Vec::clone(&nodes),
            since: now,
            sent_at: now,
        });
        nodes
    }

    fn permits_in_force(&mut self, now: Instant, view: &View) -> Option<&mut LeavePermits> {
        self.permits.as_mut().filter(|permits| {
            permits.view == view.version && now.saturating_since(permits.since) < LEAVE_TIMEOUT
        })
    }

    /// Returns whether members were permitted to leave the view in force.
    pub fn has_permits(&self, view: &View) -> bool {
        let permits = self.permits.as_ref();
        permits.is_some_and(|permits| permits.view == view.version)
    }

    /// Returns whether a node that was permitted to leave the view in force has not asked for its
    /// removal yet. Changes wait for it for a short time, since they would make its request void.
    pub fn awaits_permitted(&self, now: Instant, view: &View) -> bool {
        let permits = self.permits.as_ref().filter(|permits| {
            permits.view == view.version && now.saturating_since(permits.since) < MAX_PERMIT_WAIT
        });
        let is_awaited = |node: &NodeId| {
            let pending = self.removals.get(node);
            pending.is_some_and(|pending| pending.change.is_announcement())
        };
        permits.is_some_and(|permits| permits.nodes.iter().any(is_awaited))
    }
}

/// Returns whether a request is the announcement that came before another one.
fn is_announcement_of(request: RemovalRequest, later: RemovalRequest) -> bool {
    match (request.cause, later.cause) {
        (RemovalCause::Leaving { view }, RemovalCause::Left { view: requested }) => {
            view == requested && request.removal == later.removal
        }
        _ => false,
    }
}

/// Returns whether a request for a removal may be applied to a view.
fn applies_to(cause: RemovalCause, view: &View) -> bool {
    match cause {
        RemovalCause::Left { view: expected } | RemovalCause::Leaving { view: expected } => {
            expected == view.version
        }
        RemovalCause::Silent | RemovalCause::Unlisted => true,
    }
}

/// Change of the view that is to be written, and its record for the log.
#[derive(Debug)]
pub(super) struct PlannedChange {
    pub change: ViewChange,
    pub record: ViewWrite,
}

impl PlannedChange {
    fn after(view: &View) -> Self {
        let version = ViewVersion(view.version.0 + 1);
        Self {
            change: ViewChange {
                version,
                removed: Vec::new(),
                added: Vec::new(),
            },
            record: ViewWrite {
                version,
                added: Vec::new(),
                removed: Vec::new(),
            },
        }
    }

    fn is_empty(&self) -> bool {
        self.change.added.is_empty() && self.change.removed.is_empty()
    }

    /// Adds a member in place of an earlier incarnation, if there is one.
    fn add(&mut self, view: &View, member: &Member) {
        if let Some(earlier) = view.member(member.id()) {
            self.change.removed.push(removal_of(earlier, true));
            self.record.removed.push(PlannedRemoval {
                member: earlier.into(),
                reason: RemovalReason::Replaced,
            });
        }
        self.change.added.push(member.clone());
        self.record.added.push(member.into());
    }

    fn remove(&mut self, view: &View, member: &Member, removal: ReceivedRemoval) {
        let cause = removal.request.cause;
        let ended = cause != RemovalCause::Silent;
        self.change.removed.push(removal_of(member, ended));
        let reason = RemovalReason::Proposed {
            cause,
            from: view.name_of(removal.from),
        };
        self.record.removed.push(PlannedRemoval {
            member: member.into(),
            reason,
        });
    }
}

fn removal_of(member: &Member, ended: bool) -> Removal {
    Removal {
        node: member.id(),
        incarnation: member.incarnation,
        zone: ZoneId::from(&member.zone),
        ended,
    }
}

fn omits(machines: &[Machine], member: &Member) -> bool {
    machines.iter().all(|machine| machine.node != member.name)
}

impl Protocol {
    /// Submits new proposals: a store reader keeps them to write them, another node forwards them.
    pub fn submit(
        &mut self,
        now: Instant,
        joins: Vec<Member>,
        removals: Vec<RemovalRequest>,
        out: &mut Outbox,
    ) {
        for request in &removals {
            let observation = match request.cause {
                RemovalCause::Leaving { view } => Observation::LeaveAnnounced { view },
                RemovalCause::Left { .. } | RemovalCause::Silent | RemovalCause::Unlisted => {
                    Observation::RemovalRequested(self.removal_record(request))
                }
            };
            out.push(Action::Observe(observation));
        }
        let proposal = Proposal {
            joins,
            removals,
            hops: 0,
        };
        self.on_propose(now, self.identity.id, proposal, out);
    }

    pub fn removal_record(&self, request: &RemovalRequest) -> RemovalRecord {
        let Removal {
            node, incarnation, ..
        } = request.removal;
        RemovalRecord {
            node: self.view.name_of(node),
            incarnation,
            cause: request.cause,
            in_view: self.view.member(node).map(|member| member.incarnation),
        }
    }

    /// Handles a proposal of this node or of a peer.
    pub fn on_propose(&mut self, now: Instant, from: NodeId, proposal: Proposal, out: &mut Outbox) {
        if proposal.joins.is_empty() && proposal.removals.is_empty() {
            return;
        }
        if self.roles.region_relay {
            self.forward_to_writer(now, &proposal, out);
            self.forward_to_coordinator(now, &proposal, out);
            for member in proposal.joins {
                self.proposals.join(now, member);
            }
            for request in proposal.removals {
                self.record_removal(now, from, request, out);
            }
            self.write_requested_leaves(now, out);
        } else if proposal.hops < MAX_HOPS {
            self.forward(now, proposal, out);
        }
    }

    /// Records the removal of a member; a request for an incarnation outside the view is ignored.
    fn record_removal(
        &mut self,
        now: Instant,
        from: NodeId,
        request: RemovalRequest,
        out: &mut Outbox,
    ) {
        let record = self.removal_record(&request);
        if record.in_view == Some(record.incarnation) {
            self.proposals.remove(now, from, request);
        } else {
            out.push(Action::Observe(Observation::RemovalIgnored(record)));
        }
    }

    /// Returns the relay of the first responding region, unless that is the own region. It writes
    /// the changes of all regions, which avoids conflicting writes.
    fn preferred_writer(&self, now: Instant) -> Option<NodeId> {
        self.topology
            .regions
            .keys()
            .take_while(|region| **region != self.identity.region)
            .filter_map(|region| self.counterpart(now, *region))
            .find(|node| !self.contacts.is_silent(now, *node))
    }

    fn forward_to_writer(&self, now: Instant, proposal: &Proposal, out: &mut Outbox) {
        let writer = self.preferred_writer(now);
        if let Some(writer) = writer.filter(|_| proposal.hops < MAX_HOPS) {
            let mut copy = proposal.clone();
            copy.hops += 1;
            self.send(writer, MembershipMessage::Propose(copy), out);
        }
    }

    /// Returns the relay of the own region that coordinates leaves if the own region writes: the first
    /// one that responds. Two writers that permitted leaves would not know of each other's choice.
    fn leave_coordinator(&self, now: Instant) -> Option<NodeId> {
        let relays = self.region_relays(now, self.identity.region);
        relays.live.first().copied()
    }

    fn forward_to_coordinator(&self, now: Instant, proposal: &Proposal, out: &mut Outbox) {
        let coordinator = self
            .leave_coordinator(now)
            .filter(|node| *node != self.identity.id && proposal.hops < MAX_HOPS);
        let Some(coordinator) = coordinator else {
            return;
        };
        let announced = proposal.removals.iter().copied();
        let announced: Vec<RemovalRequest> = announced
            .filter(|request| matches!(request.cause, RemovalCause::Leaving { .. }))
            .collect();
        if !announced.is_empty() {
            let copy = Proposal {
                joins: Vec::new(),
                removals: announced,
                hops: proposal.hops + 1,
            };
            self.send(coordinator, MembershipMessage::Propose(copy), out);
        }
    }

    /// Permits announced leaves if this node coordinates them and its batch is due.
    pub fn permit_leaves(&mut self, now: Instant, out: &mut Outbox) {
        let own = self.identity.id;
        let coordinates =
            self.preferred_writer(now).is_none() && self.leave_coordinator(now) == Some(own);
        if !coordinates || !self.proposals.is_due(now, self.batch_interval(now)) {
            return;
        }
        let machines = self.store.listed_machines();
        let permitted = self
            .proposals
            .take_permits(now, &self.view, &self.topology, machines);
        if permitted.is_empty() {
            return;
        }
        let view = self.view.version;
        let names = permitted.iter().map(|node| self.view.name_of(*node));
        let nodes = names.collect();
        out.push(Action::Observe(Observation::LeavesPermitted {
            view,
            nodes,
        }));
        for node in permitted {
            if node == own {
                self.on_may_leave(now, own, view, out);
            } else {
                self.send(node, MembershipMessage::MayLeave { view }, out);
            }
        }
    }

    /// Writes removals at once when all permitted nodes have asked for theirs: until then they are
    /// members that do not vote.
    fn write_requested_leaves(&mut self, now: Instant, out: &mut Outbox) {
        if self.proposals.has_permits(&self.view)
            && !self.proposals.awaits_permitted(now, &self.view)
        {
            self.write_proposals(now, out);
        }
    }

    /// Returns the time for which this node collects changes before it writes them. It is longer if
    /// another region is to write them, as this node then writes only what that one has not.
    pub fn batch_interval(&self, now: Instant) -> Duration {
        if self.preferred_writer(now).is_some() {
            FALLBACK_BATCH_INTERVAL
        } else {
            BATCH_INTERVAL
        }
    }

    /// Forwards a proposal: a relay to a region relay, another member to a relay of its zone.
    fn forward(&self, now: Instant, mut proposal: Proposal, out: &mut Outbox) {
        proposal.hops += 1;
        let relays = if self.roles.relay {
            self.region_relays(now, self.identity.region)
        } else {
            self.zone_relays(now)
        };
        let next = relays
            .live
            .into_iter()
            .find(|node| *node != self.identity.id);
        if let Some(next) = next {
            self.send(next, MembershipMessage::Propose(proposal), out);
        }
    }
}
