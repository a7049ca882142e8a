//! Runs at most one attempt for each idempotency key.
//!
//! Two checks prevent a request from running twice. Before dispatch, a majority of the key's
//! replicas must grant the attempt a claim ([`Claims`]). At the back end's node, the
//! [`DispatchGuard`] starts at most one attempt per key and never starts a barred attempt.
//! `docs/design/claims.md` explains why both are needed.

pub mod answer;
pub mod claimant;
pub mod claims;
pub mod counters;
pub mod electorate;
pub mod guard;
pub mod message;
pub mod record;
pub mod replica;
pub mod settings;

pub use answer::RememberedAnswer;
pub use claims::Claims;
pub use counters::ClaimCounters;
pub use electorate::{Electorate, replica_group};
pub use guard::{DispatchGuard, GuardVerdict};
pub use message::ClaimMessage;
pub use record::{BallotRecord, DelayedClaim, RefusedClaim};
pub use settings::ClaimFaults;

use crate::id::AttemptId;
use crate::message::KeyedAttempt;
use crate::request::Refusal;
use crate::routing::Target;
use crate::time::Instant;

/// Request of the data path for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Attempt for which the claim is requested.
    pub attempt: AttemptId,
    /// Idempotency key and fingerprint of the request.
    pub keyed: KeyedAttempt,
    /// Back end that is to run the attempt; the claim is bound to its node's incarnation.
    pub target: Target,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Result of a claim request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// A majority granted the attempt: it may be dispatched to its target.
    Granted {
        /// Extra attempts that remain for the key, over all requests with this key.
        ///
        /// A caller's retry with the same key draws on the same budget, so the data path uses the
        /// smaller of this value and the budget that the request arrived with.
        budget: u8,
    },
    /// An earlier attempt with this key has completed with this answer.
    Completed(RememberedAnswer),
    /// The attempt must not be dispatched; the result code says what is known about the key.
    Refused(Refusal),
}

/// Reports the result of a claim request to the data path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEvent {
    /// Attempt for which the claim was requested.
    pub attempt: AttemptId,
    /// Result of the claim request.
    pub result: ClaimResult,
}
