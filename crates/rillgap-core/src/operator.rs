//! Requests of operators and their replies, independent of the RPC library.

use crate::code::ResultCode;
use crate::id::{BackEndName, ChangeId, NodeName, PolicyVersion, ViewVersion, ZoneName};
use crate::policy::{BackEndState, Policy};

/// Identifier of an operator request at this node, assigned by the driver.
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
        /// Version that must still be in force; `None` accepts any.
        expected: Option<PolicyVersion>,
        /// Identifier of the change, so that a retry of the request does not apply it twice.
        change: ChangeId,
    },
    /// Puts a back end into service or takes it out of service.
    SetBackEndState {
        /// Back end to change.
        back_end: BackEndName,
        /// New state.
        state: BackEndState,
        /// Identifier of the change.
        change: ChangeId,
    },
    /// Returns the progress of the distribution of a change.
    GetChange {
        /// Change to report on.
        change: ChangeId,
    },
    /// Returns the versions and members that this node has recorded.
    GetStatus,
    /// Stops this node after the requests in flight are finished.
    StopNode,
}

/// Progress of a change of the policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeState {
    /// In force on all nodes of the view.
    Accepted,
    /// Stored, but not yet confirmed by all nodes.
    Pending {
        /// Number of nodes that have not confirmed the change.
        missing: u32,
        /// Names of these nodes, at most [`MAX_NAMED_NODES`].
        nodes: Vec<NodeName>,
    },
}

/// Maximum number of nodes that a reply names.
pub const MAX_NAMED_NODES: usize = 32;

/// Status of one member, as recorded by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Whether the member counts as reachable: neither it nor its zone is suspected to have failed.
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
        /// Progress of the change.
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
        /// Result code.
        code: ResultCode,
        /// Version in force, for conflicts.
        version: PolicyVersion,
        /// Description of the failure for operators.
        detail: String,
    },
}
