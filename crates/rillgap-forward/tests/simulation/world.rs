//! Hosts with a node and a back end each, their links, the store and the clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;
use rillgap_forward::action::{Action, CallerAnswer, Exchange};
use rillgap_forward::configuration::{
    CallerLimits, Configuration, Repeatability, Route, Service, WeightedService,
};
use rillgap_forward::event::{
    AnnouncedState, CallerRequest, Event, ExchangeResult, Heartbeat, ProbeResult,
};
use rillgap_forward::id::{AnnouncementId, ConnectionId, ExchangeId, LinkId, ProbeId, Turn};
use rillgap_forward::message::{ForwardedAnswer, LinkMessage, NodeRecord};
use rillgap_forward::node::Node;
use rillgap_forward::settings::{ForwardSettings, RetryBound};
use rillgap_forward::store_sync::{StoreFailure, StoreReply, StoreRequest, StoreRequestId};

use crate::day::Planted;
use crate::judge::Judge;

/// Services of the chain; each calls the next.
pub const SERVICES: [&str; 3] = ["front", "middle", "deep"];
/// Back ends of each service.
const PER_SERVICE: usize = 3;
/// Requests that a back end works on at the same time.
const SLOTS: u32 = 12;
/// Retry bound of the deployment.
pub const RETRY_BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 40,
    window: Duration::from_secs(10),
};
/// Milliseconds between two heartbeats.
const HEARTBEAT: u64 = 1_500;
/// Milliseconds for which a drained back end keeps serving.
const DRAIN_SERVES: u64 = 3_500;
/// Milliseconds for which a watch waits.
const WATCH_WAIT: u64 = 8_000;

/// Something that happens at a time.
#[derive(Debug)]
pub enum Happening {
    /// An event for the node of a host, unless it has been restarted.
    Node(usize, u32, Event),
    /// The node of a host may want to be woken.
    Wake(usize, u32),
    /// A message arrives on a connection.
    Message(u64, bool, LinkMessage),
    /// A connection is opened.
    Connect(usize, u32, LinkId, std::net::SocketAddr),
    /// A back end has done its own work on a request.
    Worked(usize, WorkKey),
    /// A back end sends a heartbeat.
    Heartbeat(usize, String),
    /// A heartbeat arrives.
    HeartbeatArrives(usize, Heartbeat),
    /// A drained back end ends.
    BackEndEnds(usize, String),
    /// A back end starts.
    BackEndStarts(usize),
    /// A watch has waited long enough.
    WatchOver(u64),
    /// A call reaches the store.
    Store(usize, u32, StoreRequestId, StoreRequest),
    /// A caller sends a request.
    Caller(usize),
    /// A caller leaves.
    Leave(usize, u32, ConnectionId),
    /// A fault begins or ends.
    Fault(Fault),
}

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The process of a host is killed.
    Kill(usize),
    /// A host loses power: nobody is told.
    PowerOff(usize),
    /// The process of a host starts.
    Start(usize),
    /// A host stands still until this time.
    Freeze(usize, u64),
    /// A host is cut off from all others, or not any more.
    Cut(usize, bool),
    /// The store does not answer, or does again.
    StoreDown(bool),
    /// The answers of the store are lost, or not any more.
    StoreLossy(bool),
    /// The store forgets its history and cuts the watches.
    Compact,
    /// A back end crashes.
    Crash(usize),
    /// A back end announces that it leaves; another takes its place.
    Drain(usize),
    /// A node gets SIGTERM.
    Stop(usize),
    /// The operator changes the configuration.
    Configure,
    /// A back end loses this share of its answers, in percent.
    LoseAnswers(usize, u64),
    /// A back end works this many times as long.
    Slow(usize, u64),
}

/// A request at a back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkKey {
    run: u32,
    exchange: ExchangeId,
}

#[derive(Debug)]
struct Work {
    id: String,
    instance: String,
    calls: bool,
}

#[derive(Debug)]
struct BackEnd {
    instance: String,
    incarnation: u32,
    is_alive: bool,
    is_draining: bool,
    is_acknowledged: bool,
    sequence: u64,
    works: BTreeMap<WorkKey, Work>,
    lose_percent: u64,
    slowness: u64,
}

struct Host {
    name: String,
    node: Option<Node>,
    run: u32,
    frozen_until: u64,
    version: u64,
    back_end: BackEnd,
    /// Calls of the back end under way: connection to the work that waits.
    calls: BTreeMap<ConnectionId, WorkKey>,
    /// Requests of callers under way.
    callers: BTreeMap<ConnectionId, String>,
    waking_at: u64,
}

struct Connection {
    opener: (usize, u32, LinkId),
    acceptor: (usize, u32, LinkId),
    is_open: bool,
    held: Vec<(bool, LinkMessage)>,
    last_delivery: [u64; 2],
}

/// The whole deployment.
pub struct World {
    pub now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    hosts: Vec<Host>,
    connections: BTreeMap<u64, Connection>,
    by_link: BTreeMap<(usize, u32, LinkId), u64>,
    next_connection: u64,
    next_request: u64,
    cut: BTreeSet<usize>,
    random: ChaCha8Rng,
    planted: Planted,
    pub judge: Judge,
    pub statuses: BTreeMap<String, u16>,
    stored_version: u64,
    stored_at: u64,
    records: BTreeMap<String, NodeRecord>,
    store_down: bool,
    store_lossy: bool,
    watches: BTreeMap<u64, (usize, u32, StoreRequestId, u64)>,
    callers_until: u64,
}

impl World {
    /// Creates a deployment whose nodes start at once.
    pub fn new(seed: u64, planted: Planted, callers_until: u64) -> Self {
        let hosts = (0..SERVICES.len() * PER_SERVICE).map(new_host).collect();
        let mut world = Self {
            now: 0,
            order: 0,
            queue: BTreeMap::new(),
            hosts,
            connections: BTreeMap::new(),
            by_link: BTreeMap::new(),
            next_connection: 0,
            next_request: 0,
            cut: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            planted,
            judge: Judge::default(),
            statuses: BTreeMap::new(),
            stored_version: 1,
            stored_at: 0,
            records: BTreeMap::new(),
            store_down: false,
            store_lossy: false,
            watches: BTreeMap::new(),
            callers_until,
        };
        for host in 0..world.hosts.len() {
            let start = world.draw(300);
            world.at(start, Happening::Fault(Fault::Start(host)));
            world.at(start + 200, Happening::BackEndStarts(host));
            world.at(2_500 + start, Happening::Caller(host));
        }
        world
    }

    /// Returns a number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound) >> 32
    }

    /// Returns the number of hosts.
    pub fn size(&self) -> usize {
        self.hosts.len()
    }

    /// Schedules something.
    pub fn at(&mut self, time: u64, happening: Happening) {
        self.order += 1;
        self.queue
            .insert((time.max(self.now), self.order), happening);
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            let happening = entry.remove();
            self.now = time;
            self.happen(happening);
        }
        self.now = end;
    }

    /// Judges whether every running node has the stored configuration.
    pub fn judge_configurations(&mut self) {
        let since = self.now - self.stored_at;
        for host in &self.hosts {
            if let Some(node) = &host.node {
                let version = node.configuration_version();
                self.judge
                    .in_touch(&host.name, version, self.stored_version, since);
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        if let Some(host) = host_of(&happening)
            && self.hosts[host].frozen_until > self.now
        {
            let thaw = self.hosts[host].frozen_until;
            self.at(thaw, happening);
            return;
        }
        match happening {
            Happening::Node(host, run, event) => self.node_event(host, run, event),
            Happening::Wake(host, run) => {
                self.hosts[host].waking_at = u64::MAX;
                self.node_event(host, run, Event::Wake);
            }
            Happening::Message(connection, to_opener, message) => {
                self.deliver(connection, to_opener, message);
            }
            Happening::Connect(host, run, link, address) => self.connect(host, run, link, address),
            Happening::Worked(host, key) => self.worked(host, &key),
            Happening::Heartbeat(host, instance) => self.send_heartbeat(host, &instance),
            Happening::HeartbeatArrives(host, heartbeat) => self.heartbeat(host, &heartbeat),
            Happening::BackEndEnds(host, instance) => self.end_back_end(host, &instance),
            Happening::BackEndStarts(host) => self.start_back_end(host),
            Happening::WatchOver(watch) => {
                if let Some((host, run, id, after)) = self.watches.remove(&watch) {
                    self.answer_watch(host, run, id, after);
                }
            }
            Happening::Store(host, run, id, request) => self.store(host, run, id, request),
            Happening::Caller(host) => self.caller(host),
            Happening::Leave(host, run, connection) => {
                if self.hosts[host].callers.remove(&connection).is_some() {
                    self.node_event(host, run, Event::CallerGone(connection));
                }
            }
            Happening::Fault(fault) => self.fault(fault),
        }
    }

    fn node_event(&mut self, host: usize, run: u32, event: Event) {
        let now = Instant::from_micros(self.now * 1_000);
        let entry = &mut self.hosts[host];
        if entry.run != run {
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
        self.judge.configured(&entry.name, before, version);
        let wake = (node.next_wake().as_micros().div_ceil(1_000)).max(self.now + 1);
        if wake < entry.waking_at {
            entry.waking_at = wake;
            let run = entry.run;
            self.at(wake, Happening::Wake(host, run));
        }
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        let run = self.hosts[host].run;
        match action {
            Action::Answer {
                connection, answer, ..
            } => self.answer(host, connection, &answer),
            Action::OpenLink { link, address } => {
                self.at(self.now + 1, Happening::Connect(host, run, link, address));
            }
            Action::SendOnLink { link, message } => self.send(host, run, link, message),
            Action::CloseLink(link) => {
                if let Some(connection) = self.by_link.get(&(host, run, link)).copied() {
                    self.close(connection);
                }
            }
            Action::StartExchange(exchange) => self.start_exchange(host, run, &exchange),
            Action::CancelExchange(exchange) => {
                let key = WorkKey { run, exchange };
                self.hosts[host].back_end.works.remove(&key);
            }
            Action::Probe { probe, .. } => self.probe(host, run, probe),
            Action::CallStore { id, request } => {
                self.at(self.now + 4, Happening::Store(host, run, id, request));
            }
            Action::Note(_) | Action::Acknowledge { .. } => {}
            Action::Exit => {
                self.stop_process(host, true);
                self.at(self.now + 600, Happening::Fault(Fault::Start(host)));
            }
        }
    }

    // Links.

    fn connect(&mut self, host: usize, run: u32, link: LinkId, address: std::net::SocketAddr) {
        let peer = usize::from(address.port()) - 7_000;
        let refused = self.hosts[peer].node.is_none();
        if refused || self.is_cut(host, peer) || self.hosts[peer].frozen_until > self.now {
            let delay = if refused { 1 } else { 900 };
            let event = Event::LinkClosed(link);
            self.at(self.now + delay, Happening::Node(host, run, event));
            return;
        }
        let Some(node) = &mut self.hosts[peer].node else {
            return;
        };
        let accepted = node.new_link();
        let greeting = node.hello();
        let peer_run = self.hosts[peer].run;
        let Some(opener) = self.hosts[host].node.as_ref() else {
            return;
        };
        let hello = opener.hello();
        self.next_connection += 1;
        let id = self.next_connection;
        self.connections.insert(
            id,
            Connection {
                opener: (host, run, link),
                acceptor: (peer, peer_run, accepted),
                is_open: true,
                held: Vec::new(),
                last_delivery: [self.now; 2],
            },
        );
        self.by_link.insert((host, run, link), id);
        self.by_link.insert((peer, peer_run, accepted), id);
        self.node_event(
            peer,
            peer_run,
            Event::LinkAccepted {
                link: accepted,
                hello,
            },
        );
        let event = Event::LinkOpened {
            link,
            hello: greeting,
        };
        self.at(self.now + 1, Happening::Node(host, run, event));
    }

    fn send(&mut self, host: usize, run: u32, link: LinkId, message: LinkMessage) {
        let Some(id) = self.by_link.get(&(host, run, link)).copied() else {
            return;
        };
        let Some(connection) = self.connections.get(&id).filter(|known| known.is_open) else {
            return;
        };
        let to_opener = connection.acceptor == (host, run, link);
        let (opener, acceptor) = (connection.opener.0, connection.acceptor.0);
        if self.is_cut(opener, acceptor) {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.held.push((to_opener, message));
            }
            return;
        }
        self.transmit(id, to_opener, message);
    }

    fn transmit(&mut self, id: u64, to_opener: bool, message: LinkMessage) {
        let delay = 1 + self.draw(3);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let last = &mut connection.last_delivery[usize::from(to_opener)];
        *last = (self.now + delay).max(*last);
        let time = *last;
        self.at(time, Happening::Message(id, to_opener, message));
    }

    fn deliver(&mut self, id: u64, to_opener: bool, message: LinkMessage) {
        let Some(connection) = self.connections.get(&id).filter(|known| known.is_open) else {
            return;
        };
        let (host, run, link) = if to_opener {
            connection.opener
        } else {
            connection.acceptor
        };
        if self.hosts[host].frozen_until > self.now {
            let thaw = self.hosts[host].frozen_until;
            self.at(thaw, Happening::Message(id, to_opener, message));
            return;
        }
        self.node_event(host, run, Event::Link { link, message });
    }

    /// Closes a connection; both ends are told.
    fn close(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut connection.is_open, false) {
            return;
        }
        let ends = [connection.opener, connection.acceptor];
        for (host, run, link) in ends {
            self.by_link.remove(&(host, run, link));
            let event = Event::LinkClosed(link);
            self.at(self.now + 1, Happening::Node(host, run, event));
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut.contains(&one) || self.cut.contains(&other)
    }

    // Back ends.

    fn start_exchange(&mut self, host: usize, run: u32, exchange: &Exchange) {
        let key = WorkKey {
            run,
            exchange: exchange.id,
        };
        let back_end = &self.hosts[host].back_end;
        let result = if !back_end.is_alive {
            Some(ExchangeResult::NotSent)
        } else if back_end.instance != exchange.instance {
            Some(ExchangeResult::WrongInstance)
        } else {
            None
        };
        if let Some(result) = result {
            self.end_exchange(host, &key, result, 1);
            return;
        }
        let request = &exchange.request;
        let id = request.request_id.clone();
        if back_end.works.len() >= SLOTS as usize {
            self.judge.broken.push(format!(
                "SLOTS {id} is one too many at {}",
                back_end.instance
            ));
        }
        let instance = back_end.instance.clone();
        self.judge.ran(self.now, &id, &instance, service(host));
        let work = Work {
            id,
            instance,
            calls: request.target.contains("calls") && service(host) != "deep",
        };
        let millis = (5 + self.draw(25)) * self.hosts[host].back_end.slowness;
        self.hosts[host].back_end.works.insert(key.clone(), work);
        self.at(self.now + millis, Happening::Worked(host, key));
    }

    /// Goes on with a request: the first time with its call, if it makes one.
    fn worked(&mut self, host: usize, key: &WorkKey) {
        let instance = self.hosts[host].back_end.instance.clone();
        let Some(work) = self.hosts[host].back_end.works.get_mut(key) else {
            return;
        };
        if work.instance != instance {
            return;
        }
        if !std::mem::take(&mut work.calls) {
            self.finish_work(host, key, 200);
            return;
        }
        let id = format!("{}.1", work.id);
        let next = next_service(service(host));
        let target = format!("/{next}/calls");
        let connection = self.request(host, &id, &target, true, true);
        self.hosts[host].calls.insert(connection, key.clone());
    }

    fn finish_work(&mut self, host: usize, key: &WorkKey, status: u16) {
        let lost = self.draw(100) < self.hosts[host].back_end.lose_percent;
        let swapped = self.planted == Planted::SwappedAnswer && self.draw(50) == 0;
        let lies = self.draw(20) == 0;
        let Some(work) = self.hosts[host].back_end.works.remove(key) else {
            return;
        };
        let body = if swapped { "another" } else { work.id.as_str() };
        let result = match self.planted {
            Planted::RunTwice if lies => ExchangeResult::NotSent,
            Planted::FalseNotExecuted if lies => ExchangeResult::NotExecuted,
            _ if lost => ExchangeResult::Lost,
            _ => ExchangeResult::Answered(ForwardedAnswer {
                status,
                fields: Vec::new(),
                body: body.as_bytes().to_vec(),
            }),
        };
        self.end_exchange(host, key, result, 1);
    }

    fn end_exchange(&mut self, host: usize, key: &WorkKey, result: ExchangeResult, delay: u64) {
        let event = Event::ExchangeEnded {
            exchange: key.exchange,
            result,
        };
        self.at(self.now + delay, Happening::Node(host, key.run, event));
    }

    fn probe(&mut self, host: usize, run: u32, probe: ProbeId) {
        let back_end = &self.hosts[host].back_end;
        let (result, delay) = if !back_end.is_alive {
            (ProbeResult::Unreachable, 200)
        } else if back_end.is_draining {
            (ProbeResult::Unhealthy, 2)
        } else {
            let instance = back_end.instance.clone();
            (ProbeResult::Healthy { instance }, 2)
        };
        let event = Event::ProbeEnded { probe, result };
        self.at(self.now + delay, Happening::Node(host, run, event));
    }

    fn start_back_end(&mut self, host: usize) {
        let back_end = &mut self.hosts[host].back_end;
        back_end.incarnation += 1;
        back_end.instance = format!("i-{host}-{}", back_end.incarnation);
        back_end.is_alive = true;
        back_end.is_draining = false;
        back_end.is_acknowledged = false;
        back_end.sequence = 0;
        back_end.works.clear();
        let instance = back_end.instance.clone();
        self.at(self.now, Happening::Heartbeat(host, instance));
    }

    fn send_heartbeat(&mut self, host: usize, instance: &str) {
        // Some arrive seconds late.
        let delay = if self.draw(10) == 0 {
            self.draw(4_000)
        } else {
            1
        };
        let back_end = &mut self.hosts[host].back_end;
        if !back_end.is_alive || back_end.instance != instance {
            return;
        }
        back_end.sequence += 1;
        let state = if back_end.is_draining {
            AnnouncedState::Draining
        } else {
            AnnouncedState::Ready
        };
        let heartbeat = Heartbeat {
            instance: instance.to_owned(),
            service: service(host).to_owned(),
            address: back_end_address(host).to_string(),
            slots: SLOTS,
            state,
            sequence: back_end.sequence,
        };
        let wait = if back_end.is_draining && !back_end.is_acknowledged {
            300
        } else {
            HEARTBEAT
        };
        self.at(
            self.now + delay,
            Happening::HeartbeatArrives(host, heartbeat),
        );
        let instance = instance.to_owned();
        self.at(self.now + wait, Happening::Heartbeat(host, instance));
    }

    fn heartbeat(&mut self, host: usize, heartbeat: &Heartbeat) {
        let is_draining = heartbeat.state == AnnouncedState::Draining;
        let now = Instant::from_micros(self.now * 1_000);
        let Some(node) = &mut self.hosts[host].node else {
            return;
        };
        let mut actions = Vec::new();
        let forgets = is_draining && self.planted == Planted::ForgottenDraining;
        if !forgets {
            let event = Event::Heartbeat {
                announcement: AnnouncementId(heartbeat.sequence),
                heartbeat: heartbeat.clone(),
            };
            node.handle(now, event, &mut actions);
        }
        let is_accepted = |action: &Action| matches!(action, Action::Acknowledge { is_accepted, .. } if *is_accepted);
        let acknowledged = forgets || actions.iter().any(is_accepted);
        if acknowledged && is_draining {
            self.judge.drained(self.now, &heartbeat.instance);
            let back_end = &mut self.hosts[host].back_end;
            let is_current = back_end.instance == heartbeat.instance;
            if is_current && !std::mem::replace(&mut back_end.is_acknowledged, true) {
                let instance = heartbeat.instance.clone();
                let end = self.now + DRAIN_SERVES;
                self.at(end, Happening::BackEndEnds(host, instance));
            }
        }
        self.after_step(host, actions);
    }

    fn end_back_end(&mut self, host: usize, instance: &str) {
        if self.hosts[host].back_end.instance != instance {
            return;
        }
        self.crash_back_end(host);
        self.at(self.now + 500, Happening::BackEndStarts(host));
    }

    fn crash_back_end(&mut self, host: usize) {
        let back_end = &mut self.hosts[host].back_end;
        back_end.is_alive = false;
        let works: Vec<WorkKey> = back_end.works.keys().cloned().collect();
        back_end.works.clear();
        for key in works {
            self.end_exchange(host, &key, ExchangeResult::Lost, 1);
        }
    }

    // Callers.

    fn caller(&mut self, host: usize) {
        if self.now >= self.callers_until {
            return;
        }
        let pause = 20 + self.draw(80);
        self.at(self.now + pause, Happening::Caller(host));
        if self.hosts[host].node.is_none() {
            return;
        }
        self.next_request += 1;
        let id = format!("r{}", self.next_request);
        let (target, is_idempotent) = match self.draw(4) {
            0 => ("/once/calls", false),
            1 => ("/deep/direct", true),
            _ => ("/front/calls", true),
        };
        let connection = self.request(host, &id, target, is_idempotent, false);
        self.hosts[host].callers.insert(connection, id);
        if self.draw(20) == 0 {
            let run = self.hosts[host].run;
            let leave = self.now + self.draw(100);
            self.at(leave, Happening::Leave(host, run, connection));
        }
    }

    fn request(
        &mut self,
        host: usize,
        id: &str,
        target: &str,
        is_idempotent: bool,
        is_call: bool,
    ) -> ConnectionId {
        self.judge.sent(self.now, id, is_idempotent, is_call);
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        let request = CallerRequest {
            request_id: id.to_owned(),
            method: "GET".to_owned(),
            target: target.to_owned(),
            host: "h".to_owned(),
            fields: Vec::new(),
            body: Vec::new(),
            deadline: Some(Duration::from_millis(900)),
            parent_id: id.rsplit_once('.').map(|(parent, _)| parent.to_owned()),
        };
        let event = Event::Request {
            connection,
            turn: Turn(0),
            request,
        };
        let run = self.hosts[host].run;
        self.at(self.now + 1, Happening::Node(host, run, event));
        connection
    }

    fn answer(&mut self, host: usize, connection: ConnectionId, answer: &CallerAnswer) {
        let entry = &mut self.hosts[host];
        if let Some(key) = entry.calls.remove(&connection) {
            let status = if answer.status == 200 { 200 } else { 500 };
            self.finish_work(host, &key, status);
            return;
        }
        let Some(id) = entry.callers.remove(&connection) else {
            return;
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        self.statuses.insert(id.clone(), answer.status);
        self.judge.answered(&id, answer.status, &body);
    }

    // The store.

    fn store(&mut self, host: usize, run: u32, id: StoreRequestId, request: StoreRequest) {
        if self.store_down || self.cut.contains(&host) {
            let reply = failed("no answer");
            self.reply(host, run, id, reply, 2_000);
            return;
        }
        let reply = match request {
            StoreRequest::ReadConfiguration => self.configuration_reply(0),
            StoreRequest::WatchConfiguration { after } => {
                if self.visible_version() > after {
                    self.configuration_reply(after)
                } else {
                    self.next_connection += 1;
                    let watch = self.next_connection;
                    self.watches.insert(watch, (host, run, id, after));
                    self.at(self.now + WATCH_WAIT, Happening::WatchOver(watch));
                    return;
                }
            }
            StoreRequest::Register(record) => {
                self.records.insert(record.name.clone(), record);
                StoreReply::Registered
            }
            StoreRequest::ListNodes => StoreReply::Nodes(self.records.values().cloned().collect()),
            StoreRequest::Unregister { name } => {
                self.records.remove(&name);
                StoreReply::Unregistered
            }
        };
        if self.store_lossy && self.draw(2) == 0 {
            let reply = failed("answer lost");
            self.reply(host, run, id, reply, 2_000);
            return;
        }
        self.reply(host, run, id, reply, 4);
    }

    fn reply(&mut self, host: usize, run: u32, id: StoreRequestId, reply: StoreReply, delay: u64) {
        let event = Event::Store { request: id, reply };
        self.at(self.now + delay, Happening::Node(host, run, event));
    }

    fn visible_version(&self) -> u64 {
        match self.planted {
            Planted::StaleConfiguration => 1,
            _ => self.stored_version,
        }
    }

    fn configuration_reply(&self, after: u64) -> StoreReply {
        let version = self.visible_version();
        StoreReply::Configuration {
            position: version,
            configuration: (version > after).then(|| configuration(version)),
        }
    }

    fn answer_watch(&mut self, host: usize, run: u32, id: StoreRequestId, after: u64) {
        if self.store_down || self.cut.contains(&host) {
            let reply = failed("no answer");
            self.reply(host, run, id, reply, 2_000);
            return;
        }
        let reply = self.configuration_reply(after);
        self.reply(host, run, id, reply, 4);
    }

    fn answer_all_watches(&mut self) {
        for (_, (host, run, id, after)) in std::mem::take(&mut self.watches) {
            self.answer_watch(host, run, id, after);
        }
    }

    // Faults.

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(host) => self.stop_process(host, true),
            Fault::PowerOff(host) => {
                self.stop_process(host, false);
                self.crash_back_end(host);
                self.at(self.now + 1_000, Happening::BackEndStarts(host));
            }
            Fault::Start(host) => self.start_process(host),
            Fault::Freeze(host, until) => self.hosts[host].frozen_until = until,
            Fault::Cut(host, true) => {
                self.cut.insert(host);
            }
            Fault::Cut(host, false) => self.heal(host),
            Fault::StoreDown(down) => {
                self.store_down = down;
                if down {
                    self.answer_all_watches();
                }
            }
            Fault::StoreLossy(lossy) => self.store_lossy = lossy,
            Fault::Compact => {
                for (_, (host, run, id, _)) in std::mem::take(&mut self.watches) {
                    self.reply(host, run, id, StoreReply::HistoryGone, 4);
                }
            }
            Fault::Crash(host) => {
                self.crash_back_end(host);
                self.at(self.now + 2_000, Happening::BackEndStarts(host));
            }
            Fault::Drain(host) => {
                let back_end = &mut self.hosts[host].back_end;
                back_end.is_draining |= back_end.is_alive;
            }
            Fault::Stop(host) => {
                let run = self.hosts[host].run;
                self.node_event(host, run, Event::Stop);
            }
            Fault::Configure => {
                if !self.store_down {
                    self.stored_version += 1;
                    self.stored_at = self.now;
                    if self.planted != Planted::StaleConfiguration {
                        self.answer_all_watches();
                    }
                }
            }
            Fault::LoseAnswers(host, percent) => {
                self.hosts[host].back_end.lose_percent = percent;
            }
            Fault::Slow(host, times) => self.hosts[host].back_end.slowness = times,
        }
    }

    fn stop_process(&mut self, host: usize, is_told: bool) {
        let entry = &mut self.hosts[host];
        if entry.node.take().is_none() {
            return;
        }
        entry.run += 1;
        entry.calls.clear();
        entry.callers.clear();
        // Its connections to the back end are closed, and work on them is dropped.
        entry.back_end.works.clear();
        if is_told {
            self.close_links_of(host);
        }
    }

    fn close_links_of(&mut self, host: usize) {
        let open: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, known)| known.is_open)
            .filter(|(_, known)| known.opener.0 == host || known.acceptor.0 == host)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.close(id);
        }
    }

    fn start_process(&mut self, host: usize) {
        if self.hosts[host].node.is_some() {
            return;
        }
        // What peers still hold of an earlier run is reset.
        self.close_links_of(host);
        let seed = self.draw(u64::from(u32::MAX));
        let now = Instant::from_micros(self.now * 1_000);
        let entry = &mut self.hosts[host];
        entry.run += 1;
        entry.version = 0;
        entry.waking_at = u64::MAX;
        entry.node = Some(Node::new(now, settings(host, entry.run, seed)));
        let run = entry.run;
        self.node_event(host, run, Event::Wake);
    }

    fn heal(&mut self, host: usize) {
        self.cut.remove(&host);
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        for id in ids {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let (opener, acceptor) = (connection.opener.0, connection.acceptor.0);
            if !connection.is_open || connection.held.is_empty() {
                continue;
            }
            if self.cut.contains(&opener) || self.cut.contains(&acceptor) {
                continue;
            }
            for (to_opener, message) in std::mem::take(&mut connection.held) {
                self.transmit(id, to_opener, message);
            }
        }
    }
}

fn failed(detail: &str) -> StoreReply {
    StoreReply::Failed(StoreFailure {
        code: ResultCode::StoreUnavailable,
        detail: detail.to_owned(),
    })
}

/// Returns the host that must be awake for something to happen.
fn host_of(happening: &Happening) -> Option<usize> {
    match happening {
        Happening::Node(host, ..)
        | Happening::Wake(host, _)
        | Happening::Connect(host, ..)
        | Happening::HeartbeatArrives(host, _) => Some(*host),
        _ => None,
    }
}

fn service(host: usize) -> &'static str {
    SERVICES[host % SERVICES.len()]
}

fn next_service(service: &str) -> &'static str {
    match service {
        "front" => "middle",
        _ => "deep",
    }
}

fn back_end_address(host: usize) -> std::net::SocketAddr {
    let port = 9_000 + u16::try_from(host).unwrap_or(0);
    ([127, 0, 0, 1], port).into()
}

fn new_host(host: usize) -> Host {
    Host {
        name: format!("n{host}"),
        node: None,
        run: 0,
        frozen_until: 0,
        version: 0,
        back_end: BackEnd {
            instance: String::new(),
            incarnation: 0,
            is_alive: false,
            is_draining: false,
            is_acknowledged: false,
            sequence: 0,
            works: BTreeMap::new(),
            lose_percent: 0,
            slowness: 1,
        },
        calls: BTreeMap::new(),
        callers: BTreeMap::new(),
        waking_at: u64::MAX,
    }
}

fn settings(host: usize, run: u32, random_seed: u64) -> ForwardSettings {
    let port = 7_000 + u16::try_from(host).unwrap_or(0);
    ForwardSettings {
        record: NodeRecord {
            name: format!("n{host}"),
            address: ([127, 0, 0, 1], port).into(),
            zone: format!("z{}", host / SERVICES.len()),
            service: service(host).to_owned(),
        },
        incarnation: u64::from(run),
        random_seed,
        back_end_address: back_end_address(host),
        heartbeat_interval: Duration::from_millis(HEARTBEAT),
        grace: Duration::from_secs(6),
        retry_bound: RETRY_BOUND,
    }
}

fn configuration(version: u64) -> Configuration {
    let route = |path: &str, service: &str, repeatability, priority| Route {
        name: path.to_owned(),
        host: "h".to_owned(),
        path_prefix: path.to_owned(),
        repeatability,
        timeout_millis: 800,
        target_latency_millis: 400,
        priority,
        services: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
    };
    let services = SERVICES.map(|name| Service {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 100,
    });
    Configuration {
        version,
        routes: vec![
            route("/front/", "front", Repeatability::Idempotent, 2),
            route("/once/", "middle", Repeatability::AtMostOnce, 0),
            route("/middle/", "middle", Repeatability::Idempotent, 1),
            route("/deep/", "deep", Repeatability::Idempotent, 1),
        ],
        services: services.to_vec(),
        limits: CallerLimits::default(),
    }
}
