//! Confirmation: whether the policy that a node holds may be in force.
//!
//! A change is accepted only when every member of the view holds it, so a confirmed member of
//! the view holds every accepted change. A node that has just started, was frozen or was out of
//! the view serves nothing until such a member has told it its version and it holds that version
//! itself. Where no member is confirmed, a store reader asks the store; see [`super::fence`].

use std::collections::BTreeSet;
use std::time::Duration;

use super::message::{ConfigurationMessage, Standing};
use super::scope::Scope;
use crate::id::{Incarnation, NodeId, PolicyVersion};
use crate::time::Instant;

/// Longest time between two steps after which a node must think that it was frozen.
pub const FREEZE_GAP: Duration = Duration::from_secs(1);

/// Pause after the first questions; later pauses grow.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between questions.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two looks whether this node has joined the view.
const JOIN_PAUSE: Duration = Duration::from_millis(100);

/// Questions without a useful answer before a store reader turns to the store.
const PEER_ATTEMPTS: u32 = 3;

/// Most members that are asked at once.
const MAX_BATCH: u32 = 64;

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
    pub standing: Standing,
}

/// Standing of this node and its questions to peers.
#[derive(Debug)]
pub struct Confirmation {
    node: NodeId,
    incarnation: Incarnation,
    standing: Standing,
    fixed: bool,
    last_step: Instant,
    round: u64,
    attempts: u32,
    next_attempt: Instant,
    required: Option<PolicyVersion>,
    agreeing: BTreeSet<NodeId>,
    highest: PolicyVersion,
}

impl Confirmation {
    /// Creates the state of a fresh node; one with a `fixed` policy is confirmed for good.
    pub fn new(now: Instant, node: NodeId, incarnation: Incarnation, fixed: bool) -> Self {
        let standing = if fixed {
            Standing::Confirmed
        } else {
            Standing::Fresh
        };
        Self {
            node,
            incarnation,
            standing,
            fixed,
            last_step: now,
            round: 1,
            attempts: 0,
            next_attempt: now,
            required: None,
            agreeing: BTreeSet::new(),
            highest: PolicyVersion::default(),
        }
    }

    /// Returns the standing.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Returns whether the policy comes from the settings and is confirmed for good.
    pub fn is_fixed(&self) -> bool {
        self.fixed
    }

    /// Returns whether the policy may be in force.
    pub fn is_confirmed(&self) -> bool {
        self.standing == Standing::Confirmed
    }

    /// Returns whether peers were asked often enough to turn to the store.
    pub fn peers_exhausted(&self) -> bool {
        !self.is_confirmed() && self.attempts >= PEER_ATTEMPTS
    }

    /// Takes note of the time; after a gap the node may have missed a change.
    pub fn note_time(&mut self, now: Instant) {
        if now.saturating_since(self.last_step) > FREEZE_GAP {
            self.doubt(now);
        }
        self.last_step = self.last_step.max(now);
    }

    /// Does what is due: doubts after leaving the view, questions to peers.
    pub fn poll(&mut self, scope: &mut Scope<'_>, held: PolicyVersion) {
        if !self.is_member(scope) {
            self.doubt(scope.now);
            self.next_attempt = scope.now + JOIN_PAUSE;
            return;
        }
        self.settle(scope, held);
        if !self.is_confirmed() && scope.now >= self.next_attempt {
            self.ask(scope);
        }
    }

    /// Takes in the answer of a peer.
    pub fn on_answer(&mut self, scope: &Scope<'_>, answer: Answer, held: PolicyVersion) {
        if self.is_confirmed() || answer.round != self.round || !self.is_member(scope) {
            return;
        }
        match answer.standing {
            Standing::Confirmed => self.required = Some(answer.version),
            Standing::Suspect => {
                self.agreeing.insert(answer.from);
                self.highest = self.highest.max(answer.version);
            }
            Standing::Fresh => {}
        }
        self.settle(scope, held);
    }

    /// Takes in that the store, asked in `round`, had nothing later than what this node holds.
    pub fn on_current(&mut self, round: u64) {
        if round == self.round {
            self.standing = Standing::Confirmed;
        }
    }

    /// Returns the round of questions; what was asked in an earlier one proves nothing.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Asks the peers at once and first of all, for there is news.
    pub fn hurry(&mut self, now: Instant) {
        if !self.is_confirmed() {
            self.attempts = 0;
            self.next_attempt = now;
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Instant {
        let alive = self.last_step + FREEZE_GAP / 3;
        if self.is_confirmed() {
            return alive;
        }
        alive.min(self.next_attempt)
    }

    /// Gives up a confirmation, and with it every answer to an earlier question.
    fn doubt(&mut self, now: Instant) {
        if self.fixed {
            return;
        }
        if self.is_confirmed() {
            self.standing = Standing::Suspect;
        }
        self.round += 1;
        self.attempts = 0;
        self.next_attempt = now;
        self.required = None;
        self.agreeing.clear();
        self.highest = PolicyVersion::default();
    }

    /// Confirms if what was asked for is held.
    fn settle(&mut self, scope: &Scope<'_>, held: PolicyVersion) {
        if self.required.is_none() && self.has_majority(scope) {
            self.required = Some(self.highest);
        }
        if self.required.is_some_and(|required| held >= required) {
            self.standing = Standing::Confirmed;
        }
    }

    /// Returns whether a majority of the view, all in doubt like this node, has told its version.
    ///
    /// So a fleet that was frozen as a whole goes on while the store is down.
    fn has_majority(&self, scope: &Scope<'_>) -> bool {
        let members = scope.membership.view().members.len();
        self.standing == Standing::Suspect && (self.agreeing.len() + 1) * 2 > members
    }

    fn is_member(&self, scope: &Scope<'_>) -> bool {
        let member = scope.membership.view().member(self.node);
        member.is_some_and(|member| member.incarnation == self.incarnation)
    }

    /// Asks a few members, each time the next ones and after some attempts more of them.
    fn ask(&mut self, scope: &mut Scope<'_>) {
        let members = &scope.membership.view().members;
        let others: Vec<NodeId> = members
            .iter()
            .map(|member| member.id())
            .filter(|&node| node != self.node)
            .collect();
        let batch = batch_size(self.attempts).min(others.len());
        let first = self.first_position(others.len());
        for &to in others.iter().cycle().skip(first).take(batch) {
            scope.send(to, ConfigurationMessage::Ask { round: self.round });
        }
        self.next_attempt = scope.now + pause(self.attempts);
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Returns where to begin among `count` members; nodes begin at different places.
    fn first_position(&self, count: usize) -> usize {
        let stride = u64::from(MAX_BATCH) * u64::from(self.attempts);
        let position = self.node.0.wrapping_add(stride) % (count as u64).max(1);
        position as usize
    }
}

fn batch_size(attempts: u32) -> usize {
    let doublings = attempts
        .saturating_sub(PEER_ATTEMPTS)
        .min(MAX_BATCH.ilog2());
    1 << doublings
}

fn pause(attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(PEER_ATTEMPTS).min(8);
    (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE)
}
