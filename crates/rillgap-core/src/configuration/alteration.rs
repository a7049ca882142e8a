//! The alterations that operators request, and the document that results from each.

use super::document::PolicyDocument;
use super::message::BackEndChange;
use super::spread::PeerUpdate;
use crate::code::ResultCode;
use crate::id::{BackEndName, ChangeId, PolicyVersion};
use crate::policy::{BackEndState, Policy};

/// An alteration of the policy that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Alteration {
    /// Replaces the whole policy.
    Policy {
        /// The new policy; its version and change are set when it is written.
        policy: Box<Policy>,
        /// Version that the new policy must follow; `None` accepts any.
        expected: Option<PolicyVersion>,
    },
    /// Moves a back end into or out of service.
    BackEnd {
        /// Name of the back end.
        name: BackEndName,
        /// Its new state.
        state: BackEndState,
    },
}

/// Result of planning an alteration on a document.
#[derive(Debug)]
pub enum Plan {
    /// The document to write.
    Next(Box<PolicyDocument>),
    /// The base document is older than the expected version: a read may have returned an older
    /// object, so the plan is tried again after another read.
    BaseOutdated,
    /// The alteration cannot be applied to this document.
    Refused(ResultCode),
}

impl Alteration {
    /// Plans the document that results from applying this alteration to `base`.
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

    /// Returns the update to send to other nodes after the change `change` created `version`.
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
