//! Directory of peers: their records, the links to them and the services of their back ends.
//!
//! A link carries requests in both directions, whichever end has opened it. If both ends open a
//! link at the same time, both use the one that the node with the lower name has opened. The other
//! link still carries requests of the peer, and replaces the first when that ends.

mod followed;
mod owners;
mod proofs;

pub use followed::FollowChange;
use owners::BucketOrder;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::id::LinkId;
use crate::message::{Hello, NodeRecord, Status};
use crate::peer::{LinkState, Peer};
use crate::rate_limit::ownership::TenantHash;
use crate::subset;

/// Maximum time between two selections of the subset: a selected peer may never begin to serve.
const SELECTION_INTERVAL: Duration = Duration::from_secs(1);

/// Index of a peer in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerIndex(usize);

/// All known peers and their links.
#[derive(Clone, Debug)]
pub struct Directory {
    own_name: String,
    own_zone: String,
    peers: Vec<Peer>,
    by_name: BTreeMap<String, PeerIndex>,
    /// All links that are open or being opened, including those not in use for the node's own
    /// requests.
    by_link: BTreeMap<LinkId, PeerIndex>,
    /// Peers with a link in use, by the service of their back end.
    linked: BTreeMap<String, Vec<PeerIndex>>,
    /// Tenants with a rate limit.
    limited_tenants: Vec<TenantHash>,
    /// Limited tenants that this node has received requests of.
    tenants_in_use: BTreeSet<TenantHash>,
    /// Tenants whose buckets this node wants to own.
    wanted_buckets: Vec<TenantHash>,
    /// Orders of owners, computed when needed; dropped when the known nodes or their links change.
    bucket_orders: BTreeMap<TenantHash, BucketOrder>,
    /// Number of queries for a proof so far; rotates the peers that are queried.
    proof_query_count: usize,
    /// Estimated number of nodes according to the last list; 0 before the first.
    estimated_nodes: usize,
    /// Whether the subset must be selected again.
    is_subset_due: bool,
    /// When the subset is selected again even if nothing has changed.
    next_selection_at: Instant,
}

impl Directory {
    /// Creates an empty directory for the node with this record.
    pub fn new(own: &NodeRecord) -> Self {
        Self {
            own_name: own.name.clone(),
            own_zone: own.zone.clone(),
            peers: Vec::new(),
            by_name: BTreeMap::new(),
            by_link: BTreeMap::new(),
            linked: BTreeMap::new(),
            limited_tenants: Vec::new(),
            tenants_in_use: BTreeSet::new(),
            wanted_buckets: Vec::new(),
            bucket_orders: BTreeMap::new(),
            proof_query_count: 0,
            estimated_nodes: 0,
            is_subset_due: false,
            next_selection_at: Instant::default(),
        }
    }

    /// Adds a peer, or updates the address or service of a known one.
    pub fn add_or_update(&mut self, now: Instant, record: &NodeRecord) {
        if record.name == self.own_name {
            return;
        }
        match self.by_name.get(&record.name) {
            Some(index) => {
                let index = *index;
                if self.peers[index.0].record != *record {
                    self.peers[index.0].update_record(now, record);
                    self.reindex(index);
                }
            }
            None => self.add(now, record),
        }
    }

    fn add(&mut self, now: Instant, record: &NodeRecord) {
        let preference = subset::preference(&self.own_name, &record.name);
        let index = PeerIndex(self.peers.len());
        self.peers.push(Peer::new(record.clone(), preference, now));
        self.bucket_orders.clear();
        self.by_name.insert(record.name.clone(), index);
        self.is_subset_due = true;
    }

    /// Returns all known peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Returns the number of known peers.
    pub const fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub const fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the peer with this index.
    pub fn peer(&self, index: PeerIndex) -> &Peer {
        &self.peers[index.0]
    }

    /// Returns the peers with a link in use whose back end runs a service, with their indices.
    pub fn linked(&self, service: &str) -> impl Iterator<Item = (PeerIndex, &Peer)> {
        let indices = self.linked.get(service).into_iter().flatten();
        indices.map(|index| (*index, &self.peers[index.0]))
    }

    /// Calls `visit` for every peer with a link in use.
    pub fn for_each_linked(&mut self, mut visit: impl FnMut(&mut Peer)) {
        for index in self.linked.values().flatten() {
            visit(&mut self.peers[index.0]);
        }
    }

    /// Returns all open links, including those not in use for the node's own requests.
    pub fn open_links(&self) -> impl Iterator<Item = LinkId> {
        self.by_link
            .iter()
            .filter(|(link, index)| self.peers[index.0].link != LinkState::Opening(**link))
            .map(|(link, _)| *link)
    }

    /// Returns the index of the peer at the other end of a link.
    pub fn index_by_link(&self, link: LinkId) -> Option<PeerIndex> {
        self.by_link.get(&link).copied()
    }

    /// Returns the peer at the other end of a link.
    pub fn by_link(&mut self, link: LinkId) -> Option<&mut Peer> {
        let index = self.by_link.get(&link)?;
        self.peers.get_mut(index.0)
    }

    /// Records that a message has arrived on a link.
    pub fn record_received(&mut self, now: Instant, link: LinkId) {
        if let Some(peer) = self.by_link(link)
            && peer.link == LinkState::Open(link)
        {
            peer.record_received(now);
        }
    }

    /// Records the status that the peer on a link has reported.
    pub fn on_status(&mut self, now: Instant, link: LinkId, status: Status) {
        let Some(index) = self.by_link.get(&link).copied() else {
            return;
        };
        let peer = &mut self.peers[index.0];
        let is_same_service = peer.status.service == status.service;
        let is_same_standing = peer.status.is_serving == status.is_serving
            && peer.status.is_stopping == status.is_stopping;
        peer.observe_status(now, status);
        self.is_subset_due |= !is_same_standing;
        if !is_same_service {
            self.reindex(index);
        }
    }

    /// Returns the estimated number of nodes, this one included.
    pub fn estimated_nodes(&self) -> usize {
        self.estimated_nodes.max(self.peers.len() + 1)
    }

    /// Returns the number of nodes, this one included, as far as a list of nodes has told it; `None`
    /// before the first list.
    pub fn known_nodes(&self) -> Option<usize> {
        (self.estimated_nodes > 0).then(|| self.estimated_nodes())
    }

    /// Makes the next selection of peers due: followed ones have lost their contact with the store.
    pub const fn select_soon(&mut self) {
        self.is_subset_due = true;
    }

    /// Selects the peers that links are kept to if a relevant change has occurred or the selection
    /// interval has elapsed. `has_store_contact` returns whether the peer on a link has a recent
    /// contact with the store, if it has reported.
    pub fn update_subset(
        &mut self,
        now: Instant,
        has_store_contact: impl Fn(LinkId) -> Option<bool>,
    ) {
        if std::mem::take(&mut self.is_subset_due) || now >= self.next_selection_at {
            self.next_selection_at = now + SELECTION_INTERVAL;
            subset::select_peers(now, &self.own_zone, self.peers.iter_mut());
            self.select_bucket_owners();
            self.select_followed(now, has_store_contact);
        }
    }

    /// Returns the selected peers whose link is due to be opened.
    pub fn peers_to_connect(&self, now: Instant) -> Vec<PeerIndex> {
        let is_due = |peer: &Peer| matches!(peer.link, LinkState::Closed { retry_at } if peer.is_selected && retry_at <= now);
        (0..self.peers.len())
            .filter(|index| is_due(&self.peers[*index]))
            .map(PeerIndex)
            .collect()
    }

    /// Marks a link to a peer as being opened.
    pub fn mark_opening(&mut self, index: PeerIndex, link: LinkId) {
        self.peers[index.0].link = LinkState::Opening(link);
        self.by_link.insert(link, index);
    }

    /// Records that a link which this node has opened is up. Returns `false` if the link is unknown
    /// or superseded, or if its other end is not the expected node.
    pub fn on_opened(&mut self, now: Instant, link: LinkId, hello: &Hello) -> bool {
        let Some(index) = self.by_link.get(&link).copied() else {
            return false;
        };
        let peer = &self.peers[index.0];
        if peer.link != LinkState::Opening(link) || peer.record.name != hello.node.name {
            return false;
        }
        self.apply_hello(now, index, hello);
        self.attach(now, index, link);
        true
    }

    /// Records that a peer has opened a link. Returns the link of an earlier run of the peer that
    /// it replaces, if there is one.
    pub fn on_accepted(&mut self, now: Instant, link: LinkId, hello: &Hello) -> Option<LinkId> {
        self.add_or_update(now, &hello.node);
        let index = self.by_name.get(&hello.node.name).copied()?;
        self.by_link.insert(link, index);
        let peer = &self.peers[index.0];
        let is_same_run = peer.incarnation == hello.incarnation;
        let state = peer.link;
        match state {
            LinkState::Open(_) if is_same_run => None,
            // Both ends compare the names, so that they use the same one of the two links.
            LinkState::Opening(_) if self.own_name < hello.node.name => {
                self.apply_hello(now, index, hello);
                None
            }
            LinkState::Opening(superseded) => {
                self.by_link.remove(&superseded);
                self.apply_hello(now, index, hello);
                self.attach(now, index, link);
                None
            }
            LinkState::Open(replaced) => {
                self.by_link.remove(&replaced);
                self.apply_hello(now, index, hello);
                self.attach(now, index, link);
                Some(replaced)
            }
            LinkState::Closed { .. } => {
                self.apply_hello(now, index, hello);
                self.attach(now, index, link);
                None
            }
        }
    }

    /// Records that the address of a peer has refused a link that was being opened. Returns the name
    /// hash of the peer if its process has ended, as far as this node has known it.
    pub fn on_refused(&mut self, now: Instant, link: LinkId) -> Option<u64> {
        let index = self.by_link.get(&link)?;
        let peer = &mut self.peers[index.0];
        if peer.link != LinkState::Opening(link) {
            return None;
        }
        peer.record_refusal(now).then_some(peer.name_hash())
    }

    /// Records that a link has ended. Returns the name of the peer and whether the link was in use;
    /// `None` if the link is unknown.
    pub fn on_closed(&mut self, now: Instant, link: LinkId) -> Option<(String, bool)> {
        let index = self.by_link.remove(&link)?;
        let state = self.peers[index.0].link;
        let was_open = state == LinkState::Open(link);
        if was_open || state == LinkState::Opening(link) {
            self.peers[index.0].detach(now);
            self.reindex(index);
            self.use_spare_link(now, index);
        }
        Some((self.peers[index.0].record.name.clone(), was_open))
    }

    fn apply_hello(&mut self, now: Instant, index: PeerIndex, hello: &Hello) {
        self.peers[index.0].observe_hello(now, hello);
    }

    fn attach(&mut self, now: Instant, index: PeerIndex, link: LinkId) {
        self.peers[index.0].attach(now, link);
        self.reindex(index);
    }

    /// Switches to another open link of the peer, if there is one.
    fn use_spare_link(&mut self, now: Instant, index: PeerIndex) {
        let mut links = self.by_link.iter();
        let spare = links.find(|(_, other)| **other == index);
        if let Some(link) = spare.map(|(link, _)| *link) {
            self.attach(now, index, link);
        }
    }

    /// Updates the index by service after the link or the service of a peer has changed.
    fn reindex(&mut self, index: PeerIndex) {
        self.is_subset_due = true;
        self.bucket_orders.clear();
        for indices in self.linked.values_mut() {
            indices.retain(|other| *other != index);
        }
        let peer = &self.peers[index.0];
        if peer.open_link().is_some() {
            let service = peer.service().to_owned();
            self.linked.entry(service).or_default().push(index);
        }
    }
}
