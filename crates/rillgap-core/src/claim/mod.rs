//! Claims: at most one attempt for each idempotency key.

use bitcode::{Decode, Encode};

use crate::action::Outbox;
use crate::id::{AttemptId, Fingerprint, IdempotencyKey, Incarnation, NodeId};
use crate::membership::Membership;
use crate::message::KeyedAttempt;
use crate::policy::Bounds;
use crate::request::{AnswerHead, Refusal};
use crate::routing::Target;
use crate::time::{Instant, Now};

/// Messages about claims. (To be filled by the claim protocol.)
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimMessage {
    /// Placeholder until the protocol stands.
    Nothing,
}

/// A whole answer that repeats of its key are given.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RememberedAnswer {
    /// Status and headers.
    pub head: AnswerHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Attempt that wants to run.
    pub attempt: AttemptId,
    /// Key and digest of the request.
    pub keyed: KeyedAttempt,
    /// Back end that shall run it; the grant names its node's run.
    pub target: Target,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// A majority granted the attempt: it may be dispatched to its target.
    Granted {
        /// Extra attempts that the key has left over all its requests, this one's included.
        ///
        /// A caller's repeat of the key draws on the same budget, so the data path takes the
        /// smaller of this and the share that the request came with.
        budget: u8,
    },
    /// The key has completed before; this is its answer.
    Completed(RememberedAnswer),
    /// The attempt must not be dispatched; the refusal states what is known of the key.
    Refused(Refusal),
}

/// Event of the claim protocol for the data path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEvent {
    /// Attempt that is meant.
    pub attempt: AttemptId,
    /// What became of its claim.
    pub result: ClaimResult,
}

/// Claimant and replica side of the claim protocol at one node. (Grants everything yet.)
#[derive(Debug)]
pub struct Claims {
    events: Vec<ClaimEvent>,
}

impl Claims {
    /// Creates the claims of a fresh node, which remembers nothing.
    pub fn new(_node: NodeId, _incarnation: Incarnation) -> Self {
        Self { events: Vec::new() }
    }

    /// Takes over the bounds of the policy in force.
    pub fn configure(&mut self, _bounds: &Bounds) {}

    /// Returns whether a caller may be told that its request was not run, after `attempt` was
    /// refused or given up undispatched.
    ///
    /// True while the granted claim is exclusively this attempt's: it was granted, neither
    /// released nor reassigned, and its deadline has not passed. After the deadline another
    /// claimant may have barred the attempt and run the key, so the outcome is unknown
    /// ([`crate::code::ResultCode::InProgress`]). Ask before [`Self::release`], tell the caller
    /// and release in the same step.
    pub fn holds(&self, _now: Now, _attempt: AttemptId) -> bool {
        true
    }

    /// Asks the key's replicas for a claim; the result comes as a [`ClaimEvent`].
    pub fn acquire(
        &mut self,
        _now: Now,
        request: ClaimRequest,
        _membership: &Membership,
        _out: &mut Outbox,
    ) {
        self.events.push(ClaimEvent {
            attempt: request.attempt,
            result: ClaimResult::Granted {
                budget: Bounds::default().extra_attempts,
            },
        });
    }

    /// Moves a held claim from an attempt that was refused (and will never run) to a new one.
    pub fn reassign(
        &mut self,
        now: Now,
        _refused: AttemptId,
        request: ClaimRequest,
        membership: &Membership,
        out: &mut Outbox,
    ) {
        self.acquire(now, request, membership, out);
    }

    /// Gives a claim back: its attempt has not run and never will.
    pub fn release(
        &mut self,
        _now: Now,
        _attempt: AttemptId,
        _membership: &Membership,
        _out: &mut Outbox,
    ) {
    }

    /// Tells that the claimed attempt has completed.
    pub fn complete(
        &mut self,
        _now: Now,
        _attempt: AttemptId,
        _membership: &Membership,
        _out: &mut Outbox,
    ) {
    }

    /// Tells that the outcome of the claimed attempt is unknown: it stays claimed.
    pub fn abandon(&mut self, _now: Now, _attempt: AttemptId, _out: &mut Outbox) {}

    /// Handles a message of a peer, as claimant, as replica or as the node beside a back end.
    pub fn on_message(
        &mut self,
        _now: Now,
        _from: NodeId,
        _message: ClaimMessage,
        _membership: &Membership,
        _guard: &mut DispatchGuard,
        _out: &mut Outbox,
    ) {
    }

    /// Does what is due: timeouts, repeats, forgetting of old keys.
    ///
    /// Questions to this node's own guard are answered here too.
    pub fn poll(
        &mut self,
        _now: Now,
        _membership: &Membership,
        _guard: &mut DispatchGuard,
        _out: &mut Outbox,
    ) {
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        None
    }

    /// Takes the next event for the data path.
    pub fn take_event(&mut self) -> Option<ClaimEvent> {
        if self.events.is_empty() {
            None
        } else {
            Some(self.events.remove(0))
        }
    }
}

/// Decision of the dispatch guard on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardVerdict {
    /// The attempt may start (it is now recorded as started).
    Start,
    /// The attempt was barred before it arrived: it has not run and never will.
    Barred,
    /// The key was already started here: the attempt has not run and never will, but the key has.
    AlreadyStarted,
    /// No room to remember another key: the attempt was not started and never will be.
    Full,
}

/// The second gate: beside the back end, starts a key at most once and never a barred attempt.
/// (Starts everything yet.)
#[derive(Debug, Default)]
pub struct DispatchGuard {}

impl DispatchGuard {
    /// Takes over the bounds of the policy in force.
    pub fn configure(&mut self, _bounds: &Bounds) {}

    /// Asks to start a keyed attempt.
    pub fn start(&mut self, _now: Now, _attempt: AttemptId, _keyed: KeyedAttempt) -> GuardVerdict {
        GuardVerdict::Start
    }

    /// Records that a keyed attempt was refused here and must never start.
    pub fn bar(&mut self, _now: Now, _attempt: AttemptId, _keyed: KeyedAttempt) {}

    /// Remembers the whole answer of a started key; `None` if it is too long to keep.
    pub fn complete(&mut self, _now: Now, _key: IdempotencyKey, _answer: Option<RememberedAnswer>) {
    }

    /// Records that a started key failed with an unknown outcome.
    pub fn fail(&mut self, _now: Now, _key: IdempotencyKey) {}
}

/// Digest of what a key stands for.
pub fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Fingerprint(hasher.digest())
}
