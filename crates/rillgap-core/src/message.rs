//! Messages between nodes. One variant for each subsystem; encoded by `bitcode`.

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
    /// Spread of the policy.
    Configuration(ConfigurationMessage),
}

/// The key under which an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeyedAttempt {
    /// Key of the caller.
    pub key: IdempotencyKey,
    /// Digest of the request that first used the key.
    pub fingerprint: Fingerprint,
}

/// An attempt, on its way to the node beside a back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Dispatch {
    /// Identifies the attempt in all later messages.
    pub attempt: AttemptId,
    /// Root request that it serves.
    pub root: RootId,
    /// Key, for requests that may run at most once.
    pub key: Option<KeyedAttempt>,
    /// Run of the receiving node for which the attempt is meant.
    pub incarnation: Incarnation,
    /// Service that is addressed.
    pub service: ServiceName,
    /// Back end that shall run it.
    pub back_end: BackEndName,
    /// Class, inherited from the root.
    pub class: Class,
    /// Microseconds until the deadline, at the time of sending.
    pub remaining_micros: u64,
    /// Extra attempts that this part of the chain may spend.
    pub extra_attempts: u8,
    /// Method, target and headers.
    pub head: RequestHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Messages of the data path.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum CallMessage {
    /// Asks the node beside a back end to run an attempt.
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
    /// The answer is whole.
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
    /// The attempt was started and has failed; nothing more comes.
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
    /// The receiver of an answer has room for more of its body.
    Credit {
        /// Attempt whose answer is meant.
        attempt: AttemptId,
        /// Bytes that were consumed.
        bytes: u32,
    },
    /// Nobody waits for the attempt any more. Answered by `Refused` if it was still queued.
    Cancel {
        /// Attempt that is cancelled.
        attempt: AttemptId,
    },
}
