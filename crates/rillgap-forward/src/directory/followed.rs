//! Which peers a node follows for news of the store.
//!
//! Followed peers precede the node in the order of watchers, most of them by far, so that news reach all nodes over few
//! links: a node that follows one with a sixteenth of its place is `log16` of the number of nodes away from the first.
//! Nodes differ in their choice, so that none is followed by all.

use rillgap_core::time::Instant;

use super::Directory;
use crate::id::LinkId;
use crate::peer::{LinkState, Peer};
use crate::store_sync::NodeList;
use crate::watcher_election;

/// Part of the own place below which peers are preferred.
const FAR_BELOW: u64 = 16;
/// Peers that are followed while they have fresh news.
const FOLLOWED: usize = 2;
/// Most peers that are followed while some of them have none.
const MOST_FOLLOWED: usize = 6;
/// Nodes with the lowest places that are learned from a list that does not hold all nodes, and others among
/// those that this node may follow.
const LOWEST_LEARNED: usize = 16;

/// What changes in whom a node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowChange {
    /// Link to the peer.
    pub link: LinkId,
    /// Whether it is followed from now on.
    pub follows: bool,
}

impl Directory {
    /// Learns the peers of a list.
    pub fn learn_list(&mut self, now: Instant, list: &NodeList) {
        let own = watcher_election::name_hash(&self.own_name);
        self.estimated_nodes = list.estimated_nodes(own);
        let Some(following) = &list.successors else {
            for record in &list.lowest {
                self.learn(now, record);
            }
            return;
        };
        let far_below = list.lowest.iter().skip(LOWEST_LEARNED);
        let far_below =
            far_below.filter(|record| watcher_election::name_hash(&record.name) < own / FAR_BELOW);
        let mut to_follow: Vec<_> = far_below.collect();
        to_follow
            .sort_unstable_by_key(|record| crate::subset::preference(&self.own_name, &record.name));
        to_follow.truncate(LOWEST_LEARNED);
        let lowest = list.lowest.iter().take(LOWEST_LEARNED);
        for record in lowest.chain(to_follow).chain(following) {
            self.learn(now, record);
        }
    }

    /// Returns about how many peers precede this node in the order of watchers, without those that cannot be
    /// reached.
    pub fn preceding(&self) -> u64 {
        let own = watcher_election::name_hash(&self.own_name);
        let counts = |peer: &&Peer| peer.precedes(own) && !peer.has_failed();
        let known = self.peers.iter().filter(counts).count();
        let share = own as f64 / u64::MAX as f64;
        let estimate = if self.is_partial() {
            share * self.estimated_nodes as f64
        } else {
            0.0
        };
        (known as u64).max(estimate as u64)
    }

    /// Returns whether there are more nodes than are known here.
    pub const fn is_partial(&self) -> bool {
        self.estimated_nodes > self.peers.len() + 1
    }

    /// Chooses the peers that are followed and marks them as wanted. `has_news` tells whether the peer on a link has
    /// fresh news of the store.
    pub(super) fn choose_followed(&mut self, now: Instant, has_news: impl Fn(LinkId) -> bool) {
        let own = watcher_election::name_hash(&self.own_name);
        let mut preceding: Vec<&mut Peer> = Vec::new();
        for peer in &mut self.peers {
            peer.is_followed = false;
            if peer.precedes(own) {
                preceding.push(peer);
            }
        }
        preceding.sort_unstable_by_key(|peer| {
            let is_near = peer.name_hash() >= own / FAR_BELOW;
            let order = if is_near {
                peer.name_hash()
            } else {
                peer.preference
            };
            (is_near, order)
        });
        let mut hopeful = 0;
        for peer in preceding.into_iter().take(MOST_FOLLOWED) {
            if hopeful >= FOLLOWED {
                return;
            }
            peer.is_followed = true;
            peer.is_selected = true;
            hopeful += usize::from(peer.may_have_news(now, &has_news));
        }
    }

    /// Returns what has changed in whom this node follows, and forgets it.
    pub fn take_follow_changes(&mut self) -> Vec<FollowChange> {
        let mut changes = Vec::new();
        for peer in &mut self.peers {
            let LinkState::Open(link) = peer.link else {
                peer.followed_on = None;
                continue;
            };
            let wanted = peer.is_followed.then_some(link);
            if peer.followed_on != wanted {
                peer.followed_on = wanted;
                let follows = wanted.is_some();
                changes.push(FollowChange { link, follows });
            }
        }
        changes
    }

    /// Returns whether the peer at the other end of a link precedes this node in the order of watchers.
    pub fn is_preceding(&mut self, link: LinkId) -> bool {
        let own = watcher_election::name_hash(&self.own_name);
        self.by_link(link).is_some_and(|peer| peer.precedes(own))
    }
}
