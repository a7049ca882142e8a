//! The object that holds the policy in the store.

use std::sync::Arc;

use bitcode::{Decode, Encode};
use thiserror::Error;

use crate::id::{BackEndName, ChangeId, PolicyVersion};
use crate::policy::{BackEndState, IndexedPolicy, Policy};

/// Changes that a document remembers, so that a repeat of one of them is recognised.
pub const MAX_REMEMBERED_CHANGES: usize = 128;

/// First byte of an encoded document; another format gets another number.
const FORMAT: u8 = 1;

/// A change that was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoredChange {
    /// The change.
    pub change: ChangeId,
    /// Version that it made.
    pub version: PolicyVersion,
}

/// A policy together with the changes that led to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PolicyDocument {
    /// The policy, with its version and the change that made it.
    pub policy: Policy,
    /// The last changes, the latest last; at most [`MAX_REMEMBERED_CHANGES`].
    pub changes: Vec<StoredChange>,
}

/// An object of the store that is not a policy document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The object is empty or of another format.
    #[error("policy object of an unknown format")]
    Format,
    /// The object is damaged.
    #[error("policy object damaged")]
    Damaged,
}

impl PolicyDocument {
    /// Returns the document that follows this one when `policy` replaces its policy.
    pub fn with_policy(&self, policy: Policy, change: ChangeId) -> Self {
        let version = PolicyVersion(self.policy.version.0 + 1);
        let mut changes = self.changes.clone();
        changes.push(StoredChange { change, version });
        let surplus = changes.len().saturating_sub(MAX_REMEMBERED_CHANGES);
        changes.drain(..surplus);
        Self {
            policy: Policy {
                version,
                change: change.0,
                ..policy
            },
            changes,
        }
    }

    /// Returns the document that follows this one when a back end changes its state, or `None`
    /// if the policy has no such back end.
    pub fn with_back_end(
        &self,
        name: &BackEndName,
        state: BackEndState,
        change: ChangeId,
    ) -> Option<Self> {
        let mut policy = self.policy.clone();
        let back_end = policy.back_ends.iter_mut().find(|one| one.name == *name)?;
        back_end.state = state;
        Some(self.with_policy(policy, change))
    }

    /// Returns the version that a change made, if the change is remembered.
    pub fn version_of(&self, change: ChangeId) -> Option<PolicyVersion> {
        self.changes
            .iter()
            .rev()
            .find(|stored| stored.change == change)
            .map(|stored| stored.version)
    }

    /// Returns the value that is stored.
    pub fn encode(&self) -> Vec<u8> {
        let mut value = vec![FORMAT];
        value.extend(bitcode::encode(self));
        value
    }

    /// Reads a stored value; an object that does not exist is the empty document of version zero.
    pub fn decode(value: Option<&[u8]>) -> Result<Self, DocumentError> {
        match value {
            None => Ok(Self::default()),
            Some([FORMAT, body @ ..]) => bitcode::decode(body).map_err(|_| DocumentError::Damaged),
            Some(_) => Err(DocumentError::Format),
        }
    }
}

/// The latest document that this node has seen. It never goes back to a lower version.
#[derive(Debug)]
pub struct HeldDocument {
    document: PolicyDocument,
    policy: Arc<IndexedPolicy>,
}

impl HeldDocument {
    /// Holds a document.
    pub fn new(document: PolicyDocument) -> Self {
        Self {
            policy: Arc::new(IndexedPolicy::new(document.policy.clone())),
            document,
        }
    }

    /// Returns the document.
    pub fn document(&self) -> &PolicyDocument {
        &self.document
    }

    /// Returns its policy.
    pub fn policy(&self) -> &Arc<IndexedPolicy> {
        &self.policy
    }

    /// Returns its version; zero if there is no policy yet.
    pub fn version(&self) -> PolicyVersion {
        self.policy.version
    }

    /// Takes a document in if its version is higher; returns whether it is.
    pub fn advance(&mut self, document: PolicyDocument) -> bool {
        if document.policy.version <= self.version() {
            return false;
        }
        *self = Self::new(document);
        true
    }
}
