//! Leases that this node holds on buckets, and the votes that they rest on.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

use super::{LEASE_LIFETIME, Vote, VoteRequest};
use crate::directory::PeerIndex;
use crate::rate_limit::ownership::TenantHash;

/// Interval at which votes are requested again: several times in the life of a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which votes are requested while too few are in force.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a new link or offer to the next round of requests: several links that open at the same time
/// lead to one round.
const LINK_DELAY: Duration = Duration::from_millis(20);
/// Time without a lease after which queries are refused instead of left to be repeated: votes arrive
/// within a round trip if most voters can be reached and are free.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(300);
/// Time without any lease after which the node does not offer to own buckets any more: longer than an
/// owner that yields needs to return its votes.
const LOCKOUT_DELAY: Duration = Duration::from_millis(700);
/// Time without a query after which the lease on a bucket is not renewed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A node that votes, as the candidate identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VoterId {
    /// The candidate itself.
    Own,
    /// A peer.
    Peer(PeerIndex),
}

impl VoterId {
    /// Returns the peer; `None` for the candidate itself.
    pub const fn peer(self) -> Option<PeerIndex> {
        match self {
            Self::Own => None,
            Self::Peer(index) => Some(index),
        }
    }
}

/// A vote that is in force.
#[derive(Clone, Debug)]
struct HeldVote {
    requested_at: Instant,
    lost: Vec<u64>,
    /// Whether it only counts if the whole electorate has voted.
    is_abstaining: bool,
    /// Tenants on whose buckets the voter holds the lease.
    held: Vec<TenantHash>,
    /// Since when no successor of this node has counted on its loss, as far as the voter knows.
    uncontested_since: Instant,
}

/// A request whose answer is pending.
#[derive(Clone, Debug)]
struct PendingRequest {
    voter: VoterId,
    sent_at: Instant,
    lost: Vec<u64>,
}

/// Lease on one bucket.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Since when this node has been the only one that gives out tokens.
    since: Instant,
    /// Latest time at which the lease is known to have been in force.
    confirmed_at: Instant,
}

/// A node that precedes the candidate in the order of a bucket and is lost to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostNode {
    /// Hash of its name.
    pub name_hash: u64,
    /// Since when it is lost. Earlier votes say nothing about it.
    pub since: Instant,
}

/// What is known of the process of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterProcess {
    /// It may run.
    MayRun,
    /// It has ended, and no other one has started. Its votes may still be in force.
    Ended,
    /// It ended so long ago that none of its votes is in force.
    EndedWithItsVotes,
}

/// What the votes in force say about a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteStanding {
    /// Number of votes in force.
    pub votes: usize,
    /// Number of nodes that vote.
    pub voters: usize,
}

impl VoteStanding {
    /// Returns whether more than half of the voters have voted.
    pub const fn is_majority(self) -> bool {
        self.votes * 2 > self.voters
    }
}

/// A bucket that this node should own.
#[derive(Clone, Debug)]
struct WantedBucket {
    tenant: String,
    queried_at: Instant,
    /// Since when the lease is missing; `None` while it is held.
    unconfirmed_since: Option<Instant>,
    /// Whether the last change that was reported is that the lease is held.
    is_reported_held: bool,
}

/// A lease that has been acquired or lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseChange {
    /// Name of the tenant.
    pub tenant: String,
    /// Whether the lease is held now.
    pub is_held: bool,
}

/// Leases of this node.
#[derive(Clone, Debug, Default)]
pub struct LeaseHolder {
    last_number: u64,
    pending: BTreeMap<u64, PendingRequest>,
    votes: BTreeMap<VoterId, HeldVote>,
    /// Number of the latest answered request to each voter.
    answered: BTreeMap<VoterId, u64>,
    leases: BTreeMap<TenantHash, Lease>,
    wanted: BTreeMap<TenantHash, WantedBucket>,
    /// Lost nodes of the last round of requests.
    announced_lost: Vec<u64>,
    next_round_at: Instant,
}

impl LeaseHolder {
    /// Records a query for a bucket that this node should own. Votes are requested soon.
    pub fn want(&mut self, now: Instant, hash: TenantHash, tenant: &str) {
        if let Some(wanted) = self.wanted.get_mut(&hash) {
            wanted.queried_at = now;
            return;
        }
        let wanted = WantedBucket {
            tenant: tenant.to_owned(),
            queried_at: now,
            unconfirmed_since: None,
            is_reported_held: false,
        };
        self.wanted.insert(hash, wanted);
        self.next_round_at = now;
    }

    /// Records that another node should own a bucket. The votes for this one are returned soon.
    pub fn yield_to_other(&mut self, now: Instant, tenant: TenantHash) {
        if self.wanted.remove(&tenant).is_some() {
            self.next_round_at = now;
        }
    }

    /// Records whether this node holds the lease on a wanted bucket. Returns a change to report.
    pub fn record_standing(
        &mut self,
        now: Instant,
        tenant: TenantHash,
        is_held: bool,
    ) -> Option<LeaseChange> {
        let wanted = self.wanted.get_mut(&tenant)?;
        if is_held {
            wanted.unconfirmed_since = None;
        } else {
            wanted.unconfirmed_since.get_or_insert(now);
        }
        let has_changed = std::mem::replace(&mut wanted.is_reported_held, is_held) != is_held;
        has_changed.then(|| LeaseChange {
            tenant: wanted.tenant.clone(),
            is_held,
        })
    }

    /// Returns whether the lease on a wanted bucket has been missing for so long that votes are not
    /// expected soon.
    pub fn is_unavailable(&self, now: Instant, tenant: TenantHash) -> bool {
        let wanted = self.wanted.get(&tenant);
        let since = wanted.and_then(|wanted| wanted.unconfirmed_since);
        since.is_some_and(|since| now.saturating_since(since) >= MAX_UNCONFIRMED)
    }

    /// Returns whether no lease that this node wants can be had: it should let others own the buckets.
    pub fn is_locked_out(&self, now: Instant) -> bool {
        let is_missing = |wanted: &WantedBucket| {
            wanted
                .unconfirmed_since
                .is_some_and(|since| now.saturating_since(since) >= LOCKOUT_DELAY)
        };
        !self.wanted.is_empty() && self.wanted.values().all(is_missing)
    }

    /// Returns the buckets that this node wants to own, without those that have not been queried
    /// recently.
    pub fn wanted(&mut self, now: Instant) -> Vec<TenantHash> {
        self.wanted
            .retain(|_, wanted| now.saturating_since(wanted.queried_at) < IDLE_TIMEOUT);
        self.wanted.keys().copied().collect()
    }

    /// Makes the next round due soon: a lost node may be back, and its votes have to be returned to it, or there
    /// is a new link to a voter.
    pub fn hasten_round(&mut self, now: Instant) {
        self.next_round_at = self.next_round_at.min(now + LINK_DELAY);
    }

    /// Gives up all leases: the node does not offer to own buckets any more.
    pub fn clear(&mut self) {
        *self = Self {
            last_number: self.last_number,
            answered: std::mem::take(&mut self.answered),
            ..Self::default()
        };
    }

    /// Returns when the next round of requests is due; `None` if none is.
    pub fn next_wake(&self) -> Option<Instant> {
        let is_needed = !self.wanted.is_empty() || !self.announced_lost.is_empty();
        is_needed.then_some(self.next_round_at)
    }

    /// Records that a round of requests begins, in which `lost` are the nodes that votes have to say are lost.
    /// `has_leases` says whether all wanted leases are held. Returns whether nodes of the last round are not lost any
    /// more, so that all votes have to be renewed.
    pub fn begin_round(&mut self, now: Instant, lost: &[u64], has_leases: bool) -> bool {
        let previous = std::mem::replace(&mut self.announced_lost, lost.to_vec());
        let interval = if has_leases {
            RENEWAL_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        self.next_round_at = now + interval;
        self.pending
            .retain(|_, request| now.saturating_since(request.sent_at) < LEASE_LIFETIME);
        previous.iter().any(|node| !lost.contains(node))
    }

    /// Returns the request for the vote of one voter, which is sent now. `wanted` are the buckets whose
    /// leases are missing.
    pub fn request(
        &mut self,
        now: Instant,
        voter: VoterId,
        lost: &[u64],
        wanted: &[TenantHash],
    ) -> VoteRequest {
        self.last_number += 1;
        let request = PendingRequest {
            voter,
            sent_at: now,
            lost: lost.to_vec(),
        };
        self.pending.insert(self.last_number, request);
        VoteRequest {
            number: self.last_number,
            answered: self.answered.get(&voter).copied().unwrap_or(0),
            is_candidate: !self.wanted.is_empty(),
            lost: lost.to_vec(),
            wanted: wanted.to_vec(),
        }
    }

    /// Returns the voters whose votes are in force.
    pub fn voters(&self, now: Instant) -> impl Iterator<Item = VoterId> {
        let votes = self.votes.iter();
        let in_force = votes.filter(move |(_, vote)| is_in_force(now, vote));
        in_force.map(|(voter, _)| *voter)
    }

    /// Handles the answer of a voter.
    pub fn on_vote(&mut self, now: Instant, voter: VoterId, vote: &Vote) {
        let Some(request) = self.pending.remove(&vote.number) else {
            return;
        };
        if request.voter != voter {
            return;
        }
        let answered = self.answered.entry(voter).or_default();
        *answered = vote.number.max(*answered);
        if !vote.is_granted {
            self.votes.remove(&voter);
            return;
        }
        let mut lost = request.lost;
        lost.retain(|node| !vote.not_lost.contains(node));
        let uncontested = Duration::from_millis(u64::from(vote.uncontested_millis));
        let held = HeldVote {
            requested_at: request.sent_at,
            lost,
            is_abstaining: vote.is_abstaining,
            held: vote.held.clone(),
            uncontested_since: now - uncontested,
        };
        self.votes.insert(voter, held);
    }

    /// Returns since when this node has held the lease on a bucket; `None` if it does not hold it. `lost` are the
    /// nodes that precede it in the order of the bucket; `processes` returns what is known of the process of a
    /// voter.
    pub fn lease(
        &mut self,
        now: Instant,
        tenant: TenantHash,
        electorate: &[VoterId],
        lost: &[LostNode],
        processes: impl Fn(PeerIndex) -> VoterProcess,
    ) -> Option<Instant> {
        let standing = self.standing(now, electorate, lost, &processes);
        if !standing.is_majority() && !self.is_unanimous(now, tenant, electorate, lost, &processes)
        {
            return None;
        }
        let lease = self.leases.get(&tenant).copied();
        let contested_until = electorate
            .iter()
            .filter_map(|voter| self.vote(now, *voter, lost))
            .map(|vote| vote.uncontested_since)
            .max();
        // Nobody else can have held a lease since, although this one may have lapsed in between.
        let is_continued = |lease: &Lease| contested_until <= Some(lease.confirmed_at);
        // A lost predecessor may have given out tokens until its votes ended. Without one, nobody else
        // can have done so since the last successor.
        let begin = if lost.is_empty() {
            contested_until.unwrap_or(now)
        } else {
            now
        };
        let since = lease
            .filter(is_continued)
            .map_or(begin, |lease| lease.since);
        let lease = Lease {
            since,
            confirmed_at: now,
        };
        self.leases.insert(tenant, lease);
        Some(since)
    }

    /// Counts the votes in force for a bucket.
    pub fn standing(
        &self,
        now: Instant,
        electorate: &[VoterId],
        lost: &[LostNode],
        processes: impl Fn(PeerIndex) -> VoterProcess,
    ) -> VoteStanding {
        let votes = |voter: &&VoterId| {
            let process = voter.peer().map(&processes);
            let vote = self.vote(now, **voter, lost);
            process == Some(VoterProcess::EndedWithItsVotes)
                || vote.is_some_and(|vote| !vote.is_abstaining)
        };
        VoteStanding {
            votes: electorate.iter().filter(votes).count(),
            voters: electorate.len(),
        }
    }

    /// Returns whether the whole electorate has voted, abstaining or not, and nobody in it holds the lease on a
    /// bucket. A process that has ended holds none.
    fn is_unanimous(
        &self,
        now: Instant,
        tenant: TenantHash,
        electorate: &[VoterId],
        lost: &[LostNode],
        processes: impl Fn(PeerIndex) -> VoterProcess,
    ) -> bool {
        electorate.iter().all(|voter| {
            let process = voter.peer().map(&processes);
            let has_ended = process.is_some_and(|process| process != VoterProcess::MayRun);
            let vote = self.vote(now, *voter, lost);
            has_ended || vote.is_some_and(|vote| !vote.held.contains(&tenant))
        })
    }

    /// Returns the vote of a voter if it is in force and says that these nodes are lost.
    fn vote(&self, now: Instant, voter: VoterId, lost: &[LostNode]) -> Option<&HeldVote> {
        let vote = self.votes.get(&voter)?;
        let covers = |node: &LostNode| {
            vote.requested_at >= node.since && vote.lost.contains(&node.name_hash)
        };
        (is_in_force(now, vote) && lost.iter().all(covers)).then_some(vote)
    }
}

fn is_in_force(now: Instant, vote: &HeldVote) -> bool {
    now.saturating_since(vote.requested_at) < LEASE_LIFETIME
}
