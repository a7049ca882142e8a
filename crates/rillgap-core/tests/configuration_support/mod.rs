//! Simulates whole nodes on a virtual network, with a simulated platform store.

#![allow(dead_code, reason = "each test file uses a part of the support")]

pub mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rillgap_core::action::{Action, Outbox};
use rillgap_core::configuration::ConfigurationMessage;
use rillgap_core::event::Event;
use rillgap_core::id::{
    BackEndName, ChangeId, Incarnation, NodeId, NodeName, PolicyVersion, RegionName, ServiceName,
    ZoneName,
};
use rillgap_core::message::PeerMessage;
use rillgap_core::node::{Node, NodeSettings, SeedPeer};
use rillgap_core::operator::{ChangeState, OperatorReply, OperatorRequest, OperatorRequestId};
use rillgap_core::policy::{BackEndPolicy, BackEndState, Policy, ServicePolicy};
use rillgap_core::store::{Machine, StoreReply, StoreRequest, StoreRequestId};
use rillgap_core::time::{Instant, Now, WallTime};
use store::{DelayedReply, Store};

const LINK_DELAY: Duration = Duration::from_micros(700);
const WALL_CLOCK_START_MILLIS: u64 = 1_700_000_000_000;

/// One incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRun {
    pub node: NodeId,
    pub incarnation: Incarnation,
}

#[derive(Debug)]
enum Delivery {
    Event(NodeRun, Event),
    Store(NodeRun, StoreRequestId, StoreRequest),
    LateWrite(StoreRequest),
}

struct Host {
    node: Node,
    run: NodeRun,
    paused_until: Option<Instant>,
    deferred_events: Vec<Event>,
    scheduled_wake: Option<Instant>,
    highest_version: PolicyVersion,
}

/// Several simulated nodes, their links and their store.
pub struct Fleet {
    pub now: Instant,
    pub store: Store,
    pub replies: BTreeMap<OperatorRequestId, OperatorReply>,
    pub largest_policy_message: usize,
    hosts: BTreeMap<NodeId, Host>,
    queue: BTreeMap<(Instant, u64), Delivery>,
    isolated: BTreeSet<NodeId>,
    isolated_from_store: BTreeSet<NodeId>,
    sequence: u64,
    last_incarnation: u64,
    accepted: PolicyVersion,
}

pub fn id(number: usize) -> NodeId {
    name(number).id()
}

pub fn name(number: usize) -> NodeName {
    NodeName::new(format!("node-{number}"))
}

/// Returns a policy of one service with `back_ends` back ends; tests use `slots` to distinguish
/// policies.
pub fn policy(slots: u16, back_ends: usize) -> Policy {
    let service = ServiceName::new("takst");
    let back_end = |number: usize| BackEndPolicy {
        name: BackEndName::new(format!("takst-{number}")),
        service: ServiceName::new("takst"),
        node: name(number),
        state: BackEndState::Serving,
    };
    Policy {
        services: vec![ServicePolicy {
            name: service,
            slots,
            connections: 110,
            queue_millis: 50,
        }],
        back_ends: (0..back_ends).map(back_end).collect(),
        ..Policy::default()
    }
}

impl Fleet {
    /// Starts `size` nodes, spread over three zones, and runs until they have agreed on a view.
    pub fn start(size: usize) -> Self {
        let mut fleet = Self {
            now: Instant::from_micros(1_000_000_000),
            store: Store::default(),
            replies: BTreeMap::new(),
            largest_policy_message: 0,
            hosts: BTreeMap::new(),
            queue: BTreeMap::new(),
            isolated: BTreeSet::new(),
            isolated_from_store: BTreeSet::new(),
            sequence: 0,
            last_incarnation: 0,
            accepted: PolicyVersion::default(),
        };
        let machine = |number| Machine {
            node: name(number),
            leaving: false,
        };
        fleet.store.machines = (0..size).map(machine).collect();
        (0..size).for_each(|number| fleet.boot(number));
        fleet.run_until("a common view", |fleet| {
            (0..size).all(|number| {
                let membership = fleet.node(number).membership();
                membership.view().members.len() == size && membership.may_serve(fleet.clock())
            })
        });
        fleet
    }

    /// Starts nodes as [`Self::start`] does and puts a first policy in force.
    pub fn start_with_policy(size: usize) -> Self {
        let mut fleet = Self::start(size);
        let reply = fleet.apply(0, policy(1, size), None, 1);
        assert_eq!(reply, accepted(1));
        fleet
    }

    /// Starts a node, or restarts it as a new incarnation without any state.
    pub fn boot(&mut self, number: usize) {
        self.last_incarnation += 1;
        let seeds = (0..2).map(|seed| SeedPeer {
            name: name(seed),
            mesh_address: address(seed),
        });
        let settings = NodeSettings {
            name: name(number),
            zone: ZoneName::new(format!("zone-{}", number % 3)),
            region: RegionName::new("region"),
            incarnation: Incarnation(self.last_incarnation),
            random_seed: self.last_incarnation,
            mesh_address: address(number),
            back_end: None,
            seeds: seeds.collect(),
            initial_view: None,
            initial_policy: None,
            admission: Default::default(),
        };
        let run = NodeRun {
            node: id(number),
            incarnation: settings.incarnation,
        };
        let host = Host {
            node: Node::new(self.clock(), settings),
            run,
            paused_until: None,
            deferred_events: Vec::new(),
            scheduled_wake: None,
            highest_version: PolicyVersion::default(),
        };
        self.hosts.insert(run.node, host);
        self.push(Duration::ZERO, Delivery::Event(run, Event::Wake));
    }

    pub fn kill(&mut self, number: usize) {
        self.hosts.remove(&id(number));
    }

    /// Pauses the process of a node; events that arrive meanwhile are handled afterwards.
    pub fn pause_process(&mut self, number: usize, duration: Duration) {
        let until = self.now + duration;
        self.host_mut(number).paused_until = Some(until);
    }

    /// Drops all messages between a node and the others, and fails its store requests.
    pub fn isolate(&mut self, number: usize) {
        self.isolate_from_peers(number);
        self.isolated_from_store.insert(id(number));
    }

    /// Drops all messages between a node and the others; the store stays reachable.
    pub fn isolate_from_peers(&mut self, number: usize) {
        self.isolated.insert(id(number));
    }

    pub fn heal(&mut self) {
        self.isolated.clear();
        self.isolated_from_store.clear();
    }

    /// Drops the replies of the store that are in flight.
    pub fn drop_store_replies(&mut self) {
        self.queue
            .retain(|_, delivery| !matches!(delivery, Delivery::Event(_, Event::Store { .. })));
    }

    pub fn node(&self, number: usize) -> &Node {
        &self.hosts[&id(number)].node
    }

    /// Returns the version under which a node serves, or `None` if it does not serve.
    pub fn in_force(&self, number: usize) -> Option<PolicyVersion> {
        let node = self.node(number);
        let policy = node.configuration().policy()?;
        let may_serve = node.membership().may_serve(self.clock());
        may_serve.then_some(policy.version)
    }

    pub fn all_in_force(&self, version: u64) -> bool {
        let numbers = 0..self.hosts.len();
        numbers
            .map(|number| self.in_force(number))
            .all(|in_force| in_force == Some(PolicyVersion(version)))
    }

    /// Sends an operator's request to a node.
    pub fn send(&mut self, number: usize, body: OperatorRequest) -> OperatorRequestId {
        self.sequence += 1;
        let request = OperatorRequestId(self.sequence);
        let run = self.hosts[&id(number)].run;
        self.push(
            Duration::ZERO,
            Delivery::Event(run, Event::Operator { request, body }),
        );
        request
    }

    /// Sends an operator's request to a node and waits for its reply.
    pub fn ask(&mut self, number: usize, body: OperatorRequest) -> OperatorReply {
        let request = self.send(number, body);
        self.run_until("a reply", |fleet| fleet.replies.contains_key(&request));
        self.replies[&request].clone()
    }

    pub fn apply(
        &mut self,
        number: usize,
        policy: Policy,
        expected: Option<u64>,
        change: u128,
    ) -> OperatorReply {
        self.ask(number, apply_request(policy, expected, change))
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let (_, delivery) = self.queue.pop_first().unwrap();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = end;
    }

    /// Runs until a condition holds and returns how long that took; panics after a minute.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) -> Duration {
        let begin = self.now;
        while !condition(self) {
            let waited = self.now.saturating_since(begin);
            assert!(
                waited < Duration::from_secs(60),
                "no {what} within a minute"
            );
            self.run(Duration::from_millis(10));
        }
        self.now.saturating_since(begin)
    }

    fn clock(&self) -> Now {
        Now {
            instant: self.now,
            wall: WallTime::from_millis(WALL_CLOCK_START_MILLIS + self.now.as_micros() / 1_000),
        }
    }

    fn host_mut(&mut self, number: usize) -> &mut Host {
        self.hosts.get_mut(&id(number)).unwrap()
    }

    fn push(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(run, event) => self.handle(run, event),
            Delivery::Store(run, request, body) => {
                let replies = self.store.request(run, request, body.clone());
                if self.store.takes_effect_late() {
                    let delay = Duration::from_millis(700);
                    self.push(delay, Delivery::LateWrite(body));
                }
                self.push_store_replies(replies);
            }
            Delivery::LateWrite(body) => {
                let replies = self.store.write_late(body);
                self.push_store_replies(replies);
            }
        }
    }

    fn push_store_replies(&mut self, replies: Vec<DelayedReply>) {
        for DelayedReply {
            run,
            request,
            reply,
            delay,
        } in replies
        {
            let reply = if self.isolated_from_store.contains(&run.node) {
                StoreReply::Failed
            } else {
                reply
            };
            let event = Event::Store { request, reply };
            self.push(delay, Delivery::Event(run, event));
        }
    }

    fn handle(&mut self, run: NodeRun, event: Event) {
        let now = self.clock();
        let Some(host) = self.hosts.get_mut(&run.node).filter(|host| host.run == run) else {
            return;
        };
        if let Some(until) = host.paused_until {
            if self.now < until {
                host.deferred_events.push(event);
                let delay = until.saturating_since(self.now);
                if host.deferred_events.len() == 1 {
                    self.push(delay, Delivery::Event(run, Event::Wake));
                }
                return;
            }
            host.paused_until = None;
        }
        let mut out = Outbox::new();
        for event in std::mem::take(&mut host.deferred_events) {
            host.node.handle(now, event, &mut out);
        }
        host.node.handle(now, event, &mut out);
        self.execute(run, out);
        self.check(run);
        self.schedule_wake(run);
    }

    /// Asserts that the version of a node has not decreased, and that the node does not serve under
    /// a lower version than the highest accepted one.
    fn check(&mut self, run: NodeRun) {
        let now = self.clock();
        let host = self.hosts.get_mut(&run.node).unwrap();
        let version = host.node.configuration().version();
        assert!(
            version >= host.highest_version,
            "the version of a node decreased to {version:?}"
        );
        host.highest_version = version;
        let serves = host.node.membership().may_serve(now);
        if let Some(policy) = host.node.configuration().policy().filter(|_| serves) {
            let accepted = self.accepted;
            assert!(policy.version >= accepted, "{accepted:?} was reverted");
        }
    }

    fn schedule_wake(&mut self, run: NodeRun) {
        let now = self.now;
        let host = self.hosts.get_mut(&run.node).unwrap();
        let Some(wake) = host.node.next_wake() else {
            return;
        };
        if host
            .scheduled_wake
            .is_some_and(|due| due > now && due <= wake)
        {
            return;
        }
        host.scheduled_wake = Some(wake);
        let delay = wake.saturating_since(now).max(Duration::from_millis(1));
        self.push(delay, Delivery::Event(run, Event::Wake));
    }

    fn execute(&mut self, run: NodeRun, out: Outbox) {
        for action in out {
            match action {
                Action::Send { to, message, .. } => self.transmit(run, to, message),
                Action::Store { request, body } => {
                    let delay = self.store.delay;
                    self.push(delay, Delivery::Store(run, request, body));
                }
                Action::Reply { request, reply } => self.on_reply(request, reply),
                _ => {}
            }
        }
    }

    fn transmit(&mut self, from: NodeRun, to: NodeId, message: PeerMessage) {
        if let PeerMessage::Configuration(message) = &message {
            self.record_message_size(message);
        }
        if self.isolated.contains(&from.node) || self.isolated.contains(&to) {
            return;
        }
        if let Some(run) = self.hosts.get(&to).map(|host| host.run) {
            let event = Event::Peer {
                from: from.node,
                incarnation: from.incarnation,
                message,
            };
            self.push(LINK_DELAY, Delivery::Event(run, event));
        }
    }

    fn record_message_size(&mut self, message: &ConfigurationMessage) {
        let bytes = bitcode::encode(message).len();
        self.largest_policy_message = self.largest_policy_message.max(bytes);
    }

    fn on_reply(&mut self, request: OperatorRequestId, reply: OperatorReply) {
        if let OperatorReply::Change {
            version,
            state: ChangeState::Accepted,
        } = &reply
        {
            self.accepted = self.accepted.max(*version);
        }
        self.replies.insert(request, reply);
    }
}

pub fn apply_request(policy: Policy, expected: Option<u64>, change: u128) -> OperatorRequest {
    OperatorRequest::ApplyPolicy {
        policy,
        expected: expected.map(PolicyVersion),
        change: ChangeId(change),
    }
}

pub fn accepted(version: u64) -> OperatorReply {
    OperatorReply::Change {
        version: PolicyVersion(version),
        state: ChangeState::Accepted,
    }
}

fn address(number: usize) -> SocketAddr {
    let host = Ipv4Addr::new(10, 0, 0, number as u8);
    SocketAddr::from((host, 7_441))
}
