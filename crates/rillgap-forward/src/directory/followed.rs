//! Selection of the peers that a node follows for their contact with the store.
//!
//! Nodes are ordered by the hashes of their names, and a node follows only peers with a lower hash,
//! most of them with a much lower one, so that contact reports reach all nodes over few hops: if
//! each followed hash is below a sixteenth of the follower's, a node is `log16(nodes)` hops away
//! from the first. The order of preference differs between nodes, so that no peer is followed by
//! all of them.

use rillgap_core::time::Instant;

use super::Directory;
use crate::id::LinkId;
use crate::peer::{LinkState, Peer};
use crate::store_sync::NodeList;
use crate::watcher_election;

/// Peers with a hash below the own hash divided by this are preferred.
const PREFERRED_HASH_DIVISOR: u64 = 16;
/// Number of followed peers while all of them have a recent contact with the store.
const TARGET_FOLLOWED: usize = 2;
/// Number of followed peers, while some of them have no recent contact, that come first in the order.
const FIRST_FOLLOWED: usize = 8;
/// Maximum number of followed peers while some of them have no recent contact. The others are any that precede the
/// node, in the order of its own preference: if all that come first are cut off from the store, it has to find some that
/// are not, or it would watch itself.
const MAX_FOLLOWED: usize = 16;
/// Number of nodes with the lowest hashes that are added from a partial list of nodes. At most as
/// many more are added from those that this node prefers to follow.
const MAX_ADDED_FROM_LIST: usize = 16;

/// A peer that the node begins or ceases to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowChange {
    /// Link to the peer.
    pub link: LinkId,
    /// Whether the node follows the peer from now on.
    pub follows: bool,
}

impl Directory {
    /// Adds the peers of a list of nodes that the store has returned.
    pub fn apply_node_list(&mut self, now: Instant, list: &NodeList) {
        let own_hash = watcher_election::name_hash(&self.own_name);
        self.estimated_nodes = list.estimated_nodes(own_hash);
        let Some(following) = &list.successors else {
            for record in &list.lowest {
                self.add_or_update(now, record);
            }
            return;
        };
        let preferred = list.lowest.iter().skip(MAX_ADDED_FROM_LIST);
        let preferred = preferred.filter(|record| {
            watcher_election::name_hash(&record.name) < own_hash / PREFERRED_HASH_DIVISOR
        });
        let mut to_follow: Vec<_> = preferred.collect();
        to_follow
            .sort_unstable_by_key(|record| crate::subset::preference(&self.own_name, &record.name));
        to_follow.truncate(MAX_ADDED_FROM_LIST);
        let lowest = list.lowest.iter().take(MAX_ADDED_FROM_LIST);
        for record in lowest.chain(to_follow).chain(following) {
            self.add_or_update(now, record);
        }
    }

    /// Returns the approximate number of peers that precede this node in the order of watchers,
    /// without known peers that cannot be reached.
    pub fn count_preceding(&self) -> u64 {
        let own_hash = watcher_election::name_hash(&self.own_name);
        let is_counted = |peer: &&Peer| peer.precedes(own_hash) && !peer.last_link_failed();
        let known = self.peers.iter().filter(is_counted).count();
        let fraction = watcher_election::hash_fraction(own_hash);
        let estimate = if self.is_partial() {
            fraction * self.estimated_nodes as f64
        } else {
            0.0
        };
        (known as u64).max(estimate as u64)
    }

    /// Returns whether there are nodes that are not in the directory.
    pub const fn is_partial(&self) -> bool {
        self.estimated_nodes > self.peers.len() + 1
    }

    /// Selects the peers that are followed, and marks them as selected for a link.
    /// `has_store_contact` returns whether the peer on a link has a recent contact with the store, if it has
    /// reported.
    pub(super) fn select_followed(
        &mut self,
        now: Instant,
        has_store_contact: impl Fn(LinkId) -> Option<bool>,
    ) {
        let own_hash = watcher_election::name_hash(&self.own_name);
        let mut preceding: Vec<&mut Peer> = Vec::new();
        for peer in &mut self.peers {
            peer.is_followed = false;
            if peer.precedes(own_hash) {
                preceding.push(peer);
            }
        }
        preceding.sort_unstable_by_key(|peer| {
            let is_near = peer.name_hash() >= own_hash / PREFERRED_HASH_DIVISOR;
            let order = if is_near {
                peer.name_hash()
            } else {
                peer.preference
            };
            (is_near, order)
        });
        if let Some((_, others)) = preceding.split_at_mut_checked(FIRST_FOLLOWED) {
            others.sort_unstable_by_key(|peer| peer.preference);
        }
        let mut with_contact = 0;
        for peer in preceding.into_iter().take(MAX_FOLLOWED) {
            if with_contact >= TARGET_FOLLOWED {
                return;
            }
            peer.is_followed = true;
            peer.is_selected = true;
            with_contact += usize::from(peer.may_have_store_contact(now, &has_store_contact));
        }
    }

    /// Returns the peers that the node has begun or ceased to follow since the last call.
    pub fn take_follow_changes(&mut self) -> Vec<FollowChange> {
        let mut changes = Vec::new();
        for peer in &mut self.peers {
            let LinkState::Open(link) = peer.link else {
                peer.follow_sent_on = None;
                continue;
            };
            let expected = peer.is_followed.then_some(link);
            if peer.follow_sent_on != expected {
                peer.follow_sent_on = expected;
                let follows = expected.is_some();
                changes.push(FollowChange { link, follows });
            }
        }
        changes
    }

    /// Returns whether the peer at the other end of a link precedes this node in the order of
    /// watchers.
    pub fn is_preceding(&mut self, link: LinkId) -> bool {
        let own_hash = watcher_election::name_hash(&self.own_name);
        self.by_link(link)
            .is_some_and(|peer| peer.precedes(own_hash))
    }
}
