//! Requests of a node to the store: for the configuration, its own record and its first peers.
//!
//! The address of the store is the only address in the settings of every node. A node registers its
//! record and then lists other nodes: those with the lowest name hashes, which watch the store
//! for all others, and the successors of its own name hash. The size of this list does not depend
//! on the size of the deployment. The list may be some seconds old: if it contains the node's own
//! record, it is recent enough.
//!
//! A node usually receives the configuration from its peers. If it receives none, it reads the
//! configuration from the store after a delay that grows with the number of nodes and differs from
//! node to node, so that only a few of many nodes that start together read it. The nodes that are
//! elected as watchers (see [`watcher_election`]) watch the configuration by long polling.
//!
//! When the store is restored from a backup (see [`store_epoch`](crate::store_epoch)), the node
//! reads what it watches again and writes its record again.

mod call;
mod call_sequence;

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

pub use call::{
    ListExtent, NodeList, Registration, StoreEvent, StoreFailure, StoreReply, StoreRequest,
    StoreRequestId,
};
use call_sequence::CallSequence;

use crate::configuration::Configuration;
use crate::message::NodeRecord;
use crate::store_epoch::{StoreEpoch, StorePosition};
use crate::watcher_election;

/// Timeout of a request, in addition to the wait of a watch. A slow store replies within a third of
/// it; a longer timeout would delay the next request to a store that has recovered from an outage.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay between the registration of a new node and its list when a whole deployment starts for the
/// first time: each node then lists nearly all others, so that links are spread evenly. A node that
/// restarts lists at once, since the store already holds the records of the others.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(500);

/// Delay before the list is requested again if it is incomplete, usually because it lacks the
/// node's own record.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of incomplete lists after which the node requests one that may not be stale.
const MAX_STALE_LISTS: u32 = 8;
/// Time per other node over which nodes without a configuration spread their reads of it. Nodes
/// that start at the same moment receive it from the first of them that reads it.
const READ_SPREAD_PER_NODE: Duration = Duration::from_millis(2);
/// Maximum time for which a node without a configuration waits for its peers after its list.
const MAX_READ_DELAY: Duration = Duration::from_secs(2);
/// Time after its start at which a node reads the configuration even if it has received no list.
const READ_DELAY_WITHOUT_LIST: Duration = Duration::from_secs(3);

/// Time for which the first request of a watch waits: the shortest that the store takes.
pub const FIRST_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Time beyond the wait of a watch after which a node without a reply no longer counts as watching.
const WATCH_ANSWER_GRACE: Duration = Duration::from_millis(600);

/// Fraction of the store's write rate that the nodes of a deployment use together to write their
/// records again: the new epoch of a restored store reaches all of them at nearly the same moment.
const REGISTRATION_RATE_FRACTION: f64 = 0.75;

/// State of the node's watch of the configuration.
#[derive(Clone, Copy, Debug, Default)]
struct WatchState {
    /// Position to continue from; `None` before the first read and after the position has expired.
    position: Option<StorePosition>,
    /// Version of the configuration that the store held at `position`; 0 for none.
    version: u64,
    /// Time for which a watch request waits; `None` if the node need not watch.
    wait: Option<Duration>,
    /// Whether the watch has started and has no reply yet.
    is_starting: bool,
    /// Time of the last reply; `None` before the first one since the start of the watch and after a
    /// failed request.
    last_contact_at: Option<Instant>,
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

impl WatchState {
    fn has_recent_contact(&self, now: Instant) -> bool {
        let (Some(wait), Some(since)) = (self.wait, self.last_contact_at) else {
            return false;
        };
        now.saturating_since(since) < wait + WATCH_ANSWER_GRACE
    }
}

/// State of one node's requests to the store.
#[derive(Clone, Debug)]
pub struct StoreSync {
    registration: Registration,
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
    is_new_record: bool,
    /// Whether a complete list was received.
    has_listed: bool,
    /// How many records to request.
    extent: ListExtent,
    /// Number of incomplete lists received.
    stale_lists: u32,
    /// Whether a configuration is in force on this node.
    has_configuration: bool,
    /// Identifier of the latest request.
    last_id: u64,
    /// Requests for the configuration.
    configuration: CallSequence,
    watch: WatchState,
    /// Requests about the node's own record and the list of nodes.
    membership: CallSequence,
}

impl StoreSync {
    /// Creates the state of an incarnation of a node that starts. `is_first_start` says whether all
    /// other nodes start at the same time, for the first time; `writes_per_second` is the write rate
    /// that the store accepts from all nodes together.
    pub fn new(
        now: Instant,
        record: NodeRecord,
        incarnation: u64,
        is_first_start: bool,
        writes_per_second: f64,
    ) -> Self {
        let jitter = name_hash_fraction(&record.name);
        let read_at = now + READ_DELAY_WITHOUT_LIST;
        let registration = Registration {
            record,
            incarnation,
            is_restart: !is_first_start,
        };
        let register = StoreRequest::Register(registration.clone());
        Self {
            is_first_start,
            writes_per_second,
            nodes: 1,
            is_new_record: false,
            stale_lists: 0,
            has_configuration: false,
            epoch: None,
            is_registration_due: false,
            is_leaving: false,
            has_listed: false,
            extent: ListExtent::Part,
            last_id: 0,
            configuration: CallSequence::new(StoreRequest::ReadConfiguration, read_at, jitter),
            watch: WatchState::default(),
            membership: CallSequence::new(register, now, jitter),
            registration,
        }
    }

    /// Returns the requests that are due.
    pub fn poll(&mut self, now: Instant) -> Vec<(StoreRequestId, StoreRequest)> {
        let last_id = &mut self.last_id;
        let configuration = self.configuration.take_due(now, last_id);
        let membership = self.membership.take_due(now, last_id);
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
        let previous = std::mem::replace(&mut self.watch.wait, wait);
        let starts = wait.is_some() && previous.is_none();
        if starts {
            self.watch.is_starting = true;
            self.watch.last_contact_at = None;
        }
        if starts && self.configuration.in_flight.is_none() {
            self.configuration
                .schedule(now, self.next_configuration_request());
        }
        previous.is_some() != wait.is_some()
    }

    /// Returns the next request for the configuration, if one is needed. The first request of a watch
    /// returns at once: until it is answered, other nodes have to expect that this one cannot reach the
    /// store, and begin to watch as well.
    fn next_configuration_request(&self) -> Option<StoreRequest> {
        match (self.watch.position, self.watch.wait) {
            (Some(after), Some(wait)) => {
                let wait = if self.watch.is_starting {
                    FIRST_WATCH_WAIT
                } else {
                    wait
                };
                Some(StoreRequest::WatchConfiguration { after, wait })
            }
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
        let list = self.list_request();
        let scheduled = self.membership.next.as_mut();
        if let Some(scheduled @ StoreRequest::ListNodes { .. }) = scheduled {
            *scheduled = list;
        } else if self.has_listed && self.membership.is_idle() {
            self.membership.schedule(now, Some(list));
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
        self.watch.last_contact_at.filter(|_| self.is_watching(now))
    }

    /// Returns whether the node watches the configuration and has a recent contact with the store.
    pub fn is_watching(&self, now: Instant) -> bool {
        self.watch.position.is_some() && self.watch.has_recent_contact(now)
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
        let previous = self.epoch;
        self.epoch = previous.max(Some(epoch));
        let is_restored = previous.is_some_and(|previous| previous < epoch);
        if is_restored {
            self.reset_watch_position();
            self.is_registration_due = true;
            self.schedule_reregistration(now);
        }
        is_restored
    }

    /// Drops the position, which belongs to an earlier epoch. A scheduled watch from it becomes a
    /// read.
    fn reset_watch_position(&mut self) {
        self.watch.position = None;
        self.watch.proof = None;
        if self.configuration.next.is_some() {
            self.configuration.next = self.next_configuration_request();
        }
    }

    /// Schedules another write of the record if one is due, none is scheduled yet, and no request
    /// of the same sequence is in flight. It replaces a scheduled list, which would be incomplete
    /// as long as the node's own record is missing.
    fn schedule_reregistration(&mut self, now: Instant) {
        let is_scheduled = matches!(
            self.membership.next,
            Some(StoreRequest::Register(_) | StoreRequest::Unregister { .. })
        );
        if !self.is_registration_due || is_scheduled || self.membership.in_flight.is_some() {
            return;
        }
        let rate = self.writes_per_second * REGISTRATION_RATE_FRACTION;
        let spread = Duration::from_secs_f64(self.nodes as f64 / rate);
        let due = now + spread.mul_f64(name_hash_fraction(&self.registration.record.name));
        self.membership
            .schedule(due, Some(self.registration_request()));
    }

    /// Returns the request for a list of nodes. A node that joins a running deployment requests the
    /// newest state, so that it becomes known to its peers soon. In all other cases a list is
    /// recent enough if it contains the node's own record.
    fn list_request(&self) -> StoreRequest {
        let joins_running_deployment = self.is_new_record && !self.is_first_start;
        StoreRequest::ListNodes {
            from: watcher_election::name_hash(&self.registration.record.name),
            allow_stale: !joins_running_deployment && self.stale_lists < MAX_STALE_LISTS,
            extent: self.extent,
        }
    }

    fn on_node_list(&mut self, now: Instant, request: &StoreRequest, list: NodeList) -> StoreEvent {
        let is_newest = matches!(
            request,
            StoreRequest::ListNodes {
                allow_stale: false,
                ..
            }
        );
        self.nodes =
            list.estimated_nodes(watcher_election::name_hash(&self.registration.record.name));
        // A list that was in flight when all nodes were requested may be partial.
        let covers_extent = self.extent == ListExtent::Part || list.successors.is_none();
        let is_complete = covers_extent && (is_newest || list.contains(&self.registration.record));
        if is_complete {
            self.has_listed = true;
            self.membership.schedule(now, None);
            self.schedule_fallback_read(now);
        } else {
            self.stale_lists += 1;
            let retry = self.list_request();
            self.membership
                .schedule(now + LIST_RETRY_DELAY, Some(retry));
        }
        StoreEvent::Nodes { list, is_complete }
    }

    /// Schedules a read of the configuration in case no peer sends it.
    fn schedule_fallback_read(&mut self, now: Instant) {
        if self.has_configuration || self.configuration.in_flight.is_some() {
            return;
        }
        let others = u32::try_from(self.nodes.saturating_sub(1)).unwrap_or(u32::MAX);
        let max_delay = READ_SPREAD_PER_NODE
            .saturating_mul(others)
            .min(MAX_READ_DELAY);
        let due = now + max_delay.mul_f64(name_hash_fraction(&self.registration.record.name));
        self.configuration
            .schedule(due, self.next_configuration_request());
    }

    fn registration_request(&self) -> StoreRequest {
        if self.is_leaving {
            return StoreRequest::Unregister {
                name: self.registration.record.name.clone(),
                incarnation: self.registration.incarnation,
            };
        }
        StoreRequest::Register(self.registration.clone())
    }

    /// Returns whether a request is in flight that may return a newer configuration.
    pub const fn has_configuration_call_in_flight(&self) -> bool {
        self.configuration.in_flight.is_some()
    }

    /// Schedules the removal of the node's record: its back end has left for good.
    pub fn unregister(&mut self, now: Instant) {
        self.is_leaving = true;
        self.membership
            .schedule(now, Some(self.registration_request()));
    }

    /// Handles a reply of the store.
    pub fn on_reply(
        &mut self,
        now: Instant,
        id: StoreRequestId,
        reply: StoreReply,
    ) -> Option<StoreEvent> {
        if let Some(request) = self.configuration.take_in_flight(id) {
            let reply = self.reject_stale_epoch(reply);
            return self.on_configuration_reply(now, request, reply);
        }
        let request = self.membership.take_in_flight(id)?;
        let reply = self.reject_stale_epoch(reply);
        let event = self.on_membership_reply(now, request, reply);
        self.schedule_reregistration(now);
        event
    }

    /// Turns a reply from an earlier epoch into a failure: the store was restored from a backup
    /// since.
    fn reject_stale_epoch(&self, reply: StoreReply) -> StoreReply {
        if reply.epoch().is_none_or(|epoch| Some(epoch) >= self.epoch) {
            return reply;
        }
        StoreReply::Failed(StoreFailure {
            code: ResultCode::StoreUnavailable,
            detail: "reply from an earlier epoch of the store".to_owned(),
        })
    }

    fn on_configuration_reply(
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
                self.advance_watch(now, &request, position, configuration.as_ref());
                self.configuration
                    .schedule(now, self.next_configuration_request());
                configuration.map(StoreEvent::Configuration)
            }
            StoreReply::PositionExpired(_) => {
                self.watch.position = None;
                self.configuration
                    .schedule(now, self.next_configuration_request());
                None
            }
            // A failed watch continues from its position, so that no change is missed. If the store
            // no longer holds that position, it says so in its reply.
            StoreReply::Failed(failure) => {
                self.watch.last_contact_at = None;
                self.watch.is_starting = false;
                let event = self.configuration.on_failure(now, request, failure);
                self.configuration.next = self.next_configuration_request();
                event
            }
            _ => {
                let next = StoreRequest::ReadConfiguration;
                self.configuration.on_unexpected_reply(now, next)
            }
        }
    }

    /// Advances the watch to the position of a reply. A watch from a position of an earlier epoch
    /// has missed the writes in between, so the configuration has to be read again.
    fn advance_watch(
        &mut self,
        now: Instant,
        request: &StoreRequest,
        position: StorePosition,
        configuration: Option<&Configuration>,
    ) {
        let watch = &mut self.watch;
        watch.last_contact_at = Some(now);
        watch.is_starting = false;
        let previous_version = match request {
            StoreRequest::WatchConfiguration { after, .. } if after.epoch() != position.epoch() => {
                watch.position = None;
                return;
            }
            StoreRequest::WatchConfiguration { .. } => watch.version,
            _ => 0,
        };
        watch.position = Some(position);
        watch.version =
            configuration.map_or(previous_version, |configuration| configuration.version);
        watch.proof = Some(StoreProof {
            at: self.configuration.sent_at,
            version: watch.version,
        });
    }

    fn on_membership_reply(
        &mut self,
        now: Instant,
        request: StoreRequest,
        reply: StoreReply,
    ) -> Option<StoreEvent> {
        match reply {
            StoreReply::Registered { is_new, .. } => {
                self.is_registration_due = false;
                self.is_new_record |= is_new;
                let delay = if is_new && self.is_first_start {
                    FIRST_LIST_DELAY
                } else {
                    Duration::ZERO
                };
                let list = (!self.has_listed).then(|| self.list_request());
                self.membership.schedule(now + delay, list);
                None
            }
            StoreReply::Nodes { list, .. } => Some(self.on_node_list(now, &request, list)),
            StoreReply::Unregistered(_) => {
                self.is_registration_due = false;
                self.membership.schedule(now, None);
                None
            }
            StoreReply::Failed(failure) => self.membership.on_failure(now, request, failure),
            _ => self.membership.on_unexpected_reply(now, request),
        }
    }
}

/// Returns the name hash of a node as a fraction of the range of hashes.
fn name_hash_fraction(name: &str) -> f64 {
    watcher_election::hash_fraction(watcher_election::name_hash(name))
}
