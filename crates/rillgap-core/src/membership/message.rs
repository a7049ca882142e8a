//! Messages of the membership protocol.

use bitcode::{Decode, Encode};

use crate::id::{NodeId, PolicyVersion, ViewVersion};
use crate::view::Member;

use super::change::{Removal, StoredView, ViewChange};
use super::topology::ZoneId;

/// Proves that the sender received a certain message of the receiver, and how long ago.
///
/// The receiver dates it by its own clock; no two clocks are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Echo {
    /// Number of the receiver's message.
    pub probe: u32,
    /// Microseconds from its receipt to the sending of this one.
    pub held_micros: u32,
}

/// A member's sign of life to a relay of its zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Number of this message.
    pub probe: u32,
    /// Last acknowledgement of the receiver.
    pub echo: Option<Echo>,
    /// View in force at the sender.
    pub view: ViewVersion,
    /// Policy in force at the sender.
    pub policy: PolicyVersion,
    /// Digest of the last status that the receiver sent.
    pub status_digest: u32,
}

/// A relay's reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Acknowledgement {
    /// Number of this message.
    pub probe: u32,
    /// The heartbeat.
    pub echo: Echo,
    /// What the receiver may base its votes on.
    pub lease: Option<Lease>,
    /// Status, if it is not the one that the receiver has.
    pub status: Option<Box<Status>>,
}

/// Evidence that a majority of a view's members had confirmed no later view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Lease {
    /// The view.
    pub view: ViewVersion,
    /// Age of the evidence at the time of sending, in milliseconds, rounded up.
    pub age_millis: u16,
}

/// What a relay knows of the deployment, sent to members when it changes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Status {
    /// View in force at the relay.
    pub view: ViewVersion,
    /// Latest view that joint majorities have confirmed.
    pub agreed: ViewVersion,
    /// Highest policy version heard of.
    pub policy: PolicyVersion,
    /// A node that has this version.
    pub holder: NodeId,
    /// Members not known to have confirmed this version.
    pub unconfirmed: u32,
    /// Some of them.
    pub lagging: Vec<NodeId>,
    /// Some of the members that miss heartbeats.
    pub suspects: Vec<NodeId>,
    /// Zones of which nothing is heard.
    pub silent_zones: Vec<ZoneId>,
    /// Members that the machine list marks as leaving.
    pub leaving: Vec<NodeId>,
}

/// Number of members at one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionCount {
    /// The version, of the view or of the policy.
    pub version: u64,
    /// Number of members that have confirmed it.
    pub members: u16,
}

/// What a relay hears of the members of its zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneId,
    /// Position of the relay in the zone's order, which tells digests of two relays apart.
    pub rank: u16,
    /// View whose members are counted.
    pub view: ViewVersion,
    /// Age of the oldest heartbeat that is counted, in milliseconds, rounded up.
    pub age_millis: u16,
    /// Counts by confirmed view.
    pub views: Vec<VersionCount>,
    /// Counts by confirmed policy.
    pub policies: Vec<VersionCount>,
    /// Some of the members that miss heartbeats.
    pub silent: Vec<NodeId>,
    /// Some of the members that are behind the highest policy version of the zone.
    pub lagging: Vec<NodeId>,
}

/// What two relays tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Exchange {
    /// Number of this message.
    pub probe: u32,
    /// Last exchange of the receiver.
    pub echo: Option<Echo>,
    /// Whether this is a mere reply, which is not replied to.
    pub is_reply: bool,
    /// View in force at the sender.
    pub view: ViewVersion,
    /// Latest view that joint majorities have confirmed, as the sender knows.
    pub agreed: ViewVersion,
    /// Policy in force at the sender.
    pub policy: PolicyVersion,
    /// Digests of the zones for which the sender speaks to the receiver.
    pub digests: Vec<ZoneDigest>,
    /// Members of the common zone that have been silent long enough to be removed.
    pub presumed_failed: Vec<NodeId>,
    /// Members that the machine list marks as leaving, if the sender reads it.
    pub leaving: Vec<NodeId>,
}

/// Why a member shall be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RemovalCause {
    /// It has stopped as planned.
    Left,
    /// The relays of its zone do not hear it.
    Silent,
    /// It has been silent for long; to be removed only if the machine list omits it.
    Unlisted,
}

/// A removal that a relay asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RemovalRequest {
    /// Who shall be removed.
    pub removal: Removal,
    /// Why.
    pub cause: RemovalCause,
}

/// Changes that a store reader is asked to write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Proposal {
    /// Nodes that want to join.
    pub joins: Vec<Member>,
    /// Members to be removed.
    pub removals: Vec<RemovalRequest>,
    /// How often it was handed on.
    pub hops: u8,
}

/// Messages about membership.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum MembershipMessage {
    /// Sign of life of a member.
    Heartbeat(Heartbeat),
    /// Reply to a heartbeat.
    Acknowledgement(Box<Acknowledgement>),
    /// Digests between relays.
    Exchange(Box<Exchange>),
    /// Asks for whatever is newer than this view.
    ViewRequest {
        /// View in force at the sender.
        known: ViewVersion,
    },
    /// Successive changes of the view.
    Changes(Vec<ViewChange>),
    /// A whole view, where changes do not suffice.
    FullView(Box<StoredView>),
    /// A fresh node asks to be added.
    Join {
        /// The node.
        member: Member,
        /// View that it knows, or zero.
        known: ViewVersion,
    },
    /// Reply of a node that is itself still joining: the sender of the join is not alone.
    AlsoJoining {
        /// Whether the node will turn to the store itself.
        accesses_store: bool,
    },
    /// Changes for a store reader to write.
    Propose(Proposal),
}
