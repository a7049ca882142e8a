//! State of a claim that is being requested.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::tally::Tally;
use crate::claim::ClaimRequest;
use crate::claim::message::{Claim, GuardId, KeyHolder, Round};
use crate::claim::record::{BallotRecord, DelayedClaim, RefusedClaim};
use crate::claim::settings::{
    BASE_BACKOFF, MAX_BACKOFF_DOUBLINGS, MAX_QUORUM_WAIT, PROTECTION_GRACE,
};
use crate::code::ResultCode;
use crate::id::{AttemptId, NodeId};
use crate::time::{Instant, Now, micros};
use crate::view::View;

/// Claim that is being requested.
#[derive(Debug)]
pub struct PendingClaim {
    /// Request of the data path.
    pub request: ClaimRequest,
    /// Refused attempt whose claim this one takes over; `None` if there is none.
    pub replaces: Option<AttemptId>,
    /// Earlier attempt that held the key and that its
    /// [`DispatchGuard`](crate::claim::DispatchGuard) will never start; `None` if there is none.
    pub barred: Option<AttemptId>,
    /// Current round; 0 before the first.
    pub round: Round,
    /// View that determined `group`; empty before the first round.
    pub view: Arc<View>,
    /// Replicas that vote in this round.
    pub group: Vec<NodeId>,
    /// What the claim waits for.
    pub stage: Stage,
    /// Number of rounds lost to racing claimants.
    pub lost_rounds: u16,
    /// Wait for replicas to vote again; `None` if there was none.
    pub quorum_wait: Option<QuorumWait>,
    /// Time at which the current stage is continued or times out; at most the request's deadline.
    pub wake: Instant,
}

/// Wait for replicas that abstained and will vote again.
#[derive(Debug)]
pub struct QuorumWait {
    /// End of the first round without a majority.
    pub since: Instant,
    /// Replicas of that round and their votes, for logs.
    pub ballots: Vec<BallotRecord>,
}

impl QuorumWait {
    /// Returns when the claim is refused unless a majority has granted it.
    pub fn ends_at(&self) -> Instant {
        self.since + MAX_QUORUM_WAIT
    }
}

/// What a pending claim waits for.
#[derive(Debug)]
pub enum Stage {
    /// Votes of the replicas.
    Voting {
        /// Votes received in this round.
        tally: Tally,
        /// Time at which the round times out.
        round_deadline: Instant,
    },
    /// The end of the backoff before the next round. A new claim also has this stage until its
    /// first round begins.
    BackingOff {
        /// Votes of the round before; empty before the first.
        last_round: Tally,
    },
    /// The reply of the guard of the attempt that holds the key.
    QueryingGuard {
        /// Attempt that holds the key.
        holder: KeyHolder,
        /// Time at which the guard counts as unreachable.
        reply_deadline: Instant,
    },
}

impl PendingClaim {
    /// Creates a claim for which no message was sent yet.
    pub fn new(request: ClaimRequest, replaces: Option<AttemptId>) -> Self {
        Self {
            wake: request.deadline,
            request,
            replaces,
            barred: None,
            round: Round(0),
            view: Arc::default(),
            group: Vec::new(),
            stage: Stage::BackingOff {
                last_round: Tally::default(),
            },
            lost_rounds: 0,
            quorum_wait: None,
        }
    }

    /// Returns the replicas of the present or last round and their votes, for logs.
    pub fn ballots(&self) -> Vec<BallotRecord> {
        match &self.stage {
            Stage::Voting { tally, .. } => tally.records(&self.view),
            Stage::BackingOff { last_round } => last_round.records(&self.view),
            Stage::QueryingGuard { .. } => Vec::new(),
        }
    }

    /// Ends the present round.
    pub fn back_off(&mut self) {
        let last_round = match &mut self.stage {
            Stage::Voting { tally, .. } => std::mem::take(tally),
            Stage::BackingOff { .. } | Stage::QueryingGuard { .. } => Tally::default(),
        };
        self.stage = Stage::BackingOff { last_round };
    }

    /// Returns the record of a refusal of this claim.
    pub fn refused_record(&self, now: Now, code: ResultCode) -> RefusedClaim {
        let waited = |wait: &QuorumWait| now.instant.saturating_since(wait.since);
        RefusedClaim {
            attempt: self.request.attempt,
            key: self.request.keyed.key,
            code,
            view: self.view.version,
            rounds: self.round.0,
            waited: self.quorum_wait.as_ref().map(waited),
            ballots: self.ballots(),
        }
    }

    /// Returns the record of a claim that was granted after a wait for replicas; `None` if there
    /// was no wait.
    pub fn delayed_record(&self, now: Now) -> Option<DelayedClaim> {
        let wait = self.quorum_wait.as_ref()?;
        Some(DelayedClaim {
            attempt: self.request.attempt,
            key: self.request.keyed.key,
            view: self.view.version,
            rounds: self.round.0,
            waited: now.instant.saturating_since(wait.since),
            first_ballots: wait.ballots.clone(),
        })
    }

    /// Returns the time until which the attempt must not be barred.
    pub fn protected_until(&self) -> Instant {
        self.request.deadline + PROTECTION_GRACE
    }

    /// Returns the message that requests the vote of a replica.
    pub fn claim_message(&self, now: Now) -> Claim {
        let protected = self.protected_until().saturating_since(now.instant);
        Claim {
            key: self.request.keyed.key,
            attempt: self.request.attempt,
            round: self.round,
            guard: GuardId {
                node: self.request.target.node,
                incarnation: self.request.target.incarnation,
            },
            group: self.group.clone(),
            protected_micros: micros(protected),
            replaces: self.replaces,
            barred: self.barred,
        }
    }

    /// Returns the backoff before the next round, derived from a hash of attempt and round, so that
    /// racing claimants wait for different times.
    pub fn backoff(&self) -> Duration {
        let doublings = u32::from(self.round.0.min(MAX_BACKOFF_DOUBLINGS));
        let max = micros(BASE_BACKOFF) << doublings;
        let mut hasher = Xxh3::new();
        let attempt = self.request.attempt;
        hasher.update(&attempt.call.node.0.to_le_bytes());
        hasher.update(&attempt.call.incarnation.0.to_le_bytes());
        hasher.update(&attempt.call.sequence.to_le_bytes());
        hasher.update(&attempt.number.to_le_bytes());
        hasher.update(&self.round.0.to_le_bytes());
        Duration::from_micros(1 + hasher.digest() % max)
    }
}
