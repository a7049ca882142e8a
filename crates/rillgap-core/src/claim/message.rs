//! Messages of the claim protocol between claimant, replicas and the node beside a back end.

use bitcode::{Decode, Encode};

use crate::claim::answer::RememberedAnswer;
use crate::id::{AttemptId, Fingerprint, IdempotencyKey, Incarnation, NodeId};

/// A message of the claim protocol.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimMessage {
    /// Claimant to replica: asks for a vote.
    Claim(Box<Claim>),
    /// Replica to claimant: answers a [`Claim`].
    Vote(Box<VoteReply>),
    /// Claimant to replica: the attempt has not run and never will.
    Release(Release),
    /// Claimant to replica: the attempt has completed.
    Complete {
        /// Key of the attempt.
        key: IdempotencyKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Claimant to the node beside a back end: asks what became of the holder of a key.
    GuardQuery(GuardQuery),
    /// The node beside a back end to the claimant: answers a [`GuardQuery`].
    GuardReply(GuardReply),
}

/// The run of the node beside a back end that alone may start an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GuardId {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// Number of a claimant's try to gather a majority for one attempt, from one.
///
/// A vote counts in its own round only, so that a late vote that was given back in the meantime
/// is never counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Round(pub u16);

impl Round {
    /// Later than every round of a claimant.
    pub const LAST: Self = Self(u16::MAX);
}

/// Asks a replica for its vote.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Claim {
    /// Key that is claimed.
    pub key: IdempotencyKey,
    /// Attempt that wants to run.
    pub attempt: AttemptId,
    /// Round of the attempt.
    pub round: Round,
    /// Where the attempt would run.
    pub guard: GuardId,
    /// Replica group by the claimant's view, best first.
    pub group: Vec<NodeId>,
    /// Microseconds during which nobody may bar the attempt.
    pub protected_micros: u64,
    /// Attempt of the same call that was refused and that this one replaces.
    pub replaces: Option<AttemptId>,
    /// Attempt that its gate has barred.
    pub barred: Option<AttemptId>,
}

/// A replica's answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VoteReply {
    /// Attempt that asked.
    pub attempt: AttemptId,
    /// Round in which it asked.
    pub round: Round,
    /// The vote.
    pub vote: Vote,
}

/// A replica's vote.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Vote {
    /// The attempt holds the key at this replica.
    Granted {
        /// Attempts that held the key before and have provably not run.
        spent: Vec<AttemptId>,
    },
    /// Another attempt holds the key at this replica.
    Held(KeyHolder),
    /// The replica must not vote.
    Abstained(AbstainReason),
    /// The attempt was given back, replaced or barred before.
    Dead,
}

/// The attempt that holds a key at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeyHolder {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it may run.
    pub guard: GuardId,
    /// Whether its caller may still be told that it was not run, so that it must not be barred.
    pub protected: bool,
    /// Whether it is known to have completed.
    pub completed: bool,
}

/// Why a replica does not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum AbstainReason {
    /// It does not hold the lease on its membership view.
    NoLease,
    /// It is not in the key's group, or its group is another than the claimant's.
    DifferentGroup,
    /// It was not in the key's group for the whole life of the key.
    NotEligible,
    /// The key is from the future by its clock.
    KeyFromFuture,
    /// It has forgotten keys of that age.
    KeyTooOld,
    /// It has no room for another key, or for another attempt of this one.
    Full,
}

/// Gives an attempt's votes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Release {
    /// Key of the attempt.
    pub key: IdempotencyKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// Last round that is given back.
    pub round: Round,
    /// Whether the attempt had won a majority and so counts against the key's budget.
    pub spent: bool,
}

/// Asks the node beside a back end what became of the holder of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GuardQuery {
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of the request that asks.
    pub fingerprint: Fingerprint,
    /// Attempt that holds the key.
    pub holder: AttemptId,
    /// Run of the node for which the holder is meant.
    pub incarnation: Incarnation,
    /// Whether the holder shall be barred if the key was not started.
    pub bar: bool,
    /// Attempt that asks.
    pub claimant: AttemptId,
}

/// Answers a [`GuardQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GuardReply {
    /// Attempt that asked.
    pub claimant: AttemptId,
    /// Attempt that was asked about.
    pub holder: AttemptId,
    /// What became of the key.
    pub state: KeyState,
}

/// What the node beside a back end knows of a key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum KeyState {
    /// Not started, and the holder is now barred: it never will be.
    Barred,
    /// Not started; the holder may still arrive.
    NotStarted,
    /// Started and not ended.
    Running,
    /// Completed with this answer.
    Completed(RememberedAnswer),
    /// Completed, but the answer is not kept.
    AnswerForgotten,
    /// Started and failed with an unknown outcome.
    Failed,
    /// Started for a request with another fingerprint.
    OtherRequest,
    /// This is not the run for which the holder was meant, so nothing is known.
    OtherIncarnation,
    /// The holder could not be barred for want of room.
    Full,
}
