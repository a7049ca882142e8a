//! Identifiers of nodes, services, calls, attempts and idempotency keys.

use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::time::WallTime;

/// Identifies a node by the 64-bit hash of its configured name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Derives the identifier from the node's configured name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Identifies one process lifetime of a node; chosen anew at every start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Incarnation(pub u64);

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Creates a name from any string.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a service, such as `takst`.
    ServiceName
);
name_type!(
    /// Name of one back end of a service, such as `takst-1`.
    BackEndName
);
name_type!(
    /// Name of a failure zone, such as `hall-a`.
    ZoneName
);
name_type!(
    /// Name of a region, which holds one or more zones.
    RegionName
);
name_type!(
    /// Configured name of a node, such as `node-takst-1`.
    NodeName
);

impl NodeName {
    /// Returns the identifier derived from this name.
    pub fn id(&self) -> NodeId {
        NodeId::from_name(&self.0)
    }
}

/// Identifies one call on one hop; unique across all nodes and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CallId {
    /// Node that received the call from its caller.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Sequence number of the call in that incarnation.
    pub sequence: u64,
}

/// Identifies one attempt of a call at one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct AttemptId {
    /// Call that the attempt belongs to.
    pub call: CallId,
    /// Number of the attempt, 0 for the first.
    pub number: u16,
}

/// Identifies the root request of a chain of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RootId(pub u128);

/// Opaque token that a back end sends with its own calls; it identifies the inbound call that they
/// are made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CallToken(pub u128);

/// Idempotency key of a caller: a UUID of version 7, whose first 48 bits are its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct IdempotencyKey(pub u128);

impl IdempotencyKey {
    /// Returns the time at which the caller created the key (RFC 9562, section 5.7).
    pub const fn created_at(self) -> WallTime {
        WallTime::from_millis((self.0 >> 80) as u64)
    }
}

/// Digest of the content of a request (see [`fingerprint`](crate::fingerprint)).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Version of the policy; increases by one with every accepted change.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Encode,
    Decode,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct PolicyVersion(pub u64);

/// Version of the membership view; increases by one with every change of members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ViewVersion(pub u64);

/// Identifies one change of the policy. The operator's client chooses it, so that a change whose
/// answer was lost can be sent again without being applied twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ChangeId(pub u128);
