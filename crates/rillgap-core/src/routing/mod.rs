//! Routing: which back end of a service gets a call.
//!
//! [`Router`] compares two back ends drawn at random by their load (power of two choices),
//! prefers its own zone while that has room, leaves out back ends that keep failing, and
//! brings returning ones back slowly. `docs/design/routing.md` weighs the ways.

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
    /// Run of that node.
    pub incarnation: Incarnation,
    /// Mesh address of that node.
    pub address: SocketAddr,
    /// The back end.
    pub back_end: BackEndName,
}

/// How a call to a target ended, as routing sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetResult {
    /// Answered whole.
    Answered,
    /// Refused before it ran.
    Refused,
    /// Failed, lost or too late.
    Failed,
    /// The node beside the back end could not reach it; nothing ran.
    Unreachable,
}

/// What routing may choose from.
#[derive(Clone, Copy, Debug)]
pub struct Candidates<'a> {
    /// Policy in force.
    pub policy: &'a IndexedPolicy,
    /// View in force.
    pub view: &'a View,
    /// Zone of this node.
    pub zone: &'a ZoneName,
}
