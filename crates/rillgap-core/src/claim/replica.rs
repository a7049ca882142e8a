//! Replica side of claims: votes and records which attempt holds each key at this node.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::claim::electorate::{Electorate, Voter};
use crate::claim::message::{
    AbstainReason, Claim, GuardId, KeyHolder, Release, Round, Vote, VoteReply,
};
use crate::claim::settings::{ClaimSettings, MAX_DEAD_ATTEMPTS, MAX_REPLICA_KEYS};
use crate::id::{AttemptId, IdempotencyKey};
use crate::membership::ActivatedView;
use crate::time::{Instant, Now, WallTime};

/// Keys that this node has recorded as a replica.
#[derive(Debug)]
pub struct Replica {
    voter: Voter,
    records: BTreeMap<IdempotencyKey, KeyRecord>,
    /// Keys created at this time or earlier may have been dropped; `None` if none was dropped.
    dropped_until: Option<WallTime>,
}

/// State of one key at this replica.
#[derive(Debug, Default)]
struct KeyRecord {
    holder: Option<Holder>,
    dead: Vec<DeadAttempt>,
}

/// Attempt for which this replica has voted.
#[derive(Debug)]
struct Holder {
    attempt: AttemptId,
    round: Round,
    guard: GuardId,
    protected_until: Instant,
    completed: bool,
}

/// Attempt that must not be granted in any round up to `round`.
#[derive(Debug)]
struct DeadAttempt {
    attempt: AttemptId,
    round: Round,
    spent: bool,
}

impl Replica {
    /// Creates the replica of a newly started node, without any recorded keys.
    pub const fn new(voter: Voter) -> Self {
        Self {
            voter,
            records: BTreeMap::new(),
            dropped_until: None,
        }
    }

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Votes on a claim.
    pub fn on_claim(
        &mut self,
        now: Now,
        claim: &Claim,
        settings: &ClaimSettings,
        electorate: &dyn Electorate,
    ) -> VoteReply {
        VoteReply {
            attempt: claim.attempt,
            round: claim.round,
            vote: self.vote(now, claim, settings, electorate),
        }
    }

    /// Withdraws the vote for a released attempt.
    pub fn on_release(&mut self, release: &Release) {
        if let Some(record) = self.records.get_mut(&release.key) {
            record.mark_dead(release.attempt, release.round, release.spent);
        }
    }

    /// Records that the holder of a key has completed.
    pub fn on_complete(&mut self, key: IdempotencyKey, attempt: AttemptId) {
        let holder = self
            .records
            .get_mut(&key)
            .and_then(|record| record.holder.as_mut())
            .filter(|holder| holder.attempt == attempt);
        if let Some(holder) = holder {
            holder.completed = true;
        }
    }

    /// Drops keys that can no longer be used at any node.
    pub fn expire(&mut self, now: Now, settings: &ClaimSettings) {
        let cutoff = settings.oldest_usable_creation(now);
        while let Some(oldest) = self.records.first_entry() {
            let created_at = oldest.key().created_at();
            if created_at >= cutoff {
                return;
            }
            oldest.remove();
            self.dropped_until = self.dropped_until.max(Some(created_at));
        }
    }

    fn vote(
        &mut self,
        now: Now,
        claim: &Claim,
        settings: &ClaimSettings,
        electorate: &dyn Electorate,
    ) -> Vote {
        if let Some(record) = self.records.get_mut(&claim.key) {
            record.mark_superseded_dead(claim);
            if record.is_dead(claim) {
                return Vote::Dead;
            }
            if let Some(holder) = record.other_holder(claim)
                && !settings.faults.ignore_holder
            {
                let mut description = holder.to_key_holder(now, electorate);
                description.protected &= !settings.faults.ignore_protection;
                return Vote::Held(description);
            }
        }
        match self.may_grant(now, claim, settings, electorate) {
            Ok(()) => self.grant(now, claim),
            Err(reason) => Vote::Abstained(reason),
        }
    }

    fn may_grant(
        &self,
        now: Now,
        claim: &Claim,
        settings: &ClaimSettings,
        electorate: &dyn Electorate,
    ) -> Result<(), AbstainReason> {
        if self.dropped_until >= Some(claim.key.created_at()) {
            return Err(AbstainReason::KeyTooOld);
        }
        let full = match self.records.get(&claim.key) {
            Some(record) => record.dead.len() + 2 > MAX_DEAD_ATTEMPTS,
            None => self.records.len() >= MAX_REPLICA_KEYS,
        };
        if full {
            return Err(AbstainReason::Full);
        }
        match self.voter.check(now, claim.key, &claim.group, electorate) {
            Err(AbstainReason::NotEligible) if settings.faults.ignore_voter_eligibility => Ok(()),
            checked => checked,
        }
    }

    fn grant(&mut self, now: Now, claim: &Claim) -> Vote {
        let record = self.records.entry(claim.key).or_default();
        record.mark_superseded_dead(claim);
        let protected_until = now.instant + Duration::from_micros(claim.protected_micros);
        match &mut record.holder {
            Some(holder) if holder.attempt == claim.attempt => {
                holder.round = claim.round;
                holder.protected_until = holder.protected_until.min(protected_until);
            }
            holder => {
                *holder = Some(Holder {
                    attempt: claim.attempt,
                    round: claim.round,
                    guard: claim.guard,
                    protected_until,
                    completed: false,
                });
            }
        }
        Vote::Granted {
            spent: record.spent(),
        }
    }
}

impl KeyRecord {
    /// Marks the attempts as dead that the claim reports as replaced or barred.
    fn mark_superseded_dead(&mut self, claim: &Claim) {
        for attempt in [claim.replaces, claim.barred].into_iter().flatten() {
            self.mark_dead(attempt, Round::LAST, true);
        }
    }

    /// Withdraws the vote for an attempt, if it holds the key, and rejects its claims up to
    /// `round`.
    fn mark_dead(&mut self, attempt: AttemptId, round: Round, spent: bool) {
        let held = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.attempt == attempt && holder.round <= round);
        if held {
            self.holder = None;
        }
        if let Some(dead) = self.dead.iter_mut().find(|dead| dead.attempt == attempt) {
            dead.round = dead.round.max(round);
            dead.spent |= spent;
            return;
        }
        // A full record grants no further claims, so it need not record further dead attempts.
        if self.dead.len() < MAX_DEAD_ATTEMPTS {
            self.dead.push(DeadAttempt {
                attempt,
                round,
                spent,
            });
        }
    }

    fn is_dead(&self, claim: &Claim) -> bool {
        let dead = self
            .dead
            .iter()
            .any(|dead| dead.attempt == claim.attempt && claim.round <= dead.round);
        let outdated = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.attempt == claim.attempt && claim.round < holder.round);
        dead || outdated
    }

    fn other_holder(&self, claim: &Claim) -> Option<&Holder> {
        self.holder
            .as_ref()
            .filter(|holder| holder.attempt != claim.attempt)
    }

    fn spent(&self) -> Vec<AttemptId> {
        self.dead
            .iter()
            .filter(|dead| dead.spent)
            .map(|dead| dead.attempt)
            .collect()
    }
}

impl Holder {
    fn to_key_holder(&self, now: Now, electorate: &dyn Electorate) -> KeyHolder {
        KeyHolder {
            attempt: self.attempt,
            guard: self.guard,
            protected: now.instant < self.protected_until
                && !self.claimant_was_replaced(electorate),
            completed: self.completed,
        }
    }

    /// Returns whether the claimant's node has restarted since the claim.
    ///
    /// Incarnations are not ordered, so an activated view must have listed the claimant's
    /// incarnation and the latest activated view another one. A claimant that has just started is
    /// not yet in an activated view.
    fn claimant_was_replaced(&self, electorate: &dyn Electorate) -> bool {
        let call = self.attempt.call;
        let names_run = |entry: &ActivatedView| {
            let member = entry.view.member(call.node);
            member.map(|member| member.incarnation == call.incarnation)
        };
        let history = electorate.history();
        let latest = history.iter().rfind(|entry| entry.is_activated());
        latest.and_then(names_run) == Some(false)
            && history.iter().any(|entry| names_run(entry) == Some(true))
    }
}
