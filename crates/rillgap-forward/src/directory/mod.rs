//! Who is where: peers, the links to them and the services that they run.
//!
//! A link serves both ends, whichever of them has opened it. Of two links that both ends open at the
//! same time, the one of the node with the lower name is used; a link that is not used for the own
//! requests still carries those of the peer, and takes over when the other one ends.

mod followed;
mod owners;
mod proofs;

pub use followed::FollowChange;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::id::LinkId;
use crate::message::{Hello, NodeRecord, Status};
use crate::peer::{LinkState, Peer};
use crate::rate_limit::ownership::TenantHash;
use crate::subset;

/// Longest time between two choices of the subset: peers that are waited for may never serve.
const CHOICE_INTERVAL: Duration = Duration::from_secs(1);

/// Place of a peer in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerIndex(usize);

/// All peers that are known.
#[derive(Clone, Debug)]
pub struct Directory {
    own_name: String,
    own_zone: String,
    peers: Vec<Peer>,
    by_name: BTreeMap<String, PeerIndex>,
    /// Links that are open or being opened, those that are not in use included.
    by_link: BTreeMap<LinkId, PeerIndex>,
    /// Peers with a link in use, by the service that they run.
    linked: BTreeMap<String, Vec<PeerIndex>>,
    /// Tenants with a limit.
    limited: Vec<TenantHash>,
    /// Those of them that requests have come of at this node.
    in_use: BTreeSet<TenantHash>,
    /// Counts the queries for a proof, so that each goes to other peers.
    proof_turn: usize,
    /// About how many nodes there are, by the last list.
    estimated_nodes: usize,
    /// Whether the subset must be chosen again.
    is_subset_due: bool,
    /// When it is chosen again in any case.
    next_choice: Instant,
}

impl Directory {
    /// Creates the directory of a fresh node.
    pub fn new(own: &NodeRecord) -> Self {
        Self {
            own_name: own.name.clone(),
            own_zone: own.zone.clone(),
            peers: Vec::new(),
            by_name: BTreeMap::new(),
            by_link: BTreeMap::new(),
            linked: BTreeMap::new(),
            limited: Vec::new(),
            in_use: BTreeSet::new(),
            proof_turn: 0,
            estimated_nodes: 0,
            is_subset_due: false,
            next_choice: Instant::default(),
        }
    }

    /// Adds a peer, or takes over a new address or service of one.
    pub fn learn(&mut self, now: Instant, record: &NodeRecord) {
        if record.name == self.own_name {
            return;
        }
        match self.by_name.get(&record.name) {
            Some(index) => {
                let index = *index;
                if self.peers[index.0].record != *record {
                    self.peers[index.0].renew(now, record);
                    self.relist(index);
                }
            }
            None => self.add(now, record),
        }
    }

    fn add(&mut self, now: Instant, record: &NodeRecord) {
        let preference = subset::preference(&self.own_name, &record.name);
        let index = PeerIndex(self.peers.len());
        self.peers.push(Peer::new(record.clone(), preference, now));
        self.by_name.insert(record.name.clone(), index);
        self.is_subset_due = true;
    }

    /// Returns the peers.
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

    /// Returns a peer.
    pub fn peer(&self, index: PeerIndex) -> &Peer {
        &self.peers[index.0]
    }

    /// Returns the peers with a link in use whose back end runs a service, with their places.
    pub fn linked(&self, service: &str) -> impl Iterator<Item = (PeerIndex, &Peer)> {
        let indices = self.linked.get(service).into_iter().flatten();
        indices.map(|index| (*index, &self.peers[index.0]))
    }

    /// Shows every peer with a link in use to `visit`, which may change it.
    pub fn for_each_linked(&mut self, mut visit: impl FnMut(&mut Peer)) {
        for index in self.linked.values().flatten() {
            visit(&mut self.peers[index.0]);
        }
    }

    /// Returns all open links, those that are not in use for the own requests included.
    pub fn open_links(&self) -> impl Iterator<Item = LinkId> {
        self.by_link
            .iter()
            .filter(|(link, index)| self.peers[index.0].link != LinkState::Opening(**link))
            .map(|(link, _)| *link)
    }

    /// Returns the peer at the other end of a link.
    pub fn by_link(&mut self, link: LinkId) -> Option<&mut Peer> {
        let index = self.by_link.get(&link)?;
        self.peers.get_mut(index.0)
    }

    /// Takes in that something has arrived on a link.
    pub fn heard(&mut self, now: Instant, link: LinkId) {
        if let Some(peer) = self.by_link(link)
            && peer.link == LinkState::Open(link)
        {
            peer.heard(now);
        }
    }

    /// Takes in what a peer says about its back end.
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
            self.relist(index);
        }
    }

    /// Returns about how many nodes there are.
    pub fn estimated_nodes(&self) -> usize {
        self.estimated_nodes.max(self.peers.len() + 1)
    }

    /// Chooses the peers that links are kept to, if anything has changed since the last choice or some
    /// time has passed. `has_news` tells whether the peer on a link has fresh news of the store.
    pub fn update_subset(&mut self, now: Instant, has_news: impl Fn(LinkId) -> bool) {
        if std::mem::take(&mut self.is_subset_due) || now >= self.next_choice {
            self.next_choice = now + CHOICE_INTERVAL;
            subset::select_peers(now, &self.own_zone, self.peers.iter_mut());
            self.want_owners();
            self.choose_followed(now, has_news);
        }
    }

    /// Asks for a choice of the subset at the next occasion.
    pub const fn choose_soon(&mut self) {
        self.is_subset_due = true;
    }

    /// Returns the wanted peers whose link is due to be opened.
    pub fn due(&self, now: Instant) -> Vec<PeerIndex> {
        let is_due = |peer: &Peer| matches!(peer.link, LinkState::Closed { retry_at } if peer.is_selected && retry_at <= now);
        (0..self.peers.len())
            .filter(|index| is_due(&self.peers[*index]))
            .map(PeerIndex)
            .collect()
    }

    /// Marks a link as being opened.
    pub fn opening(&mut self, index: PeerIndex, link: LinkId) {
        self.peers[index.0].link = LinkState::Opening(link);
        self.by_link.insert(link, index);
    }

    /// Takes in that a link which this node has opened is up; returns `false` if it is not expected,
    /// not needed any more, or its other end is not the expected node.
    pub fn opened(&mut self, now: Instant, link: LinkId, hello: &Hello) -> bool {
        let Some(index) = self.by_link.get(&link).copied() else {
            return false;
        };
        let peer = &self.peers[index.0];
        if peer.link != LinkState::Opening(link) || peer.record.name != hello.node.name {
            return false;
        }
        self.introduce(index, hello);
        self.attach(now, index, link);
        true
    }

    /// Takes in that a peer has opened a link; returns the link that it replaces, if there is one: that
    /// of an earlier run of the peer.
    pub fn accepted(&mut self, now: Instant, link: LinkId, hello: &Hello) -> Option<LinkId> {
        self.learn(now, &hello.node);
        let index = self.by_name.get(&hello.node.name).copied()?;
        self.by_link.insert(link, index);
        let peer = &self.peers[index.0];
        let is_same_run = peer.incarnation == hello.incarnation;
        let state = peer.link;
        match state {
            LinkState::Open(_) if is_same_run => None,
            // Both ends go by names, so that they keep the same one of two links.
            LinkState::Opening(_) if self.own_name < hello.node.name => {
                self.introduce(index, hello);
                None
            }
            LinkState::Opening(given_up) => {
                self.by_link.remove(&given_up);
                self.introduce(index, hello);
                self.attach(now, index, link);
                None
            }
            LinkState::Open(replaced) => {
                self.by_link.remove(&replaced);
                self.introduce(index, hello);
                self.attach(now, index, link);
                Some(replaced)
            }
            LinkState::Closed { .. } => {
                self.introduce(index, hello);
                self.attach(now, index, link);
                None
            }
        }
    }

    /// Takes in that a link has ended; returns the peer's name and whether the link was in use, if it
    /// was known.
    pub fn closed(&mut self, now: Instant, link: LinkId) -> Option<(String, bool)> {
        let index = self.by_link.remove(&link)?;
        let state = self.peers[index.0].link;
        let was_open = state == LinkState::Open(link);
        if was_open || state == LinkState::Opening(link) {
            self.peers[index.0].detach(now);
            self.relist(index);
            self.use_spare_link(now, index);
        }
        Some((self.peers[index.0].record.name.clone(), was_open))
    }

    fn introduce(&mut self, index: PeerIndex, hello: &Hello) {
        let peer = &mut self.peers[index.0];
        peer.incarnation = hello.incarnation;
        peer.record = hello.node.clone();
        peer.status = hello.status.clone();
    }

    fn attach(&mut self, now: Instant, index: PeerIndex, link: LinkId) {
        self.peers[index.0].attach(now, link);
        self.relist(index);
    }

    /// Takes another link of the peer into use.
    fn use_spare_link(&mut self, now: Instant, index: PeerIndex) {
        let mut links = self.by_link.iter();
        let spare = links.find(|(_, other)| **other == index);
        if let Some(link) = spare.map(|(link, _)| *link) {
            self.attach(now, index, link);
        }
    }

    /// Puts a peer whose link or service has changed where it now belongs.
    fn relist(&mut self, index: PeerIndex) {
        self.is_subset_due = true;
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
