//! Determines which node owns the token bucket of a tenant.
//!
//! Rendezvous hashing over the names of all nodes gives every tenant an order of nodes, on which
//! all nodes agree without communication. The first available node in this order owns the bucket. A
//! node that receives a query grants tokens only if it is the first one in its *own* view and holds
//! the lease on the bucket (see [`lease`](super::lease)), so that two nodes whose views differ never both grant.

use bitcode::{Decode, Encode};
use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::PeerIndex;
use crate::id::LinkId;

/// Hash of a tenant's name, which determines the order of the possible owners of its bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct TenantHash(u64);

impl TenantHash {
    /// Returns the hash of a tenant's name.
    pub fn of(tenant: &str) -> Self {
        Self(xxh3_64(tenant.as_bytes()))
    }

    /// Returns the score of a node, given the hash of its name, as a possible owner: the node with
    /// the highest score comes first.
    pub const fn owner_score(self, node: u64) -> u64 {
        // The finalizer of MurmurHash3 (Appleby, public domain): every bit depends on every other.
        let mut bits = self.0 ^ node;
        bits ^= bits >> 33;
        bits = bits.wrapping_mul(0xff51_afd7_ed55_8ccd);
        bits ^= bits >> 33;
        bits = bits.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        bits ^ (bits >> 33)
    }
}

/// The owner of a tenant's bucket in the view of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Local {
        /// Since when this node has been the first available one.
        since: Instant,
    },
    /// This node, which does not hold the lease yet.
    Unconfirmed,
    /// A peer with an open link.
    Peer(PeerIndex, LinkId),
    /// A peer to which a link is being opened.
    Unlinked(PeerIndex),
    /// No owner: this node has no contact with any possible owner and is partitioned itself.
    Unavailable,
}
