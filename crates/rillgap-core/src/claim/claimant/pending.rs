//! A claim that is being asked for.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::tally::Tally;
use crate::claim::ClaimRequest;
use crate::claim::message::{Claim, GuardId, KeyHolder, Round};
use crate::claim::settings::{BASE_BACKOFF, PROTECTION_GRACE};
use crate::id::{AttemptId, NodeId};
use crate::time::{Instant, Now, micros};

/// A claim that is being asked for.
#[derive(Debug)]
pub struct PendingClaim {
    /// What the data path asked for.
    pub request: ClaimRequest,
    /// Refused attempt whose claim is moved to this one.
    pub replaces: Option<AttemptId>,
    /// Earlier holder of the key that its gate has barred.
    pub barred: Option<AttemptId>,
    /// Current round; zero before the first.
    pub round: Round,
    /// Replicas that are asked in this round.
    pub group: Vec<NodeId>,
    /// What is waited for.
    pub stage: Stage,
    /// When the claim must be looked at again.
    pub wake: Instant,
}

/// What a pending claim waits for.
#[derive(Debug)]
pub enum Stage {
    /// Votes of the replicas.
    Voting {
        /// Votes that have come.
        tally: Tally,
        /// When the round ends.
        ends: Instant,
    },
    /// The next round.
    BackingOff,
    /// What the gate of another attempt says.
    QueryingGuard {
        /// The attempt that holds the key.
        holder: KeyHolder,
        /// When the gate counts as unreachable.
        ends: Instant,
    },
}

impl PendingClaim {
    /// Creates a claim for which nothing was sent yet.
    pub const fn new(request: ClaimRequest, replaces: Option<AttemptId>) -> Self {
        Self {
            wake: request.deadline,
            request,
            replaces,
            barred: None,
            round: Round(0),
            group: Vec::new(),
            stage: Stage::BackingOff,
        }
    }

    /// Returns until when nobody may bar the attempt.
    pub fn protected_until(&self) -> Instant {
        self.request.deadline + PROTECTION_GRACE
    }

    /// Returns the message that asks a replica for its vote.
    pub fn claim(&self, now: Now) -> Claim {
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

    /// Returns the pause before the next round: drawn from the attempt's identifier, so that
    /// racing claimants pause for different times.
    pub fn backoff(&self) -> Duration {
        let doublings = u32::from(self.round.0.min(8));
        let longest = micros(BASE_BACKOFF) << doublings;
        let mut hasher = Xxh3::new();
        let attempt = self.request.attempt;
        hasher.update(&attempt.call.node.0.to_le_bytes());
        hasher.update(&attempt.call.incarnation.0.to_le_bytes());
        hasher.update(&attempt.call.sequence.to_le_bytes());
        hasher.update(&attempt.number.to_le_bytes());
        hasher.update(&self.round.0.to_le_bytes());
        Duration::from_micros(1 + hasher.digest() % longest)
    }
}
