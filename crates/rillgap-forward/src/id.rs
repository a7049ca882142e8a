//! Identifiers that mean something within one process only, unless said otherwise.

use bitcode::{Decode, Encode};

/// A connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A link to or from another node; [`LinkId::LOCAL`] is the node's own way to its inbound side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// The node's own outbound side.
    pub const LOCAL: Self = Self(0);
}

/// A request's number on its link, chosen by the sender and used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Sequence(pub u64);

/// One request that was handed to the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// A look at the back end's health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// A heartbeat, or a word that a back end leaves, that waits for its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnnouncementId(pub u64);

/// Place of a request on its connection: the first is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PipelineIndex(pub u64);
