//! Which peers a node keeps links to.
//!
//! Links from every node to every other grow with the square of the deployment. Each node therefore
//! opens links to a subset of the peers of each service only, mostly in its own zone. The choice is
//! rendezvous hashing: a peer's preference follows from the names of both nodes alone, so it is
//! spread evenly over the deployment, nearly the same after nodes join or leave, and needs no
//! agreement. Links serve both ends, so a node also uses the links that others have opened to it:
//! a newcomer that opens its own links is known to as many callers as any other back end.
//!
//! Peers that cannot be reached or do not serve do not count: the next ones in the order of
//! preference join the subset until enough of them serve, and the failed ones are tried on.

use std::collections::BTreeMap;

use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::peer::Peer;

/// Peers of each service that are wanted in the own zone.
const LOCAL_PEERS: usize = 6;
/// Peers of each service that are wanted in other zones.
const REMOTE_PEERS: usize = 4;

/// Returns the preference of one node for another; the lowest is preferred.
pub fn preference(own_name: &str, peer_name: &str) -> u64 {
    let seed = xxh3_64_with_seed(own_name.as_bytes(), 0);
    xxh3_64_with_seed(peer_name.as_bytes(), seed)
}

/// Marks the peers that the node wants links to.
pub fn select_peers<'a>(now: Instant, own_zone: &str, peers: impl Iterator<Item = &'a mut Peer>) {
    let mut groups: BTreeMap<(String, bool), Vec<&mut Peer>> = BTreeMap::new();
    for peer in peers {
        peer.is_selected = false;
        let is_local = peer.record.zone == own_zone;
        let group = (peer.service().to_owned(), is_local);
        groups.entry(group).or_default().push(peer);
    }
    for ((_, is_local), group) in groups {
        let wanted = if is_local { LOCAL_PEERS } else { REMOTE_PEERS };
        choose_within(now, wanted, group);
    }
}

/// Marks the most preferred peers until enough of them may serve.
fn choose_within(now: Instant, wanted: usize, mut group: Vec<&mut Peer>) {
    group.sort_unstable_by_key(|peer| peer.preference);
    let mut serving = 0;
    for peer in group {
        if serving >= wanted {
            return;
        }
        peer.is_selected = true;
        serving += usize::from(peer.may_serve(now));
    }
}
