//! Hosts with real nodes, and the loop that moves events between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rillgap_core::action::{Action, Observation, Outbox};
use rillgap_core::event::{Event, InboundId};
use rillgap_core::id::{Incarnation, NodeId, PolicyVersion, ViewVersion};
use rillgap_core::message::PeerMessage;
use rillgap_core::node::Node;
use rillgap_core::operator::{OperatorReply, OperatorRequest, OperatorRequestId};
use rillgap_core::request::{AnswerHead, InboundRequest, Origin, RequestHead};
use rillgap_core::store::{StoreRequest, StoreRequestId};
use rillgap_core::time::{Instant, Now, WallTime};

use super::layout::{Layout, incarnation};
use super::measure::{PhaseClock, Stopwatch};
use super::meter::{FRAME_HEADER, HostMeter, Part, StoreMeter};
use super::network::Network;
use super::queue::EventQueue;
use crate::sim::platform::Platform;
use crate::sim::random::Stream;

/// Virtual time at which every run begins.
const START: Instant = Instant::from_micros(1_000_000_000);
/// Wall clock at the origin of virtual time: 2026-01-01.
const WALL_ORIGIN_MILLIS: u64 = 1_767_225_600_000;
/// Time that the stand-in of a back end works on a request.
const WORK: Duration = Duration::from_millis(5);

/// One event of the fleet.
#[derive(Debug)]
pub(super) enum FleetEvent {
    Peer {
        from: usize,
        run: u32,
        to: usize,
        part: Part,
        frame: Vec<u8>,
    },
    Local {
        host: usize,
        run: u32,
        event: Event,
    },
    Wake {
        host: usize,
        run: u32,
    },
    StoreRequest {
        host: usize,
        run: u32,
        request: StoreRequestId,
        body: StoreRequest,
    },
    StoreWaitOver {
        waiter: u64,
    },
    StoreCancel {
        host: usize,
        run: u32,
        request: StoreRequestId,
    },
    MachineList,
    /// A request with a key arrives at a host.
    Arrival {
        host: usize,
    },
}

/// One host.
#[derive(Debug)]
pub struct FleetHost {
    /// Its node, while the process runs.
    pub node: Option<Node>,
    /// Number of starts.
    pub run: u32,
    /// What it is charged with.
    pub meter: HostMeter,
    /// Policy in force and since when.
    pub policy: Option<(PolicyVersion, Instant)>,
    /// Whether it serves.
    pub serving: bool,
    wake_at: Option<Instant>,
    frozen_until: Instant,
}

/// Requests with keys, as far as they are counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyedRequests {
    /// Sent.
    pub sent: u64,
    /// Answered whole.
    pub answered: u64,
}

/// A fleet of hosts.
#[derive(Debug)]
pub struct Fleet {
    /// Names and places.
    pub layout: Layout,
    /// Present time.
    pub time: Instant,
    /// The hosts.
    pub hosts: Vec<FleetHost>,
    /// Links between them.
    pub network: Network,
    /// Meter of the platform.
    pub store_meter: StoreMeter,
    /// Requests with keys.
    pub keyed: KeyedRequests,
    /// Replies to operators.
    pub replies: Vec<(OperatorRequestId, OperatorReply)>,
    /// Share of real time for which the process was on a processor, since the last reset.
    pub phase_clock: PhaseClock,
    /// Random numbers of experiments.
    pub random: Stream,
    pub(super) platform: Platform,
    pub(super) list_changes: BTreeSet<usize>,
    queue: EventQueue<FleetEvent>,
    hosts_by_id: BTreeMap<NodeId, usize>,
    identifiers: Vec<NodeId>,
    seed: u64,
    load_interval: Option<Duration>,
    next_inbound: u64,
}

impl Fleet {
    /// Creates a fleet in which nothing runs yet.
    pub fn new(layout: Layout, seed: u64) -> Self {
        let places = (0..layout.nodes).map(|host| layout.place(host)).collect();
        let hosts = (0..layout.nodes).map(|_| FleetHost {
            node: None,
            run: 0,
            meter: HostMeter::default(),
            policy: None,
            serving: false,
            wake_at: None,
            frozen_until: START,
        });
        let identifiers: Vec<NodeId> = (0..layout.nodes)
            .map(|host| layout.name(host).id())
            .collect();
        let hosts_by_id = identifiers.iter().enumerate();
        let mut fleet = Self {
            layout,
            time: START,
            hosts: hosts.collect(),
            network: Network::new(places, Stream::new(seed, 1)),
            store_meter: StoreMeter::default(),
            keyed: KeyedRequests::default(),
            replies: Vec::new(),
            phase_clock: PhaseClock::start(),
            random: Stream::new(seed, 2),
            platform: Platform::default(),
            list_changes: BTreeSet::new(),
            queue: EventQueue::default(),
            hosts_by_id: hosts_by_id.map(|(host, id)| (*id, host)).collect(),
            identifiers,
            seed,
            load_interval: None,
            next_inbound: 0,
        };
        fleet.schedule(Duration::ZERO, FleetEvent::MachineList);
        fleet
    }

    /// Starts the node of a host with an empty memory.
    pub fn start(&mut self, host: usize) {
        let now = self.now();
        self.store_meter.host_ended(host);
        let state = &mut self.hosts[host];
        state.run += 1;
        let settings = self.layout.settings(host, state.run, self.seed);
        state.node = Some(Node::new(now, settings));
        state.policy = None;
        state.serving = false;
        state.wake_at = None;
        let run = state.run;
        self.list_changes.insert(host);
        self.schedule(Duration::ZERO, FleetEvent::Wake { host, run });
    }

    /// Ends the node of a host without notice.
    pub fn kill(&mut self, host: usize) {
        self.store_meter.host_ended(host);
        self.hosts[host].node = None;
        self.hosts[host].serving = false;
        self.list_changes.insert(host);
    }

    /// Holds up a host for a while; what arrives meanwhile is handled after it.
    pub fn freeze(&mut self, host: usize, duration: Duration) {
        self.hosts[host].frozen_until = self.time + duration;
    }

    /// Sends a keyed request to every host at the given mean interval, or to none.
    pub fn set_load(&mut self, interval: Option<Duration>) {
        let was_loaded = self.load_interval.is_some();
        self.load_interval = interval;
        if was_loaded || interval.is_none() {
            return;
        }
        for host in 0..self.hosts.len() {
            self.schedule_arrival(host);
        }
    }

    /// Asks the node of a host for something, as an operator.
    pub fn operate(&mut self, host: usize, request: OperatorRequestId, body: OperatorRequest) {
        let run = self.hosts[host].run;
        let event = Event::Operator { request, body };
        self.schedule(Duration::ZERO, FleetEvent::Local { host, run, event });
    }

    /// Runs for a while.
    pub fn run(&mut self, duration: Duration) {
        let end = self.time + duration;
        while let Some((at, event)) = self.queue.pop(end) {
            self.time = at;
            self.handle(event);
        }
        self.time = end;
    }

    /// Runs until a condition holds, looked at every `step`; returns the time that it took, or
    /// `None` if it did not within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        step: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let begin = self.time;
        while !condition(self) {
            if self.time.saturating_since(begin) >= limit {
                return None;
            }
            self.run(step);
        }
        Some(self.time.saturating_since(begin))
    }

    /// Returns the hosts whose nodes run.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| host.node.is_some())
            .map(|(index, _)| index)
    }

    /// Returns the view of the node of a host.
    pub fn view_version(&self, host: usize) -> ViewVersion {
        let node = self.hosts[host].node.as_ref();
        node.map_or(ViewVersion::default(), |node| {
            node.membership().view().version
        })
    }

    /// Returns whether a host is in the view of another, in its present run.
    pub fn is_member(&self, host: usize, viewer: usize) -> bool {
        let id = self.identifiers[host];
        let run = Incarnation(incarnation(host, self.hosts[host].run, self.seed));
        let Some(node) = &self.hosts[viewer].node else {
            return false;
        };
        let member = node.membership().view().member(id);
        member.is_some_and(|member| member.incarnation == run)
    }

    /// Sets all meters to zero.
    pub fn reset_meters(&mut self) {
        for host in &mut self.hosts {
            host.meter = HostMeter::default();
        }
        self.store_meter.reset();
        self.phase_clock = PhaseClock::start();
        self.keyed = KeyedRequests::default();
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: FleetEvent) {
        self.queue.push(self.time + delay, event);
    }

    fn now(&self) -> Now {
        Now {
            instant: self.time,
            wall: WallTime::from_millis(WALL_ORIGIN_MILLIS + self.time.as_micros() / 1_000),
        }
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::StoreRequest {
                host,
                run,
                request,
                body,
            } => self.on_store_request(host, run, request, body),
            FleetEvent::StoreWaitOver { waiter } => self.on_store_wait_over(waiter),
            FleetEvent::StoreCancel { host, run, request } => {
                self.on_store_cancel(host, run, request);
            }
            FleetEvent::MachineList => self.update_machine_list(),
            FleetEvent::Arrival { host } => self.on_arrival(host),
            FleetEvent::Peer { to, .. } => self.step(to, event),
            FleetEvent::Local { host, run, .. } | FleetEvent::Wake { host, run } => {
                if self.hosts[host].run == run {
                    self.step(host, event);
                }
            }
        }
    }

    /// Lets a node handle one event and carries out its actions.
    fn step(&mut self, host: usize, event: FleetEvent) {
        let now = self.now();
        let state = &mut self.hosts[host];
        if self.time < state.frozen_until {
            self.queue.push(state.frozen_until, event);
            return;
        }
        let Some(node) = &mut state.node else {
            return;
        };
        if matches!(event, FleetEvent::Wake { .. }) {
            if state.wake_at.is_some_and(|at| at > self.time) {
                return;
            }
            state.wake_at = None;
        }
        let stopwatch = Stopwatch::start();
        let Some(event) = to_event(&self.identifiers, self.seed, &mut state.meter, event) else {
            return;
        };
        let mut out: Outbox = Vec::new();
        node.handle(now, event, &mut out);
        let next_wake = node.next_wake();
        let mut frames = Vec::new();
        out.retain_mut(|action| match action {
            Action::Send { to, message, .. } => {
                frames.push((*to, Part::of(message), bitcode::encode(message)));
                false
            }
            _ => true,
        });
        state.meter.processor += stopwatch.elapsed();
        for (to, part, frame) in frames {
            self.transmit(host, to, part, frame);
        }
        for action in out {
            self.carry_out(host, action);
        }
        self.schedule_wake(host, next_wake);
    }

    fn schedule_wake(&mut self, host: usize, next_wake: Option<Instant>) {
        let Some(at) = next_wake else {
            return;
        };
        let at = at.max(self.time + Duration::from_micros(100));
        let state = &mut self.hosts[host];
        if state.wake_at.is_none_or(|scheduled| at < scheduled) {
            state.wake_at = Some(at);
            let run = state.run;
            self.queue.push(at, FleetEvent::Wake { host, run });
        }
    }

    fn transmit(&mut self, from: usize, to: NodeId, part: Part, frame: Vec<u8>) {
        let bytes = frame.len() as u64 + FRAME_HEADER;
        self.hosts[from]
            .meter
            .sent
            .entry(part)
            .or_default()
            .add(bytes);
        let Some(&to) = self.hosts_by_id.get(&to) else {
            return;
        };
        if let Some(at) = self.network.send(self.time, from, to) {
            let run = self.hosts[from].run;
            let event = FleetEvent::Peer {
                from,
                run,
                to,
                part,
                frame,
            };
            self.queue.push(at, event);
        }
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        let run = self.hosts[host].run;
        match action {
            Action::Store { request, body } => self.send_to_store(host, run, request, body),
            Action::CancelStore { request } => self.cancel_store(host, run, request),
            Action::Reply { request, reply } => self.replies.push((request, reply)),
            Action::CallBackEnd(request) => self.answer_back_end(host, run, request.attempt),
            Action::AnswerEnd { .. } => self.keyed.answered += 1,
            Action::Observe(Observation::PolicyInForce(version)) => {
                self.hosts[host].policy = Some((version, self.time));
            }
            Action::Observe(Observation::Serving(serving)) => self.hosts[host].serving = serving,
            _ => {}
        }
    }

    fn answer_back_end(&mut self, host: usize, run: u32, attempt: rillgap_core::id::AttemptId) {
        let head = AnswerHead {
            status: 200,
            headers: Vec::new(),
        };
        for event in [
            Event::BackEndHead { attempt, head },
            Event::BackEndEnd { attempt },
        ] {
            self.schedule(WORK, FleetEvent::Local { host, run, event });
        }
    }

    fn schedule_arrival(&mut self, host: usize) {
        if let Some(interval) = self.load_interval {
            let wait = self.random.exponential(interval.as_secs_f64());
            self.schedule(Duration::from_secs_f64(wait), FleetEvent::Arrival { host });
        }
    }

    fn on_arrival(&mut self, host: usize) {
        if self.load_interval.is_none() {
            return;
        }
        self.schedule_arrival(host);
        if !self.hosts[host].serving {
            return;
        }
        self.next_inbound += 1;
        self.keyed.sent += 1;
        let service = self.random.position(self.layout.services());
        let key = self.draw_key();
        let request = InboundRequest {
            origin: Origin::Caller,
            service: rillgap_core::id::ServiceName::new(format!("service-{service:03}")),
            head: RequestHead {
                method: "POST".to_owned(),
                path: "/".to_owned(),
                headers: Vec::new(),
            },
            body: Bytes::new(),
            key: Some(key),
            timeout: None,
        };
        let event = Event::Inbound {
            inbound: InboundId(self.next_inbound),
            request,
        };
        let run = self.hosts[host].run;
        self.schedule(Duration::ZERO, FleetEvent::Local { host, run, event });
    }

    fn draw_key(&mut self) -> rillgap_core::id::IdempotencyKey {
        let random = (u128::from(self.random.any()) << 64) | u128::from(self.random.any());
        let millis = u128::from(self.now().wall.as_millis());
        rillgap_core::id::IdempotencyKey((millis << 80) | (random >> 48))
    }
}

/// Makes the event for the node; a peer's message is decoded.
fn to_event(
    identifiers: &[NodeId],
    seed: u64,
    meter: &mut HostMeter,
    event: FleetEvent,
) -> Option<Event> {
    match event {
        FleetEvent::Peer {
            from,
            run,
            part,
            frame,
            ..
        } => {
            let bytes = frame.len() as u64 + FRAME_HEADER;
            meter.received.entry(part).or_default().add(bytes);
            let message: PeerMessage = bitcode::decode(&frame).ok()?;
            Some(Event::Peer {
                from: identifiers[from],
                incarnation: Incarnation(incarnation(from, run, seed)),
                message,
            })
        }
        FleetEvent::Local { event, .. } => Some(event),
        FleetEvent::Wake { .. } => Some(Event::Wake),
        _ => None,
    }
}
