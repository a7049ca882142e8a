//! Selection of the peers that are queried for a proof that the configuration is the newest one.

use rillgap_core::time::Instant;

use super::{Directory, PeerIndex};
use crate::id::LinkId;
use crate::peer::Peer;

impl Directory {
    /// Returns links to `count` peers that may prove that the configuration is the newest one:
    /// peers that watch the store or are followed come first, then others in rotation.
    pub fn proof_links(&mut self, now: Instant, count: usize) -> Vec<LinkId> {
        let indices: Vec<PeerIndex> = self.linked.values().flatten().copied().collect();
        if indices.is_empty() {
            return Vec::new();
        }
        self.proof_query_count += 1;
        let start = self.proof_query_count % indices.len();
        let mut peers: Vec<&Peer> = indices[start..]
            .iter()
            .chain(&indices[..start])
            .map(|index| &self.peers[index.0])
            .collect();
        peers.sort_by_key(|peer| !peer.is_watching_store(now) && !peer.is_followed);
        peers.truncate(count);
        peers.iter().filter_map(|peer| peer.open_link()).collect()
    }
}
