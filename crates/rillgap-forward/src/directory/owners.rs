//! Owners of the buckets of tenants' tokens, as far as this node can tell from its peers.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::{Directory, PeerIndex};
use crate::id::LinkId;
use crate::peer::Peer;
use crate::rate_limit::ownership::{Owner, TenantHash};
use crate::watcher_election;

/// Time without a message after which a peer with a link does not count as reachable: longer than
/// the interval between status reports.
const HEARD_LATELY: Duration = Duration::from_millis(3_500);

impl Directory {
    /// Sets the tenants that have a rate limit.
    pub fn set_limited(&mut self, tenants: Vec<TenantHash>) {
        self.limited = tenants;
        self.is_subset_due = true;
    }

    /// Records that this node receives requests of a limited tenant, so that links to the owner of
    /// its bucket are needed.
    pub fn use_tenant(&mut self, tenant: TenantHash) {
        self.is_subset_due |= self.in_use.insert(tenant);
    }

    /// Returns the owner of a tenant's bucket. `offers_since` is the time since which this node
    /// offers to own buckets; `None` if it does not.
    pub fn bucket_owner(&self, tenant: TenantHash, offers_since: Option<Instant>) -> Owner {
        let own_rank = tenant.owner_score(watcher_election::name_hash(&self.own_name));
        let mut best: Option<(u64, PeerIndex)> = None;
        let mut since = offers_since;
        for (index, peer) in self.peers.iter().enumerate() {
            let rank = tenant.owner_score(peer.name_hash());
            if peer.may_own_buckets() {
                if best.is_none_or(|(best, _)| best < rank) {
                    best = Some((rank, PeerIndex(index)));
                }
            } else if rank > own_rank {
                since = since.map(|since| since.max(peer.away_since()));
            }
        }
        match (best, since) {
            (Some((rank, index)), _) if rank > own_rank || since.is_none() => {
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
        let rank = |peer: &Peer| tenant.owner_score(peer.name_hash());
        let owner = rank(self.peer(owner));
        let others = self.peers.iter().filter(|peer| rank(peer) < owner);
        let next = others
            .filter(|peer| peer.open_link().is_some() && peer.may_own_buckets())
            .max_by_key(|peer| rank(peer))?;
        next.open_link()
    }

    /// Records that a query was sent to a peer and its answer is pending.
    pub fn query_sent(&mut self, now: Instant, index: PeerIndex) {
        self.peers[index.0].query_sent(now);
    }

    /// Returns whether the node hears from at least half of the selected peers. A node that is cut
    /// off from the others does not.
    pub fn hears_most(&self, now: Instant) -> bool {
        let mut wanted = 0;
        let mut heard = 0;
        for peer in self.peers.iter().filter(|peer| peer.is_selected) {
            wanted += 1;
            let is_heard = now.saturating_since(peer.heard_at) < HEARD_LATELY;
            heard += usize::from(peer.open_link().is_some() && is_heard);
        }
        heard * 2 >= wanted
    }

    /// Selects the peers that tenants' buckets need links to. For a limited tenant with requests at
    /// this node, these are the owner of the bucket and its successor. For a tenant whose bucket
    /// this node owns, or would own next, it is the peer that comes first in the order of owners.
    /// Peers with a higher score that cannot own the bucket now are included.
    pub(super) fn want_owners(&mut self) {
        let own = watcher_election::name_hash(&self.own_name);
        for tenant in self.limited.iter().copied() {
            let (owner, next) = self.two_highest(tenant);
            let own_rank = tenant.owner_score(own);
            let wanted_from = if self.in_use.contains(&tenant) {
                next
            } else if own_rank > next {
                // This node owns the bucket, or would own it next.
                owner
            } else {
                continue;
            };
            for peer in &mut self.peers {
                let rank = tenant.owner_score(peer.name_hash());
                peer.is_selected |= rank >= wanted_from && rank > 0;
            }
        }
    }

    /// Returns the scores of the two peers that come first in the order of owners of a tenant's
    /// bucket; 0 where there is none.
    fn two_highest(&self, tenant: TenantHash) -> (u64, u64) {
        let mut highest = (0, 0);
        for peer in self.peers.iter().filter(|peer| peer.may_own_buckets()) {
            let rank = tenant.owner_score(peer.name_hash());
            if rank > highest.0 {
                highest = (rank, highest.0);
            } else if rank > highest.1 {
                highest.1 = rank;
            }
        }
        highest
    }
}
