//! Requests of operators and their replies, independent of the RPC library.

use crate::code::ResultCode;
use crate::id::{BackEndName, ChangeId, NodeName, PolicyVersion, ViewVersion, ZoneName};
use crate::policy::{BackEndState, Policy};

/// Identifies one operator request at this node, drawn by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorRequestId(pub u64);

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Returns the policy in force at this node.
    GetPolicy,
    /// Replaces the policy if its version is still the expected one.
    ApplyPolicy {
        /// New policy; its version is set by the system.
        policy: Policy,
        /// Version that must still be in force; `None` for whichever is.
        expected: Option<PolicyVersion>,
        /// Identifies the change, so that a repeat of the call does not apply it twice.
        change: ChangeId,
    },
    /// Moves a back end into or out of service.
    SetBackEndState {
        /// Back end to change.
        back_end: BackEndName,
        /// New state.
        state: BackEndState,
        /// Identifies the change.
        change: ChangeId,
    },
    /// Tells how far a change has spread.
    GetChange {
        /// Change to report on.
        change: ChangeId,
    },
    /// Tells members, versions and load as this node sees them.
    GetStatus,
    /// Stops this node as planned, cutting nothing in flight.
    StopNode,
}

/// How far a change of policy has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeState {
    /// In force on every machine of the view.
    Accepted,
    /// Stored, not yet confirmed by these machines (at most [`MAX_NAMED_NODES`] are named).
    Pending {
        /// Number of machines that have not confirmed.
        missing: u32,
        /// Names of some of them.
        nodes: Vec<NodeName>,
    },
}

/// Most nodes that a reply names.
pub const MAX_NAMED_NODES: usize = 32;

/// Status of one member as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is heard from.
    pub reachable: bool,
    /// Policy version that it last confirmed.
    pub policy: PolicyVersion,
}

/// A reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The policy in force.
    Policy(Policy),
    /// A change with its version and state.
    Change {
        /// Version that the change made.
        version: PolicyVersion,
        /// How far it has come.
        state: ChangeState,
    },
    /// Status of the deployment.
    Status {
        /// Policy version in force here.
        policy: PolicyVersion,
        /// Membership view in force here.
        view: ViewVersion,
        /// Whether this node serves requests.
        serving: bool,
        /// Members of the view.
        members: Vec<MemberStatus>,
    },
    /// The node is stopping.
    Stopping,
    /// The request failed.
    Failed {
        /// Numbered reason.
        code: ResultCode,
        /// Version in force, for conflicts.
        version: PolicyVersion,
        /// What exactly is wrong, for people.
        detail: String,
    },
}
