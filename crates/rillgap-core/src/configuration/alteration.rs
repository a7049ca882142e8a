//! What an operator wants to change, and what it makes of a document.

use super::document::PolicyDocument;
use super::message::BackEndChange;
use super::spread::PeerUpdate;
use crate::code::ResultCode;
use crate::id::{BackEndName, ChangeId, PolicyVersion};
use crate::policy::{BackEndState, Policy};

/// What an operator wants to change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Alteration {
    /// Replace the policy.
    Policy {
        /// The new one.
        policy: Box<Policy>,
        /// Version that must still be in force; `None` for whichever is.
        expected: Option<PolicyVersion>,
    },
    /// Move a back end into or out of service.
    BackEnd {
        /// The back end.
        name: BackEndName,
        /// Its new state.
        state: BackEndState,
    },
}

/// What an alteration makes of a document.
#[derive(Debug)]
pub enum Plan {
    /// The document that follows.
    Next(Box<PolicyDocument>),
    /// The document is older than the expected version.
    BaseOutdated,
    /// The alteration cannot be made.
    Refused(ResultCode),
}

impl Alteration {
    /// Plans the document that follows `base`.
    pub fn plan(&self, base: &PolicyDocument, change: ChangeId) -> Plan {
        match self {
            Self::Policy { policy, expected } => {
                let expected = expected.unwrap_or(base.policy.version);
                if expected < base.policy.version {
                    return Plan::Refused(ResultCode::VersionConflict);
                }
                if expected > base.policy.version {
                    return Plan::BaseOutdated;
                }
                Plan::Next(Box::new(base.with_policy((**policy).clone(), change)))
            }
            Self::BackEnd { name, state } => base
                .with_back_end(name, *state, change)
                .map_or(Plan::Refused(ResultCode::TargetUnknown), |next| {
                    Plan::Next(Box::new(next))
                }),
        }
    }

    /// Returns what other nodes are told of a change that made `version`.
    pub fn peer_update(&self, change: ChangeId, version: PolicyVersion) -> PeerUpdate {
        match self {
            Self::Policy { .. } => PeerUpdate::Version(version),
            Self::BackEnd { name, state } => PeerUpdate::BackEnd(BackEndChange {
                base: PolicyVersion(version.0.saturating_sub(1)),
                change,
                back_end: name.clone(),
                state: *state,
            }),
        }
    }
}
