//! Defines the stored object: the policy with the latest changes, and its encoding.

use std::sync::Arc;

use bitcode::{Decode, Encode};
use thiserror::Error;

use crate::id::{BackEndName, ChangeId, PolicyVersion};
use crate::policy::{BackEndState, IndexedPolicy, Policy};

/// Maximum number of changes that a document lists. A listed change is not applied a second time.
pub const MAX_REMEMBERED_CHANGES: usize = 128;

/// First byte of an encoded document: the number of its format. Each format has its own number.
const FORMAT: u8 = 1;

/// A change that was written to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoredChange {
    /// Identifier of the change.
    pub change: ChangeId,
    /// Version that the change created.
    pub version: PolicyVersion,
}

/// A policy together with the latest changes that led to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PolicyDocument {
    /// The policy, with its version and the change that created it.
    pub policy: Policy,
    /// The latest changes, oldest first; at most [`MAX_REMEMBERED_CHANGES`].
    pub changes: Vec<StoredChange>,
}

/// Reason why a stored object cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The object is empty or its format is unknown.
    #[error("unknown format of the policy object")]
    Format,
    /// The format is known, but the object cannot be decoded.
    #[error("the policy object is damaged")]
    Damaged,
}

impl PolicyDocument {
    /// Returns the next document, with `policy` in place of the current one.
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

    /// Returns the next document, with another state of a back end, or `None` if the policy has no
    /// back end of this name.
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

    /// Returns the version that a change created, or `None` if the document does not list it.
    pub fn version_of(&self, change: ChangeId) -> Option<PolicyVersion> {
        self.changes
            .iter()
            .rev()
            .find(|stored| stored.change == change)
            .map(|stored| stored.version)
    }

    /// Encodes the document as the value of the stored object.
    pub fn encode(&self) -> Vec<u8> {
        let mut value = vec![FORMAT];
        value.extend(bitcode::encode(self));
        value
    }

    /// Decodes a stored value. For an object that does not exist (`None`) it returns the empty
    /// document of version zero.
    pub fn decode(value: Option<&[u8]>) -> Result<Self, DocumentError> {
        match value {
            None => Ok(Self::default()),
            Some([FORMAT, body @ ..]) => bitcode::decode(body).map_err(|_| DocumentError::Damaged),
            Some(_) => Err(DocumentError::Format),
        }
    }
}

/// The document with the highest version that this node has received. The version never decreases.
#[derive(Debug)]
pub struct HeldDocument {
    document: PolicyDocument,
    policy: Arc<IndexedPolicy>,
}

impl HeldDocument {
    /// Holds a document and indexes its policy.
    pub fn new(document: PolicyDocument) -> Self {
        Self {
            policy: Arc::new(IndexedPolicy::new(document.policy.clone())),
            document,
        }
    }

    /// Returns the document as it is stored.
    pub fn document(&self) -> &PolicyDocument {
        &self.document
    }

    /// Returns the indexed policy of the document.
    pub fn policy(&self) -> &Arc<IndexedPolicy> {
        &self.policy
    }

    /// Returns the version of the document; zero if there is no policy yet.
    pub fn version(&self) -> PolicyVersion {
        self.policy.version
    }

    /// Replaces the held document if the version of `document` is higher; returns whether it is.
    pub fn advance(&mut self, document: PolicyDocument) -> bool {
        if document.policy.version <= self.version() {
            return false;
        }
        *self = Self::new(document);
        true
    }
}
