//! Owners of the tenants' token buckets, derived from the peers that this node knows.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use rillgap_core::time::Instant;

use super::{Directory, PeerIndex};
use crate::id::LinkId;
use crate::rate_limit::lease::{LostNode, MAX_ELECTORATE, VoterId, VoterProcess};
use crate::rate_limit::ownership::{Owner, TenantHash};
use crate::watcher_election;

/// Time without a message after which a peer with a link does not count as reachable: longer than
/// the interval between status reports.
const RECENT_CONTACT: Duration = Duration::from_millis(3_500);

/// Nodes in the order of owners of a bucket.
#[derive(Clone, Debug)]
pub(super) struct BucketOrder {
    /// Known peers that precede this node.
    predecessors: Arc<[PeerIndex]>,
    /// Nodes that vote on the owner.
    voters: Arc<[VoterId]>,
}

impl Directory {
    /// Sets the tenants that have a rate limit.
    pub fn set_limited_tenants(&mut self, tenants: Vec<TenantHash>) {
        self.limited_tenants = tenants;
        self.is_subset_due = true;
    }

    /// Records that this node receives requests of a limited tenant, so that links to the owner of
    /// its bucket are needed.
    pub fn mark_tenant_in_use(&mut self, tenant: TenantHash) {
        self.is_subset_due |= self.tenants_in_use.insert(tenant);
    }

    /// Sets the tenants whose buckets this node wants to own, so that links to all voters are needed.
    /// Returns whether they have changed.
    pub fn set_wanted_buckets(&mut self, tenants: Vec<TenantHash>) -> bool {
        let has_changed = self.wanted_buckets != tenants;
        self.wanted_buckets = tenants;
        self.is_subset_due |= has_changed;
        has_changed
    }

    /// Returns the nodes that vote on the owner of a tenant's bucket, in the order of owners: the first
    /// ones of all known nodes, without those that have ended in a planned stop.
    pub fn electorate(&mut self, tenant: TenantHash) -> Arc<[VoterId]> {
        self.bucket_order(tenant).voters.clone()
    }

    fn bucket_order(&mut self, tenant: TenantHash) -> &BucketOrder {
        let own_score = tenant.owner_score(watcher_election::name_hash(&self.own_name));
        let peers = &self.peers;
        self.bucket_orders.entry(tenant).or_insert_with(|| {
            let mut order: Vec<(u64, VoterId)> = peers
                .iter()
                .enumerate()
                .map(|(index, peer)| {
                    let score = tenant.owner_score(peer.name_hash());
                    (score, VoterId::Peer(PeerIndex(index)))
                })
                .chain([(own_score, VoterId::Own)])
                .collect();
            order.sort_unstable_by_key(|(score, _)| Reverse(*score));
            let order = order.into_iter().map(|(_, voter)| voter);
            let preceding = order.clone().map_while(VoterId::peer);
            let votes = |voter: &VoterId| {
                let peer = voter.peer();
                peer.is_none_or(|index| !peers[index.0].has_departed())
            };
            BucketOrder {
                predecessors: preceding.collect(),
                voters: order.filter(votes).take(MAX_ELECTORATE).collect(),
            }
        })
    }

    /// Returns the owner of a tenant's bucket. `offers_since` is the time since which this node
    /// offers to own buckets; `None` if it does not.
    pub fn bucket_owner(&mut self, tenant: TenantHash, offers_since: Option<Instant>) -> Owner {
        let mut since = offers_since;
        for voter in self.electorate(tenant).iter() {
            match (voter, since) {
                (VoterId::Own, Some(since)) => return Owner::Local { since },
                (VoterId::Own, None) => {}
                (VoterId::Peer(index), _) => {
                    let peer = self.peer(*index);
                    if peer.may_own_buckets() {
                        return match peer.open_link() {
                            Some(link) => Owner::Peer(*index, link),
                            None => Owner::Unlinked(*index),
                        };
                    }
                    since = since.map(|since| since.max(peer.bucket_ownership_lost_at()));
                }
            }
        }
        Owner::Unavailable
    }

    /// Returns the nodes that precede this one in the order of owners of a tenant's bucket; none of them
    /// may own it.
    pub fn lost_predecessors(&mut self, tenant: TenantHash) -> Vec<LostNode> {
        let predecessors = self.bucket_order(tenant).predecessors.clone();
        let peers = predecessors.iter().map(|index| self.peer(*index));
        peers
            .map(|peer| LostNode {
                name_hash: peer.name_hash(),
                since: peer.bucket_ownership_lost_at(),
            })
            .collect()
    }

    /// Returns the link to the linked peer that is next in the order of owners of a tenant's bucket
    /// after `owner`.
    pub fn next_owner_link(&mut self, tenant: TenantHash, owner: PeerIndex) -> Option<LinkId> {
        let electorate = self.electorate(tenant);
        let following = electorate
            .iter()
            .skip_while(|voter| **voter != VoterId::Peer(owner))
            .skip(1);
        let mut peers = following.filter_map(|voter| Some(self.peer(voter.peer()?)));
        let next = peers.find(|peer| peer.open_link().is_some() && peer.may_own_buckets())?;
        next.open_link()
    }

    /// Makes sure that the loss of any voter is noticed soon: a partition may separate several of them,
    /// and only the links to those that owe an answer time out early.
    pub fn probe_voters(&mut self, now: Instant, tenant: TenantHash) {
        for voter in self.electorate(tenant).iter() {
            let peer = voter.peer().and_then(|index| self.peers.get_mut(index.0));
            if let Some(peer) = peer.filter(|peer| peer.open_link().is_some()) {
                peer.query_sent(now);
            }
        }
    }

    /// Returns what is known of the process of a peer.
    pub fn voter_process(&self, now: Instant, index: PeerIndex) -> VoterProcess {
        self.peer(index).voter_process(now)
    }

    /// Records that a query was sent to a peer and its answer is pending.
    pub fn query_sent(&mut self, now: Instant, index: PeerIndex) {
        self.peers[index.0].query_sent(now);
    }

    /// Returns whether the node is in contact with at least half of the selected peers. A
    /// partitioned node is not.
    pub fn is_in_contact_with_majority(&self, now: Instant) -> bool {
        let mut selected = 0;
        let mut reachable = 0;
        for peer in self.peers.iter().filter(|peer| peer.is_selected) {
            selected += 1;
            let is_recent = now.saturating_since(peer.last_received_at) < RECENT_CONTACT;
            reachable += usize::from(peer.open_link().is_some() && is_recent);
        }
        reachable * 2 >= selected
    }

    /// Selects the peers that tenants' buckets need links to. For a limited tenant with requests at
    /// this node, these are the owner of the bucket and its successor. For a tenant whose bucket
    /// this node owns, or would own next, it is the peer that comes first in the order of owners.
    /// Peers with a higher score that cannot own the bucket now are included. For a tenant whose bucket
    /// this node wants to own, these are all voters.
    pub(super) fn select_bucket_owners(&mut self) {
        let own_hash = watcher_election::name_hash(&self.own_name);
        for tenant in self.wanted_buckets.clone() {
            for voter in self.electorate(tenant).iter() {
                if let Some(index) = voter.peer() {
                    self.peers[index.0].is_selected = true;
                }
            }
        }
        for tenant in self.limited_tenants.iter().copied() {
            let (owner, next) = self.two_highest_scores(tenant);
            let own_score = tenant.owner_score(own_hash);
            let min_score = if self.tenants_in_use.contains(&tenant) {
                next
            } else if own_score > next {
                // This node owns the bucket, or would own it next.
                owner
            } else {
                continue;
            };
            for peer in &mut self.peers {
                let score = tenant.owner_score(peer.name_hash());
                peer.is_selected |= score >= min_score && score > 0;
            }
        }
    }

    /// Returns the scores of the two peers that come first in the order of owners of a tenant's
    /// bucket; 0 where there is none.
    fn two_highest_scores(&self, tenant: TenantHash) -> (u64, u64) {
        let mut highest = (0, 0);
        for peer in self.peers.iter().filter(|peer| peer.may_own_buckets()) {
            let score = tenant.owner_score(peer.name_hash());
            if score > highest.0 {
                highest = (score, highest.0);
            } else if score > highest.1 {
                highest.1 = score;
            }
        }
        highest
    }
}
