//! Messages between nodes, with one variant for each subsystem; encoded by `bitcode`.

use bitcode::{Decode, Encode};

use crate::admission::LoadReport;
use crate::claim::ClaimMessage;
use crate::configuration::ConfigurationMessage;
use crate::id::{
    AttemptId, BackEndName, Fingerprint, IdempotencyKey, Incarnation, RootId, ServiceName,
};
use crate::membership::MembershipMessage;
use crate::policy::Class;
use crate::request::{AnswerHead, Refusal, RequestHead};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// Data path: attempts, answers, credits and cancellation.
    Call(CallMessage),
    /// Claims on idempotency keys.
    Claim(ClaimMessage),
    /// Membership: heartbeats, digests and views.
    Membership(MembershipMessage),
    /// Distribution of the policy.
    Configuration(ConfigurationMessage),
}

/// The key under which an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeyedAttempt {
    /// Idempotency key of the caller.
    pub key: IdempotencyKey,
    /// Digest of the request that first used the key.
    pub fingerprint: Fingerprint,
}

/// An attempt that is sent to the node beside a back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Dispatch {
    /// Identifier of the attempt in all later messages.
    pub attempt: AttemptId,
    /// Root request of the chain.
    pub root: RootId,
    /// Key, for requests that may run at most once.
    pub key: Option<KeyedAttempt>,
    /// Incarnation of the receiving node; another one refuses the attempt.
    pub incarnation: Incarnation,
    /// Service to which the request is addressed.
    pub service: ServiceName,
    /// Back end that is to run the attempt.
    pub back_end: BackEndName,
    /// Class, inherited from the root.
    pub class: Class,
    /// Microseconds from sending to the deadline.
    pub remaining_micros: u64,
    /// Extra attempts that this part of the chain may spend.
    pub extra_attempts: u8,
    /// Method, target and headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Messages of the data path.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum CallMessage {
    /// Dispatches an attempt to the node beside a back end.
    Dispatch(Box<Dispatch>),
    /// The back end's answer begins.
    AnswerHead {
        /// Attempt that is answered.
        attempt: AttemptId,
        /// Status and headers.
        head: AnswerHead,
        /// Load of the answering node.
        load: LoadReport,
    },
    /// A part of the answer's body.
    AnswerBody {
        /// Attempt that is answered.
        attempt: AttemptId,
        /// Position of this part, from zero.
        sequence: u32,
        /// The part.
        chunk: Vec<u8>,
    },
    /// The answer is complete.
    AnswerEnd {
        /// Attempt that is answered.
        attempt: AttemptId,
        /// Number of parts that were sent.
        parts: u32,
        /// Extra attempts that were not spent.
        unspent: u8,
        /// Load of the answering node.
        load: LoadReport,
    },
    /// The attempt was started and has failed; no further messages follow.
    AnswerFailed {
        /// Attempt that failed.
        attempt: AttemptId,
        /// Reason; its outcome is unknown.
        refusal: Refusal,
        /// Extra attempts that were not spent.
        unspent: u8,
        /// Load of the answering node.
        load: LoadReport,
    },
    /// The attempt was not started and never will be.
    Refused {
        /// Attempt that is refused.
        attempt: AttemptId,
        /// Reason; its outcome is not run.
        refusal: Refusal,
        /// Load of the answering node.
        load: LoadReport,
    },
    /// The receiver of an answer has consumed a part of its body and can receive more.
    Credit {
        /// Attempt to whose answer the credit applies.
        attempt: AttemptId,
        /// Bytes that were consumed.
        bytes: u32,
    },
    /// The result of the attempt is no longer needed. Answered by `Refused` if it was still queued.
    Cancel {
        /// Attempt that is cancelled.
        attempt: AttemptId,
    },
}
