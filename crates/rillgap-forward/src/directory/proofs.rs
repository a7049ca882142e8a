//! Peers that may prove how fresh the configuration is.

use rillgap_core::time::Instant;

use super::{Directory, PeerIndex};
use crate::id::LinkId;
use crate::peer::Peer;

impl Directory {
    /// Returns links to so many peers that may prove how fresh the configuration is: those that watch
    /// the store or have news of it, then others, each time different ones.
    pub fn proof_links(&mut self, now: Instant, count: usize) -> Vec<LinkId> {
        let indices: Vec<PeerIndex> = self.linked.values().flatten().copied().collect();
        if indices.is_empty() {
            return Vec::new();
        }
        self.proof_turn += 1;
        let start = self.proof_turn % indices.len();
        let mut peers: Vec<&Peer> = indices[start..]
            .iter()
            .chain(&indices[..start])
            .map(|index| &self.peers[index.0])
            .collect();
        peers.sort_by_key(|peer| !peer.watches(now) && !peer.is_followed);
        peers.truncate(count);
        peers.iter().filter_map(|peer| peer.open_link()).collect()
    }
}
