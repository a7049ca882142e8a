//! Requests of a node to the store: for the configuration, its own record and its first peers.
//!
//! The store is the only address that all nodes know. A node registers its record and then lists
//! other nodes: those with the lowest name hashes, which watch the store for all others, and the
//! successors of its own name hash. The size of this list does not depend on the size of the
//! deployment. The list may be some seconds old: if it contains the node's own record, it is recent
//! enough.
//!
//! A node usually receives the configuration from its peers. If it receives none, it reads the
//! configuration from the store after a delay that grows with the number of nodes and differs from
//! node to node, so that only a few of many nodes that start together read it. The nodes that are
//! elected as watchers (see [`watcher_election`](crate::watcher_election)) watch the configuration by long
//! polling.
//!
//! When the store is restored from a backup (see [`store_epoch`](crate::store_epoch)), the node
//! reads what it watches again and writes its record again.

mod call;
mod chain;

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

pub use call::{
    ListExtent, NodeList, StoreEvent, StoreFailure, StoreReply, StoreRequest, StoreRequestId,
};
use chain::Chain;

use crate::configuration::Configuration;
use crate::message::NodeRecord;
use crate::store_epoch::{StoreEpoch, StorePosition};
use crate::watcher_election;

/// Timeout of a request, in addition to the wait of a watch. A slow store replies within a third of
/// it; after an outage, a short timeout lets the node call a recovered store again soon.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay between the registration of a new node and its list when a whole deployment starts for the
/// first time: each node then lists nearly all others, so that links are spread evenly. A node that
/// restarts lists at once, since the store already holds the records of the others.
const FIRST_LIST_PAUSE: Duration = Duration::from_millis(500);

/// Delay before the list is requested again if it is incomplete, usually because it lacks the
/// node's own record.
const LIST_AGAIN_PAUSE: Duration = Duration::from_millis(500);
/// Number of incomplete lists after which the node requests one that may not be stale.
const MOST_OLD_LISTS: u32 = 8;
/// Time per other node over which nodes without a configuration spread their reads of it. Nodes
/// that start at the same moment receive it from the first of them that reads it.
const READ_PACE: Duration = Duration::from_millis(2);
/// Maximum time for which a node without a configuration waits for its peers after its list.
const LONGEST_READ_PAUSE: Duration = Duration::from_secs(2);
/// Time after its start at which a node reads the configuration even if it has received no list.
const READ_WITHOUT_LIST: Duration = Duration::from_secs(3);

/// Time beyond the wait of a watch after which a node without a reply no longer counts as watching.
const LATE_ANSWER: Duration = Duration::from_millis(600);

/// Fraction of the store's write rate that the nodes of a deployment use together to write their
/// records again: the restore of the store becomes known to all of them at nearly the same moment.
const REGISTRATION_RATE_SHARE: f64 = 0.75;

/// State of the node's watch of the configuration.
#[derive(Clone, Copy, Debug, Default)]
struct Watch {
    /// Position to continue from; `None` before the first read and after the position has expired.
    position: Option<StorePosition>,
    /// Version of the configuration that the store held at `position`; 0 for none.
    version: u64,
    /// Time for which a watch request waits; `None` if the node need not watch.
    wait: Option<Duration>,
    /// Start of the watch or time of the last reply; `None` after a failed request.
    fresh_since: Option<Instant>,
    /// Proof from the last reply that established the newest configuration.
    proof: Option<StoreProof>,
}

/// Proof of which configuration was the newest one in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreProof {
    /// When the request was sent whose reply is the proof.
    pub at: Instant,
    /// Version of the configuration; 0 for none.
    pub version: u64,
}

impl Watch {
    fn is_fresh(&self, now: Instant) -> bool {
        let (Some(wait), Some(since)) = (self.wait, self.fresh_since) else {
            return false;
        };
        now.saturating_since(since) < wait + LATE_ANSWER
    }
}

/// State of one node's requests to the store.
#[derive(Clone, Debug)]
pub struct StoreSync {
    record: NodeRecord,
    /// Highest epoch reported by the store or a peer; `None` if there was no report.
    epoch: Option<StoreEpoch>,
    /// Whether the record may have been lost when the store was restored.
    is_registration_due: bool,
    /// Whether the back end has left for good, so that the record has to be removed.
    is_leaving: bool,
    /// Whether the whole deployment starts for the first time.
    is_first_start: bool,
    /// Write requests per second that the store accepts from all nodes together.
    writes_per_second: f64,
    /// Estimated number of nodes.
    nodes: usize,
    /// Whether the store held no record of this node before it registered.
    is_new: bool,
    /// Whether a complete list was received.
    has_listed: bool,
    /// How many records to request.
    extent: ListExtent,
    /// Number of incomplete lists received.
    old_lists: u32,
    /// Whether a configuration is in force on this node.
    has_configuration: bool,
    ids: u64,
    configuration: Chain,
    watch: Watch,
    membership: Chain,
}

impl StoreSync {
    /// Creates the state of a node that starts. `is_first_start` says whether all other nodes start
    /// at the same time, for the first time; `writes_per_second` is the write rate that the store
    /// accepts from all nodes together.
    pub fn new(
        now: Instant,
        record: NodeRecord,
        is_first_start: bool,
        writes_per_second: f64,
    ) -> Self {
        let share = place_share(&record.name);
        let read_at = now + READ_WITHOUT_LIST;
        Self {
            is_first_start,
            writes_per_second,
            nodes: 1,
            is_new: false,
            old_lists: 0,
            has_configuration: false,
            epoch: None,
            is_registration_due: false,
            is_leaving: false,
            has_listed: false,
            extent: ListExtent::Part,
            ids: 0,
            configuration: Chain::new(StoreRequest::ReadConfiguration, read_at, share),
            watch: Watch::default(),
            membership: Chain::new(StoreRequest::Register(record.clone()), now, share),
            record,
        }
    }

    /// Returns the requests that are due.
    pub fn poll(&mut self, now: Instant) -> Vec<(StoreRequestId, StoreRequest)> {
        let ids = &mut self.ids;
        let configuration = self.configuration.take_due(now, ids);
        let membership = self.membership.take_due(now, ids);
        configuration.into_iter().chain(membership).collect()
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let configuration = self.configuration.next_wake();
        let membership = self.membership.next_wake();
        configuration.into_iter().chain(membership).min()
    }

    /// Starts or stops the watch: `wait` is the time for which each request waits, `None` if the
    /// node need not watch. A request in flight is not cancelled. Returns whether the watch was
    /// started or stopped.
    pub fn set_watch(&mut self, now: Instant, wait: Option<Duration>) -> bool {
        let before = std::mem::replace(&mut self.watch.wait, wait);
        let begins = wait.is_some() && before.is_none();
        if begins {
            self.watch.fresh_since = Some(now);
        }
        if begins && self.configuration.under_way.is_none() {
            self.configuration.proceed(now, self.next_call());
        }
        before.is_some() != wait.is_some()
    }

    /// Returns the next request for the configuration, if one is needed.
    fn next_call(&self) -> Option<StoreRequest> {
        match (self.watch.position, self.watch.wait) {
            (Some(after), Some(wait)) => Some(StoreRequest::WatchConfiguration { after, wait }),
            (Some(_), None) => None,
            (None, wait) => {
                let is_needed = wait.is_some() || !self.has_configuration;
                is_needed.then_some(StoreRequest::ReadConfiguration)
            }
        }
    }

    /// Requests a list of all nodes. It is needed where all nodes must derive the same result from
    /// the names of all nodes.
    pub fn request_full_list(&mut self, now: Instant) {
        if self.extent == ListExtent::Whole {
            return;
        }
        self.extent = ListExtent::Whole;
        let list = self.list();
        let planned = self.membership.next.as_mut();
        if let Some(planned @ StoreRequest::ListNodes { .. }) = planned {
            *planned = list;
        } else if self.has_listed && self.membership.is_idle() {
            self.membership.proceed(now, Some(list));
        }
    }

    /// Records that a configuration is in force, so that it no longer needs to be read.
    pub fn on_configuration_in_force(&mut self) {
        self.has_configuration = true;
        if self.watch.wait.is_none() {
            self.configuration.next = None;
        }
    }

    /// Returns whether a complete list of nodes was received.
    pub const fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// Returns the time of the last contact with the store; `None` if the node does not watch it.
    pub fn last_contact_at(&self, now: Instant) -> Option<Instant> {
        self.watch.fresh_since.filter(|_| self.is_watching(now))
    }

    /// Returns whether the node watches the configuration and has a recent contact with the store.
    pub fn is_watching(&self, now: Instant) -> bool {
        self.watch.position.is_some() && self.watch.is_fresh(now)
    }

    /// Takes the proof of the newest configuration that the last reply has provided, if any.
    pub const fn take_proof(&mut self) -> Option<StoreProof> {
        self.watch.proof.take()
    }

    /// Returns the highest epoch reported by the store or a peer; `None` if there was no report.
    pub const fn epoch(&self) -> Option<StoreEpoch> {
        self.epoch
    }

    /// Records an epoch of the store. Returns whether it is higher than an epoch recorded before,
    /// which means that the store was restored from a backup: state that relies on earlier epochs
    /// is then invalid.
    pub fn observe_epoch(&mut self, now: Instant, epoch: StoreEpoch) -> bool {
        let before = self.epoch;
        self.epoch = before.max(Some(epoch));
        let has_returned = before.is_some_and(|before| before < epoch);
        if has_returned {
            self.forget_position();
            self.is_registration_due = true;
            self.register_again_when_idle(now);
        }
        has_returned
    }

    /// Drops the position, which belongs to an earlier epoch. A scheduled watch from it becomes a
    /// read.
    fn forget_position(&mut self) {
        self.watch.position = None;
        self.watch.proof = None;
        if self.configuration.next.is_some() {
            self.configuration.next = self.next_call();
        }
    }

    /// Schedules another write of the record if one is due, none is scheduled yet, and no request
    /// of the same sequence is in flight. It replaces a scheduled list, which would be incomplete
    /// as long as the node's own record is missing.
    fn register_again_when_idle(&mut self, now: Instant) {
        let is_planned = matches!(
            self.membership.next,
            Some(StoreRequest::Register(_) | StoreRequest::Unregister { .. })
        );
        if !self.is_registration_due || is_planned || self.membership.under_way.is_some() {
            return;
        }
        let rate = self.writes_per_second * REGISTRATION_RATE_SHARE;
        let spread = Duration::from_secs_f64(self.nodes as f64 / rate);
        let due = now + spread.mul_f64(place_share(&self.record.name));
        self.membership.proceed(due, Some(self.registration()));
    }

    /// Returns the request for a list of nodes. A node that joins a running deployment requests the
    /// newest state, so that it becomes known to its peers soon. In all other cases a list is
    /// recent enough if it contains the node's own record.
    fn list(&self) -> StoreRequest {
        let is_newcomer = self.is_new && !self.is_first_start;
        StoreRequest::ListNodes {
            from: watcher_election::name_hash(&self.record.name),
            allow_stale: !is_newcomer && self.old_lists < MOST_OLD_LISTS,
            extent: self.extent,
        }
    }

    fn on_list(&mut self, now: Instant, request: &StoreRequest, list: NodeList) -> StoreEvent {
        let is_newest = matches!(
            request,
            StoreRequest::ListNodes {
                allow_stale: false,
                ..
            }
        );
        self.nodes = list.estimated_nodes(watcher_election::name_hash(&self.record.name));
        // A list that was in flight when all nodes were requested may be partial.
        let is_enough = self.extent == ListExtent::Part || list.successors.is_none();
        let is_complete = is_enough && (is_newest || list.holds(&self.record));
        if is_complete {
            self.has_listed = true;
            self.membership.proceed(now, None);
            self.read_when_nobody_tells(now);
        } else {
            self.old_lists += 1;
            let again = self.list();
            self.membership.proceed(now + LIST_AGAIN_PAUSE, Some(again));
        }
        StoreEvent::Nodes { list, is_complete }
    }

    /// Schedules a read of the configuration in case no peer sends it.
    fn read_when_nobody_tells(&mut self, now: Instant) {
        if self.has_configuration || self.configuration.under_way.is_some() {
            return;
        }
        let others = u32::try_from(self.nodes.saturating_sub(1)).unwrap_or(u32::MAX);
        let longest = READ_PACE.saturating_mul(others).min(LONGEST_READ_PAUSE);
        let due = now + longest.mul_f64(place_share(&self.record.name));
        self.configuration.proceed(due, self.next_call());
    }

    fn registration(&self) -> StoreRequest {
        if self.is_leaving {
            let name = self.record.name.clone();
            return StoreRequest::Unregister { name };
        }
        StoreRequest::Register(self.record.clone())
    }

    /// Returns whether a request is in flight that may return a newer configuration.
    pub const fn has_configuration_call_in_flight(&self) -> bool {
        self.configuration.under_way.is_some()
    }

    /// Schedules the removal of the node's record: its back end has left for good.
    pub fn unregister(&mut self, now: Instant) {
        self.is_leaving = true;
        self.membership.proceed(now, Some(self.registration()));
    }

    /// Handles a reply of the store.
    pub fn on_reply(
        &mut self,
        now: Instant,
        id: StoreRequestId,
        reply: StoreReply,
    ) -> Option<StoreEvent> {
        if let Some(request) = self.configuration.take_answered(id) {
            let reply = self.refuse_outdated(reply);
            return self.on_configuration(now, request, reply);
        }
        let request = self.membership.take_answered(id)?;
        let reply = self.refuse_outdated(reply);
        let news = self.on_membership(now, request, reply);
        self.register_again_when_idle(now);
        news
    }

    /// Turns a reply from an earlier epoch into a failure: the store was restored from a backup
    /// since.
    fn refuse_outdated(&self, reply: StoreReply) -> StoreReply {
        if reply.epoch().is_none_or(|epoch| Some(epoch) >= self.epoch) {
            return reply;
        }
        StoreReply::Failed(StoreFailure {
            code: ResultCode::StoreUnavailable,
            detail: "reply from an earlier epoch of the store".to_owned(),
        })
    }

    fn on_configuration(
        &mut self,
        now: Instant,
        request: StoreRequest,
        reply: StoreReply,
    ) -> Option<StoreEvent> {
        match reply {
            StoreReply::Configuration {
                position,
                configuration,
            } => {
                self.advance(now, &request, position, configuration.as_ref());
                self.configuration.proceed(now, self.next_call());
                configuration.map(StoreEvent::Configuration)
            }
            StoreReply::PositionExpired(_) => {
                self.watch.position = None;
                self.configuration.proceed(now, self.next_call());
                None
            }
            // A failed watch continues from its position, so that no change is missed. If the store
            // no longer holds that position, it says so in its reply.
            StoreReply::Failed(failure) => {
                self.watch.fresh_since = None;
                let news = self.configuration.on_failure(now, request, failure);
                self.configuration.next = self.next_call();
                news
            }
            _ => {
                let next = StoreRequest::ReadConfiguration;
                self.configuration.on_mismatch(now, next)
            }
        }
    }

    /// Advances the watch to the position of a reply. A watch from a position of an earlier epoch
    /// has missed the writes in between, so the configuration has to be read again.
    fn advance(
        &mut self,
        now: Instant,
        request: &StoreRequest,
        position: StorePosition,
        configuration: Option<&Configuration>,
    ) {
        let watch = &mut self.watch;
        watch.fresh_since = Some(now);
        let kept = match request {
            StoreRequest::WatchConfiguration { after, .. } if after.epoch() != position.epoch() => {
                watch.position = None;
                return;
            }
            StoreRequest::WatchConfiguration { .. } => watch.version,
            _ => 0,
        };
        watch.position = Some(position);
        watch.version = configuration.map_or(kept, |configuration| configuration.version);
        watch.proof = Some(StoreProof {
            at: self.configuration.made_at,
            version: watch.version,
        });
    }

    fn on_membership(
        &mut self,
        now: Instant,
        request: StoreRequest,
        reply: StoreReply,
    ) -> Option<StoreEvent> {
        match reply {
            StoreReply::Registered { is_new, .. } => {
                self.is_registration_due = false;
                self.is_new |= is_new;
                let pause = if is_new && self.is_first_start {
                    FIRST_LIST_PAUSE
                } else {
                    Duration::ZERO
                };
                let list = (!self.has_listed).then(|| self.list());
                self.membership.proceed(now + pause, list);
                None
            }
            StoreReply::Nodes { list, .. } => Some(self.on_list(now, &request, list)),
            StoreReply::Unregistered(_) => {
                self.is_registration_due = false;
                self.membership.proceed(now, None);
                None
            }
            StoreReply::Failed(failure) => self.membership.on_failure(now, request, failure),
            _ => self.membership.on_mismatch(now, request),
        }
    }
}

/// Returns the name hash of a node as a fraction of the range of hashes.
fn place_share(name: &str) -> f64 {
    watcher_election::name_hash(name) as f64 / u64::MAX as f64
}
