//! One call that this node took from a caller or from its back end and sends on.

use bytes::Bytes;

use crate::admission::RouteId;
use crate::code::Outcome;
use crate::event::InboundId;
use crate::id::{AttemptId, BackEndName, CallId, Fingerprint, RootId, ServiceName};
use crate::message::KeyedAttempt;
use crate::policy::Class;
use crate::request::{Refusal, RequestHead};
use crate::routing::Target;
use crate::time::Instant;

/// The request of a local attempt that made this call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParentLink {
    /// Attempt at the local back end.
    pub attempt: AttemptId,
    /// Content by which the call is recognised among its siblings.
    pub content: Fingerprint,
}

/// How far the current attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its claim has been asked for.
    Claiming,
    /// It was dispatched; no answer yet.
    Waiting,
    /// Its answer is being passed on; this many parts so far.
    Answering {
        /// Parts of the body passed on.
        parts: u32,
    },
    /// The caller was answered or is gone; the fate of a keyed attempt is still awaited.
    Orphaned,
}

/// The current attempt of a call.
#[derive(Clone, Debug)]
pub struct CurrentAttempt {
    /// Identifies it.
    pub id: AttemptId,
    /// Back end that runs it.
    pub target: Target,
    /// When it was begun.
    pub begun_at: Instant,
    /// Extra attempts lent to it.
    pub lent: u8,
    /// How far it has come.
    pub phase: Phase,
}

/// One call on its way to a back end.
#[derive(Debug)]
pub struct OutgoingCall {
    /// Identifies the call.
    pub id: CallId,
    /// Request that is to be answered.
    pub inbound: InboundId,
    /// Root request that it serves.
    pub root: RootId,
    /// Request of the local back end that made it, if it is not a root.
    pub parent: Option<ParentLink>,
    /// Service that is addressed.
    pub service: ServiceName,
    /// Route that it matches.
    pub route: RouteId,
    /// Class, inherited from the root.
    pub class: Class,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Key, for roots that may run at most once.
    pub keyed: Option<KeyedAttempt>,
    /// Method, target and headers.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must be answered.
    pub deadline: Instant,
    /// Back ends that were tried.
    pub tried: Vec<BackEndName>,
    /// Attempts made so far that were sent to another back end without charge.
    pub reroutes: u8,
    /// Number of the next attempt.
    pub next_attempt: u16,
    /// Attempt that is under way.
    pub attempt: Option<CurrentAttempt>,
    /// Failure of an earlier attempt that may have run.
    pub earlier_failure: Option<Refusal>,
}

impl OutgoingCall {
    /// Returns what the caller is told instead of `refusal` of the last attempt.
    ///
    /// That attempt may not have run, and an earlier one of the same call may have.
    pub fn reported_refusal(&self, refusal: Refusal) -> Refusal {
        if refusal.code.outcome() == Outcome::NotRun {
            self.earlier_failure.unwrap_or(refusal)
        } else {
            refusal
        }
    }

    /// Returns the phase of the attempt that is under way.
    pub fn phase(&self) -> Option<Phase> {
        self.attempt.as_ref().map(|attempt| attempt.phase)
    }

    /// Returns whether `attempt` is the one that is under way.
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|current| current.id == attempt)
    }

    /// Returns whether a claim has been granted to the attempt that is under way.
    pub fn holds_claim(&self) -> bool {
        let dispatched = !matches!(self.phase(), None | Some(Phase::Claiming));
        self.keyed.is_some() && dispatched
    }
}
