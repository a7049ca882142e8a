//! Messages between claimant, replicas and the dispatch guard of a back end's node.
//!
//! They are encoded by position: the order, number and types of fields and variants are the wire
//! format.

use std::fmt;

use bitcode::{Decode, Encode};

use crate::claim::answer::RememberedAnswer;
use crate::id::{AttemptId, Fingerprint, IdempotencyKey, Incarnation, NodeId};

/// A message of the claim protocol.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimMessage {
    /// Claimant to replica: requests a vote.
    Claim(Box<Claim>),
    /// Replica to claimant: answers a [`Claim`].
    Vote(Box<VoteReply>),
    /// Claimant to replica: withdraws the votes for an attempt that has not run and never will.
    Release(Release),
    /// Claimant to replica: reports that the attempt has completed.
    Complete {
        /// Key of the attempt.
        key: IdempotencyKey,
        /// Attempt that has completed.
        attempt: AttemptId,
    },
    /// Claimant to the node of the holder's back end: queries the state of a key.
    GuardQuery(GuardQuery),
    /// Back end's node to claimant: answers a [`GuardQuery`].
    GuardReply(GuardReply),
}

/// Identifies the dispatch guard that alone may start an attempt: one incarnation of the back
/// end's node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GuardId {
    /// Node of the back end.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
}

/// Number of a voting round of one attempt; the first round is 1.
///
/// A vote counts only in its own round, so that a late vote is not counted after it was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Round(pub u16);

impl Round {
    /// Greater than any round that a claimant uses; a release up to it covers all rounds.
    pub const LAST: Self = Self(u16::MAX);
}

/// Requests the vote of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Claim {
    /// Key that is claimed.
    pub key: IdempotencyKey,
    /// Attempt for which the key is claimed.
    pub attempt: AttemptId,
    /// Round of the attempt.
    pub round: Round,
    /// Guard that would start the attempt.
    pub guard: GuardId,
    /// Replica group of the key in the claimant's view, as [`replica_group`] orders it.
    ///
    /// [`replica_group`]: crate::claim::replica_group
    pub group: Vec<NodeId>,
    /// Time in microseconds for which the attempt must not be barred.
    pub protected_micros: u64,
    /// Refused attempt of the same call whose claim this attempt takes over; `None` if there
    /// is none.
    pub replaces: Option<AttemptId>,
    /// Earlier holder of the key that its guard has barred; `None` if there is none.
    pub barred: Option<AttemptId>,
}

/// Answers a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VoteReply {
    /// Attempt that claimed the key.
    pub attempt: AttemptId,
    /// Round of the claim.
    pub round: Round,
    /// Vote of the replica.
    pub vote: Vote,
}

/// Vote of a replica on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Vote {
    /// The attempt holds the key at this replica.
    Granted {
        /// Earlier holders that have provably not run; they count against the key's budget.
        spent: Vec<AttemptId>,
    },
    /// Another attempt holds the key at this replica.
    Held(KeyHolder),
    /// The replica is not allowed to vote.
    Abstained(AbstainReason),
    /// The attempt was released, replaced or barred and must not be granted again.
    Dead,
}

/// Attempt that holds a key at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeyHolder {
    /// Attempt that holds the key.
    pub attempt: AttemptId,
    /// Guard that may start the attempt.
    pub guard: GuardId,
    /// Whether its caller may still receive a "not run" result, so that it must not be barred.
    pub protected: bool,
    /// Whether the claimant has reported that it completed.
    pub completed: bool,
}

/// Reason why a replica abstains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum AbstainReason {
    /// The replica does not hold the lease on its membership view.
    NoLease,
    /// The replica is not in the key's group, or its group differs from the claimant's.
    DifferentGroup,
    /// The replica was not in the key's group for the whole lifetime of the key.
    NotEligible,
    /// The key's timestamp is ahead of the replica's clock by more than the permitted skew.
    KeyFromFuture,
    /// The replica has dropped its records of keys of that age.
    KeyTooOld,
    /// The replica has no room for another key, or for another attempt of this key.
    Full,
}

impl AbstainReason {
    /// Returns whether the reason ends by itself while the key can be used, so that the replica may
    /// vote on it later.
    ///
    /// A replica that is not eligible for a key never becomes so: what counts is whether it was a
    /// replica when the key was first used.
    pub const fn is_temporary(self) -> bool {
        match self {
            Self::NoLease | Self::DifferentGroup | Self::KeyFromFuture => true,
            Self::NotEligible | Self::KeyTooOld | Self::Full => false,
        }
    }
}

impl fmt::Display for AbstainReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoLease => "no lease",
            Self::DifferentGroup => "different group",
            Self::NotEligible => "not eligible",
            Self::KeyFromFuture => "key from the future",
            Self::KeyTooOld => "key too old",
            Self::Full => "full",
        })
    }
}

/// Releases the votes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Release {
    /// Key of the attempt.
    pub key: IdempotencyKey,
    /// Attempt whose votes are released.
    pub attempt: AttemptId,
    /// Last round whose votes are released.
    pub round: Round,
    /// Whether the attempt counts against the key's budget, because a majority had granted it.
    pub spent: bool,
}

/// Queries a dispatch guard for the state of a key, and may bar the key's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GuardQuery {
    /// Key that is queried.
    pub key: IdempotencyKey,
    /// Fingerprint of the claimant's request.
    pub fingerprint: Fingerprint,
    /// Attempt that holds the key at the replicas.
    pub holder: AttemptId,
    /// Incarnation of the back end's node to which the holder's claim is bound.
    pub incarnation: Incarnation,
    /// Whether to bar the holder if the key was not started.
    pub bar: bool,
    /// Attempt on whose behalf the query is sent.
    pub claimant: AttemptId,
}

/// Answers a [`GuardQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GuardReply {
    /// Attempt on whose behalf the query was sent.
    pub claimant: AttemptId,
    /// Holder named in the query.
    pub holder: AttemptId,
    /// State of the key at the guard.
    pub state: KeyState,
}

/// State of a key at a dispatch guard.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum KeyState {
    /// Not started; the holder is now barred and will never start.
    Barred,
    /// Not started; the holder may still arrive.
    NotStarted,
    /// Started and not yet ended.
    Running,
    /// Completed with this answer.
    Completed(RememberedAnswer),
    /// Completed, but the answer is not stored.
    AnswerForgotten,
    /// Started and failed with an unknown outcome.
    Failed,
    /// Started for a request with another fingerprint.
    OtherRequest,
    /// Unknown, because the holder's claim is bound to another incarnation of the node.
    OtherIncarnation,
    /// Not started, but the guard cannot record the bar: it is full, or has dropped keys of that
    /// age.
    Full,
}
