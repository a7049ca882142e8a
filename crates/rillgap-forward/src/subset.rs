//! Selection of the peers to which a node keeps links.
//!
//! Links between all pairs of nodes would grow with the square of the deployment. Each node
//! therefore opens links only to a subset of the peers of each service, mostly in its own zone. The
//! subset is selected by rendezvous hashing: the preference for a peer depends only on the names of
//! both nodes, so links are spread evenly over the deployment, change little when nodes join or
//! leave, and need no coordination. Both ends of a link may send requests, so a node also uses the
//! links that peers have opened to it: a new node that opens its own links can be reached by as
//! many callers as any other back end.
//!
//! Peers that are unreachable or do not serve are not counted: further peers in the order of
//! preference are selected until enough of them serve. The failed ones stay selected, so that links
//! to them are still attempted.

use std::collections::BTreeMap;

use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::peer::Peer;

/// Number of serving peers to select per service in the own zone.
const LOCAL_PEERS: usize = 6;
/// Number of serving peers to select per service in other zones.
const REMOTE_PEERS: usize = 4;

/// Returns the preference of a node for a peer; lower values are preferred.
pub fn preference(own_name: &str, peer_name: &str) -> u64 {
    let seed = xxh3_64_with_seed(own_name.as_bytes(), 0);
    xxh3_64_with_seed(peer_name.as_bytes(), seed)
}

/// Marks the peers to which the node keeps links.
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
        select_within_group(now, wanted, group);
    }
}

/// Marks the peers of a group in the order of preference until `wanted` of them may serve.
fn select_within_group(now: Instant, wanted: usize, mut group: Vec<&mut Peer>) {
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
