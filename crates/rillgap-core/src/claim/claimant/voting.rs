//! Runs the voting rounds of a claim: sends claims, evaluates votes and acts on the result.

use std::sync::Arc;

use super::pending::{QuorumWait, Stage};
use super::tally::{Conclusion, Tally};
use super::{Claimant, HeldClaim};
use crate::claim::ClaimResult;
use crate::claim::electorate::{Electorate, replica_group};
use crate::claim::message::{ClaimMessage, KeyHolder, VoteReply};
use crate::claim::settings::{
    ClaimSettings, MAX_RACING_ROUNDS, MAX_ROUNDS, MAX_WAITING_CLAIMS, ROUND_TIMEOUT,
    UNCHARGED_ATTEMPTS, VOTE_RESEND_INTERVAL,
};
use crate::code::ResultCode;
use crate::id::{AttemptId, NodeId};
use crate::time::{Instant, Now};

impl Claimant {
    /// Handles the vote of a replica; ignores votes of other rounds.
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

    /// Starts a round: requests the votes of the replicas in the current view.
    pub(super) fn begin_round(
        &mut self,
        now: Now,
        attempt: AttemptId,
        electorate: &dyn Electorate,
    ) {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return;
        };
        if pending.round.0 >= MAX_ROUNDS {
            self.refuse(now, attempt, ResultCode::NoQuorum);
            return;
        }
        pending.round.0 += 1;
        pending.view = Arc::clone(electorate.view());
        pending.group = replica_group(electorate.view(), pending.request.keyed.key);
        if pending.group.is_empty() {
            self.refuse(now, attempt, ResultCode::NoQuorum);
            return;
        }
        pending.stage = Stage::Voting {
            tally: Tally::new(&pending.group),
            round_deadline: now.instant + ROUND_TIMEOUT,
        };
        self.resend_claims(now, attempt);
    }

    /// Sends the claim to the replicas that have not voted.
    pub(super) fn resend_claims(&mut self, now: Now, attempt: AttemptId) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let Stage::Voting {
            tally,
            round_deadline,
        } = &pending.stage
        else {
            return;
        };
        let wake = (now.instant + VOTE_RESEND_INTERVAL).min(*round_deadline);
        let missing: Vec<NodeId> = tally.missing().collect();
        let message = ClaimMessage::Claim(Box::new(pending.claim_message(now)));
        self.send_all(&missing, &message);
        self.schedule_timer(attempt, wake);
    }

    pub(super) fn conclude(
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
            Conclusion::Won { spent } => self.win(now, attempt, spent, settings, electorate),
            Conclusion::Lost {
                holder,
                by_majority,
            } => self.lose(now, attempt, holder, by_majority, electorate),
            Conclusion::Dead => self.refuse(now, attempt, ResultCode::InProgress),
            Conclusion::NoQuorum => self.wait_or_refuse(now, attempt),
        }
    }

    /// Records the granted claim as held, or refuses it if its deadline has passed or the key's
    /// budget is spent.
    fn win(
        &mut self,
        now: Now,
        attempt: AttemptId,
        spent: usize,
        settings: &ClaimSettings,
        electorate: &dyn Electorate,
    ) {
        let expired = self
            .pending
            .get(&attempt)
            .is_none_or(|pending| now.instant >= pending.request.deadline);
        if expired {
            self.refuse(now, attempt, ResultCode::NoQuorum);
            return;
        }
        let extra_attempts = usize::from(settings.extra_attempts);
        if spent > extra_attempts + UNCHARGED_ATTEMPTS {
            // Without the lease, another attempt may hold the claim by now.
            let code = if electorate.may_vote(now) {
                ResultCode::RetryBudgetSpent
            } else {
                ResultCode::NoQuorum
            };
            self.refuse(now, attempt, code);
            return;
        }
        let Some(pending) = self.remove_pending(attempt) else {
            return;
        };
        self.delayed.extend(pending.delayed_record(now));
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

    /// Releases the votes of a lost round. Then starts another round after a backoff if the holder
    /// may be a racing claimant without a majority, or else queries the holder's guard.
    fn lose(
        &mut self,
        now: Now,
        attempt: AttemptId,
        holder: KeyHolder,
        by_majority: bool,
        electorate: &dyn Electorate,
    ) {
        self.release_votes(attempt);
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return;
        };
        let racing = holder.protected && !holder.completed && !by_majority;
        if racing && pending.lost_rounds + 1 < MAX_RACING_ROUNDS {
            pending.lost_rounds += 1;
            let wake = now.instant + pending.backoff();
            self.pause(attempt, wake);
            return;
        }
        self.query_guard(now, attempt, holder, electorate);
    }

    /// Starts another round after a backoff if enough replicas will vote again, for example because
    /// membership views differ while a view spreads, or because a replica asked to leave while
    /// another one left first. Refuses the claim otherwise, or after [`MAX_QUORUM_WAIT`].
    fn wait_or_refuse(&mut self, now: Now, attempt: AttemptId) {
        if !self.may_wait(now, attempt) {
            self.refuse(now, attempt, ResultCode::NoQuorum);
            return;
        }
        self.release_votes(attempt);
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return;
        };
        if pending.quorum_wait.is_none() {
            let ballots = pending.ballots();
            let since = now.instant;
            pending.quorum_wait = Some(QuorumWait { since, ballots });
            self.waiting += 1;
        }
        let wake = now.instant + pending.backoff();
        let latest = pending.quorum_wait.as_ref().map(QuorumWait::ends_at);
        self.pause(attempt, latest.map_or(wake, |latest| wake.min(latest)));
    }

    fn may_wait(&self, now: Now, attempt: AttemptId) -> bool {
        let Some(pending) = self.pending.get(&attempt) else {
            return false;
        };
        let Stage::Voting { tally, .. } = &pending.stage else {
            return false;
        };
        let has_time = match &pending.quorum_wait {
            Some(wait) => now.instant < wait.ends_at(),
            None => self.waiting < MAX_WAITING_CLAIMS,
        };
        has_time && tally.may_win_later()
    }

    fn pause(&mut self, attempt: AttemptId, wake: Instant) {
        if let Some(pending) = self.pending.get_mut(&attempt) {
            pending.back_off();
            self.schedule_timer(attempt, wake);
        }
    }

    fn release_votes(&mut self, attempt: AttemptId) {
        if let Some(pending) = self.pending.remove(&attempt) {
            self.send_release(&pending, pending.round);
            self.pending.insert(attempt, pending);
        }
    }
}
