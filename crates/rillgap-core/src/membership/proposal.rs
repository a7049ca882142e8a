//! Changes that wait to be written to the store.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::action::Outbox;
use crate::id::{NodeId, ViewVersion};
use crate::store::Machine;
use crate::time::Instant;
use crate::view::{Member, View};

use super::change::{Removal, ViewChange};
use super::message::{MembershipMessage, Proposal, RemovalCause, RemovalRequest};
use super::protocol::Protocol;
use super::timing::{BATCH_INTERVAL, FALLBACK_BATCH_INTERVAL, MAX_HOPS};
use super::topology::ZoneId;

/// Time after which a proposal that nobody repeats is dropped.
const PROPOSAL_LIFETIME: Duration = Duration::from_secs(15);
/// Share of the members that one change may remove for silence: one in this many.
const SILENT_REMOVAL_DIVISOR: usize = 10;

#[derive(Debug)]
struct Pending<T> {
    change: T,
    refreshed_at: Instant,
}

/// Joins and removals that this node, as a store reader, was asked to write.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    joins: BTreeMap<NodeId, Pending<Member>>,
    removals: BTreeMap<NodeId, Pending<RemovalRequest>>,
    /// When the first of them came in.
    pub pending_since: Option<Instant>,
}

impl Proposals {
    /// Takes in a join.
    pub fn join(&mut self, now: Instant, member: Member) {
        self.pending_since.get_or_insert(now);
        let pending = Pending {
            change: member,
            refreshed_at: now,
        };
        self.joins.insert(pending.change.id(), pending);
    }

    /// Takes in a removal.
    pub fn remove(&mut self, now: Instant, request: RemovalRequest) {
        self.pending_since.get_or_insert(now);
        let pending = Pending {
            change: request,
            refreshed_at: now,
        };
        self.removals.insert(request.removal.node, pending);
    }

    /// Returns whether something has waited for an interval.
    pub fn is_due(&self, now: Instant, interval: Duration) -> bool {
        self.pending_since
            .is_some_and(|since| now.saturating_since(since) >= interval)
    }

    /// Drops what the view already fulfils and what nobody has repeated for long.
    pub fn prune(&mut self, now: Instant, view: &View) {
        let is_alive =
            |refreshed_at: Instant| now.saturating_since(refreshed_at) <= PROPOSAL_LIFETIME;
        self.joins.retain(|node, pending| {
            let present = view.member(*node).map(|member| member.incarnation);
            is_alive(pending.refreshed_at) && present != Some(pending.change.incarnation)
        });
        self.removals.retain(|node, pending| {
            let present = view.member(*node).map(|member| member.incarnation);
            is_alive(pending.refreshed_at) && present == Some(pending.change.removal.incarnation)
        });
        if self.joins.is_empty() && self.removals.is_empty() {
            self.pending_since = None;
        }
    }

    /// Makes the change that fulfils as much as one change may; `None` if there is nothing.
    pub fn to_change(&self, view: &View, machines: Option<&[Machine]>) -> Option<ViewChange> {
        let added: Vec<Member> = self
            .joins
            .values()
            .map(|join| join.change.clone())
            .collect();
        let replaced = added.iter().filter_map(|member| {
            let earlier = view.member(member.id())?;
            Some(removal_of(earlier, true))
        });
        let mut removed: Vec<Removal> = replaced.collect();
        let limit = (view.members.len() / SILENT_REMOVAL_DIVISOR).max(1);
        let mut silent = 0;
        for (node, pending) in &self.removals {
            let Some(member) = view
                .member(*node)
                .filter(|_| !self.joins.contains_key(node))
            else {
                continue;
            };
            let is_allowed = match pending.change.cause {
                RemovalCause::Left => true,
                RemovalCause::Silent => silent < limit,
                RemovalCause::Unlisted => machines.is_some_and(|machines| omits(machines, member)),
            };
            if is_allowed {
                silent += usize::from(pending.change.cause == RemovalCause::Silent);
                let ended = pending.change.cause != RemovalCause::Silent;
                removed.push(removal_of(member, ended));
            }
        }
        if added.is_empty() && removed.is_empty() {
            return None;
        }
        Some(ViewChange {
            version: ViewVersion(view.version.0 + 1),
            removed,
            added,
        })
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
    /// Keeps changes to be written, if this node is a store reader; else hands them on.
    pub fn submit(
        &mut self,
        now: Instant,
        joins: Vec<Member>,
        removals: Vec<RemovalRequest>,
        out: &mut Outbox,
    ) {
        let proposal = Proposal {
            joins,
            removals,
            hops: 0,
        };
        self.on_propose(now, proposal, out);
    }

    /// Handles changes that were proposed here.
    pub fn on_propose(&mut self, now: Instant, proposal: Proposal, out: &mut Outbox) {
        if proposal.joins.is_empty() && proposal.removals.is_empty() {
            return;
        }
        if self.roles.region_relay {
            self.forward_to_writer(now, &proposal, out);
            for member in proposal.joins {
                self.proposals.join(now, member);
            }
            for request in proposal.removals {
                self.proposals.remove(now, request);
            }
        } else if proposal.hops < MAX_HOPS {
            self.forward(now, proposal, out);
        }
    }

    /// Returns the relay of the first region that answers, if it is another region: it writes for
    /// all, so that the regions do not get in each other's way.
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

    /// Returns how long changes wait for company here; longer where another region writes them.
    pub fn batch_interval(&self, now: Instant) -> Duration {
        if self.preferred_writer(now).is_some() {
            FALLBACK_BATCH_INTERVAL
        } else {
            BATCH_INTERVAL
        }
    }

    /// Hands a proposal on: members to a relay of their zone, relays to a region relay.
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
