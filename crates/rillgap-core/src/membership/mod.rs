//! Membership: agreed views, heartbeats, failure detection and the right to serve and vote.

use std::net::SocketAddr;
use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::action::Outbox;
use crate::id::{Incarnation, NodeId};
use crate::node::NodeSettings;
use crate::store::{Machine, StoreReply, StoreRequestId};
use crate::time::{Instant, Now};
use crate::view::View;

/// Messages about membership. (To be filled by the membership protocol.)
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum MembershipMessage {
    /// Placeholder until the protocol stands.
    Nothing,
}

/// Membership at one node. (A fixed view from the settings yet.)
#[derive(Debug)]
pub struct Membership {
    view: Arc<View>,
}

impl Membership {
    /// Creates the membership of a fresh node.
    pub fn new(_now: Now, settings: &NodeSettings) -> Self {
        Self {
            view: Arc::new(settings.initial_view.clone().unwrap_or_default()),
        }
    }

    /// Returns the view in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the mesh address of a member.
    pub fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.view.member(node).map(|member| member.mesh_address)
    }

    /// Returns whether this node may serve requests: a member, in touch, not just thawed.
    pub fn may_serve(&self, _now: Now) -> bool {
        true
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        _now: Now,
        _from: NodeId,
        _incarnation: Incarnation,
        _message: MembershipMessage,
        _out: &mut Outbox,
    ) {
    }

    /// Handles a reply of the store; returns whether the request was one of membership's.
    pub fn on_store(
        &mut self,
        _now: Now,
        _request: StoreRequestId,
        _reply: &StoreReply,
        _out: &mut Outbox,
    ) -> bool {
        false
    }

    /// Returns what the platform's machine list last said.
    pub fn machines(&self) -> &[Machine] {
        &[]
    }

    /// Does what is due: heartbeats, suspicion, proposals of views.
    pub fn poll(&mut self, _now: Now, _out: &mut Outbox) {}

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        None
    }

    /// Begins to leave the view; [`Self::has_left`] tells when it is done.
    pub fn leave(&mut self, _now: Now, _out: &mut Outbox) {}

    /// Returns whether this node has left the view.
    pub fn has_left(&self) -> bool {
        true
    }
}
