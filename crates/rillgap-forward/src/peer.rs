//! One peer: how it is reached, what it says of its back end, how its link stands.

use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use crate::id::LinkId;
use crate::message::{Load, NodeRecord, Status};
use crate::watcher_election;

/// First and longest pause before a link is opened again.
const RECONNECT_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Time after which a peer that has not answered a ping is suspected.
const PING_PATIENCE: Duration = Duration::from_millis(150);

/// Time after the opening of a link for which a peer that has not served yet is counted on: when a
/// whole deployment starts, no back end is confirmed before the first configuration.
const START_PATIENCE: Duration = Duration::from_secs(15);

/// Time after the opening of a link in which its end may have no news of the store yet.
const NEWS_PATIENCE: Duration = Duration::from_secs(2);

/// Silence after which a peer that watches the store does not count any more: two of its reports are
/// missing.
const WATCHER_SILENCE: Duration = Duration::from_millis(1_600);

/// Where the link to a peer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Not open; if the peer is wanted, it is opened at this time.
    Closed {
        /// When.
        retry_at: Instant,
    },
    /// Being opened.
    Opening(LinkId),
    /// Open, by whichever end.
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
    pub(crate) status: Status,
    /// Requests sent to the peer since its last report, less those that have ended since.
    pub unreported: i64,
    /// Requests of this node that are under way there.
    pub in_flight: u32,
    /// When the first of them was sent.
    busy_since: Instant,
    /// Whether the peer belongs to the subset that the node keeps links to.
    pub(crate) is_selected: bool,
    /// Whether the node follows the peer for news of the store.
    pub(crate) is_followed: bool,
    /// Link on which the peer was told that it is followed.
    pub(crate) followed_on: Option<LinkId>,
    /// Place of the peer in this node's order of preference; the lowest is preferred.
    pub(crate) preference: u64,
    /// Place of the peer in the order in which nodes watch the store.
    watch_place: u64,
    /// When the link in use was taken into use.
    attached_at: Instant,
    /// Whether the peer's back end has taken requests since then.
    has_served: bool,
    /// Whether the last link was lost, or the last attempt to open one has failed.
    has_failed: bool,
    /// Since when the peer cannot own buckets: its link was lost, or it has said so.
    away_since: Instant,
    /// Since when an answer to a query for tokens is awaited.
    asked_since: Option<Instant>,
    pause: Duration,
}

impl Peer {
    pub(crate) fn new(record: NodeRecord, preference: u64, now: Instant) -> Self {
        let watch_place = watcher_election::name_hash(&record.name);
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
            busy_since: now,
            is_selected: false,
            is_followed: false,
            followed_on: None,
            preference,
            watch_place,
            attached_at: now,
            has_served: false,
            has_failed: false,
            away_since: now,
            asked_since: None,
            pause: RECONNECT_PAUSE.0,
        }
    }

    /// Returns what the peer says about its back end.
    pub const fn status(&self) -> &Status {
        &self.status
    }

    /// Returns the service of the peer's back end: what it says itself, or what its record says.
    pub fn service(&self) -> &str {
        if self.open_link().is_some() && !self.status.service.is_empty() {
            return &self.status.service;
        }
        &self.record.service
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
        self.open_link()
            .filter(|_| self.takes_requests() && !self.is_suspected)
    }

    /// Returns whether the peer may be counted on: it serves, or nothing speaks against it yet.
    pub(crate) fn may_serve(&self, now: Instant) -> bool {
        match self.link {
            LinkState::Open(_) => self.takes_requests() || self.is_starting(now),
            LinkState::Opening(_) | LinkState::Closed { .. } => !self.has_failed,
        }
    }

    /// Returns whether the peer watches the store, as far as it has lately said.
    pub(crate) fn watches(&self, now: Instant) -> bool {
        let is_fresh = now.saturating_since(self.heard_at) < WATCHER_SILENCE;
        self.status.is_watching && self.open_link().is_some() && is_fresh
    }

    /// Returns whether the last link to the peer was lost, or could not be opened.
    pub(crate) const fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns whether news of the store may be expected of the peer: it has some, or nothing speaks against it yet.
    pub(crate) fn may_have_news(&self, now: Instant, has_news: impl Fn(LinkId) -> bool) -> bool {
        match self.link {
            LinkState::Open(link) => {
                let is_new = now.saturating_since(self.attached_at) < NEWS_PATIENCE;
                has_news(link) || is_new
            }
            LinkState::Opening(_) | LinkState::Closed { .. } => !self.has_failed,
        }
    }

    /// Returns whether the peer watches the store before a node with this place does.
    pub(crate) const fn precedes(&self, place: u64) -> bool {
        self.watch_place < place
    }

    /// Returns whether the peer's back end may not have been confirmed yet.
    fn is_starting(&self, now: Instant) -> bool {
        let is_new = now.saturating_since(self.attached_at) < START_PATIENCE;
        is_new && !self.has_served && !self.status.is_stopping
    }

    /// Takes in what the peer says about its back end.
    pub(crate) fn observe_status(&mut self, now: Instant, status: Status) {
        if self.status.can_own_buckets && !status.can_own_buckets {
            self.away_since = now;
        }
        self.status = status;
        self.unreported = 0;
        self.has_served |= self.takes_requests();
    }

    const fn takes_requests(&self) -> bool {
        self.status.is_serving && !self.status.is_stopping
    }

    /// Takes in that something was heard on the link.
    pub fn heard(&mut self, now: Instant) {
        self.heard_at = now;
        self.asked_since = None;
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

    /// Returns for how long nothing was heard of the peer although requests are under way there.
    pub(crate) fn unanswered_for(&self, now: Instant) -> Duration {
        let busy_since = (self.in_flight > 0).then_some(self.busy_since);
        let since = busy_since.into_iter().chain(self.asked_since).min();
        since.map_or(Duration::ZERO, |since| {
            now.saturating_since(self.heard_at.max(since))
        })
    }

    /// Takes in that a query is sent whose answer is awaited.
    pub(crate) fn query_sent(&mut self, now: Instant) {
        self.asked_since.get_or_insert(now);
    }

    /// Returns the hash of the peer's name.
    pub(crate) const fn name_hash(&self) -> u64 {
        self.watch_place
    }

    /// Returns whether the peer may own buckets, as far as this node can tell: one that no link was
    /// tried to counts.
    pub(crate) const fn may_own_buckets(&self) -> bool {
        match self.link {
            LinkState::Open(_) => self.status.can_own_buckets,
            LinkState::Opening(_) | LinkState::Closed { .. } => !self.has_failed,
        }
    }

    /// Returns since when the peer cannot own buckets; meaningless while it can.
    pub(crate) const fn away_since(&self) -> Instant {
        self.away_since
    }

    /// Takes in that a request is sent.
    pub(crate) fn request_sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.busy_since = now;
        }
        self.in_flight += 1;
        self.unreported += 1;
    }

    /// Takes in that a request has ended.
    pub(crate) fn request_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unreported -= 1;
    }

    /// Takes in a report of the peer's load.
    pub fn observe_load(&mut self, load: Load) {
        self.status.load = load;
        self.unreported = 0;
    }

    /// Returns the requests that a new one of this level would find before it at the back end, as far
    /// as known, as a share of its limit.
    pub fn utilization(&self, level: Level) -> f64 {
        let load = self.status.load;
        let estimate = (i64::from(load.ahead_of(level)) + self.unreported).max(0);
        estimate as f64 / f64::from(load.limit.max(1))
    }

    /// Takes over a new address or service of the peer.
    pub(crate) fn renew(&mut self, now: Instant, record: &NodeRecord) {
        self.record = record.clone();
        self.has_failed = false;
        self.hurry(now);
    }

    /// Makes sure that a link that is to be opened is tried soon.
    pub(crate) fn hurry(&mut self, now: Instant) {
        self.pause = RECONNECT_PAUSE.0;
        if let LinkState::Closed { retry_at } = &mut self.link {
            *retry_at = (*retry_at).min(now);
        }
    }

    /// Takes in that a link is open and is to be used.
    pub(crate) fn attach(&mut self, now: Instant, link: LinkId) {
        self.link = LinkState::Open(link);
        self.heard_at = now;
        self.pinged_at = now;
        self.pinged_since = None;
        self.is_suspected = false;
        self.has_failed = false;
        self.attached_at = now;
        self.has_served = self.takes_requests();
        self.asked_since = None;
        self.unreported = 0;
        self.in_flight = 0;
        self.pause = RECONNECT_PAUSE.0;
    }

    /// Takes in that the link in use has ended, or could not be opened.
    pub(crate) fn detach(&mut self, now: Instant) {
        self.link = LinkState::Closed {
            retry_at: now + self.pause,
        };
        self.pause = (self.pause * 2).min(RECONNECT_PAUSE.1);
        if !self.has_failed {
            self.away_since = now;
        }
        self.has_failed = true;
        self.asked_since = None;
        self.in_flight = 0;
        self.unreported = 0;
    }
}
