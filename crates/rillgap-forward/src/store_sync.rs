//! What a node asks of the store: the configuration, its own record and the first peers.
//!
//! The store is the only address that all nodes know. A node registers itself and then lists the
//! others; of two nodes that start at the same time, the one that lists later sees the other, and
//! links spread the rest. The configuration is read once; nodes that have to (see
//! [`watch_duty`](crate::watch_duty)) then watch it by calls that wait.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use crate::configuration::Configuration;
use crate::message::NodeRecord;

/// First and longest pause after a failed call.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Pause between the first registration of a node and its list of the others. When a whole deployment
/// starts, each node then sees nearly all others, and its links are spread evenly. A node that comes
/// back lists at once: the store knows the others already.
const FIRST_LIST_PAUSE: Duration = Duration::from_millis(500);

/// Time beyond the wait of a watch after which a node does not say any more that it watches.
const LATE_ANSWER: Duration = Duration::from_millis(600);

/// Number of a call, used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read the newest configuration, linearizably.
    ReadConfiguration,
    /// Wait for a configuration after this position.
    WatchConfiguration {
        /// Position of the last read or watch.
        after: u64,
        /// Time after which it answers although nothing has changed.
        wait: Duration,
    },
    /// Make sure that the store holds this record.
    Register(NodeRecord),
    /// Read the records of all nodes.
    ListNodes,
    /// Remove the record of a node.
    Unregister {
        /// Name of the node.
        name: String,
    },
}

impl StoreRequest {
    /// Returns a short name for logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::ReadConfiguration => "read-configuration",
            Self::WatchConfiguration { .. } => "watch-configuration",
            Self::Register(_) => "register",
            Self::ListNodes => "list-nodes",
            Self::Unregister { .. } => "unregister",
        }
    }
}

/// Answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The configuration, if it was asked for and there is a (newer) one.
    Configuration {
        /// Position to watch from.
        position: u64,
        /// The configuration.
        configuration: Option<Configuration>,
    },
    /// The position of a watch is no longer known.
    HistoryGone,
    /// The record is stored.
    Registered {
        /// Whether the store knew no record of the node before.
        is_new: bool,
    },
    /// Records of all nodes.
    Nodes(Vec<NodeRecord>),
    /// The record is removed.
    Unregistered,
    /// No or an unusable answer.
    Failed(StoreFailure),
}

/// Why a call to the store has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreFailure {
    /// [`ResultCode::StoreUnavailable`] or [`ResultCode::StoreProtocol`].
    pub code: ResultCode,
    /// What was said or missing.
    pub detail: String,
}

/// What to do after an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreNews {
    /// A configuration.
    Configuration(Configuration),
    /// Peers.
    Nodes(Vec<NodeRecord>),
    /// The store could not be asked.
    Failed {
        /// Name of the call.
        call: &'static str,
        /// Why.
        failure: StoreFailure,
    },
}

/// One chain of calls, of which one is under way at a time.
#[derive(Clone, Debug)]
struct Chain {
    next: Option<StoreRequest>,
    due: Instant,
    under_way: Option<(StoreRequestId, StoreRequest)>,
    /// When the call under way, or the last one, was made.
    made_at: Instant,
    pause: Duration,
}

impl Chain {
    fn new(first: StoreRequest) -> Self {
        Self {
            next: Some(first),
            due: Instant::default(),
            under_way: None,
            made_at: Instant::default(),
            pause: RETRY_PAUSE.0,
        }
    }

    fn take_due(&mut self, now: Instant, ids: &mut u64) -> Option<(StoreRequestId, StoreRequest)> {
        if self.due > now {
            return None;
        }
        let request = self.next.take()?;
        *ids += 1;
        let id = StoreRequestId(*ids);
        self.under_way = Some((id, request.clone()));
        self.made_at = now;
        Some((id, request))
    }

    fn take_answered(&mut self, id: StoreRequestId) -> Option<StoreRequest> {
        let (under_way, _) = self.under_way.as_ref()?;
        if *under_way != id {
            return None;
        }
        self.under_way.take().map(|(_, request)| request)
    }

    fn proceed(&mut self, due: Instant, next: Option<StoreRequest>) {
        self.pause = RETRY_PAUSE.0;
        self.due = due;
        self.next = next;
    }

    fn retry(&mut self, now: Instant, next: StoreRequest) {
        self.due = now + self.pause;
        self.pause = (self.pause * 2).min(RETRY_PAUSE.1);
        self.next = Some(next);
    }

    /// Makes a call again after a pause: it has failed.
    fn on_failure(
        &mut self,
        now: Instant,
        request: StoreRequest,
        failure: StoreFailure,
    ) -> Option<StoreNews> {
        let call = request.name();
        self.retry(now, request);
        Some(StoreNews::Failed { call, failure })
    }

    /// Makes a call again after a pause: its answer belongs to another kind of call.
    fn on_mismatch(&mut self, now: Instant, request: StoreRequest) -> Option<StoreNews> {
        let failure = StoreFailure {
            code: ResultCode::StoreProtocol,
            detail: "answer to another kind of call".to_owned(),
        };
        self.on_failure(now, request, failure)
    }

    fn next_wake(&self) -> Option<Instant> {
        self.next.as_ref().map(|_| self.due)
    }

    const fn is_idle(&self) -> bool {
        self.next.is_none() && self.under_way.is_none()
    }
}

/// What a node knows of the configuration's place in the store.
#[derive(Clone, Copy, Debug, Default)]
struct Watch {
    /// Position to go on from; `None` before the first read and after the history was forgotten.
    position: Option<u64>,
    /// Time for which the watch waits; `None` if the node need not watch.
    wait: Option<Duration>,
    /// When the node began to watch, or heard of the store last.
    fresh_since: Option<Instant>,
    /// When the last call was made whose answer tells the newest configuration.
    proven_at: Option<Instant>,
}

impl Watch {
    /// Returns the next call, if one is needed.
    fn next(&self) -> Option<StoreRequest> {
        let Some(after) = self.position else {
            return Some(StoreRequest::ReadConfiguration);
        };
        let wait = self.wait?;
        Some(StoreRequest::WatchConfiguration { after, wait })
    }

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
    ids: u64,
    configuration: Chain,
    watch: Watch,
    membership: Chain,
}

impl StoreSync {
    /// Creates the calls of a fresh node.
    pub fn new(record: NodeRecord) -> Self {
        Self {
            ids: 0,
            configuration: Chain::new(StoreRequest::ReadConfiguration),
            watch: Watch::default(),
            membership: Chain::new(StoreRequest::Register(record.clone())),
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
        if begins && self.configuration.is_idle() {
            self.configuration.proceed(now, self.watch.next());
        }
        before.is_some() != wait.is_some()
    }

    /// Returns whether the node watches the configuration and has lately heard of the store.
    pub fn is_watching(&self, now: Instant) -> bool {
        self.watch.position.is_some() && self.watch.is_fresh(now)
    }

    /// Returns when the last call was made whose answer proves what the newest configuration was, and
    /// forgets it.
    pub const fn take_proof(&mut self) -> Option<Instant> {
        self.watch.proven_at.take()
    }

    /// Returns whether a call is under way that would bring a newer configuration.
    pub const fn expects_configuration(&self) -> bool {
        self.configuration.under_way.is_some()
    }

    /// Removes the node's record: its back end is gone for good.
    pub fn unregister(&mut self, now: Instant) {
        let name = self.record.name.clone();
        self.membership
            .proceed(now, Some(StoreRequest::Unregister { name }));
    }

    /// Takes in an answer.
    pub fn on_reply(
        &mut self,
        now: Instant,
        id: StoreRequestId,
        reply: StoreReply,
    ) -> Option<StoreNews> {
        if let Some(request) = self.configuration.take_answered(id) {
            return self.on_configuration(now, request, reply);
        }
        let request = self.membership.take_answered(id)?;
        self.on_membership(now, request, reply)
    }

    fn on_configuration(
        &mut self,
        now: Instant,
        request: StoreRequest,
        reply: StoreReply,
    ) -> Option<StoreNews> {
        match reply {
            StoreReply::Configuration {
                position,
                configuration,
            } => {
                self.watch.position = Some(position);
                self.watch.fresh_since = Some(now);
                self.watch.proven_at = Some(self.configuration.made_at);
                self.configuration.proceed(now, self.watch.next());
                configuration.map(StoreNews::Configuration)
            }
            StoreReply::HistoryGone => {
                self.watch.position = None;
                self.configuration.proceed(now, self.watch.next());
                None
            }
            // A watch that broke off goes on from its position: nothing is missed, or the store says
            // that it has forgotten.
            StoreReply::Failed(failure) => {
                self.watch.fresh_since = None;
                let news = self.configuration.on_failure(now, request, failure);
                if self.watch.next().is_none() {
                    self.configuration.next = None;
                }
                news
            }
            _ => {
                let next = StoreRequest::ReadConfiguration;
                self.configuration.on_mismatch(now, next)
            }
        }
    }

    fn on_membership(
        &mut self,
        now: Instant,
        request: StoreRequest,
        reply: StoreReply,
    ) -> Option<StoreNews> {
        match reply {
            StoreReply::Registered { is_new } => {
                let pause = if is_new {
                    FIRST_LIST_PAUSE
                } else {
                    Duration::ZERO
                };
                self.membership
                    .proceed(now + pause, Some(StoreRequest::ListNodes));
                None
            }
            StoreReply::Nodes(records) => {
                self.membership.proceed(now, None);
                Some(StoreNews::Nodes(records))
            }
            StoreReply::Unregistered => {
                self.membership.proceed(now, None);
                None
            }
            StoreReply::Failed(failure) => self.membership.on_failure(now, request, failure),
            _ => self.membership.on_mismatch(now, request),
        }
    }
}
