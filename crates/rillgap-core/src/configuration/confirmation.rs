//! Confirmation: whether the policy that a node holds may be in force.
//!
//! A change is accepted only when every member of the view holds it, so a confirmed member of
//! the view holds every accepted change. A node that has just started, was frozen or was out of
//! the view serves nothing until such a member has told it its version and it holds that version
//! itself. Where no member is confirmed, a store reader asks the store; see [`super::linearizable_read`].

use std::collections::BTreeSet;
use std::time::Duration;

use super::context::StepContext;
use super::message::{ConfigurationMessage, ConfirmationState};
use crate::id::{Incarnation, NodeId, PolicyVersion};
use crate::time::Instant;

/// Longest time between two steps after which a node must think that it was frozen.
pub const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Pause after the first questions; later pauses grow.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff between questions.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Pause between two looks whether this node has joined the view.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Questions without a useful answer before a store reader turns to the store.
const ATTEMPTS_BEFORE_STORE: u32 = 3;

/// Most members that are asked at once.
const MAX_QUERY_BATCH: u32 = 64;

/// What a peer's answer means for the node that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The peer.
    pub from: NodeId,
    /// Round of the question that it answers.
    pub round: u64,
    /// Version that it holds.
    pub version: PolicyVersion,
    /// How sure it is.
    pub state: ConfirmationState,
}

/// ConfirmationState of this node and its questions to peers.
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
    /// Creates the state of a fresh node; one with a `fixed` policy is confirmed for good.
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

    /// Returns the state.
    pub fn state(&self) -> ConfirmationState {
        self.state
    }

    /// Returns whether the policy comes from the settings and is confirmed for good.
    pub fn is_fixed(&self) -> bool {
        self.fixed
    }

    /// Returns whether the policy may be in force.
    pub fn is_confirmed(&self) -> bool {
        self.state == ConfirmationState::Confirmed
    }

    /// Returns whether peers were asked often enough to turn to the store.
    pub fn peers_exhausted(&self) -> bool {
        !self.is_confirmed() && self.attempts >= ATTEMPTS_BEFORE_STORE
    }

    /// Takes note of the time; after a gap the node may have missed a change.
    pub fn note_time(&mut self, now: Instant) {
        if now.saturating_since(self.last_step) > PROCESS_PAUSE_THRESHOLD {
            self.invalidate(now);
        }
        self.last_step = self.last_step.max(now);
    }

    /// Does what is due: doubts after leaving the view, questions to peers.
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

    /// Takes in the answer of a peer.
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

    /// Takes in that the store, asked in `round`, had nothing later than what this node holds.
    pub fn confirm_from_store(&mut self, round: u64) {
        if round == self.round {
            self.state = ConfirmationState::Confirmed;
        }
    }

    /// Returns the round of questions; what was asked in an earlier one proves nothing.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Asks the peers at once and first of all, for there is news.
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

    /// Gives up a confirmation, and with it every answer to an earlier question.
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

    /// Confirms if what was asked for is held.
    fn confirm_if_current(&mut self, context: &StepContext<'_>, held: PolicyVersion) {
        if self.required_version.is_none() && self.has_majority(context) {
            self.required_version = Some(self.highest_unconfirmed);
        }
        if self
            .required_version
            .is_some_and(|required_version| held >= required_version)
        {
            self.state = ConfirmationState::Confirmed;
        }
    }

    /// Returns whether a majority of the view, all in invalidate like this node, has told its version.
    ///
    /// So a fleet that was frozen as a whole goes on while the store is down.
    fn has_majority(&self, context: &StepContext<'_>) -> bool {
        let members = context.membership.view().members.len();
        self.state == ConfirmationState::PossiblyStale
            && (self.unconfirmed_peers.len() + 1) * 2 > members
    }

    fn is_member(&self, context: &StepContext<'_>) -> bool {
        let member = context.membership.view().member(self.node);
        member.is_some_and(|member| member.incarnation == self.incarnation)
    }

    /// Asks a few members, each time the next ones and after some attempts more of them.
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

    /// Returns where to begin among `count` members; nodes begin at different places.
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
