//! Owners of the tenants' token buckets, derived from the peers that this node knows.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::{Directory, PeerIndex};
use crate::id::LinkId;
use crate::peer::Peer;
use crate::rate_limit::ownership::{Owner, TenantHash};
use crate::watcher_election;

/// Time without a message after which a peer with a link does not count as reachable: longer than
/// the interval between status reports.
const RECENT_CONTACT: Duration = Duration::from_millis(3_500);

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

    /// Returns the owner of a tenant's bucket. `offers_since` is the time since which this node
    /// offers to own buckets; `None` if it does not.
    pub fn bucket_owner(&self, tenant: TenantHash, offers_since: Option<Instant>) -> Owner {
        let own_score = tenant.owner_score(watcher_election::name_hash(&self.own_name));
        let mut best: Option<(u64, PeerIndex)> = None;
        let mut since = offers_since;
        for (index, peer) in self.peers.iter().enumerate() {
            let score = tenant.owner_score(peer.name_hash());
            if peer.may_own_buckets() {
                if best.is_none_or(|(best, _)| best < score) {
                    best = Some((score, PeerIndex(index)));
                }
            } else if score > own_score {
                since = since.map(|since| since.max(peer.bucket_ownership_lost_at()));
            }
        }
        match (best, since) {
            (Some((score, index)), _) if score > own_score || since.is_none() => {
                match self.peer(index).open_link() {
                    Some(link) => Owner::Peer(index, link),
                    None => Owner::Unlinked(index),
                }
            }
            (_, Some(since)) => Owner::Local { since },
            _ => Owner::Unavailable,
        }
    }

    /// Returns the link to the linked peer that is next in the order of owners of a tenant's bucket
    /// after `owner`.
    pub fn next_owner_link(&self, tenant: TenantHash, owner: PeerIndex) -> Option<LinkId> {
        let score = |peer: &Peer| tenant.owner_score(peer.name_hash());
        let owner = score(self.peer(owner));
        let others = self.peers.iter().filter(|peer| score(peer) < owner);
        let next = others
            .filter(|peer| peer.open_link().is_some() && peer.may_own_buckets())
            .max_by_key(|peer| score(peer))?;
        next.open_link()
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
    /// Peers with a higher score that cannot own the bucket now are included.
    pub(super) fn select_bucket_owners(&mut self) {
        let own_hash = watcher_election::name_hash(&self.own_name);
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
