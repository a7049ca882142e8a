//! Defines the messages about the policy between nodes, in their encoding on the wire.

use bitcode::{Decode, Encode};

use super::document::PolicyDocument;
use crate::id::{BackEndName, ChangeId, PolicyVersion};
use crate::policy::BackEndState;

/// Whether a node has confirmed that it holds the policy in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfirmationState {
    /// The node was not confirmed since it started.
    NeverConfirmed,
    /// The node was confirmed before, but may have missed a change since.
    PossiblyStale,
    /// The held version was confirmed by peers or the store.
    Confirmed,
}

/// A change of the state of one back end, sent in place of the whole policy.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BackEndChange {
    /// Version to which the change applies; the change creates the next one.
    pub base: PolicyVersion,
    /// Identifier of the change.
    pub change: ChangeId,
    /// Name of the back end.
    pub back_end: BackEndName,
    /// New state of the back end.
    pub state: BackEndState,
}

impl BackEndChange {
    /// Returns the version that the change creates.
    pub fn version(&self) -> PolicyVersion {
        PolicyVersion(self.base.0 + 1)
    }
}

/// A message about the policy.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfigurationMessage {
    /// Asks the receiver to confirm the policy version of the sender.
    Query {
        /// Query round of the sender; the answer repeats it.
        round: u64,
    },
    /// Replies to [`Self::Query`].
    Answer {
        /// Query round of the receiver.
        round: u64,
        /// Version that the sender holds.
        version: PolicyVersion,
        /// Whether the sender has confirmed that version.
        state: ConfirmationState,
    },
    /// Announces the version that the sender holds, so that the receiver can fetch it.
    Announce {
        /// Version that the sender holds.
        version: PolicyVersion,
    },
    /// Forwards a change of one back end.
    BackEnd(BackEndChange),
    /// Requests the whole document if the receiver holds a later version.
    Fetch {
        /// Version that the sender holds.
        held: PolicyVersion,
    },
    /// Sends the whole document in reply to [`Self::Fetch`].
    Document(Box<PolicyDocument>),
}
