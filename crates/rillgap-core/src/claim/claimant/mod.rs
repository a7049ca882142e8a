//! Claimant side of claims: collects votes, and queries the holder's guard without a majority.

mod guard_query;
mod pending;
mod tally;
mod voting;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::claim::electorate::Electorate;
use crate::claim::message::{ClaimMessage, Release, Round};
use crate::claim::record::{DelayedClaim, RefusedClaim};
use crate::claim::settings::{ClaimSettings, KeyAge};
use crate::claim::{ClaimEvent, ClaimRequest, ClaimResult};
use crate::code::ResultCode;
use crate::id::{AttemptId, IdempotencyKey, NodeId};
use crate::request::{Refusal, RetryAfter};
use crate::time::{Instant, Now};

use pending::{PendingClaim, Stage};

/// Message to be sent to a node, which may be this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: NodeId,
    /// Message to send.
    pub message: ClaimMessage,
}

/// Claims that the data path of this node has requested.
#[derive(Debug, Default)]
pub struct Claimant {
    pending: BTreeMap<AttemptId, PendingClaim>,
    held: BTreeMap<AttemptId, HeldClaim>,
    timers: BTreeSet<(Instant, AttemptId)>,
    events: VecDeque<ClaimEvent>,
    outgoing: VecDeque<Outgoing>,
    refused: VecDeque<RefusedClaim>,
    delayed: VecDeque<DelayedClaim>,
    /// Number of pending claims that wait, or have waited, for replicas to vote again.
    waiting: usize,
}

/// Claim that was granted and not yet released or ended.
#[derive(Debug)]
struct HeldClaim {
    key: IdempotencyKey,
    group: Vec<NodeId>,
    protected_until: Instant,
}

impl Claimant {
    /// Starts to request a claim, which takes over the claim of the refused attempt `replaces`.
    pub fn acquire(
        &mut self,
        now: Now,
        request: ClaimRequest,
        replaces: Option<AttemptId>,
        settings: &ClaimSettings,
        electorate: &dyn Electorate,
    ) {
        let attempt = request.attempt;
        if let Some(refused) = replaces {
            self.held.remove(&refused);
        } else if let Some(code) = refused_by_age(now, request.keyed.key, settings) {
            self.report(attempt, ClaimResult::Refused(refusal(code)));
            return;
        }
        self.pending
            .insert(attempt, PendingClaim::new(request, replaces));
        self.begin_round(now, attempt, electorate);
    }

    /// Releases a claim, whether it is granted or pending.
    pub fn release(&mut self, attempt: AttemptId) {
        if let Some(held) = self.held.remove(&attempt) {
            let release = Release {
                key: held.key,
                attempt,
                round: Round::LAST,
                spent: true,
            };
            self.send_all(&held.group, &ClaimMessage::Release(release));
            return;
        }
        if let Some(pending) = self.remove_pending(attempt) {
            self.send_releases(&pending);
        }
    }

    /// Reports to the replicas that a claimed attempt has completed.
    pub fn complete(&mut self, attempt: AttemptId) {
        if let Some(held) = self.held.remove(&attempt) {
            let message = ClaimMessage::Complete {
                key: held.key,
                attempt,
            };
            self.send_all(&held.group, &message);
        }
    }

    /// Drops the local state of a claim; the replicas keep it granted.
    pub fn abandon(&mut self, attempt: AttemptId) {
        self.held.remove(&attempt);
    }

    /// Returns whether an attempt holds a claim and cannot have been barred yet.
    pub fn holds(&self, now: Now, attempt: AttemptId) -> bool {
        self.held
            .get(&attempt)
            .is_some_and(|held| now.instant < held.protected_until)
    }

    /// Handles all timers that are due.
    pub fn poll(&mut self, now: Now, settings: &ClaimSettings, electorate: &dyn Electorate) {
        while let Some((due, attempt)) = self.timers.first().copied() {
            if due > now.instant {
                return;
            }
            self.timers.pop_first();
            self.on_timer(now, attempt, settings, electorate);
        }
    }

    /// Returns when [`Self::poll`] must be called next; `None` if no claim is pending.
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Removes and returns the next event for the data path.
    pub fn take_event(&mut self) -> Option<ClaimEvent> {
        self.events.pop_front()
    }

    /// Removes and returns the next message to be sent.
    pub fn take_outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }

    /// Removes and returns the next record of a claim that was refused without a majority.
    pub fn take_refused(&mut self) -> Option<RefusedClaim> {
        self.refused.pop_front()
    }

    /// Removes and returns the next record of a claim that was granted after a wait.
    pub fn take_delayed(&mut self) -> Option<DelayedClaim> {
        self.delayed.pop_front()
    }

    fn on_timer(
        &mut self,
        now: Now,
        attempt: AttemptId,
        settings: &ClaimSettings,
        electorate: &dyn Electorate,
    ) {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return;
        };
        if now.instant >= pending.request.deadline {
            self.refuse(now, attempt, ResultCode::NoQuorum);
            return;
        }
        match &pending.stage {
            Stage::Voting { round_deadline, .. } if now.instant >= *round_deadline => {
                self.conclude(now, attempt, true, settings, electorate);
            }
            Stage::Voting { .. } => self.resend_claims(now, attempt),
            Stage::BackingOff { .. } => self.begin_round(now, attempt, electorate),
            Stage::QueryingGuard { reply_deadline, .. } if now.instant >= *reply_deadline => {
                self.refuse(now, attempt, ResultCode::AnswerLost);
            }
            Stage::QueryingGuard { .. } => self.send_guard_query(now, attempt),
        }
    }

    /// Ends a pending claim with a refusal, and releases its votes so that they block no other
    /// claim.
    pub(super) fn refuse(&mut self, now: Now, attempt: AttemptId, code: ResultCode) {
        if code == ResultCode::NoQuorum
            && let Some(pending) = self.pending.get(&attempt)
        {
            self.refused.push_back(pending.refused_record(now, code));
        }
        self.finish(attempt, ClaimResult::Refused(refusal(code)));
    }

    pub(super) fn finish(&mut self, attempt: AttemptId, result: ClaimResult) {
        if let Some(pending) = self.remove_pending(attempt) {
            self.send_releases(&pending);
            self.report(attempt, result);
        }
    }

    /// Sends releases for all votes that a claim may hold at replicas, including those of the
    /// attempt that it replaces.
    fn send_releases(&mut self, pending: &PendingClaim) {
        self.send_release(pending, Round::LAST);
        if let Some(refused) = pending.replaces {
            let release = Release {
                key: pending.request.keyed.key,
                attempt: refused,
                round: Round::LAST,
                spent: true,
            };
            self.send_all(&pending.group, &ClaimMessage::Release(release));
        }
    }

    pub(super) fn send_release(&mut self, pending: &PendingClaim, round: Round) {
        let release = Release {
            key: pending.request.keyed.key,
            attempt: pending.request.attempt,
            round,
            spent: false,
        };
        self.send_all(&pending.group, &ClaimMessage::Release(release));
    }

    pub(super) fn remove_pending(&mut self, attempt: AttemptId) -> Option<PendingClaim> {
        let pending = self.pending.remove(&attempt)?;
        self.timers.remove(&(pending.wake, attempt));
        self.waiting -= usize::from(pending.quorum_wait.is_some());
        Some(pending)
    }

    pub(super) fn schedule_timer(&mut self, attempt: AttemptId, wake: Instant) {
        if let Some(pending) = self.pending.get_mut(&attempt) {
            self.timers.remove(&(pending.wake, attempt));
            pending.wake = wake.min(pending.request.deadline);
            self.timers.insert((pending.wake, attempt));
        }
    }

    pub(super) fn report(&mut self, attempt: AttemptId, result: ClaimResult) {
        self.events.push_back(ClaimEvent { attempt, result });
    }

    pub(super) fn send_all(&mut self, group: &[NodeId], message: &ClaimMessage) {
        for replica in group {
            self.send(*replica, message.clone());
        }
    }

    pub(super) fn send(&mut self, to: NodeId, message: ClaimMessage) {
        self.outgoing.push_back(Outgoing { to, message });
    }
}

/// Returns the result code if the age of a key forbids a claim.
fn refused_by_age(now: Now, key: IdempotencyKey, settings: &ClaimSettings) -> Option<ResultCode> {
    match settings.age(now, key) {
        KeyAge::Usable => None,
        KeyAge::TooOld => Some(ResultCode::KeyTooOld),
        KeyAge::FromFuture => Some(ResultCode::KeyFromFuture),
        // No replica votes on the key yet, and a node with a faster clock may have accepted it.
        KeyAge::Early => Some(ResultCode::NoQuorum),
    }
}

const fn refusal(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}
