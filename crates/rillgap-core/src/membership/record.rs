//! Records of changes of the view, for logs: what changed, for which cause and on whose proposal.

use std::fmt;

use crate::id::{Incarnation, NodeName, ViewVersion};
use crate::view::{Member, View};

use super::message::RemovalCause;

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIncarnation {
    /// Configured name of the node.
    pub name: NodeName,
    /// Incarnation.
    pub incarnation: Incarnation,
}

impl From<&Member> for MemberIncarnation {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.clone(),
            incarnation: member.incarnation,
        }
    }
}

impl fmt::Display for MemberIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.name, self.incarnation.0)
    }
}

/// Difference between two successive views in force at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewTransition {
    /// Version of the view that was in force.
    pub from: ViewVersion,
    /// Version of the view in force.
    pub to: ViewVersion,
    /// Members of the later view only.
    pub added: Vec<MemberIncarnation>,
    /// Members of the earlier view only.
    pub removed: Vec<MemberIncarnation>,
}

impl ViewTransition {
    /// Compares two views.
    pub fn between(before: &View, after: &View) -> Self {
        Self {
            from: before.version,
            to: after.version,
            added: missing_in(before, after),
            removed: missing_in(after, before),
        }
    }
}

/// Returns the members of `view` that `other` does not have in the same incarnation.
fn missing_in(other: &View, view: &View) -> Vec<MemberIncarnation> {
    view.members
        .iter()
        .filter(|member| {
            let counterpart = other.member(member.id());
            counterpart.is_none_or(|found| found.incarnation != member.incarnation)
        })
        .map(|member| MemberIncarnation::from(member.as_ref()))
        .collect()
}

/// Reason for which a store reader removes a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovalReason {
    /// A later incarnation of the node joins.
    Replaced,
    /// A proposal of a member, of the last node that forwarded it.
    Proposed {
        /// Cause that the proposal states.
        cause: RemovalCause,
        /// Name of the node from which the proposal was received.
        from: NodeName,
    },
}

impl fmt::Display for RemovalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Replaced => formatter.write_str("replaced"),
            Self::Proposed { cause, from } => write!(formatter, "{cause}, from {from}"),
        }
    }
}

/// Removal of a member in a planned change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRemoval {
    /// Member to remove.
    pub member: MemberIncarnation,
    /// Reason of the removal.
    pub reason: RemovalReason,
}

impl fmt::Display for PlannedRemoval {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({})", self.member, self.reason)
    }
}

/// Change of the view that a store reader writes; the write may fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewWrite {
    /// Version that results from the change.
    pub version: ViewVersion,
    /// Members to add.
    pub added: Vec<MemberIncarnation>,
    /// Members to remove.
    pub removed: Vec<PlannedRemoval>,
}

/// Removal of one incarnation that a node requests, or a request for one that was ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovalRecord {
    /// Name of the node to remove.
    pub node: NodeName,
    /// Incarnation that the request names.
    pub incarnation: Incarnation,
    /// Cause that the request states.
    pub cause: RemovalCause,
    /// Incarnation in the view of this node; `None` if the node is no member.
    pub in_view: Option<Incarnation>,
}
