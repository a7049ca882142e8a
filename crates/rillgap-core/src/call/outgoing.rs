//! State of a call that this node forwards for a caller or for its local back end.

use bytes::Bytes;

use crate::admission::RouteId;
use crate::call::held_answer::HeldAnswer;
use crate::code::Outcome;
use crate::event::InboundId;
use crate::id::{AttemptId, BackEndName, CallId, Fingerprint, RootId, ServiceName};
use crate::message::KeyedAttempt;
use crate::policy::Class;
use crate::request::{Refusal, RequestHead};
use crate::routing::Target;
use crate::time::Instant;

/// The local attempt for which a call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParentLink {
    /// Attempt at the local back end.
    pub attempt: AttemptId,
    /// Content of the call, by which its retries are recognized.
    pub content: Fingerprint,
}

/// Progress of the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its claim was requested and is pending.
    Claiming,
    /// It was dispatched and has no answer yet.
    Waiting,
    /// Its answer is being forwarded to the caller.
    Answering {
        /// Parts of the body forwarded so far.
        parts: u32,
    },
    /// The attempt was cancelled because the caller was answered or has disconnected. A keyed call
    /// is kept until the outcome of the attempt is known, because its claim may be released only
    /// with proof that the attempt has not run.
    Detached,
}

/// The current attempt of a call.
#[derive(Clone, Debug)]
pub struct CurrentAttempt {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// Back end that runs it.
    pub target: Target,
    /// Time at which the attempt was started.
    pub started_at: Instant,
    /// Extra attempts that this attempt may spend downstream, subtracted from the
    /// [`RetryPool`](super::retry_pool::RetryPool) of the call.
    pub lent: u8,
    /// Progress of the attempt.
    pub phase: Phase,
}

/// A call that is being forwarded to a back end.
#[derive(Debug)]
pub struct OutgoingCall {
    /// Beginning of the answer to a back end's call that was not forwarded yet.
    pub held: Option<HeldAnswer>,
    /// Whether the call was accepted after a stop was requested. It does not delay the leave.
    pub is_late: bool,
    /// Identifier of the call.
    pub id: CallId,
    /// Inbound request that is answered with the result of the call.
    pub inbound: InboundId,
    /// First request of the chain of calls to which this call belongs.
    pub root: RootId,
    /// Local attempt for which this call was made; `None` for a root request.
    pub parent: Option<ParentLink>,
    /// Service that is addressed.
    pub service: ServiceName,
    /// Route that it matches.
    pub route: RouteId,
    /// Class, inherited from the root request.
    pub class: Class,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Key and fingerprint, for root requests that may run at most once.
    pub keyed: Option<KeyedAttempt>,
    /// Method, target and headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the request must be answered.
    pub deadline: Instant,
    /// Back ends of the attempts so far; they are not selected again.
    pub tried: Vec<BackEndName>,
    /// Retries made so far that were not charged to a retry budget.
    pub reroutes: u8,
    /// Number of the next attempt.
    pub next_attempt: u16,
    /// Current attempt; `None` before the first one.
    pub attempt: Option<CurrentAttempt>,
    /// Failure of the latest of the earlier attempts that may have run; `None` if there was none.
    pub earlier_failure: Option<Refusal>,
}

impl OutgoingCall {
    /// Returns the refusal to send to the caller when the last attempt ended with `refusal`.
    ///
    /// If that attempt has not run but an earlier one may have, this is the earlier failure,
    /// because the outcome of the call is unknown.
    pub fn reported_refusal(&self, refusal: Refusal) -> Refusal {
        if refusal.code.outcome() == Outcome::NotRun {
            self.earlier_failure.unwrap_or(refusal)
        } else {
            refusal
        }
    }

    /// Returns the phase of the current attempt.
    pub fn phase(&self) -> Option<Phase> {
        self.attempt.as_ref().map(|attempt| attempt.phase)
    }

    /// Returns whether `attempt` is the current one.
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|current| current.id == attempt)
    }

    /// Returns whether a claim has been granted to the current attempt.
    pub fn holds_claim(&self) -> bool {
        let dispatched = !matches!(self.phase(), None | Some(Phase::Claiming));
        self.keyed.is_some() && dispatched
    }
}
