//! Confirms that the policy held by this node may be in force.
//!
//! A change is accepted only when every member of the view holds it, so a confirmed member of
//! the view holds every accepted change. A node that has just started, was paused or was out of
//! the view serves nothing until a confirmed member has reported its version and the node itself
//! holds that version or a later one. Where no member is confirmed, a store reader reads the
//! store; see [`super::linearizable_read`].

use std::collections::BTreeSet;
use std::time::Duration;

use super::context::StepContext;
use super::message::{ConfigurationMessage, ConfirmationState};
use crate::id::{Incarnation, NodeId, PolicyVersion};
use crate::time::Instant;

/// Maximum time between two steps; after a longer gap the process counts as paused and may have
/// missed a change.
pub const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Backoff after each of the first attempts to query peers; it doubles with each attempt after the
/// first [`ATTEMPTS_BEFORE_STORE`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff between two attempts to query peers.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Interval at which a node that is not in the view checks whether it has joined.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts to query peers without a confirmation before a store reader reads the store.
const ATTEMPTS_BEFORE_STORE: u32 = 3;

/// Maximum number of members that are queried in one attempt.
const MAX_QUERY_BATCH: u32 = 64;

/// Answer of a peer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Peer that sent it.
    pub from: NodeId,
    /// Round of the query that it answers.
    pub round: u64,
    /// Version that the peer holds.
    pub version: PolicyVersion,
    /// Whether the peer has confirmed that version.
    pub state: ConfirmationState,
}

/// Confirmation state of this node and its queries to peers.
#[derive(Debug)]
pub struct Confirmation {
    node: NodeId,
    incarnation: Incarnation,
    state: ConfirmationState,
    fixed: bool,
    last_step: Instant,
    round: u64,
    attempts: u32,
    next_attempt: Instant,
    required_version: Option<PolicyVersion>,
    unconfirmed_peers: BTreeSet<NodeId>,
    highest_unconfirmed: PolicyVersion,
}

impl Confirmation {
    /// Creates the confirmation of a node that has just started.
    ///
    /// A `fixed` policy comes from the settings; it is confirmed from the start and stays so.
    pub fn new(now: Instant, node: NodeId, incarnation: Incarnation, fixed: bool) -> Self {
        let state = if fixed {
            ConfirmationState::Confirmed
        } else {
            ConfirmationState::NeverConfirmed
        };
        Self {
            node,
            incarnation,
            state,
            fixed,
            last_step: now,
            round: 1,
            attempts: 0,
            next_attempt: now,
            required_version: None,
            unconfirmed_peers: BTreeSet::new(),
            highest_unconfirmed: PolicyVersion::default(),
        }
    }

    /// Returns the confirmation state of this node.
    pub fn state(&self) -> ConfirmationState {
        self.state
    }

    /// Returns whether the policy comes from the settings, so that it always counts as confirmed.
    pub fn is_fixed(&self) -> bool {
        self.fixed
    }

    /// Returns whether the policy is confirmed, so that it may be in force.
    pub fn is_confirmed(&self) -> bool {
        self.state == ConfirmationState::Confirmed
    }

    /// Returns whether [`ATTEMPTS_BEFORE_STORE`] attempts to query peers have not confirmed the
    /// policy, so that a store reader reads the store.
    pub fn peer_queries_failed(&self) -> bool {
        !self.is_confirmed() && self.attempts >= ATTEMPTS_BEFORE_STORE
    }

    /// Records the time of a step; if the gap since the last one exceeds
    /// [`PROCESS_PAUSE_THRESHOLD`], the confirmation becomes invalid.
    pub fn record_step_time(&mut self, now: Instant) {
        if now.saturating_since(self.last_step) > PROCESS_PAUSE_THRESHOLD {
            self.invalidate(now);
        }
        self.last_step = self.last_step.max(now);
    }

    /// Invalidates the confirmation if this node is not in the view; otherwise sends the queries
    /// that are due.
    pub fn poll(&mut self, context: &mut StepContext<'_>, held: PolicyVersion) {
        if !self.is_member(context) {
            self.invalidate(context.now);
            self.next_attempt = context.now + JOIN_CHECK_INTERVAL;
            return;
        }
        self.confirm_if_current(context, held);
        if !self.is_confirmed() && context.now >= self.next_attempt {
            self.query_peers(context);
        }
    }

    /// Handles the answer of a peer. Answers to a query of an earlier round are ignored.
    pub fn on_answer(&mut self, context: &StepContext<'_>, answer: Answer, held: PolicyVersion) {
        if self.is_confirmed() || answer.round != self.round || !self.is_member(context) {
            return;
        }
        match answer.state {
            ConfirmationState::Confirmed => self.required_version = Some(answer.version),
            ConfirmationState::PossiblyStale => {
                self.unconfirmed_peers.insert(answer.from);
                self.highest_unconfirmed = self.highest_unconfirmed.max(answer.version);
            }
            ConfirmationState::NeverConfirmed => {}
        }
        self.confirm_if_current(context, held);
    }

    /// Confirms the held version because an exchange with the store, begun in `round`, has proven
    /// that no later one exists. Has no effect if `round` is over.
    pub fn confirm_from_store(&mut self, round: u64) {
        if round == self.round {
            self.state = ConfirmationState::Confirmed;
        }
    }

    /// Returns the query round. It increases when a confirmation becomes invalid; an answer to a
    /// query of an earlier round confirms nothing.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Makes the next queries due at once and resets the attempts, because a newer policy is held.
    pub fn retry_now(&mut self, now: Instant) {
        if !self.is_confirmed() {
            self.attempts = 0;
            self.next_attempt = now;
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Instant {
        let pause_check = self.last_step + PROCESS_PAUSE_THRESHOLD / 3;
        if self.is_confirmed() {
            return pause_check;
        }
        pause_check.min(self.next_attempt)
    }

    /// Invalidates the confirmation and all answers received so far, by beginning a new query
    /// round. A fixed policy stays confirmed.
    fn invalidate(&mut self, now: Instant) {
        if self.fixed {
            return;
        }
        if self.is_confirmed() {
            self.state = ConfirmationState::PossiblyStale;
        }
        self.round += 1;
        self.attempts = 0;
        self.next_attempt = now;
        self.required_version = None;
        self.unconfirmed_peers.clear();
        self.highest_unconfirmed = PolicyVersion::default();
    }

    /// Confirms the policy if this node holds the version that the answers require.
    fn confirm_if_current(&mut self, context: &StepContext<'_>, held: PolicyVersion) {
        if self.required_version.is_none() && self.has_majority(context) {
            self.required_version = Some(self.highest_unconfirmed);
        }
        if self
            .required_version
            .is_some_and(|required| held >= required)
        {
            self.state = ConfirmationState::Confirmed;
        }
    }

    /// Returns whether a majority of the view, this node included, is possibly stale and has
    /// reported its version.
    ///
    /// This lets a fleet whose nodes were all paused resume while the store is down.
    fn has_majority(&self, context: &StepContext<'_>) -> bool {
        let members = context.membership.view().members.len();
        self.state == ConfirmationState::PossiblyStale
            && (self.unconfirmed_peers.len() + 1) * 2 > members
    }

    fn is_member(&self, context: &StepContext<'_>) -> bool {
        let member = context.membership.view().member(self.node);
        member.is_some_and(|member| member.incarnation == self.incarnation)
    }

    /// Queries a batch of members. Each attempt starts [`MAX_QUERY_BATCH`] positions after the last
    /// one; the batch doubles with each attempt after the first [`ATTEMPTS_BEFORE_STORE`].
    fn query_peers(&mut self, context: &mut StepContext<'_>) {
        let members = &context.membership.view().members;
        let others: Vec<NodeId> = members
            .iter()
            .map(|member| member.id())
            .filter(|&node| node != self.node)
            .collect();
        let batch = batch_size(self.attempts).min(others.len());
        let first = self.first_position(others.len());
        for &to in others.iter().cycle().skip(first).take(batch) {
            context.send(to, ConfigurationMessage::Query { round: self.round });
        }
        self.next_attempt = context.now + backoff(self.attempts);
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Returns the index of the first of `count` members to query. It depends on this node, so
    /// that nodes do not all query the same member.
    fn first_position(&self, count: usize) -> usize {
        let stride = u64::from(MAX_QUERY_BATCH) * u64::from(self.attempts);
        let position = self.node.0.wrapping_add(stride) % (count as u64).max(1);
        position as usize
    }
}

fn batch_size(attempts: u32) -> usize {
    let doublings = attempts
        .saturating_sub(ATTEMPTS_BEFORE_STORE)
        .min(MAX_QUERY_BATCH.ilog2());
    1 << doublings
}

fn backoff(attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(ATTEMPTS_BEFORE_STORE).min(8);
    (MIN_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
}
