//! Membership: agreed views, heartbeats, failure detection and the right to serve and vote.

use std::net::SocketAddr;
use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::action::Outbox;
use crate::id::{Incarnation, NodeId, NodeName, PolicyVersion};
use crate::node::NodeSettings;
use crate::operator::MemberStatus;
use crate::store::{Machine, StoreReply, StoreRequestId};
use crate::time::{Instant, Now, WallTime};
use crate::view::View;

/// Messages about membership. (To be filled by the membership protocol.)
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum MembershipMessage {
    /// Placeholder until the protocol stands.
    Nothing,
}

/// A view together with the moment since when this node treats it as agreed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActivatedView {
    /// The view.
    pub view: Arc<View>,
    /// When a majority had confirmed it for longer than the vote lease, by this host's wall clock.
    pub activated_at: WallTime,
}

/// Members that are not known to have confirmed a policy version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unconfirmed {
    /// Number of such members.
    pub missing: u32,
    /// Names of some of them, at most [`crate::operator::MAX_NAMED_NODES`].
    pub nodes: Vec<NodeName>,
}

/// Membership at one node. (A fixed view from the settings yet.)
#[derive(Debug)]
pub struct Membership {
    view: Arc<View>,
    history: Vec<ActivatedView>,
    policy: PolicyVersion,
}

impl Membership {
    /// Creates the membership of a fresh node.
    pub fn new(_now: Now, settings: &NodeSettings) -> Self {
        let view = Arc::new(settings.initial_view.clone().unwrap_or_default());
        Self {
            history: vec![ActivatedView {
                view: Arc::clone(&view),
                activated_at: WallTime::default(),
            }],
            policy: PolicyVersion::default(),
            view,
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

    /// Returns whether this node may vote on claims: a majority of the members of its view is
    /// known, by evidence no older than the vote lease, to have confirmed no later view.
    pub fn may_vote(&self, _now: Now) -> bool {
        true
    }

    /// Returns the activated views of the longest key life, the latest last.
    ///
    /// A member of the latest that was also in the one before votes without pause; a newcomer to
    /// a replica group must not vote on keys made before its view was activated.
    pub fn view_history(&self) -> &[ActivatedView] {
        &self.history
    }

    /// Returns whether a member was heard from lately, directly or by way of a relay.
    pub fn is_reachable(&self, node: NodeId) -> bool {
        self.view.member(node).is_some()
    }

    /// Tells which policy version is in force at this node; it is confirmed to others.
    pub fn set_policy_version(&mut self, version: PolicyVersion) {
        self.policy = self.policy.max(version);
    }

    /// Returns the highest policy version that was heard of and a node that has it.
    pub fn best_known_policy(&self) -> Option<(PolicyVersion, NodeId)> {
        None
    }

    /// Returns the members that are not known, by fresh evidence, to have confirmed `version`
    /// or a later one in their current run.
    pub fn unconfirmed(&self, _version: PolicyVersion) -> Unconfirmed {
        Unconfirmed::default()
    }

    /// Returns the nodes to which this node passes news on, such as a new policy.
    ///
    /// Relays pass news to the relays of other zones and to the members of their own; all
    /// others pass them to the relays of their own zone.
    pub fn spread_targets(&self) -> Vec<NodeId> {
        Vec::new()
    }

    /// Returns whether this node is one of the few of its region that watch the store.
    pub fn is_store_reader(&self) -> bool {
        false
    }

    /// Returns the status of every member as this node sees it.
    pub fn member_status(&self) -> Vec<MemberStatus> {
        self.view
            .members
            .iter()
            .map(|member| MemberStatus {
                node: member.name.clone(),
                zone: member.zone.clone(),
                reachable: true,
                policy: self.policy,
            })
            .collect()
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

    /// Handles a reply of the store (identifiers with the top bit clear are membership's, those
    /// with the top bit set configuration's); returns whether the request was one of membership's.
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
