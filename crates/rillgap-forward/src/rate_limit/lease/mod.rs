//! Leases on the token buckets of tenants: an owner gives out tokens only while it holds one.
//!
//! Without leases the owner that is cut off and its successor would both give out the full rate
//! until the first has noticed. The order of nodes (see [`ownership`](super::ownership)) says who should own a
//! bucket; a lease makes sure that nobody else gives out its tokens. It consists of votes of more than half of the
//! bucket's *electorate*, the first nodes of its order. A vote says two things: that the voter has given none
//! to the nodes that precede the candidate and are lost to it, and that it gives them none while it is in force.
//!
//! - The candidate counts a vote for [`LEASE_LIFETIME`] from the *sending* of its request; the voter
//!   keeps to it for [`VOTE_LIFETIME`] from the *arrival*. So a lease ends at its holder before any of its voters
//!   is free again, however long messages take, and without a common clock.
//! - Two majorities of an electorate share a voter. So two nodes never hold leases on a bucket at the same time,
//!   also if each of them is in contact with most nodes and only they have lost each other.
//! - A candidate that does not get the answers of a voter loses its vote: it can be heard, but hears nobody.
//! - A voter that has started again does not know its earlier votes, so its vote does not count until they
//!   have ended. It does count if the whole electorate has voted and nobody in it holds the lease: a lease that an
//!   earlier vote is for would be held by one of them. So a deployment that restarts as a whole does not wait.
//! - A process that has ended counts as a voter for everybody once its votes have ended.

mod holder;
mod voter;

use std::time::Duration;

use bitcode::{Decode, Encode};

use super::ownership::TenantHash;

pub use holder::{LeaseChange, LeaseHolder, LostNode, VoteStanding, VoterId, VoterProcess};
pub use voter::LeaseVoter;

/// Time for which a candidate counts a vote, from the sending of the request for it. Longer than a few
/// requests, so that a lost one does not end a lease; tokens are refused for so long after the owner was lost.
pub const LEASE_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time for which a voter keeps to its vote, from the arrival of the request. Longer than
/// [`LEASE_LIFETIME`], for clocks that run at different speeds.
pub const VOTE_LIFETIME: Duration = Duration::from_millis(1_600);
/// Maximum number of nodes that vote on one bucket: bounds the messages of its owner in a large
/// deployment. Half of them can be lost.
pub const MAX_ELECTORATE: usize = 25;

/// Request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VoteRequest {
    /// Number of the request; each one of a process is higher than those before.
    pub number: u64,
    /// Number of the latest request that the receiver has answered and whose answer has arrived; 0
    /// before the first.
    pub answered: u64,
    /// Whether the sender wants to own buckets. Otherwise it gives its vote back.
    pub is_candidate: bool,
    /// Name hashes of the nodes that precede the sender in the order of a bucket and are lost to it.
    pub lost: Vec<u64>,
    /// Tenants whose buckets the sender wants to own and does not hold the lease on.
    pub wanted: Vec<TenantHash>,
}

/// Answer to a request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Vote {
    /// Number of the request.
    pub number: u64,
    /// Whether the sender may own buckets: none of its successors counts on a vote that says that it is lost.
    pub is_granted: bool,
    /// Whether votes of an earlier process of the voter may be in force, which it does not know.
    pub is_abstaining: bool,
    /// Those of the wanted tenants on whose buckets the voter itself holds the lease.
    pub held: Vec<TenantHash>,
    /// Those of the lost nodes that may own buckets all the same.
    pub not_lost: Vec<u64>,
    /// Time for which no vote was in force that says that the candidate is lost, in milliseconds.
    pub uncontested_millis: u32,
}
