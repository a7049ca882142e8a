//! Connects claimant, replica and dispatch guard of one node.

use std::collections::VecDeque;

use crate::action::{Action, Observation, Outbox};
use crate::claim::claimant::{Claimant, Outgoing};
use crate::claim::counters::ClaimCounters;
use crate::claim::electorate::{Electorate, Voter};
use crate::claim::guard::DispatchGuard;
use crate::claim::message::{ClaimMessage, GuardQuery, GuardReply, KeyState};
use crate::claim::replica::Replica;
use crate::claim::settings::{ClaimFaults, ClaimSettings};
use crate::claim::{ClaimEvent, ClaimRequest, ClaimResult};
use crate::id::{AttemptId, Incarnation, NodeId};
use crate::message::PeerMessage;
use crate::policy::Bounds;
use crate::time::{Instant, Now};

/// Claimant and replica sides of the claim protocol at one node.
#[derive(Debug)]
pub struct Claims {
    voter: Voter,
    settings: ClaimSettings,
    claimant: Claimant,
    replica: Replica,
    /// Queries of this node to its own guard, answered at the next poll.
    local_queries: VecDeque<GuardQuery>,
    counters: ClaimCounters,
}

impl Claims {
    /// Creates the state of a newly started node, without any recorded keys.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        let voter = Voter { node, incarnation };
        Self {
            voter,
            settings: ClaimSettings::default(),
            claimant: Claimant::default(),
            replica: Replica::new(voter),
            local_queries: VecDeque::new(),
            counters: ClaimCounters::default(),
        }
    }

    /// Applies the bounds of the policy in force.
    pub const fn configure(&mut self, bounds: &Bounds) {
        self.settings.configure(bounds);
    }

    /// Injects faults, to prove that tests detect them.
    pub const fn inject_faults(&mut self, faults: ClaimFaults) {
        self.settings.faults = faults;
    }

    /// Returns the counters since the start of the node.
    pub const fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// Returns the number of keys that this node has recorded as a replica.
    pub fn remembered_keys(&self) -> usize {
        self.replica.len()
    }

    /// Returns whether the caller may receive a "not run" result after `attempt` was refused or
    /// ended before dispatch.
    ///
    /// True while only this attempt holds the granted claim: the claim was neither released nor
    /// reassigned, the deadline has not passed or has passed by less than
    /// [`PROTECTION_GRACE`](crate::claim::settings::PROTECTION_GRACE), and this node holds the
    /// lease on its view. Otherwise another claimant may have barred the attempt and run the key,
    /// so the outcome is unknown ([`crate::code::ResultCode::InProgress`]). Call this before
    /// [`Self::release`], and answer the caller and release the claim in the same step.
    pub fn holds(&self, now: Now, attempt: AttemptId, membership: &impl Electorate) -> bool {
        self.claimant.holds(now, attempt) && membership.may_vote(now)
    }

    /// Requests a claim from the key's replicas; the result is returned as a [`ClaimEvent`].
    pub fn acquire(
        &mut self,
        now: Now,
        request: ClaimRequest,
        membership: &impl Electorate,
        out: &mut Outbox,
    ) {
        self.counters.requested += 1;
        self.claimant
            .acquire(now, request, None, &self.settings, membership);
        self.dispatch_outgoing(now, membership, out);
    }

    /// Transfers a held claim from a refused attempt, which will never run, to a new attempt.
    pub fn reassign(
        &mut self,
        now: Now,
        refused: AttemptId,
        request: ClaimRequest,
        membership: &impl Electorate,
        out: &mut Outbox,
    ) {
        self.counters.requested += 1;
        self.claimant
            .acquire(now, request, Some(refused), &self.settings, membership);
        self.dispatch_outgoing(now, membership, out);
    }

    /// Releases a claim whose attempt has not run and never will.
    pub fn release(
        &mut self,
        now: Now,
        attempt: AttemptId,
        membership: &impl Electorate,
        out: &mut Outbox,
    ) {
        self.claimant.release(attempt);
        self.dispatch_outgoing(now, membership, out);
    }

    /// Reports to the replicas that the claimed attempt has completed.
    pub fn complete(
        &mut self,
        now: Now,
        attempt: AttemptId,
        membership: &impl Electorate,
        out: &mut Outbox,
    ) {
        self.claimant.complete(attempt);
        self.dispatch_outgoing(now, membership, out);
    }

    /// Drops the local state of a claim whose outcome is unknown; the replicas keep it granted.
    pub fn abandon(&mut self, _now: Now, attempt: AttemptId, _out: &mut Outbox) {
        self.claimant.abandon(attempt);
    }

    /// Handles a message from a peer, addressed to claimant, replica or dispatch guard.
    pub fn on_message(
        &mut self,
        now: Now,
        from: NodeId,
        message: ClaimMessage,
        membership: &impl Electorate,
        guard: &mut DispatchGuard,
        out: &mut Outbox,
    ) {
        self.counters.messages_received += 1;
        match message {
            ClaimMessage::GuardQuery(query) => {
                let reply = self.answer_guard_query(now, &query, guard);
                self.send(from, ClaimMessage::GuardReply(reply), membership, out);
            }
            message => self.handle(now, from, message, membership, out),
        }
        self.dispatch_outgoing(now, membership, out);
    }

    /// Handles due timeouts and resends, drops expired keys, and answers the queries of this node
    /// to its own guard.
    pub fn poll(
        &mut self,
        now: Now,
        membership: &impl Electorate,
        guard: &mut DispatchGuard,
        out: &mut Outbox,
    ) {
        self.replica.expire(now, &self.settings);
        self.claimant.poll(now, &self.settings, membership);
        self.dispatch_outgoing(now, membership, out);
        while let Some(query) = self.local_queries.pop_front() {
            let reply = self.answer_guard_query(now, &query, guard);
            self.claimant.on_guard_reply(now, reply, membership);
            self.dispatch_outgoing(now, membership, out);
        }
    }

    /// Returns when [`Self::poll`] must be called next; `None` if no claim is pending.
    pub fn next_wake(&self) -> Option<Instant> {
        self.claimant.next_wake()
    }

    /// Removes and returns the next event for the data path.
    pub fn take_event(&mut self) -> Option<ClaimEvent> {
        let event = self.claimant.take_event()?;
        match event.result {
            ClaimResult::Granted { .. } => self.counters.granted += 1,
            ClaimResult::Completed(_) => self.counters.completed += 1,
            ClaimResult::Refused(_) => self.counters.refused += 1,
        }
        Some(event)
    }

    /// Sends the claimant's outgoing messages. Messages to this node are handled immediately,
    /// except queries to its guard, which wait for the next poll.
    fn dispatch_outgoing(&mut self, now: Now, membership: &impl Electorate, out: &mut Outbox) {
        while let Some(record) = self.claimant.take_refused() {
            out.push(Action::Observe(Observation::ClaimRefused(Box::new(record))));
        }
        while let Some(record) = self.claimant.take_delayed() {
            out.push(Action::Observe(Observation::ClaimDelayed(Box::new(record))));
        }
        while let Some(Outgoing { to, message }) = self.claimant.take_outgoing() {
            if to != self.voter.node {
                self.send(to, message, membership, out);
                continue;
            }
            match message {
                ClaimMessage::GuardQuery(query) => self.local_queries.push_back(query),
                message => self.handle(now, to, message, membership, out),
            }
        }
    }

    /// Handles any message except a [`GuardQuery`], which needs the guard.
    fn handle(
        &mut self,
        now: Now,
        from: NodeId,
        message: ClaimMessage,
        membership: &impl Electorate,
        out: &mut Outbox,
    ) {
        match message {
            ClaimMessage::Claim(claim) => {
                let reply = self
                    .replica
                    .on_claim(now, &claim, &self.settings, membership);
                if from == self.voter.node {
                    self.claimant
                        .on_vote(now, from, reply, &self.settings, membership);
                } else {
                    let message = ClaimMessage::Vote(Box::new(reply));
                    self.send(from, message, membership, out);
                }
            }
            ClaimMessage::Vote(reply) => {
                self.claimant
                    .on_vote(now, from, *reply, &self.settings, membership);
            }
            ClaimMessage::Release(release) => self.replica.on_release(&release),
            ClaimMessage::Complete { key, attempt } => self.replica.on_complete(key, attempt),
            ClaimMessage::GuardReply(reply) => self.claimant.on_guard_reply(now, reply, membership),
            ClaimMessage::GuardQuery(_) => {}
        }
    }

    fn answer_guard_query(
        &self,
        now: Now,
        query: &GuardQuery,
        guard: &mut DispatchGuard,
    ) -> GuardReply {
        let state = if query.incarnation == self.voter.incarnation {
            guard.answer_query(now, query)
        } else {
            KeyState::OtherIncarnation
        };
        GuardReply {
            claimant: query.claimant,
            holder: query.holder,
            state,
        }
    }

    fn send(
        &mut self,
        to: NodeId,
        message: ClaimMessage,
        membership: &impl Electorate,
        out: &mut Outbox,
    ) {
        let Some(address) = membership.answer_address(to) else {
            self.counters.undeliverable += 1;
            return;
        };
        self.counters.messages_sent += 1;
        out.push(Action::Send {
            to,
            address,
            message: PeerMessage::Claim(message),
        });
    }
}
