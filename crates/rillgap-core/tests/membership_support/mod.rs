//! Simulated network of nodes that run the membership protocol, with an in-memory store.

#![allow(dead_code, reason = "each test file uses only a part of the support")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rillgap_core::action::{Action, Observation, Outbox};
use rillgap_core::id::{Incarnation, NodeId, NodeName, RegionName, ZoneName};
use rillgap_core::membership::{Membership, MembershipMessage, RemovalRecord};
use rillgap_core::message::PeerMessage;
use rillgap_core::node::{NodeSettings, SeedPeer};
use rillgap_core::store::{
    Machine, ModifyIndex, StoreKey, StoreObject, StoreReply, StoreRequest, StoreRequestId,
};
use rillgap_core::time::{Instant, Now, WallTime};
use rillgap_core::view::View;

const LINK_DELAY: Duration = Duration::from_micros(700);
const STORE_DELAY: Duration = Duration::from_millis(5);
const EPOCH_MILLIS: u64 = 1_700_000_000_000;

/// Behaviour of the simulated store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers all requests.
    #[default]
    Up,
    /// Fails all requests.
    Down,
    /// Answers reads, but reports writes as failed although they take effect.
    LosesAnswers,
}

#[derive(Debug)]
enum Delivery {
    Message(NodeId, NodeId, Incarnation, MembershipMessage),
    Request(NodeId, Incarnation, StoreRequestId, StoreRequest),
    Reply(NodeId, Incarnation, StoreRequestId, StoreReply),
    Wake(NodeId, Incarnation),
}

#[derive(Debug)]
struct Watcher {
    node: NodeId,
    incarnation: Incarnation,
    request: StoreRequestId,
    key: Option<StoreKey>,
    after: ModifyIndex,
}

#[derive(Debug, Default)]
struct Store {
    mode: StoreMode,
    objects: BTreeMap<StoreKey, (ModifyIndex, Vec<u8>)>,
    machines: Vec<Machine>,
    machines_index: ModifyIndex,
    watchers: Vec<Watcher>,
    next_index: u64,
    requests: u64,
}

pub struct Host {
    pub membership: Membership,
    pub settings: NodeSettings,
    frozen_until: Option<Instant>,
    held: Vec<Delivery>,
}

pub struct Mesh {
    pub now: Instant,
    pub hosts: BTreeMap<NodeId, Host>,
    queue: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    store: Store,
    cuts: BTreeSet<(NodeId, NodeId)>,
    store_cuts: BTreeSet<NodeId>,
    delays: BTreeMap<NodeId, Duration>,
    incarnations: u64,
    pub messages: u64,
    /// Requests for the removal of members, with the nodes that made them.
    pub removal_requests: Vec<(NodeId, RemovalRecord)>,
}

pub fn node(zone: usize, number: usize) -> NodeId {
    NodeName::new(format!("node-{zone}-{number}")).id()
}

impl Mesh {
    /// Starts `size` nodes in each of `zones` zones of one region; the first nodes are seeds.
    pub fn start(zones: usize, size: usize) -> Self {
        let mut mesh = Self::empty();
        mesh.list_machines(zones, size);
        for zone in 0..zones {
            for number in 0..size {
                mesh.boot(zone, number);
            }
        }
        mesh
    }

    /// Like [`Self::start`], but starts each node `stagger` after the one before, so that their
    /// periodic work is not in phase.
    pub fn start_staggered(zones: usize, size: usize, stagger: Duration) -> Self {
        let mut mesh = Self::empty();
        mesh.list_machines(zones, size);
        for zone in 0..zones {
            for number in 0..size {
                mesh.boot(zone, number);
                mesh.run(stagger);
            }
        }
        mesh
    }

    pub fn empty() -> Self {
        Self {
            now: Instant::from_micros(1_000_000_000),
            hosts: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            store: Store::default(),
            cuts: BTreeSet::new(),
            store_cuts: BTreeSet::new(),
            delays: BTreeMap::new(),
            incarnations: 0,
            messages: 0,
            removal_requests: Vec::new(),
        }
    }

    fn list_machines(&mut self, zones: usize, size: usize) {
        let names = (0..zones).flat_map(|zone| (0..size).map(move |number| (zone, number)));
        let machines = names.map(|(zone, number)| Machine {
            node: NodeName::new(format!("node-{zone}-{number}")),
            leaving: false,
        });
        self.set_machines(machines.collect());
    }

    pub fn set_machines(&mut self, machines: Vec<Machine>) {
        self.store.next_index += 1;
        self.store.machines_index = ModifyIndex(self.store.next_index);
        self.store.machines = machines;
        self.answer_watchers();
    }

    /// Starts a node, or restarts it with a new incarnation and without its earlier state.
    pub fn boot(&mut self, zone: usize, number: usize) {
        self.incarnations += 1;
        let seeds = (0..2).map(|seed| SeedPeer {
            name: NodeName::new(format!("node-{seed}-0")),
            mesh_address: address(seed, 0),
        });
        let settings = NodeSettings {
            name: NodeName::new(format!("node-{zone}-{number}")),
            zone: ZoneName::new(format!("zone-{zone}")),
            region: RegionName::new("region"),
            incarnation: Incarnation(self.incarnations),
            random_seed: 17 * self.incarnations,
            mesh_address: address(zone, number),
            back_end: None,
            seeds: seeds.collect(),
            initial_view: None,
            initial_policy: None,
            admission: Default::default(),
        };
        let id = settings.id();
        let host = Host {
            membership: Membership::new(self.clock(), &settings),
            settings,
            frozen_until: None,
            held: Vec::new(),
        };
        self.hosts.insert(id, host);
        self.push(
            Duration::ZERO,
            Delivery::Wake(id, Incarnation(self.incarnations)),
        );
    }

    pub fn kill(&mut self, node: NodeId) {
        self.hosts.remove(&node);
    }

    /// Delivers a message to a node now.
    pub fn receive(&mut self, from: NodeId, to: NodeId, message: MembershipMessage) {
        let incarnation = self.hosts[&from].settings.incarnation;
        self.push(
            Duration::ZERO,
            Delivery::Message(from, to, incarnation, message),
        );
    }

    /// Pauses a node; messages that arrive during the pause are handled after it.
    pub fn freeze(&mut self, node: NodeId, duration: Duration) {
        let until = self.now + duration;
        if let Some(host) = self.hosts.get_mut(&node) {
            host.frozen_until = Some(until);
        }
    }

    /// Drops all further messages from one node to another.
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cuts.insert((from, to));
    }

    /// Disconnects a zone from all other zones, in both directions, and from the store.
    pub fn cut_zone(&mut self, zone: usize) {
        let name = ZoneName::new(format!("zone-{zone}"));
        let of_zone = |host: &&Host| host.settings.zone == name;
        let inside: Vec<NodeId> = self
            .hosts
            .values()
            .filter(of_zone)
            .map(|h| h.settings.id())
            .collect();
        self.store_cuts.extend(inside.iter().copied());
        let (lost, kept) = std::mem::take(&mut self.store.watchers)
            .into_iter()
            .partition(|watcher| inside.contains(&watcher.node));
        self.store.watchers = kept;
        self.fail_watchers(lost);
        for &from in &inside {
            for &to in self.hosts.keys() {
                if !inside.contains(&to) {
                    self.cuts.insert((from, to));
                    self.cuts.insert((to, from));
                }
            }
        }
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.store_cuts.clear();
    }

    /// Adds a delay to every message that a node sends.
    pub fn slow(&mut self, node: NodeId, delay: Duration) {
        self.delays.insert(node, delay);
    }

    pub fn set_store(&mut self, mode: StoreMode) {
        self.store.mode = mode;
        if mode == StoreMode::Down {
            let watchers = std::mem::take(&mut self.store.watchers);
            self.fail_watchers(watchers);
        }
    }

    fn fail_watchers(&mut self, watchers: Vec<Watcher>) {
        for watcher in watchers {
            let reply = Delivery::Reply(
                watcher.node,
                watcher.incarnation,
                watcher.request,
                StoreReply::Failed,
            );
            self.push(STORE_DELAY, reply);
        }
    }

    pub fn store_requests(&self) -> u64 {
        self.store.requests
    }

    pub fn membership(&self, node: NodeId) -> &Membership {
        &self.hosts.get(&node).expect("a running node").membership
    }

    pub fn clock(&self) -> Now {
        Now {
            instant: self.now,
            wall: WallTime::from_millis(EPOCH_MILLIS + self.now.as_micros() / 1_000),
        }
    }

    pub fn may_serve(&self, node: NodeId) -> bool {
        self.membership(node).may_serve(self.clock())
    }

    pub fn may_vote(&self, node: NodeId) -> bool {
        self.membership(node).may_vote(self.clock())
    }

    pub fn view(&self, node: NodeId) -> &View {
        self.membership(node).view()
    }

    /// Returns whether all running nodes have the same view and its members are exactly the running
    /// incarnations.
    pub fn has_converged(&self) -> bool {
        let views: Vec<&View> = self
            .hosts
            .values()
            .map(|host| &**host.membership.view())
            .collect();
        let first = views.first().expect("a running node");
        let is_same = views.iter().all(|view| view.version == first.version);
        let members: BTreeSet<_> = first
            .members
            .iter()
            .map(|m| (m.id(), m.incarnation))
            .collect();
        let running: BTreeSet<_> = self
            .hosts
            .values()
            .map(|host| (host.settings.id(), host.settings.incarnation))
            .collect();
        is_same && members == running
    }

    /// Runs the simulation for `duration`.
    pub fn run(&mut self, duration: Duration) {
        self.run_watching(duration, |_| ());
    }

    /// Runs the simulation for `duration` and calls `watch` after every event.
    pub fn run_watching(&mut self, duration: Duration, mut watch: impl FnMut(&Self)) {
        let end = self.now + duration;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let (_, delivery) = self.queue.pop_first().expect("an event");
            self.now = at;
            self.deliver(delivery);
            watch(self);
        }
        self.now = end;
    }

    /// Runs the simulation until `condition` holds and returns the time taken; panics if the
    /// condition does not hold within `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let begin = self.now;
        while !condition(self) {
            assert!(
                self.now.saturating_since(begin) < limit,
                "condition not met in {limit:?}"
            );
            self.run(Duration::from_millis(100));
        }
        self.now.saturating_since(begin)
    }

    fn push(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Request(node, incarnation, request, body) => {
                self.on_store_request(node, incarnation, request, body);
            }
            Delivery::Message(_, to, ..) => self.deliver_to(to, delivery),
            Delivery::Reply(node, incarnation, ..) | Delivery::Wake(node, incarnation) => {
                let is_same = self
                    .hosts
                    .get(&node)
                    .is_some_and(|host| host.settings.incarnation == incarnation);
                if is_same {
                    self.deliver_to(node, delivery);
                }
            }
        }
    }

    fn deliver_to(&mut self, node: NodeId, delivery: Delivery) {
        let now = self.now;
        let clock = self.clock();
        let Some(host) = self.hosts.get_mut(&node) else {
            return;
        };
        if let Some(until) = host.frozen_until {
            if now < until {
                let wait = until.saturating_since(now);
                self.push(wait, delivery);
                return;
            }
            host.frozen_until = None;
        }
        let mut out: Outbox = Vec::new();
        let is_wake = matches!(delivery, Delivery::Wake(..));
        match delivery {
            Delivery::Message(from, _, incarnation, message) => {
                host.membership
                    .on_message(clock, from, incarnation, message, &mut out);
            }
            Delivery::Reply(_, _, request, reply) => {
                host.membership.on_store(clock, request, &reply, &mut out);
            }
            Delivery::Wake(..) | Delivery::Request(..) => {}
        }
        host.membership.poll(clock, &mut out);
        let incarnation = host.settings.incarnation;
        let next = host.membership.next_wake().expect("a wake");
        if is_wake {
            let wait = next.saturating_since(now).max(Duration::from_millis(1));
            self.push(wait, Delivery::Wake(node, incarnation));
        }
        self.carry_out(node, incarnation, out);
    }

    fn carry_out(&mut self, node: NodeId, incarnation: Incarnation, out: Outbox) {
        for action in out {
            match action {
                Action::Send {
                    to,
                    message: PeerMessage::Membership(message),
                    ..
                } if !self.cuts.contains(&(node, to)) => {
                    self.messages += 1;
                    let extra = self.delays.get(&node).copied().unwrap_or_default();
                    let delivery = Delivery::Message(node, to, incarnation, message);
                    self.push(LINK_DELAY + extra, delivery);
                }
                Action::Store { request, body } => {
                    let delivery = Delivery::Request(node, incarnation, request, body);
                    self.push(STORE_DELAY, delivery);
                }
                Action::Observe(Observation::RemovalRequested(removal)) => {
                    self.removal_requests.push((node, removal));
                }
                _ => {}
            }
        }
    }

    fn on_store_request(
        &mut self,
        node: NodeId,
        incarnation: Incarnation,
        request: StoreRequestId,
        body: StoreRequest,
    ) {
        self.store.requests += 1;
        let reply = match self.store.mode {
            _ if self.store_cuts.contains(&node) => Some(StoreReply::Failed),
            StoreMode::Down => Some(StoreReply::Failed),
            StoreMode::Up => self.answer(&body),
            StoreMode::LosesAnswers => {
                let reply = self.answer(&body);
                match reply {
                    Some(StoreReply::Written(_)) => Some(StoreReply::Failed),
                    reply => reply,
                }
            }
        };
        match (reply, body) {
            (Some(reply), _) => {
                self.push(
                    STORE_DELAY,
                    Delivery::Reply(node, incarnation, request, reply),
                );
            }
            (None, StoreRequest::Read { key, after }) => {
                self.watch(node, incarnation, request, Some(key), after);
            }
            (None, StoreRequest::Machines { after }) => {
                self.watch(node, incarnation, request, None, after);
            }
            (None, StoreRequest::CompareAndSet { .. }) => {}
        }
    }

    fn watch(
        &mut self,
        node: NodeId,
        incarnation: Incarnation,
        request: StoreRequestId,
        key: Option<StoreKey>,
        after: Option<ModifyIndex>,
    ) {
        self.store.watchers.push(Watcher {
            node,
            incarnation,
            request,
            key,
            after: after.unwrap_or_default(),
        });
    }

    /// Answers a store request; returns `None` if it must wait for a change.
    fn answer(&mut self, body: &StoreRequest) -> Option<StoreReply> {
        match body {
            StoreRequest::Read { key, after } => {
                let object = self.object(key);
                (Some(object.index) != *after || after.is_none())
                    .then_some(StoreReply::Object(object))
            }
            StoreRequest::Machines { after } => {
                let index = self.store.machines_index;
                (Some(index) != *after).then(|| StoreReply::Machines {
                    index,
                    machines: self.store.machines.clone(),
                })
            }
            StoreRequest::CompareAndSet {
                key,
                expected,
                value,
            } => Some(self.compare_and_set(key, *expected, value)),
        }
    }

    fn object(&self, key: &StoreKey) -> StoreObject {
        let object = self.store.objects.get(key);
        StoreObject {
            index: object.map_or(ModifyIndex(0), |object| object.0),
            value: object.map(|object| object.1.clone()),
        }
    }

    fn compare_and_set(
        &mut self,
        key: &StoreKey,
        expected: ModifyIndex,
        value: &[u8],
    ) -> StoreReply {
        if self.object(key).index != expected {
            return StoreReply::Conflict;
        }
        self.store.next_index += 1;
        let index = ModifyIndex(self.store.next_index);
        self.store
            .objects
            .insert(key.clone(), (index, value.to_vec()));
        self.answer_watchers();
        StoreReply::Written(index)
    }

    fn answer_watchers(&mut self) {
        let watchers = std::mem::take(&mut self.store.watchers);
        for watcher in watchers {
            let (index, reply) = match &watcher.key {
                Some(key) => {
                    let object = self.object(key);
                    (object.index, StoreReply::Object(object))
                }
                None => {
                    let index = self.store.machines_index;
                    let machines = self.store.machines.clone();
                    (index, StoreReply::Machines { index, machines })
                }
            };
            if index > watcher.after {
                let delivery =
                    Delivery::Reply(watcher.node, watcher.incarnation, watcher.request, reply);
                self.push(STORE_DELAY, delivery);
            } else {
                self.store.watchers.push(watcher);
            }
        }
    }
}

fn address(zone: usize, number: usize) -> SocketAddr {
    let port = 10_000 + 100 * zone + number;
    SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(port).expect("a port")))
}
