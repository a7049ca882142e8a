//! Claimant side of claims: gathers a majority, and asks the holder's gate when it can't.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::claim::electorate::{Electorate, replica_group};
use crate::claim::message::{
    ClaimMessage, GateAnswer, GateQuestion, KeyHolder, KeyState, Release, Round, VoteReply,
};
use crate::claim::pending::{PendingClaim, Stage};
use crate::claim::settings::{
    ClaimSettings, GATE_RESEND, GATE_TIMEOUT, KeyAge, MOST_RACING_ROUNDS, MOST_ROUNDS,
    ROUND_TIMEOUT, UNCHARGED_ATTEMPTS, VOTE_RESEND,
};
use crate::claim::tally::{Conclusion, Tally};
use crate::claim::{ClaimEvent, ClaimRequest, ClaimResult};
use crate::code::ResultCode;
use crate::id::{AttemptId, IdempotencyKey, NodeId};
use crate::request::{Refusal, RetryAfter};
use crate::time::{Instant, Now};

/// A message on its way to a node, which may be this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: NodeId,
    /// The message.
    pub message: ClaimMessage,
}

/// Claims that this node's data path has asked for.
#[derive(Debug, Default)]
pub struct Claimant {
    pending: BTreeMap<AttemptId, PendingClaim>,
    held: BTreeMap<AttemptId, HeldClaim>,
    timers: BTreeSet<(Instant, AttemptId)>,
    events: VecDeque<ClaimEvent>,
    outgoing: VecDeque<Outgoing>,
}

/// A claim that was granted and not yet given back or ended.
#[derive(Debug)]
struct HeldClaim {
    key: IdempotencyKey,
    group: Vec<NodeId>,
    protected_until: Instant,
}

impl Claimant {
    /// Begins to ask for a claim, which replaces that of a refused attempt if one is given.
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

    /// Gives a claim back.
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
            self.give_up(&pending);
        }
    }

    /// Tells the replicas that a claimed attempt has completed.
    pub fn complete(&mut self, attempt: AttemptId) {
        if let Some(held) = self.held.remove(&attempt) {
            let message = ClaimMessage::Complete {
                key: held.key,
                attempt,
            };
            self.send_all(&held.group, &message);
        }
    }

    /// Leaves a claim with its attempt for good.
    pub fn abandon(&mut self, attempt: AttemptId) {
        self.held.remove(&attempt);
    }

    /// Returns whether a claim is held and nobody may have barred its attempt yet.
    pub fn holds(&self, now: Now, attempt: AttemptId) -> bool {
        self.held
            .get(&attempt)
            .is_some_and(|held| now.instant < held.protected_until)
    }

    /// Handles a vote.
    pub fn on_vote(
        &mut self,
        now: Now,
        from: NodeId,
        reply: VoteReply,
        settings: &ClaimSettings,
        electorate: &dyn Electorate,
    ) {
        let Some(pending) = self.pending.get_mut(&reply.attempt) else {
            return;
        };
        if reply.round != pending.round && !settings.faults.ignore_round {
            return;
        }
        if let Stage::Voting { tally, .. } = &mut pending.stage {
            tally.record(from, reply.vote);
            self.conclude(now, reply.attempt, false, settings, electorate);
        }
    }

    /// Handles what a gate says of the holder of a key.
    pub fn on_answer(&mut self, now: Now, answer: GateAnswer, electorate: &dyn Electorate) {
        let Some(pending) = self.pending.get_mut(&answer.claimant) else {
            return;
        };
        let Stage::Asking { holder, .. } = &pending.stage else {
            return;
        };
        if holder.attempt != answer.holder {
            return;
        }
        let completed = holder.completed;
        let code = match answer.state {
            KeyState::Barred => {
                pending.barred = Some(answer.holder);
                self.begin_round(now, answer.claimant, electorate);
                return;
            }
            KeyState::Completed(remembered) => {
                self.finish(answer.claimant, ClaimResult::Completed(remembered));
                return;
            }
            KeyState::NotStarted | KeyState::Running | KeyState::Full => ResultCode::InProgress,
            KeyState::AnswerForgotten => ResultCode::AnswerForgotten,
            KeyState::OtherIncarnation if completed => ResultCode::AnswerForgotten,
            KeyState::OtherIncarnation | KeyState::Failed => ResultCode::ResultLost,
            KeyState::OtherRequest => ResultCode::KeyReused,
        };
        self.refuse(answer.claimant, code);
    }

    /// Does what is due.
    pub fn poll(&mut self, now: Now, settings: &ClaimSettings, electorate: &dyn Electorate) {
        while let Some((due, attempt)) = self.timers.first().copied() {
            if due > now.instant {
                return;
            }
            self.timers.pop_first();
            self.on_timer(now, attempt, settings, electorate);
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Takes the next event for the data path.
    pub fn take_event(&mut self) -> Option<ClaimEvent> {
        self.events.pop_front()
    }

    /// Takes the next message to be sent.
    pub fn take_outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
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
            self.refuse(attempt, ResultCode::NoQuorum);
            return;
        }
        match &pending.stage {
            Stage::Voting { ends, .. } if now.instant >= *ends => {
                self.conclude(now, attempt, true, settings, electorate);
            }
            Stage::Voting { .. } => self.resend_claims(now, attempt),
            Stage::Pausing => self.begin_round(now, attempt, electorate),
            Stage::Asking { ends, .. } if now.instant >= *ends => {
                self.refuse(attempt, ResultCode::AnswerLost);
            }
            Stage::Asking { .. } => self.send_question(now, attempt),
        }
    }

    /// Asks the replicas of the view in force for their votes.
    fn begin_round(&mut self, now: Now, attempt: AttemptId, electorate: &dyn Electorate) {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return;
        };
        if pending.round.0 >= MOST_ROUNDS {
            self.refuse(attempt, ResultCode::NoQuorum);
            return;
        }
        pending.round.0 += 1;
        pending.group = replica_group(electorate.view(), pending.request.keyed.key);
        if pending.group.is_empty() {
            self.refuse(attempt, ResultCode::NoQuorum);
            return;
        }
        pending.stage = Stage::Voting {
            tally: Tally::new(&pending.group),
            ends: now.instant + ROUND_TIMEOUT,
        };
        self.resend_claims(now, attempt);
    }

    /// Sends the claim to the replicas that have not answered.
    fn resend_claims(&mut self, now: Now, attempt: AttemptId) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let Stage::Voting { tally, ends } = &pending.stage else {
            return;
        };
        let wake = (now.instant + VOTE_RESEND).min(*ends);
        let missing: Vec<NodeId> = tally.missing().collect();
        let message = ClaimMessage::Claim(Box::new(pending.claim(now)));
        self.send_all(&missing, &message);
        self.wake_at(attempt, wake);
    }

    fn conclude(
        &mut self,
        now: Now,
        attempt: AttemptId,
        closed: bool,
        settings: &ClaimSettings,
        electorate: &dyn Electorate,
    ) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let Stage::Voting { tally, .. } = &pending.stage else {
            return;
        };
        match tally.conclude(closed) {
            Conclusion::Open => {}
            Conclusion::Won { spent } => self.win(now, attempt, spent, settings),
            Conclusion::Lost {
                holder,
                by_majority,
            } => self.lose(now, attempt, holder, by_majority, electorate),
            Conclusion::Dead => self.refuse(attempt, ResultCode::InProgress),
            Conclusion::NoQuorum => self.pause_or_refuse(now, attempt),
        }
    }

    /// Takes the claim into possession, or gives it back if the key's budget is spent.
    fn win(&mut self, now: Now, attempt: AttemptId, spent: usize, settings: &ClaimSettings) {
        let expired = self
            .pending
            .get(&attempt)
            .is_none_or(|pending| now.instant >= pending.request.deadline);
        if expired {
            self.refuse(attempt, ResultCode::NoQuorum);
            return;
        }
        let extra_attempts = usize::from(settings.extra_attempts);
        if spent > extra_attempts + UNCHARGED_ATTEMPTS {
            self.refuse(attempt, ResultCode::RetryBudgetSpent);
            return;
        }
        let Some(pending) = self.remove_pending(attempt) else {
            return;
        };
        let held = HeldClaim {
            key: pending.request.keyed.key,
            protected_until: pending.protected_until(),
            group: pending.group,
        };
        self.held.insert(attempt, held);
        let left = extra_attempts.saturating_sub(spent);
        let budget = u8::try_from(left).unwrap_or(u8::MAX);
        self.report(attempt, ClaimResult::Granted { budget });
    }

    /// Gives the votes of a lost round back; then asks the holder's gate, or tries again if the
    /// holder may be another claimant that has not won either.
    fn lose(
        &mut self,
        now: Now,
        attempt: AttemptId,
        holder: KeyHolder,
        by_majority: bool,
        electorate: &dyn Electorate,
    ) {
        self.give_votes_back(attempt);
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let racing = holder.protected && !holder.completed && !by_majority;
        if racing && pending.round.0 < MOST_RACING_ROUNDS {
            self.pause(now, attempt);
            return;
        }
        self.ask_gate(now, attempt, holder, electorate);
    }

    fn ask_gate(
        &mut self,
        now: Now,
        attempt: AttemptId,
        holder: KeyHolder,
        electorate: &dyn Electorate,
    ) {
        if electorate.address(holder.gate.node).is_none() {
            self.refuse(attempt, ResultCode::AnswerLost);
            return;
        }
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return;
        };
        pending.stage = Stage::Asking {
            holder,
            ends: now.instant + GATE_TIMEOUT,
        };
        self.send_question(now, attempt);
    }

    fn send_question(&mut self, now: Now, attempt: AttemptId) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let Stage::Asking { holder, ends } = &pending.stage else {
            return;
        };
        let question = GateQuestion {
            key: pending.request.keyed.key,
            fingerprint: pending.request.keyed.fingerprint,
            holder: holder.attempt,
            incarnation: holder.gate.incarnation,
            bar: !holder.protected && !holder.completed,
            claimant: attempt,
        };
        let to = holder.gate.node;
        let wake = (now.instant + GATE_RESEND).min(*ends);
        self.send(to, ClaimMessage::Question(question));
        self.wake_at(attempt, wake);
    }

    /// Tries again after a pause if replicas may yet vote, or refuses.
    fn pause_or_refuse(&mut self, now: Now, attempt: AttemptId) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let views_differ =
            matches!(&pending.stage, Stage::Voting { tally, .. } if tally.views_differ());
        if views_differ && pending.round.0 < MOST_RACING_ROUNDS {
            self.give_votes_back(attempt);
            self.pause(now, attempt);
            return;
        }
        self.refuse(attempt, ResultCode::NoQuorum);
    }

    fn pause(&mut self, now: Now, attempt: AttemptId) {
        if let Some(pending) = self.pending.get_mut(&attempt) {
            pending.stage = Stage::Pausing;
            let wake = now.instant + pending.backoff();
            self.wake_at(attempt, wake);
        }
    }

    /// Ends a claim that was not won: nobody must be left waiting for its votes.
    fn refuse(&mut self, attempt: AttemptId, code: ResultCode) {
        self.finish(attempt, ClaimResult::Refused(refusal(code)));
    }

    fn finish(&mut self, attempt: AttemptId, result: ClaimResult) {
        if let Some(pending) = self.remove_pending(attempt) {
            self.give_up(&pending);
            self.report(attempt, result);
        }
    }

    /// Gives back all that a claim may hold at replicas.
    fn give_up(&mut self, pending: &PendingClaim) {
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

    fn give_votes_back(&mut self, attempt: AttemptId) {
        if let Some(pending) = self.pending.remove(&attempt) {
            self.send_release(&pending, pending.round);
            self.pending.insert(attempt, pending);
        }
    }

    fn send_release(&mut self, pending: &PendingClaim, round: Round) {
        let release = Release {
            key: pending.request.keyed.key,
            attempt: pending.request.attempt,
            round,
            spent: false,
        };
        self.send_all(&pending.group, &ClaimMessage::Release(release));
    }

    fn remove_pending(&mut self, attempt: AttemptId) -> Option<PendingClaim> {
        let pending = self.pending.remove(&attempt)?;
        self.timers.remove(&(pending.wake, attempt));
        Some(pending)
    }

    fn wake_at(&mut self, attempt: AttemptId, wake: Instant) {
        if let Some(pending) = self.pending.get_mut(&attempt) {
            self.timers.remove(&(pending.wake, attempt));
            pending.wake = wake.min(pending.request.deadline);
            self.timers.insert((pending.wake, attempt));
        }
    }

    fn report(&mut self, attempt: AttemptId, result: ClaimResult) {
        self.events.push_back(ClaimEvent { attempt, result });
    }

    fn send_all(&mut self, group: &[NodeId], message: &ClaimMessage) {
        for replica in group {
            self.send(*replica, message.clone());
        }
    }

    fn send(&mut self, to: NodeId, message: ClaimMessage) {
        self.outgoing.push_back(Outgoing { to, message });
    }
}

/// Returns why a key may not be claimed because of its age.
fn refused_by_age(now: Now, key: IdempotencyKey, settings: &ClaimSettings) -> Option<ResultCode> {
    match settings.age(now, key) {
        KeyAge::Usable => None,
        KeyAge::TooOld => Some(ResultCode::KeyTooOld),
        KeyAge::FromFuture => Some(ResultCode::KeyFromFuture),
        // No replica votes on it yet, and a node whose clock is ahead may have taken it.
        KeyAge::Early => Some(ResultCode::NoQuorum),
    }
}

const fn refusal(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}
