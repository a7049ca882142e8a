//! Records of claims that had no majority at first or in the end, for logs.

use std::fmt;
use std::time::Duration;

use crate::claim::message::Vote;
use crate::code::ResultCode;
use crate::id::{AttemptId, IdempotencyKey, NodeName, ViewVersion};

/// Claim that ended without a majority of its replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedClaim {
    /// Attempt that claimed the key.
    pub attempt: AttemptId,
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// Result code of the refusal.
    pub code: ResultCode,
    /// View that determined the replicas of the last round; version 0 if no round began.
    pub view: ViewVersion,
    /// Number of rounds.
    pub rounds: u16,
    /// Time for which it waited for replicas to vote again; `None` if it did not.
    pub waited: Option<Duration>,
    /// Replicas of the last round and what is known of their votes.
    pub ballots: Vec<BallotRecord>,
}

/// Claim that was granted after it had waited for replicas to vote again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelayedClaim {
    /// Attempt that claimed the key.
    pub attempt: AttemptId,
    /// Key that was claimed.
    pub key: IdempotencyKey,
    /// View that determined the replicas of the last round.
    pub view: ViewVersion,
    /// Number of rounds.
    pub rounds: u16,
    /// Time from the first round without a majority to the grant.
    pub waited: Duration,
    /// Replicas of that first round and what is known of their votes.
    pub first_ballots: Vec<BallotRecord>,
}

/// A replica and its vote in one round of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BallotRecord {
    /// Name of the replica that was asked.
    pub replica: NodeName,
    /// Its vote; `None` if there was no answer.
    pub vote: Option<Vote>,
}

impl fmt::Display for BallotRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ", self.replica)?;
        match &self.vote {
            None => formatter.write_str("no answer"),
            Some(Vote::Granted { .. }) => formatter.write_str("granted"),
            Some(Vote::Held(_)) => formatter.write_str("held by another"),
            Some(Vote::Abstained(reason)) => write!(formatter, "abstained: {reason}"),
            Some(Vote::Dead) => formatter.write_str("released"),
        }
    }
}
