//! Who is where: peers, their links and their back ends.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::id::LinkId;
use crate::message::{Hello, Load, NodeRecord, Status};

/// First and longest pause before a link is opened again.
const RECONNECT_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Time after which a peer that has not answered a ping is suspected.
const PING_PATIENCE: Duration = Duration::from_millis(150);

/// Where the link to a peer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// To be opened at this time.
    Closed {
        /// When.
        retry_at: Instant,
    },
    /// Being opened.
    Opening(LinkId),
    /// Open.
    Open(LinkId),
}

/// A peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// How it is reached.
    pub record: NodeRecord,
    /// Run of the peer, once it has introduced itself.
    pub incarnation: u64,
    /// Link to the peer.
    pub link: LinkState,
    /// When anything was heard on that link.
    pub heard_at: Instant,
    /// When the last ping was sent.
    pub pinged_at: Instant,
    /// When the first ping since the peer was heard was sent.
    pinged_since: Option<Instant>,
    /// Whether the peer has not answered a ping for a while.
    is_suspected: bool,
    /// What the peer says about its back end.
    pub status: Status,
    /// Requests sent to the peer since its last report, less those that have ended since.
    pub unreported: i64,
    /// Requests of this node that are under way there.
    pub in_flight: u32,
    pause: Duration,
}

impl Peer {
    fn new(record: NodeRecord, now: Instant) -> Self {
        Self {
            record,
            incarnation: 0,
            link: LinkState::Closed { retry_at: now },
            heard_at: now,
            pinged_at: now,
            pinged_since: None,
            is_suspected: false,
            status: Status::default(),
            unreported: 0,
            in_flight: 0,
            pause: RECONNECT_PAUSE.0,
        }
    }

    /// Returns the open link, if there is one.
    pub const fn open_link(&self) -> Option<LinkId> {
        match self.link {
            LinkState::Open(link) => Some(link),
            _ => None,
        }
    }

    /// Returns the open link if the peer's back end takes new requests and the peer is not
    /// suspected.
    pub fn serving_link(&self) -> Option<LinkId> {
        let takes_requests = self.status.is_serving && !self.status.is_stopping;
        self.open_link()
            .filter(|_| takes_requests && !self.is_suspected)
    }

    /// Takes in that something was heard on the link.
    pub fn heard(&mut self, now: Instant) {
        self.heard_at = now;
        self.is_suspected = false;
    }

    /// Suspects the peer if it has not answered a ping for a while: it gets no new requests until
    /// it is heard again.
    pub fn suspect_if_silent(&mut self, now: Instant) {
        self.is_suspected = self.has_unanswered_ping(now);
    }

    fn has_unanswered_ping(&self, now: Instant) -> bool {
        self.pinged_since.is_some_and(|pinged_at| {
            let is_old = now.saturating_since(pinged_at) >= PING_PATIENCE;
            pinged_at > self.heard_at && is_old
        })
    }

    /// Takes in that a ping is sent.
    pub fn pinged(&mut self, now: Instant) {
        let is_first = self.pinged_since.is_none_or(|since| since <= self.heard_at);
        if is_first {
            self.pinged_since = Some(now);
        }
        self.pinged_at = now;
    }

    /// Takes in a report of the peer's load.
    pub fn observe_load(&mut self, load: Load) {
        self.status.load = load;
        self.unreported = 0;
    }

    /// Returns the requests at the back end, as far as known, as a share of its limit.
    pub fn utilization(&self) -> f64 {
        let load = self.status.load;
        let reported = i64::from(load.running) + i64::from(load.queued);
        let estimate = (reported + self.unreported).max(i64::from(self.in_flight));
        estimate as f64 / f64::from(load.limit.max(1))
    }
}

/// All peers, by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    peers: BTreeMap<String, Peer>,
    by_link: BTreeMap<LinkId, String>,
}

impl Directory {
    /// Adds a peer, or takes over a new address or service of one.
    pub fn learn(&mut self, now: Instant, record: &NodeRecord) {
        match self.peers.get_mut(&record.name) {
            Some(peer) if peer.record == *record => {}
            Some(peer) => {
                peer.record = record.clone();
                if let LinkState::Closed { retry_at } = &mut peer.link {
                    *retry_at = now;
                }
            }
            None => {
                let peer = Peer::new(record.clone(), now);
                self.peers.insert(record.name.clone(), peer);
            }
        }
    }

    /// Makes sure that a link to a peer that shows itself is tried soon.
    pub fn hurry(&mut self, now: Instant, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.pause = RECONNECT_PAUSE.0;
            if let LinkState::Closed { retry_at } = &mut peer.link {
                *retry_at = (*retry_at).min(now);
            }
        }
    }

    /// Returns the peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the peers for changes.
    pub fn peers_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    /// Returns the peer at the other end of a link that this node opened.
    pub fn by_link(&mut self, link: LinkId) -> Option<&mut Peer> {
        let name = self.by_link.get(&link)?;
        self.peers.get_mut(name)
    }

    /// Adds each service's mean wait over its serving peers to `waits`, as sum and count.
    pub fn collect_waits(&self, waits: &mut BTreeMap<String, (u64, u64)>) {
        for peer in self.peers.values() {
            if peer.serving_link().is_none() {
                continue;
            }
            let (sum, count) = waits.entry(peer.status.service.clone()).or_default();
            *sum += u64::from(peer.status.load.wait_micros);
            *count += 1;
        }
    }

    /// Marks a link as being opened.
    pub fn opening(&mut self, name: &str, link: LinkId) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.link = LinkState::Opening(link);
            self.by_link.insert(link, name.to_owned());
        }
    }

    /// Marks a link as open; returns `false` if the link is not expected or its other end is not
    /// the expected node.
    pub fn opened(&mut self, now: Instant, link: LinkId, hello: &Hello) -> bool {
        let Some(peer) = self.by_link(link) else {
            return false;
        };
        if peer.link != LinkState::Opening(link) || peer.record.name != hello.node.name {
            return false;
        }
        peer.link = LinkState::Open(link);
        peer.incarnation = hello.incarnation;
        peer.record = hello.node.clone();
        peer.status = hello.status.clone();
        peer.heard_at = now;
        peer.pinged_at = now;
        peer.pinged_since = None;
        peer.is_suspected = false;
        peer.unreported = 0;
        peer.in_flight = 0;
        peer.pause = RECONNECT_PAUSE.0;
        true
    }

    /// Marks a link as closed; returns the peer's name if the link was one of this node's, and
    /// whether it had been open.
    pub fn closed(&mut self, now: Instant, link: LinkId) -> Option<(String, bool)> {
        let name = self.by_link.remove(&link)?;
        let peer = self.peers.get_mut(&name)?;
        let was_open = match peer.link {
            LinkState::Open(current) if current == link => true,
            LinkState::Opening(current) if current == link => false,
            _ => return None,
        };
        peer.link = LinkState::Closed {
            retry_at: now + peer.pause,
        };
        peer.pause = (peer.pause * 2).min(RECONNECT_PAUSE.1);
        peer.in_flight = 0;
        peer.unreported = 0;
        Some((name, was_open))
    }
}
