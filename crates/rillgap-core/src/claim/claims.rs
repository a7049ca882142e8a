//! Claims at one node: joins claimant, replica and the guard beside the back end.

use std::collections::VecDeque;

use crate::action::{Action, Outbox};
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

/// Claimant and replica side of the claim protocol at one node.
#[derive(Debug)]
pub struct Claims {
    voter: Voter,
    settings: ClaimSettings,
    claimant: Claimant,
    replica: Replica,
    /// Questions of this node to its own guard, answered when polled.
    local_queries: VecDeque<GuardQuery>,
    counters: ClaimCounters,
}

impl Claims {
    /// Creates the claims of a fresh node, which remembers nothing.
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

    /// Takes over the bounds of the policy in force.
    pub const fn configure(&mut self, bounds: &Bounds) {
        self.settings.configure(bounds);
    }

    /// Plants faults, to prove that tests and observers catch them.
    pub const fn inject_faults(&mut self, faults: ClaimFaults) {
        self.settings.faults = faults;
    }

    /// Returns what claims have cost since the start of the node.
    pub const fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// Returns the number of keys that are remembered as a replica.
    pub fn remembered_keys(&self) -> usize {
        self.replica.len()
    }

    /// Returns whether a caller may be told that its request was not run, after `attempt` was
    /// refused or given up undispatched.
    ///
    /// True while the granted claim is exclusively this attempt's: it was granted, neither
    /// released nor reassigned, its deadline has not passed (or only just), and this node holds
    /// the lease on its view. Otherwise another claimant may have barred the attempt and run the key, so
    /// the outcome is unknown ([`crate::code::ResultCode::InProgress`]). Ask before
    /// [`Self::release`]; tell the caller and release in the same step.
    pub fn holds(&self, now: Now, attempt: AttemptId, membership: &impl Electorate) -> bool {
        self.claimant.holds(now, attempt) && membership.may_vote(now)
    }

    /// Asks the key's replicas for a claim; the result comes as a [`ClaimEvent`].
    pub fn acquire(
        &mut self,
        now: Now,
        request: ClaimRequest,
        membership: &impl Electorate,
        out: &mut Outbox,
    ) {
        self.counters.acquired += 1;
        self.claimant
            .acquire(now, request, None, &self.settings, membership);
        self.dispatch_outgoing(now, membership, out);
    }

    /// Moves a held claim from an attempt that was refused (and will never run) to a new one.
    pub fn reassign(
        &mut self,
        now: Now,
        refused: AttemptId,
        request: ClaimRequest,
        membership: &impl Electorate,
        out: &mut Outbox,
    ) {
        self.counters.acquired += 1;
        self.claimant
            .acquire(now, request, Some(refused), &self.settings, membership);
        self.dispatch_outgoing(now, membership, out);
    }

    /// Gives a claim back: its attempt has not run and never will.
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

    /// Tells that the claimed attempt has completed.
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

    /// Tells that the outcome of the claimed attempt is unknown: it stays claimed.
    pub fn abandon(&mut self, _now: Now, attempt: AttemptId, _out: &mut Outbox) {
        self.claimant.abandon(attempt);
    }

    /// Handles a message of a peer, as claimant, as replica or as the node beside a back end.
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
                let answer = self.answer_guard_query(now, &query, guard);
                self.send(from, ClaimMessage::GuardReply(answer), membership, out);
            }
            message => self.handle(now, from, message, membership, out),
        }
        self.dispatch_outgoing(now, membership, out);
    }

    /// Does what is due: timeouts, repeats, forgetting of old keys.
    ///
    /// Questions to this node's own guard are answered here too.
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
            let answer = self.answer_guard_query(now, &query, guard);
            self.claimant.on_guard_reply(now, answer, membership);
            self.dispatch_outgoing(now, membership, out);
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.claimant.next_wake()
    }

    /// Takes the next event for the data path.
    pub fn take_event(&mut self) -> Option<ClaimEvent> {
        let event = self.claimant.take_event()?;
        match event.result {
            ClaimResult::Granted { .. } => self.counters.granted += 1,
            ClaimResult::Completed(_) => self.counters.completed += 1,
            ClaimResult::Refused(_) => self.counters.refused += 1,
        }
        Some(event)
    }

    /// Sends what the claimant has to say; messages to this node are handled at once.
    fn dispatch_outgoing(&mut self, now: Now, membership: &impl Electorate, out: &mut Outbox) {
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

    /// Handles a message that needs no guard.
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
            ClaimMessage::GuardReply(answer) => {
                self.claimant.on_guard_reply(now, answer, membership)
            }
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
        let Some(address) = membership.address(to) else {
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
