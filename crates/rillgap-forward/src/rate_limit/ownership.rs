//! Which node owns the bucket of a tenant.
//!
//! Rendezvous hashing over the names of all nodes gives every tenant an order of nodes that all agree
//! on without talking. The first of them that is available owns the bucket. A node that is asked gives
//! tokens only if it is the first in its *own* view: two nodes that hear of each other never both
//! own a bucket. A node offers to own buckets only while it hears of most of its peers, so
//! one that is cut off stops before its successor, which has lost it, begins.

use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::PeerIndex;
use crate::id::LinkId;

/// Identifies a tenant in the order of its possible owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantHash(u64);

impl TenantHash {
    /// Returns the hash of a tenant's name.
    pub fn of(tenant: &str) -> Self {
        Self(xxh3_64(tenant.as_bytes()))
    }

    /// Returns the place of a node, by the hash of its name, among the possible owners: the highest
    /// comes first.
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

/// The owner of a tenant's bucket, as one node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The node itself.
    Local {
        /// Since when it has been the first that is available.
        since: Instant,
    },
    /// A peer with an open link.
    Peer(PeerIndex, LinkId),
    /// A peer to which a link is being opened.
    Unlinked(PeerIndex),
    /// Nobody: the node hears of no peer that could be, and is cut off itself.
    Unavailable,
}
