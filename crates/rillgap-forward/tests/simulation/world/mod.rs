//! Simulates a deployment on a virtual clock: hosts with a node and a back end each, links, callers
//! and the store. All times are in milliseconds.

mod back_ends;
mod callers;
mod claims;
mod events;
mod faults;
mod links;
mod object_store;
mod setup;
mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;
use rillgap_forward::action::Action;
use rillgap_forward::configuration::RateLimit;
use rillgap_forward::event::Event;
use rillgap_forward::id::{ConnectionId, ExchangeId, LinkId, Sequence};
use rillgap_forward::incarnation::Incarnation;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::LinkMessage;
use rillgap_forward::node::Node;
use rillgap_forward::settings::RetryBound;
use rillgap_forward::store_epoch::StorePosition;
use rillgap_forward::store_sync::StoreRequestId;
use rillgap_forward::watcher_election::name_hash;

use crate::checker::{Checker, Run, Sent};
use crate::scenario::InjectedBug;
use rillgap_soak::notices::AnswerNotice;

use events::host_of;
pub use events::{Fault, WorldEvent};
use object_store::ObjectStore;
pub use setup::service_of_target;
use setup::*;

/// Services of a chain; each one calls the next.
pub const SERVICES: [&str; 3] = ["front", "middle", "deep"];
/// Number of back ends of each service, unless a scenario sets another one.
const BACK_ENDS_PER_SERVICE: usize = 3;
/// Number of requests that a back end executes at the same time.
const SLOTS: u32 = 12;
/// Retry bound of the deployment.
pub const RETRY_BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 40,
    window: Duration::from_secs(10),
};
/// Time within which a revoked key must be rejected.
pub const MAX_REVOCATION_DELAY: Duration = Duration::from_secs(5);
/// Rate limit of one of the two tenants, which sends more requests than that, unless a scenario sets
/// another one.
const TENANT_LIMIT: RateLimit = RateLimit {
    per_second: 20.0,
    burst: 20.0,
};
/// Milliseconds between two heartbeats of a back end.
const HEARTBEAT_MILLIS: u64 = 1_500;
/// Time within which the nodes of a deployment start, unless a scenario sets another one.
const MAX_START_MILLIS: u64 = 300;
/// Distinguishes the seed of the delays of votes.
const VOTE_SEED_MASK: u64 = 0x766f_7465;
/// Milliseconds for which a back end keeps serving after its draining was acknowledged.
const DRAINED_SERVING_MILLIS: u64 = 3_500;

/// Key of a caller. The names of the variants are hashed into the digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// Permanent key of a tenant without a limit, valid in all versions of the configuration.
    Kept,
    /// Key of the same tenant that is valid in one version only.
    OfVersion(u64),
    /// Key of the tenant with a limit, valid in all versions.
    Limited,
}

/// Identifies an execution by the incarnation of the node that sent the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExecutionKey {
    incarnation: u32,
    exchange: ExchangeId,
}

#[derive(Debug)]
struct Execution {
    id: String,
    instance: Incarnation,
    run: Run,
    /// Number of calls to the next service that were sent.
    calls_made: u32,
    /// Number of calls that the run makes in total, one after the other.
    calls_per_run: u32,
    /// Whether the request crashes the back end.
    crashes: bool,
    /// Last part of the target, which the target of the call repeats.
    item: String,
}

/// One attempt of a caller with a request.
#[derive(Clone, Debug)]
struct CallerAttempt {
    id: String,
    target: String,
    attempts: u32,
}

#[derive(Debug)]
struct BackEnd {
    instance: Incarnation,
    /// Number of starts so far.
    start_count: u32,
    is_alive: bool,
    is_draining: bool,
    is_acknowledged: bool,
    sequence: u64,
    executions: BTreeMap<ExecutionKey, Execution>,
    lost_answer_percent: u64,
    fail_percent: u64,
    /// Percentage of requests that fail after their calls.
    late_fail_percent: u64,
    /// Percentage of requests that are rejected on arrival.
    reject_percent: u64,
    /// Factor on the time that an execution takes.
    slowdown: u64,
    /// Rate limit that the answers state, in requests per second.
    rate_limit: Option<u32>,
    /// Whether the answers state that the back end is leaving.
    states_leaving: bool,
}

struct Host {
    name: String,
    /// The node, while its process runs.
    node: Option<Node>,
    /// Raised at each start and stop of the process; events for an earlier value are dropped.
    incarnation: u32,
    /// Milliseconds by which the monotonic clock of the host is behind.
    clock_lag: u64,
    paused_until: u64,
    /// Version of the configuration in force at the node.
    version: u64,
    back_end: BackEnd,
    /// Calls of the back end in flight, with the execution that waits for each.
    calls: BTreeMap<ConnectionId, ExecutionKey>,
    /// Requests of callers in flight.
    callers: BTreeMap<ConnectionId, CallerAttempt>,
    /// Answers that callers have not read to the end, by connection, with the request's identifier.
    unread: BTreeMap<ConnectionId, String>,
    /// Whether the node waits for the end of its connections.
    ends_connections: bool,
    /// Time of the earliest scheduled [`WorldEvent::Wake`], or [`u64::MAX`].
    wakes_at: u64,
}

struct Connection {
    opener: (usize, u32, LinkId),
    acceptor: (usize, u32, LinkId),
    is_open: bool,
    /// End that does not know yet that the connection is closed, since a partition separates it from
    /// the other one.
    unaware_end: Option<(usize, u32, LinkId)>,
    /// Messages sent during a partition, with a flag that is true if it goes to the opener.
    delayed_messages: Vec<(bool, LinkMessage)>,
    /// Requests without a response, with a flag that is true if the opener has sent them.
    unanswered: BTreeSet<(bool, Sequence)>,
    /// Time of the last delivery to the acceptor and to the opener; messages are not reordered.
    last_delivery: [u64; 2],
}

/// The simulated deployment.
pub struct World {
    pub now: u64,
    /// Sequence number of the last scheduled event; orders events of the same time.
    last_order: u64,
    queue: BTreeMap<(u64, u64), WorldEvent>,
    hosts: Vec<Host>,
    connections: BTreeMap<u64, Connection>,
    by_link: BTreeMap<(usize, u32, LinkId), u64>,
    next_connection: u64,
    next_request: u64,
    partitioned: BTreeSet<usize>,
    /// Pairs of hosts of which the first cannot reach the second.
    cuts: BTreeSet<(usize, usize)>,
    random: ChaCha8Rng,
    /// Random numbers for the delays of votes: they change no other event of a seed.
    vote_random: ChaCha8Rng,
    injected_bug: InjectedBug,
    /// Hosts whose back ends have rejected a request, with its identifier.
    rejections: BTreeSet<(usize, String)>,
    pub checker: Checker,
    pub statuses: BTreeMap<String, u16>,
    /// Newest configuration that the store has acknowledged.
    stored_version: u64,
    /// Time at which [`Self::stored_version`] was stored.
    stored_at: u64,
    object_store: ObjectStore,
    store_down: bool,
    /// Hosts whose calls the store refuses.
    refused_by_store: BTreeSet<usize>,
    /// Hosts whose calls the store leaves unanswered.
    ignored_watchers: BTreeSet<usize>,
    store_loses_answers: bool,
    watches: BTreeMap<u64, (usize, u32, StoreRequestId, StorePosition)>,
    /// Number of calls to the store by name; lists that may be stale are cheap and counted as
    /// "old-list".
    pub store_calls: BTreeMap<&'static str, u64>,
    /// Number of times that a node has begun or ended to watch the store.
    pub watch_changes: u64,
    /// Whether a back end keeps its identifier at every second restart.
    reuses_identifiers: bool,
    /// Time at which callers stop sending requests.
    callers_until: u64,
    /// Maximum number of attempts that a caller makes with a request.
    max_caller_attempts: u32,
    /// Number of calls to the deepest service that a run of the middle one makes.
    middle_calls: u32,
    /// Factor on the time between two requests of a caller.
    caller_pause_factor: u64,
    /// Percentage of answers that callers read slowly, see [`Self::set_slow_reader_percent`].
    slow_reader_percent: u64,
    /// Percentage of requests with the same content, see [`Self::set_popular_percent`].
    popular_percent: u64,
    /// Rate limit of the limited tenant.
    tenant_limit: RateLimit,
    /// Number of log records of requests that were refused or not answered because they are
    /// quarantined.
    pub quarantined_requests: u64,
}

impl World {
    /// Creates a deployment whose nodes start at once.
    pub fn new(seed: u64, injected_bug: InjectedBug, callers_until: u64) -> Self {
        Self::of_size(seed, injected_bug, callers_until, BACK_ENDS_PER_SERVICE)
    }

    /// Creates a deployment with `per_service` back ends of each service.
    pub fn of_size(
        seed: u64,
        injected_bug: InjectedBug,
        callers_until: u64,
        per_service: usize,
    ) -> Self {
        Self::started_within(
            MAX_START_MILLIS,
            seed,
            injected_bug,
            callers_until,
            per_service,
        )
    }

    /// Creates a deployment whose nodes all start within this time. If it is short, most of them read the
    /// configuration from the store before a peer sends it.
    pub fn started_within(
        start_millis: u64,
        seed: u64,
        injected_bug: InjectedBug,
        callers_until: u64,
        per_service: usize,
    ) -> Self {
        let hosts = (0..SERVICES.len() * per_service).map(new_host).collect();
        let mut world = Self {
            now: 0,
            last_order: 0,
            queue: BTreeMap::new(),
            hosts,
            connections: BTreeMap::new(),
            by_link: BTreeMap::new(),
            next_connection: 0,
            next_request: 0,
            partitioned: BTreeSet::new(),
            cuts: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            vote_random: ChaCha8Rng::seed_from_u64(seed ^ VOTE_SEED_MASK),
            injected_bug,
            rejections: BTreeSet::new(),
            checker: Checker::with_retry_bound(RETRY_BOUND),
            statuses: BTreeMap::new(),
            stored_version: 1,
            stored_at: 0,
            object_store: ObjectStore::default(),
            store_down: false,
            refused_by_store: BTreeSet::new(),
            ignored_watchers: BTreeSet::new(),
            store_loses_answers: false,
            watches: BTreeMap::new(),
            reuses_identifiers: false,
            store_calls: BTreeMap::new(),
            watch_changes: 0,
            callers_until,
            max_caller_attempts: 1,
            middle_calls: 1,
            caller_pause_factor: 1,
            slow_reader_percent: 0,
            popular_percent: 0,
            tenant_limit: TENANT_LIMIT,
            quarantined_requests: 0,
        };
        for host in 0..world.hosts.len() {
            let start = world.draw(start_millis);
            world.schedule(start, WorldEvent::Fault(Fault::Start(host)));
            world.schedule(start + 200, WorldEvent::BackEndStarts(host));
            world.schedule(2_500 + start, WorldEvent::CallerSends(host));
        }
        world
    }

    /// Returns a number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound) >> 32
    }

    /// Returns the time that a message takes, in milliseconds.
    fn draw_message_delay(&mut self, message: &LinkMessage) -> u64 {
        match message {
            LinkMessage::VoteRequest(_) | LinkMessage::Vote(_) => {
                1 + ((u64::from(self.vote_random.next_u32()) * 3) >> 32)
            }
            _ => 1 + self.draw(3),
        }
    }

    /// Sets the maximum number of attempts that a caller makes with a request.
    pub fn set_max_caller_attempts(&mut self, max_caller_attempts: u32) {
        self.max_caller_attempts = max_caller_attempts;
    }

    /// Sets the percentage of requests of callers for one shared item, which have equal content.
    pub fn set_popular_percent(&mut self, percent: u64) {
        self.popular_percent = percent;
    }

    /// Sets the rate limit of the limited tenant, before the nodes read the configuration.
    pub fn set_tenant_limit(&mut self, limit: RateLimit) {
        self.tenant_limit = limit;
    }

    /// Checks the limit of the limited tenant.
    pub fn check_limit(&mut self) {
        self.checker.check_limit(self.tenant_limit);
    }

    /// Sets the number of calls to the deepest service that a run of the middle one makes.
    pub fn set_middle_calls(&mut self, middle_calls: u32) {
        self.middle_calls = middle_calls;
    }

    /// Sets the factor on the time between two requests of a caller.
    pub fn set_caller_pause_factor(&mut self, factor: u64) {
        self.caller_pause_factor = factor;
    }

    /// Sets the percentage of answers that callers read slowly.
    pub fn set_slow_reader_percent(&mut self, percent: u64) {
        self.slow_reader_percent = percent;
    }

    /// Makes every second restart of a back end keep its identifier.
    pub fn reuse_back_end_identifiers(&mut self) {
        self.reuses_identifiers = true;
    }

    /// Returns the running nodes whose record the store does not hold.
    pub fn missing_records(&self) -> Vec<&str> {
        let running = self.hosts.iter().filter(|host| host.node.is_some());
        let names = running.map(|host| host.name.as_str());
        names
            .filter(|name| !self.object_store.holds_record(name))
            .collect()
    }

    /// Returns the number of hosts.
    pub fn size(&self) -> usize {
        self.hosts.len()
    }

    /// Schedules an event; a time in the past becomes the present.
    pub fn schedule(&mut self, time: u64, world_event: WorldEvent) {
        self.last_order += 1;
        self.queue
            .insert((time.max(self.now), self.last_order), world_event);
    }

    /// Handles all events up to a time and advances the clock to it.
    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            let world_event = entry.remove();
            self.now = time;
            self.handle(world_event);
        }
        self.now = end;
    }

    /// Returns the version in force at each running node, and the version that the store has
    /// accepted.
    pub fn configuration_versions(&self) -> (Vec<u64>, u64) {
        let nodes = self.hosts.iter().filter_map(|host| host.node.as_ref());
        let in_force = nodes.map(Node::configuration_version).collect();
        (in_force, self.stored_version)
    }

    /// Returns the number of hosts with an open watch at the store.
    pub fn watcher_count(&self) -> usize {
        self.watching_hosts().len()
    }

    /// Returns the hosts in the order in which they watch the store.
    pub fn watch_order(&self) -> Vec<usize> {
        let mut hosts: Vec<usize> = (0..self.size()).collect();
        hosts.sort_by_key(|host| name_hash(&self.hosts[*host].name));
        hosts
    }

    /// Returns the hosts with an open watch at the store.
    pub fn watching_hosts(&self) -> BTreeSet<usize> {
        self.watches.values().map(|(host, ..)| *host).collect()
    }

    /// Checks that every running node has the stored configuration in force.
    pub fn check_configurations(&mut self) {
        let since = self.now - self.stored_at;
        for host in &self.hosts {
            if let Some(node) = &host.node {
                let version = node.configuration_version();
                self.checker
                    .check_configuration(&host.name, version, self.stored_version, since);
            }
        }
    }

    fn handle(&mut self, world_event: WorldEvent) {
        if let Some(host) = host_of(&world_event)
            && self.hosts[host].paused_until > self.now
        {
            let resumes_at = self.hosts[host].paused_until;
            self.schedule(resumes_at, world_event);
            return;
        }
        match world_event {
            WorldEvent::Node(host, incarnation, event) => self.node_event(host, incarnation, event),
            WorldEvent::Wake(host, incarnation) => {
                self.hosts[host].wakes_at = u64::MAX;
                self.node_event(host, incarnation, Event::Wake);
            }
            WorldEvent::Message(connection, to_opener, message) => {
                self.deliver(connection, to_opener, message);
            }
            WorldEvent::Connect(host, incarnation, link, address) => {
                self.connect(host, incarnation, link, address)
            }
            WorldEvent::AbandonedLink(host, incarnation, hello) => {
                self.accept_abandoned(host, incarnation, *hello)
            }
            WorldEvent::WorkDone(host, key) => self.on_work_done(host, &key),
            WorldEvent::Heartbeat(host, instance) => self.send_heartbeat(host, &instance),
            WorldEvent::HeartbeatArrives(host, heartbeat) => self.on_heartbeat(host, &heartbeat),
            WorldEvent::BackEndEnds(host, instance) => self.end_back_end(host, &instance),
            WorldEvent::BackEndStarts(host) => self.start_back_end(host),
            WorldEvent::WatchTimeout(watch) => {
                if let Some((host, incarnation, id, after)) = self.watches.remove(&watch) {
                    self.answer_watch(host, incarnation, id, after);
                }
            }
            WorldEvent::StoreCall(host, incarnation, id, request) => {
                self.on_store_call(host, incarnation, id, request)
            }
            WorldEvent::CallerSends(host) => self.on_caller_turn(host),
            WorldEvent::LimitedCallerSends { host, pause_micros } => {
                self.on_limited_caller_turn(host, pause_micros);
            }
            WorldEvent::CrashingRequest(target) => self.send_crashing_request(target),
            WorldEvent::CallerRetry { target, attempts } => {
                self.resend_at_random_host(target, attempts)
            }
            WorldEvent::AnswerRead(host, incarnation, connection) => {
                self.on_answer_read(host, incarnation, connection);
            }
            WorldEvent::CallerDisconnects(host, incarnation, connection) => {
                if self.hosts[host].callers.remove(&connection).is_some() {
                    self.node_event(host, incarnation, Event::CallerDisconnected(connection));
                }
            }
            WorldEvent::Fault(fault) => self.apply_fault(fault),
        }
    }

    /// Returns the time of the monotonic clock of a host. A clock that stops during a suspension
    /// returns the same time from its begin to its end.
    fn clock(&self, host: usize) -> Instant {
        let entry = &self.hosts[host];
        let now = match entry.clock_lag {
            0 => self.now,
            lag => self.now.max(entry.paused_until) - lag,
        };
        Instant::from_micros(now * 1_000)
    }

    fn node_event(&mut self, host: usize, incarnation: u32, event: Event) {
        let now = self.clock(host);
        let entry = &mut self.hosts[host];
        if entry.incarnation != incarnation {
            return;
        }
        // A node that ends its connections accepts no further ones.
        if entry.ends_connections && matches!(event, Event::Request { .. }) {
            return;
        }
        let Some(node) = &mut entry.node else {
            return;
        };
        let mut actions = Vec::new();
        node.handle(now, event, &mut actions);
        self.after_step(host, actions);
    }

    fn after_step(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(host, action);
        }
        let entry = &mut self.hosts[host];
        let Some(node) = &entry.node else {
            return;
        };
        let version = node.configuration_version();
        let before = std::mem::replace(&mut entry.version, version);
        self.checker
            .on_configuration_in_force(&entry.name, before, version);
        let wake = node.next_wake().as_micros().div_ceil(1_000) + entry.clock_lag;
        let wake = wake.max(self.now + 1);
        if wake < entry.wakes_at {
            entry.wakes_at = wake;
            let incarnation = entry.incarnation;
            self.schedule(wake, WorldEvent::Wake(host, incarnation));
        }
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        let incarnation = self.hosts[host].incarnation;
        match action {
            Action::Answer {
                connection, answer, ..
            } => self.on_answer(host, connection, &answer),
            Action::OpenLink { link, address } => {
                self.schedule(
                    self.now + 1,
                    WorldEvent::Connect(host, incarnation, link, address),
                );
            }
            Action::SendOnLink { link, message } => self.send(host, incarnation, link, message),
            Action::CloseLink(link) => {
                if let Some(connection) = self.by_link.get(&(host, incarnation, link)).copied() {
                    self.close(connection, host);
                }
            }
            Action::StartExchange(exchange) => self.start_exchange(host, incarnation, &exchange),
            Action::CancelExchange(exchange) => {
                let key = ExecutionKey {
                    incarnation,
                    exchange,
                };
                self.hosts[host].back_end.executions.remove(&key);
            }
            Action::Probe { probe, .. } => self.probe(host, incarnation, probe),
            Action::CallStore { id, request } => {
                self.schedule(
                    self.now + 4,
                    WorldEvent::StoreCall(host, incarnation, id, request),
                );
            }
            Action::Log(record) => {
                self.quarantined_requests += u64::from(is_quarantine(&record));
                self.watch_changes += u64::from(matches!(record, LogRecord::Watch { .. }));
            }
            Action::Acknowledge { .. } => {}
            Action::EndConnections => {
                self.hosts[host].ends_connections = true;
                self.report_ended_connections(host);
            }
            Action::Exit => {
                self.checker
                    .on_planned_exit(self.hosts[host].unread.values());
                self.stop_process(host, true);
                self.schedule(self.now + 600, WorldEvent::Fault(Fault::Start(host)));
            }
        }
    }
}

/// Returns whether a log record reports that a request was refused or not answered because it is
/// quarantined.
fn is_quarantine(record: &LogRecord) -> bool {
    match record {
        LogRecord::RequestQuarantined { .. } => true,
        LogRecord::NotAnswered { code, .. } => *code == ResultCode::Quarantined,
        _ => false,
    }
}
