//! Routing: selects the back end of a service for each call.
//!
//! [`Router`] compares two back ends drawn at random by their load (power of two choices),
//! prefers its own zone while that has capacity, ejects back ends with repeated failures, and
//! gives new and recovered ones a slow start. `docs/design/routing.md` compares the alternatives.

mod health;
mod router;
mod target_state;

pub use router::Router;

use std::net::SocketAddr;

use crate::id::{BackEndName, Incarnation, NodeId, ZoneName};
use crate::policy::IndexedPolicy;
use crate::view::View;

/// A back end together with the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Node beside the back end.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Mesh address of that node.
    pub address: SocketAddr,
    /// Name of the back end.
    pub back_end: BackEndName,
}

/// Result of a call to a target, as it is used by routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetResult {
    /// Answered completely.
    Answered,
    /// Refused before it ran.
    Refused,
    /// Failed, lost or past its deadline.
    Failed,
    /// The node beside the back end could not reach it; nothing ran.
    Unreachable,
}

/// Inputs of a selection: a candidate is a back end of the policy whose node is in the view.
#[derive(Clone, Copy, Debug)]
pub struct Candidates<'a> {
    /// Policy in force.
    pub policy: &'a IndexedPolicy,
    /// View in force.
    pub view: &'a View,
    /// Zone of this node.
    pub zone: &'a ZoneName,
}
