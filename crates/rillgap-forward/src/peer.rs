//! State of one peer: its record, its last reported status and the link to it.

use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;

use crate::back_end_notice::RequestRate;
use crate::id::LinkId;
use crate::message::{Hello, Load, NodeRecord, RateLimitReport, RememberedRateLimit, Status};
use crate::rate_limit::lease::{LEASE_LIFETIME, VOTE_LIFETIME, VoterProcess};
use crate::watcher_election;

/// Initial and maximum backoff before a link is opened again; doubles after each failure.
const RECONNECT_BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(1));

/// Time after which a peer that has not answered a ping is suspected.
const PING_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after the opening of a link for which a peer that has not served yet counts as able to
/// serve: when a whole deployment starts, no back end is confirmed before the first configuration.
const STARTUP_GRACE_PERIOD: Duration = Duration::from_secs(15);

/// Time after the opening of a link for which the peer may not have reported its contact with the store yet.
const STORE_CONTACT_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Time without a message after which a peer does not count as watching the store: two of its
/// reports are missing.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// State of the link to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Not open. If the peer is selected, a link is opened at `retry_at`.
    Closed {
        /// Earliest time of the next attempt.
        retry_at: Instant,
    },
    /// Being opened by this node.
    Opening(LinkId),
    /// Open, by either end.
    Open(LinkId),
}

/// A peer and the link to it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name, address and service of the peer.
    pub record: NodeRecord,
    /// Incarnation from the peer's last `Hello`; 0 before the first.
    pub incarnation: u64,
    /// State of the link to the peer.
    pub link: LinkState,
    /// When the last message was received on the link in use.
    pub last_received_at: Instant,
    /// When the last ping was sent.
    pub last_ping_at: Instant,
    /// When the first ping since the last received message was sent.
    first_unanswered_ping_at: Option<Instant>,
    /// Whether the peer has not answered a ping within the timeout.
    is_suspected: bool,
    /// Last status that the peer has reported.
    pub(crate) status: Status,
    /// Last incarnation of the back end that was reported to leave. It gets no requests although a
    /// restarted node, which has lost this state, may report it as serving.
    left_instance: Option<Fingerprint>,
    /// Last reported rate limit of the back end, kept over restarts of its node.
    rate_limit: Option<RememberedRateLimit>,
    /// Requests sent to the peer since its last report, minus those that have ended since.
    pub in_flight_since_report: i64,
    /// Requests of this node that are in flight at the peer.
    pub in_flight: u32,
    /// When the first of the requests in flight was sent.
    busy_since: Instant,
    /// Whether the peer belongs to the subset that this node keeps links to.
    pub(crate) is_selected: bool,
    /// Whether this node follows the peer for its contact with the store.
    pub(crate) is_followed: bool,
    /// Link on which the last `Follow(true)` was sent to the peer; `None` if it is not followed.
    pub(crate) follow_sent_on: Option<LinkId>,
    /// Hash that orders the peers by this node's preference; the lowest is preferred.
    pub(crate) preference: u64,
    /// Hash of the peer's name, which is its position in the order of watchers.
    name_hash: u64,
    /// When the link in use was put into use.
    link_in_use_since: Instant,
    /// Whether the peer's back end has accepted requests since the link was put into use.
    has_served_on_link: bool,
    /// Whether the last link was lost, or the last attempt to open one has failed.
    last_link_failed: bool,
    /// Since when the peer cannot own buckets: its link was lost, or it has reported so.
    bucket_ownership_lost_at: Instant,
    /// Since when the answer to a query for tokens is pending; `None` if none is.
    query_pending_since: Option<Instant>,
    /// First and last time at which the peer's address refused a link since the last one was open: no
    /// process of the peer was running.
    refused: Option<(Instant, Instant)>,
    reconnect_backoff: Duration,
}

impl Peer {
    pub(crate) fn new(record: NodeRecord, preference: u64, now: Instant) -> Self {
        let name_hash = watcher_election::name_hash(&record.name);
        Self {
            record,
            incarnation: 0,
            link: LinkState::Closed { retry_at: now },
            last_received_at: now,
            last_ping_at: now,
            first_unanswered_ping_at: None,
            is_suspected: false,
            status: Status::default(),
            left_instance: None,
            rate_limit: None,
            in_flight_since_report: 0,
            in_flight: 0,
            busy_since: now,
            is_selected: false,
            is_followed: false,
            follow_sent_on: None,
            preference,
            name_hash,
            link_in_use_since: now,
            has_served_on_link: false,
            last_link_failed: false,
            bucket_ownership_lost_at: now,
            query_pending_since: None,
            refused: None,
            reconnect_backoff: RECONNECT_BACKOFF_RANGE.0,
        }
    }

    /// Returns the last status that the peer has reported.
    pub const fn status(&self) -> &Status {
        &self.status
    }

    /// Returns the service of the peer's back end: from its status while a link is open, otherwise
    /// from its record.
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

    /// Returns the open link if the peer's back end accepts new requests and the peer is not
    /// suspected.
    pub fn serving_link(&self) -> Option<LinkId> {
        self.open_link()
            .filter(|_| self.takes_requests() && !self.is_suspected)
    }

    /// Returns whether the peer counts as able to serve: its back end accepts requests or may still
    /// be starting, or no attempt to reach it has failed.
    pub(crate) fn may_serve(&self, now: Instant) -> bool {
        match self.link {
            LinkState::Open(_) => self.takes_requests() || self.is_starting(now),
            LinkState::Opening(_) | LinkState::Closed { .. } => !self.last_link_failed,
        }
    }

    /// Returns whether the peer watches the store, according to a recent report.
    pub(crate) fn is_watching_store(&self, now: Instant) -> bool {
        let is_recent = now.saturating_since(self.last_received_at) < WATCHER_TIMEOUT;
        self.status.is_watching && self.open_link().is_some() && is_recent
    }

    /// Returns whether the last link to the peer was lost, or could not be opened.
    pub(crate) const fn last_link_failed(&self) -> bool {
        self.last_link_failed
    }

    /// Returns whether the peer may have a recent contact with the store: it has reported one, its
    /// link is new and it has reported nothing yet, or no attempt to reach it has failed.
    pub(crate) fn may_have_store_contact(
        &self,
        now: Instant,
        has_store_contact: impl Fn(LinkId) -> Option<bool>,
    ) -> bool {
        match self.link {
            LinkState::Open(link) => has_store_contact(link).unwrap_or_else(|| {
                now.saturating_since(self.link_in_use_since) < STORE_CONTACT_GRACE_PERIOD
            }),
            LinkState::Opening(_) | LinkState::Closed { .. } => !self.last_link_failed,
        }
    }

    /// Returns whether the peer precedes a node with this name hash in the order of watchers.
    pub(crate) const fn precedes(&self, name_hash: u64) -> bool {
        self.name_hash < name_hash
    }

    /// Returns whether the peer's back end may not have been confirmed yet.
    fn is_starting(&self, now: Instant) -> bool {
        let is_new = now.saturating_since(self.link_in_use_since) < STARTUP_GRACE_PERIOD;
        is_new && !self.has_served_on_link && !self.status.is_stopping
    }

    /// Records the first message on a link. If it is of a later incarnation and the link to the
    /// earlier one has not ended, the buckets of the earlier one are lost only now.
    pub(crate) fn observe_hello(&mut self, now: Instant, hello: &Hello) {
        let is_replaced = self.incarnation != hello.incarnation;
        if is_replaced && self.status.can_own_buckets && !self.last_link_failed {
            self.bucket_ownership_lost_at = now;
        }
        self.incarnation = hello.incarnation;
        self.record = hello.node.clone();
        self.status = hello.status.clone();
        self.remember_back_end();
    }

    /// Records a status that the peer has reported.
    pub(crate) fn observe_status(&mut self, now: Instant, status: Status) {
        if self.status.can_own_buckets && !status.can_own_buckets {
            self.bucket_ownership_lost_at = now;
        }
        self.status = status;
        self.remember_back_end();
        self.in_flight_since_report = 0;
        self.has_served_on_link |= self.takes_requests();
    }

    fn takes_requests(&self) -> bool {
        self.status.is_serving && !self.status.is_stopping && !self.has_left()
    }

    /// Returns whether the current incarnation of the back end has been reported to leave.
    fn has_left(&self) -> bool {
        self.left_instance.is_some() && self.left_instance == self.status.instance
    }

    /// Updates what is remembered of the back end from the last status.
    fn remember_back_end(&mut self) {
        let Some(instance) = self.status.instance else {
            return;
        };
        if self.status.has_left {
            self.left_instance = Some(instance);
        }
        match self.status.load.rate_limit {
            RateLimitReport::Limited(rate) => {
                self.rate_limit = Some(RememberedRateLimit { instance, rate });
            }
            RateLimitReport::Unlimited => self.rate_limit = None,
            RateLimitReport::Unknown => {
                self.rate_limit.take_if(|known| known.instance != instance);
            }
        }
    }

    /// Returns the rate limit that the back end has stated; `None` if it states none.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.rate_limit.map(|known| known.rate)
    }

    /// Returns the rate limit of the back end if the node beside it does not know it.
    pub(crate) fn forgotten_rate_limit(&self) -> Option<RememberedRateLimit> {
        let is_unknown = self.status.load.rate_limit == RateLimitReport::Unknown;
        self.rate_limit.filter(|_| is_unknown)
    }

    /// Records that a message was received on the link.
    pub fn record_received(&mut self, now: Instant) {
        self.last_received_at = now;
        self.query_pending_since = None;
        self.is_suspected = false;
    }

    /// Marks the peer as suspected if a ping has timed out. It then gets no new requests until the
    /// next message from it.
    pub fn suspect_if_silent(&mut self, now: Instant) {
        self.is_suspected = self.has_unanswered_ping(now);
    }

    fn has_unanswered_ping(&self, now: Instant) -> bool {
        self.first_unanswered_ping_at.is_some_and(|sent_at| {
            let is_old = now.saturating_since(sent_at) >= PING_TIMEOUT;
            sent_at > self.last_received_at && is_old
        })
    }

    /// Records that a ping is sent.
    pub fn record_ping_sent(&mut self, now: Instant) {
        let is_first = self
            .first_unanswered_ping_at
            .is_none_or(|since| since <= self.last_received_at);
        if is_first {
            self.first_unanswered_ping_at = Some(now);
        }
        self.last_ping_at = now;
    }

    /// Returns the time without a message from the peer while requests or a query are pending
    /// there; zero if nothing is pending.
    pub(crate) fn unanswered_for(&self, now: Instant) -> Duration {
        let busy_since = (self.in_flight > 0).then_some(self.busy_since);
        let since = busy_since.into_iter().chain(self.query_pending_since).min();
        since.map_or(Duration::ZERO, |since| {
            now.saturating_since(self.last_received_at.max(since))
        })
    }

    /// Records that a query is sent and its answer is pending.
    pub(crate) fn query_sent(&mut self, now: Instant) {
        self.query_pending_since.get_or_insert(now);
    }

    /// Returns the hash of the peer's name.
    pub(crate) const fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Returns whether the peer may own buckets, in this node's view. This includes a peer to which
    /// no link has been opened yet.
    pub(crate) const fn may_own_buckets(&self) -> bool {
        match self.link {
            LinkState::Open(_) => self.status.can_own_buckets,
            LinkState::Opening(_) | LinkState::Closed { .. } => !self.last_link_failed,
        }
    }

    /// Returns whether the peer's process has ended in a planned stop.
    pub(crate) const fn has_departed(&self) -> bool {
        self.status.is_stopping && self.open_link().is_none()
    }

    /// Records that the peer's address has refused a link. Returns whether this shows that the process
    /// has ended: links to this address were open before.
    pub(crate) fn record_refusal(&mut self, now: Instant) -> bool {
        if self.incarnation == 0 {
            return false;
        }
        let first = self.refused.map_or(now, |(first, _)| first);
        self.refused = Some((first, now));
        true
    }

    /// Returns what is known of the peer's process, as a voter.
    pub(crate) fn voter_process(&self, now: Instant) -> VoterProcess {
        match self.refused {
            Some((_, last)) if now.saturating_since(last) >= LEASE_LIFETIME => VoterProcess::MayRun,
            Some((first, _)) if now.saturating_since(first) >= VOTE_LIFETIME => {
                VoterProcess::EndedWithItsVotes
            }
            Some(_) => VoterProcess::Ended,
            None => VoterProcess::MayRun,
        }
    }

    /// Returns since when the peer cannot own buckets. Only valid while it cannot.
    pub(crate) const fn bucket_ownership_lost_at(&self) -> Instant {
        self.bucket_ownership_lost_at
    }

    /// Records that a request is sent.
    pub(crate) fn request_sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.busy_since = now;
        }
        self.in_flight += 1;
        self.in_flight_since_report += 1;
    }

    /// Records that a request has ended.
    pub(crate) fn request_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_since_report -= 1;
    }

    /// Records a report of the peer's load.
    pub fn observe_load(&mut self, load: Load) {
        self.status.load = load;
        self.remember_back_end();
        self.in_flight_since_report = 0;
    }

    /// Returns the estimated number of requests ahead of a new one of this level at the back end,
    /// as a fraction of its limit; may exceed 1.
    pub fn utilization(&self, level: Level) -> f64 {
        let load = self.status.load;
        let estimate = (i64::from(load.ahead_of(level)) + self.in_flight_since_report).max(0);
        estimate as f64 / f64::from(load.limit.max(1))
    }

    /// Replaces the record of the peer after its address or service has changed.
    pub(crate) fn update_record(&mut self, now: Instant, record: &NodeRecord) {
        self.record = record.clone();
        self.refused = None;
        self.last_link_failed = false;
        self.reconnect_soon(now);
    }

    /// Resets the backoff and schedules a closed link to be opened at the next opportunity.
    pub(crate) fn reconnect_soon(&mut self, now: Instant) {
        self.reconnect_backoff = RECONNECT_BACKOFF_RANGE.0;
        if let LinkState::Closed { retry_at } = &mut self.link {
            *retry_at = (*retry_at).min(now);
        }
    }

    /// Records that a link is open, and puts it into use.
    pub(crate) fn attach(&mut self, now: Instant, link: LinkId) {
        self.link = LinkState::Open(link);
        self.last_received_at = now;
        self.last_ping_at = now;
        self.first_unanswered_ping_at = None;
        self.is_suspected = false;
        self.last_link_failed = false;
        self.link_in_use_since = now;
        self.has_served_on_link = self.takes_requests();
        self.query_pending_since = None;
        self.refused = None;
        self.in_flight_since_report = 0;
        self.in_flight = 0;
        self.reconnect_backoff = RECONNECT_BACKOFF_RANGE.0;
    }

    /// Records that the link in use has ended, or could not be opened.
    pub(crate) fn detach(&mut self, now: Instant) {
        self.link = LinkState::Closed {
            retry_at: now + self.reconnect_backoff,
        };
        self.reconnect_backoff = (self.reconnect_backoff * 2).min(RECONNECT_BACKOFF_RANGE.1);
        if !self.last_link_failed {
            self.bucket_ownership_lost_at = now;
        }
        self.last_link_failed = true;
        self.query_pending_since = None;
        self.in_flight = 0;
        self.in_flight_since_report = 0;
    }
}
