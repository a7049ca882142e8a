//! Membership: agreed views, heartbeats, failure detection and the right to serve and vote.
//!
//! There is no coordinator. The view is one object in the platform's store, changed by
//! compare-and-set. The first two live members of each zone, in an order derived from the view, are
//! its relays: they receive the heartbeats of the zone's members. Two members of each region,
//! selected in the same way, collect the digests of its zones, exchange them with other regions,
//! and read and write the store. See `docs/design/membership.md`.

mod agreement;
mod change;
mod contact;
mod detector;
mod digest;
mod exchange;
mod heartbeat;
mod history;
mod joining;
mod leaving;
mod message;
mod probe;
mod proposal;
mod protocol;
mod record;
mod relay;
mod report;
mod store_client;
mod storing;
pub mod timing;
mod topology;
mod views;

use std::net::SocketAddr;
use std::sync::Arc;

use crate::action::Outbox;
use crate::id::{Incarnation, NodeId, NodeName, PolicyVersion};
use crate::node::NodeSettings;
use crate::operator::MemberStatus;
use crate::store::{Machine, StoreReply, StoreRequestId};
use crate::time::{Instant, Now};
use crate::view::View;

pub use change::{Removal, StoredView, ViewChange};
pub use history::{ActivatedView, NOT_ACTIVATED};
pub use message::{
    Acknowledgement, Echo, Exchange, Heartbeat, Lease, MembershipMessage, Proposal, RemovalCause,
    RemovalRequest, Status, VersionCount, ZoneDigest,
};
pub use record::{
    MemberIncarnation, PlannedRemoval, RemovalReason, RemovalRecord, ViewTransition, ViewWrite,
};
pub use store_client::VIEW_KEY;
pub use topology::ZoneId;

use history::ViewHistory;
use protocol::Protocol;

/// Members that are not known to have confirmed a policy version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unconfirmed {
    /// Number of members that have not confirmed the version.
    pub missing: u32,
    /// Names of some of these members, at most [`crate::operator::MAX_NAMED_NODES`].
    pub nodes: Vec<NodeName>,
}

/// State of a node whose view comes from the settings and never changes.
#[derive(Debug)]
struct FixedView {
    view: Arc<View>,
    history: ViewHistory,
    policy: PolicyVersion,
}

#[derive(Debug)]
enum Mode {
    Fixed(FixedView),
    Active(Box<Protocol>),
}

/// Membership at one node.
#[derive(Debug)]
pub struct Membership {
    mode: Mode,
}

impl Membership {
    /// Creates the membership of a starting node.
    ///
    /// If the settings contain a view and no seeds, that view never changes.
    pub fn new(now: Now, settings: &NodeSettings) -> Self {
        let fixed = settings
            .initial_view
            .clone()
            .filter(|_| settings.seeds.is_empty());
        let mode = match fixed {
            Some(view) => {
                let view = Arc::new(view);
                Mode::Fixed(FixedView {
                    history: ViewHistory::fixed(Arc::clone(&view)),
                    policy: PolicyVersion::default(),
                    view,
                })
            }
            None => Mode::Active(Box::new(Protocol::new(now, settings))),
        };
        Self { mode }
    }

    /// Returns the view in force.
    pub fn view(&self) -> &Arc<View> {
        match &self.mode {
            Mode::Fixed(fixed) => &fixed.view,
            Mode::Active(protocol) => &protocol.view,
        }
    }

    /// Returns the mesh address of a member.
    pub fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.view().member(node).map(|member| member.mesh_address)
    }

    /// Returns the mesh address for messages about requests in flight, from the latest view that
    /// contains the node.
    ///
    /// A node may be outside the view for a short time while its requests go on. If messages to it
    /// were dropped then, it would wait for the rest of its answers until they time out. The loss
    /// of a link, in contrast, ends the requests at both ends.
    pub fn answer_address(&self, node: NodeId) -> Option<SocketAddr> {
        let views = self.view_history().iter().rev();
        let mut members = views.filter_map(|known| known.view.member(node));
        let earlier = members.next().map(|member| member.mesh_address);
        self.address(node).or(earlier)
    }

    /// Returns whether this node may serve requests: it is a member that is not leaving, has a
    /// recent contact with its zone, and has been polled recently, which rules out a process pause.
    pub fn may_serve(&self, now: Now) -> bool {
        match &self.mode {
            Mode::Fixed(_) => true,
            Mode::Active(protocol) => protocol.may_serve(now),
        }
    }

    /// Returns whether this node may accept keyed requests and request claims for them: like
    /// [`Self::may_serve`], but also while it waits to leave. Once it has requested its removal, it
    /// may be outside the view without knowing it, and a new policy is not delayed for it any more.
    pub fn may_claim(&self, now: Now) -> bool {
        match &self.mode {
            Mode::Fixed(_) => true,
            Mode::Active(protocol) => protocol.may_claim(now),
        }
    }

    /// Returns whether this node may vote on claims: by evidence no older than the vote lease, a
    /// majority of the members of its view has confirmed no later view.
    pub fn may_vote(&self, now: Now) -> bool {
        match &self.mode {
            Mode::Fixed(_) => true,
            Mode::Active(protocol) => protocol.may_vote(now),
        }
    }

    /// Returns the views within the longest lifetime of a key, the latest last. Views that are not
    /// activated yet have the time [`NOT_ACTIVATED`].
    ///
    /// Once any node treats a view as activated, no node votes under an earlier one. A replica may
    /// vote only if it belongs to the replica group of the key in [`Self::view`] and in all views
    /// back to the one that was activated when the key was first used.
    pub fn view_history(&self) -> &[ActivatedView] {
        match &self.mode {
            Mode::Fixed(fixed) => fixed.history.views(),
            Mode::Active(protocol) => protocol.history.views(),
        }
    }

    /// Returns whether a member counts as reachable, by the status of a relay.
    pub fn is_reachable(&self, node: NodeId) -> bool {
        match &self.mode {
            Mode::Fixed(fixed) => fixed.view.member(node).is_some(),
            Mode::Active(protocol) => protocol.is_reachable(node),
        }
    }

    /// Records the policy version in force at this node, which the node confirms to others. Earlier
    /// versions than the recorded one are ignored.
    pub fn set_policy_version(&mut self, version: PolicyVersion) {
        let policy = match &mut self.mode {
            Mode::Fixed(fixed) => &mut fixed.policy,
            Mode::Active(protocol) => &mut protocol.policy,
        };
        *policy = version.max(*policy);
    }

    /// Returns the highest known policy version and a node that has it.
    pub fn best_known_policy(&self) -> Option<(PolicyVersion, NodeId)> {
        match &self.mode {
            Mode::Fixed(_) => None,
            Mode::Active(protocol) => protocol.best_known_policy(),
        }
    }

    /// Returns the members that are not known, by recent evidence, to have confirmed `version` or a
    /// later one in their current incarnation.
    pub fn unconfirmed(&self, version: PolicyVersion) -> Unconfirmed {
        match &self.mode {
            Mode::Fixed(_) => Unconfirmed::default(),
            Mode::Active(protocol) => protocol.unconfirmed(version),
        }
    }

    /// Returns the nodes to which this node forwards updates, for example a new policy.
    ///
    /// Region relays forward to the relays of their zones and to other regions, zone relays to the
    /// members of the zone and to the region relays, all other members to the zone relays.
    pub fn spread_targets(&self) -> Vec<NodeId> {
        match &self.mode {
            Mode::Fixed(_) => Vec::new(),
            Mode::Active(protocol) => protocol.spread_targets(),
        }
    }

    /// Returns whether this node is a region relay, which watches the store for its region.
    pub fn is_store_reader(&self) -> bool {
        match &self.mode {
            Mode::Fixed(_) => false,
            Mode::Active(protocol) => protocol.roles.region_relay,
        }
    }

    /// Returns whether this node is one of the relays of its zone.
    pub fn is_relay(&self) -> bool {
        match &self.mode {
            Mode::Fixed(_) => false,
            Mode::Active(protocol) => protocol.roles.relay,
        }
    }

    /// Returns the status of every member as known to this node.
    pub fn member_status(&self) -> Vec<MemberStatus> {
        match &self.mode {
            Mode::Fixed(fixed) => fixed.member_status(),
            Mode::Active(protocol) => protocol.member_status(),
        }
    }

    /// Handles a membership message of a peer.
    pub fn on_message(
        &mut self,
        now: Now,
        from: NodeId,
        incarnation: Incarnation,
        message: MembershipMessage,
        out: &mut Outbox,
    ) {
        if let Mode::Active(protocol) = &mut self.mode {
            protocol.on_message(now, from, incarnation, message, out);
        }
    }

    /// Handles a reply of the store and returns whether its request belongs to membership.
    /// Identifiers of membership have the top bit clear, those of configuration have it set.
    pub fn on_store(
        &mut self,
        now: Now,
        request: StoreRequestId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        match &mut self.mode {
            Mode::Fixed(_) => false,
            Mode::Active(protocol) => protocol.on_store(now, request, reply, out),
        }
    }

    /// Returns the last known machine list of the platform: the whole list at a store reader, only
    /// the machines that are leaving at other nodes.
    pub fn machines(&self) -> &[Machine] {
        match &self.mode {
            Mode::Fixed(_) => &[],
            Mode::Active(protocol) => &protocol.store.machines,
        }
    }

    /// Performs the work that is due: heartbeats, exchanges, failure detection, store requests.
    pub fn poll(&mut self, now: Now, out: &mut Outbox) {
        if let Mode::Active(protocol) = &mut self.mode {
            protocol.poll(now, out);
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        match &self.mode {
            Mode::Fixed(_) => None,
            Mode::Active(protocol) => Some(protocol.next_tick),
        }
    }

    /// Starts to leave the view; [`Self::has_left`] returns whether that is done.
    pub fn leave(&mut self, now: Now, _out: &mut Outbox) {
        if let Mode::Active(protocol) = &mut self.mode {
            protocol.leave(now.instant);
        }
    }

    /// Returns whether this node has left the view or the attempt has timed out.
    pub fn has_left(&self) -> bool {
        match &self.mode {
            Mode::Fixed(_) => true,
            Mode::Active(protocol) => protocol.has_left(),
        }
    }
}

impl FixedView {
    fn member_status(&self) -> Vec<MemberStatus> {
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
}
