//! What a node asks of the store: the configuration, its own record and the first peers.
//!
//! The store is the only address that all nodes know. A node registers itself and then lists others: those
//! with the lowest places, which watch the store for all, and those that follow its own place, so that a
//! list does not grow with the deployment. The list may be some seconds old where the own record shows that it is young
//! enough. The configuration comes from peers; a node that gets none reads it, later the more nodes there are,
//! so that few of many that start at once do. Nodes that have to (see [`watcher_election`](crate::watcher_election)) watch
//! the configuration by calls that wait.
//!
//! When the store has come back from a copy (see [`store_epoch`](crate::store_epoch)), the node reads anew what
//! it watches and writes its record again.

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

/// Longest time for an answer that need not wait. A slow store answers within a third of it; one that was silent and is
/// back is called again soon.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause between the first registration of a node and its list of the others. When a whole deployment
/// starts, each node then sees nearly all others, and its links are spread evenly. A node that comes
/// back lists at once: the store knows the others already.
const FIRST_LIST_PAUSE: Duration = Duration::from_millis(500);

/// Time after which a list in which the own record was missing is made again.
const LIST_AGAIN_PAUSE: Duration = Duration::from_millis(500);
/// Lists that may be old before one is made that is not.
const MOST_OLD_LISTS: u32 = 8;
/// Time for each other node over which nodes that have no configuration spread their reads of it. Nodes that
/// start at the same moment get it from the first of them that reads.
const READ_PACE: Duration = Duration::from_millis(2);
/// Longest time for which a node without a configuration waits for peers after its list.
const LONGEST_READ_PAUSE: Duration = Duration::from_secs(2);
/// The same after its start if it gets no list.
const READ_WITHOUT_LIST: Duration = Duration::from_secs(3);

/// Time beyond the wait of a watch after which a node does not say any more that it watches.
const LATE_ANSWER: Duration = Duration::from_millis(600);

/// Share of the store's rate of writing calls that the nodes of a deployment use when they write their records again:
/// all hear of the store's return at nearly the same moment.
const REGISTRATION_RATE_SHARE: f64 = 0.75;

/// What a node knows of the configuration's place in the store.
#[derive(Clone, Copy, Debug, Default)]
struct Watch {
    /// Position to go on from; `None` before the first read and after the history was forgotten.
    position: Option<StorePosition>,
    /// Version of the configuration that the store has held there; 0 for none.
    version: u64,
    /// Time for which the watch waits; `None` if the node need not watch.
    wait: Option<Duration>,
    /// When the node began to watch, or heard of the store last.
    fresh_since: Option<Instant>,
    /// Proof by the last call whose answer tells the newest configuration.
    proof: Option<StoreProof>,
}

/// Which configuration was the newest one in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreProof {
    /// When the call was made that has shown it.
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

/// Calls of one node to the store.
#[derive(Clone, Debug)]
pub struct StoreSync {
    record: NodeRecord,
    /// Highest epoch that any answer or peer has told of.
    epoch: Option<StoreEpoch>,
    /// Whether the record may have been lost with the last return of the store.
    is_registration_due: bool,
    /// Whether the back end is gone for good, and the record with it.
    is_leaving: bool,
    /// Whether the whole deployment starts for the first time.
    is_first_start: bool,
    /// Writing calls a second that the store takes from all nodes together.
    writes_per_second: f64,
    /// About how many nodes there are.
    nodes: usize,
    /// Whether the record was new to the store.
    is_new: bool,
    /// Whether a list that can be relied on was read.
    has_listed: bool,
    /// How many records are wanted.
    extent: ListExtent,
    /// Lists in which the own record was missing.
    old_lists: u32,
    /// Whether a configuration is in force here.
    has_configuration: bool,
    ids: u64,
    configuration: Chain,
    watch: Watch,
    membership: Chain,
}

impl StoreSync {
    /// Creates the calls of a fresh node. `is_first_start` says whether all other nodes start now as well, for the
    /// first time; `writes_per_second` is what the store takes from all nodes together.
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

    /// Returns the calls that are due.
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

    /// Begins or ends the watch: `wait` is how long each call waits, `None` if the node need not
    /// watch. A call that is under way goes on. Returns whether the watch has begun or ended.
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

    /// Returns the next call about the configuration, if one is needed.
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

    /// Lists all nodes: the node must agree with all others on something that follows from their names.
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

    /// Takes in that a configuration is in force: it need not be read any more.
    pub fn on_configuration_in_force(&mut self) {
        self.has_configuration = true;
        if self.watch.wait.is_none() {
            self.configuration.next = None;
        }
    }

    /// Returns whether a list of nodes was read that can be relied on.
    pub const fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// Returns when the store was last heard of, by a node that watches it.
    pub fn last_contact_at(&self, now: Instant) -> Option<Instant> {
        self.watch.fresh_since.filter(|_| self.is_watching(now))
    }

    /// Returns whether the node watches the configuration and has lately heard of the store.
    pub fn is_watching(&self, now: Instant) -> bool {
        self.watch.position.is_some() && self.watch.is_fresh(now)
    }

    /// Returns what the last answer has proved of the newest configuration, and forgets it.
    pub const fn take_proof(&mut self) -> Option<StoreProof> {
        self.watch.proof.take()
    }

    /// Returns the highest epoch of the store that is known, if any answer or peer has told one.
    pub const fn epoch(&self) -> Option<StoreEpoch> {
        self.epoch
    }

    /// Takes in that the store has reached an epoch. Returns whether it has come back from a copy since the
    /// node heard of it first: then what rested on earlier epochs is void.
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

    /// Drops the position that belongs to an earlier epoch; a watch that is to be made from it becomes a read.
    fn forget_position(&mut self) {
        self.watch.position = None;
        self.watch.proof = None;
        if self.configuration.next.is_some() {
            self.configuration.next = self.next_call();
        }
    }

    /// Writes the record again once no other call about it is under way. A list that was to be made waits: it would be
    /// made in vain as long as the own record is missing.
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

    /// Returns the call that lists nodes. A newcomer asks for the newest state, so that it is known soon; in all other
    /// cases the list is young enough if it holds the own record.
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
        // One that was under way when all nodes came to be wanted may be a part.
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

    /// Plans a read of the configuration for the case that no peer tells one.
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

    /// Returns whether a call is under way that would bring a newer configuration.
    pub const fn has_configuration_call_in_flight(&self) -> bool {
        self.configuration.under_way.is_some()
    }

    /// Removes the node's record: its back end is gone for good.
    pub fn unregister(&mut self, now: Instant) {
        self.is_leaving = true;
        self.membership.proceed(now, Some(self.registration()));
    }

    /// Takes in an answer.
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

    /// Turns an answer of an earlier epoch into a failure: the store has come back from a copy since.
    fn refuse_outdated(&self, reply: StoreReply) -> StoreReply {
        if reply.epoch().is_none_or(|epoch| Some(epoch) >= self.epoch) {
            return reply;
        }
        StoreReply::Failed(StoreFailure {
            code: ResultCode::StoreUnavailable,
            detail: "answer of an earlier epoch".to_owned(),
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
            // A watch that broke off goes on from its position: nothing is missed, or the store says
            // that it has forgotten.
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

    /// Moves the watch on to the position of an answer. A watch from a position of an earlier epoch has missed
    /// what was written between: the configuration has to be read.
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

/// Returns the place of a node as a share of all places.
fn place_share(name: &str) -> f64 {
    watcher_election::name_hash(name) as f64 / u64::MAX as f64
}
