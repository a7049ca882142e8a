//! Messages about the policy between nodes.

use bitcode::{Decode, Encode};

use super::document::PolicyDocument;
use crate::id::{BackEndName, ChangeId, PolicyVersion};
use crate::policy::BackEndState;

/// How sure a node is that it holds the policy that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfirmationState {
    /// It has just started and was not confirmed in this run.
    NeverConfirmed,
    /// It was confirmed before, but may have missed a change since.
    PossiblyStale,
    /// A peer or the store has confirmed it.
    Confirmed,
}

/// A change of one back end, sent in place of the whole policy.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BackEndChange {
    /// Version to which the change applies; it makes the next one.
    pub base: PolicyVersion,
    /// The change.
    pub change: ChangeId,
    /// Back end that changes.
    pub back_end: BackEndName,
    /// Its new state.
    pub state: BackEndState,
}

impl BackEndChange {
    /// Returns the version that the change makes.
    pub fn version(&self) -> PolicyVersion {
        PolicyVersion(self.base.0 + 1)
    }
}

/// Messages about the policy.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfigurationMessage {
    /// Asks the receiver to confirm the policy version of the sender.
    Query {
        /// Round of questions; the answer repeats it.
        round: u64,
    },
    /// Answers [`Self::Query`].
    Answer {
        /// Round of the question.
        round: u64,
        /// Version that the answering node holds.
        version: PolicyVersion,
        /// How sure it is of that version.
        state: ConfirmationState,
    },
    /// Tells that the sender holds this version, for the receiver to fetch it.
    Announce {
        /// Version of the sender.
        version: PolicyVersion,
    },
    /// Passes a small change on.
    BackEnd(BackEndChange),
    /// Asks for the whole document, if the receiver holds a later version.
    Fetch {
        /// Version that the sender holds.
        held: PolicyVersion,
    },
    /// The whole document.
    Document(Box<PolicyDocument>),
}
