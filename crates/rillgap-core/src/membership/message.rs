//! Messages of the membership protocol.

use std::fmt;

use bitcode::{Decode, Encode};

use crate::id::{NodeId, PolicyVersion, ViewVersion};
use crate::view::Member;

use super::change::{Removal, StoredView, ViewChange};
use super::topology::ZoneId;

/// Acknowledges a message of the receiver and states how long the sender has held it.
///
/// The receiver dates the echo by its own clock, so the clocks of two hosts are never compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Echo {
    /// Probe number of the receiver's message.
    pub probe: u32,
    /// Microseconds between the receipt of that message and the sending of this one.
    pub held_micros: u32,
}

/// Heartbeat of a member to a relay of its zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Number of this message.
    pub probe: u32,
    /// Echo of the last acknowledgement of the receiver; `None` if there was none.
    pub echo: Option<Echo>,
    /// View in force at the sender.
    pub view: ViewVersion,
    /// Policy in force at the sender.
    pub policy: PolicyVersion,
    /// Hash of the last status received from the receiver; 0 if there was none.
    pub status_digest: u32,
}

/// A relay's reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Acknowledgement {
    /// Number of this message.
    pub probe: u32,
    /// Echo of the heartbeat.
    pub echo: Echo,
    /// Evidence on which the receiver may vote; `None` if the relay has none.
    pub lease: Option<Lease>,
    /// Present status of the deployment; `None` if the heartbeat's `status_digest` matches it.
    pub status: Option<Box<Status>>,
}

/// Evidence that a majority of a view's members had confirmed no later view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Lease {
    /// View to which the evidence refers.
    pub view: ViewVersion,
    /// Age of the evidence at the time of sending, in milliseconds, rounded up; `u16::MAX` if
    /// unknown.
    pub age_millis: u16,
}

/// State of the deployment as known to a relay, sent to members when it changes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Status {
    /// View in force at the relay.
    pub view: ViewVersion,
    /// Latest view that joint majorities have confirmed.
    pub agreed: ViewVersion,
    /// Latest view that all members have confirmed.
    pub confirmed_by_all: ViewVersion,
    /// Highest known policy version.
    pub policy: PolicyVersion,
    /// Node that has this policy version.
    pub holder: NodeId,
    /// Number of members that are not known to have confirmed this policy version.
    pub unconfirmed: u32,
    /// Some of the members that are not known to have confirmed it.
    pub lagging: Vec<NodeId>,
    /// Some of the members whose heartbeats are missing.
    pub suspects: Vec<NodeId>,
    /// Zones of which no recent digest was received.
    pub silent_zones: Vec<ZoneId>,
    /// Members that the machine list marks as leaving.
    pub leaving: Vec<NodeId>,
}

/// Number of members that have confirmed one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionCount {
    /// Version of the view or of the policy.
    pub version: u64,
    /// Number of members that have confirmed it.
    pub members: u16,
}

/// Summary of the heartbeats that a relay has received from the members of its zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ZoneDigest {
    /// Zone of the relay.
    pub zone: ZoneId,
    /// Position of the relay in the zone's order; distinguishes the digests of the zone's relays.
    pub rank: u16,
    /// View whose members are counted.
    pub view: ViewVersion,
    /// Age of the oldest heartbeat counted in `views`, in milliseconds, rounded up; `u16::MAX` if
    /// unknown.
    pub age_millis: u16,
    /// Members by confirmed view; only recent heartbeats are counted.
    pub views: Vec<VersionCount>,
    /// Members by confirmed policy version.
    pub policies: Vec<VersionCount>,
    /// Some of the members whose heartbeats are missing.
    pub silent: Vec<NodeId>,
    /// Some of the members that have not confirmed the highest policy version in the zone.
    pub lagging: Vec<NodeId>,
}

/// Exchange of digests between two relays.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Exchange {
    /// Number of this message.
    pub probe: u32,
    /// Echo of the last exchange of the receiver; `None` if there was none.
    pub echo: Option<Echo>,
    /// Whether this is a reply; replies are not answered.
    pub is_reply: bool,
    /// View in force at the sender.
    pub view: ViewVersion,
    /// Latest view that joint majorities have confirmed, as known to the sender.
    pub agreed: ViewVersion,
    /// Latest view that all members have confirmed, as known to the sender.
    pub confirmed_by_all: ViewVersion,
    /// Policy in force at the sender.
    pub policy: PolicyVersion,
    /// Digests of the zones that the sender reports to the receiver.
    pub digests: Vec<ZoneDigest>,
    /// Members of the common zone that have been silent for the removal timeout; empty if the
    /// receiver is in another zone.
    pub presumed_failed: Vec<NodeId>,
    /// Some of the members that the machine list marks as leaving, as known to the sender.
    pub leaving: Vec<NodeId>,
}

/// Reason for the removal of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RemovalCause {
    /// Planned stop of the node, which no longer votes.
    Left {
        /// View from which the node may be removed; the request is void in any later one.
        view: ViewVersion,
    },
    /// The relays of the zone have received no heartbeat for the removal timeout.
    Silent,
    /// Silent for a long time; the member is removed only if the machine list omits it.
    Unlisted,
    /// Announces a planned stop: the node still votes, and asks for its removal once it is
    /// [permitted](MembershipMessage::MayLeave) to.
    Leaving {
        /// View from which the node wants to be removed.
        view: ViewVersion,
    },
}

impl fmt::Display for RemovalCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Left { .. } => "left",
            Self::Silent => "silent",
            Self::Unlisted => "unlisted",
            Self::Leaving { .. } => "leaving",
        })
    }
}

/// Request to remove a member, sent by the member itself or by a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RemovalRequest {
    /// Member to remove.
    pub removal: Removal,
    /// Reason for the removal.
    pub cause: RemovalCause,
}

/// Changes of the view for a store reader to write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Proposal {
    /// Nodes to add.
    pub joins: Vec<Member>,
    /// Members to remove.
    pub removals: Vec<RemovalRequest>,
    /// Number of times that the proposal was forwarded.
    pub hops: u8,
}

/// Message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum MembershipMessage {
    /// Heartbeat of a member to a relay.
    Heartbeat(Heartbeat),
    /// Reply of a relay to a heartbeat.
    Acknowledgement(Box<Acknowledgement>),
    /// Exchange of digests between relays.
    Exchange(Box<Exchange>),
    /// Request for the changes after a view.
    ViewRequest {
        /// View in force at the sender.
        known: ViewVersion,
    },
    /// Successive changes of the view.
    Changes(Vec<ViewChange>),
    /// A whole view, sent if the changes since the receiver's view are not available.
    FullView(Box<StoredView>),
    /// Request of a node to be added to the view.
    Join {
        /// Node to add.
        member: Member,
        /// Version of the view that the node has; 0 if it has none.
        known: ViewVersion,
    },
    /// Reply of a node that is not a member: it is joining, too.
    AlsoJoining {
        /// Whether the node will access the store itself, rather than wait for another node.
        accesses_store: bool,
    },
    /// Changes of the view for a store reader to write.
    Propose(Proposal),
    /// Permits a node to give up its vote and to ask for its removal.
    MayLeave {
        /// View from which it may be removed.
        view: ViewVersion,
    },
}
