//! Identifiers. They are valid within one process only, unless stated otherwise.

use bitcode::{Decode, Encode};

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies a link to or from another node; [`LinkId::LOCAL`] denotes the node itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// Connects the node's own outbound side to its inbound side, without a link.
    pub const LOCAL: Self = Self(0);
}

/// Sequence number of a request on its link, chosen by the sender and used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Sequence(pub u64);

/// Identifies a request that was sent to the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Identifies a probe of the back end's health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// Identifies a heartbeat or leave announcement of a back end that waits for its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnnouncementId(pub u64);

/// Position of a request on its connection, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PipelineIndex(pub u64);
