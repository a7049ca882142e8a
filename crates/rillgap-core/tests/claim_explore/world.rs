//! Simulates nodes with claims and guards over an unreliable network.
//!
//! All times are virtual and in microseconds, unless a name says otherwise.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rillgap_core::action::{Action, Outbox};
use rillgap_core::claim::{
    ClaimFaults, ClaimMessage, Claims, DispatchGuard, Electorate, RememberedAnswer,
};
use rillgap_core::code::ResultCode;
use rillgap_core::id::{
    AttemptId, Incarnation, NodeId, NodeName, RegionName, ViewVersion, ZoneName,
};
use rillgap_core::message::{KeyedAttempt, PeerMessage};
use rillgap_core::policy::Bounds;
use rillgap_core::time::{Instant, Now, WallTime};
use rillgap_core::view::{Member, View};

use crate::data_path::{Call, Dispatch};
use crate::membership::{LEASE_MICROS, ModelMembership};
use crate::oracle::Oracle;
use crate::random::Draws;

pub const MILLI: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
pub const KEY_LIFE_SECONDS: u64 = 10;
pub const EXTRA_ATTEMPTS: u8 = 2;
const EPOCH_MILLIS: u64 = 1_700_000_000_000;
const MAX_EVENTS: usize = 200_000;

/// Number and probability of the faults in a run.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    pub drop_percent: u64,
    pub late_percent: u64,
    pub restarts: u64,
    pub pauses: u64,
    pub link_failures: u64,
    pub departures: u64,
    /// Probability that a node never receives a view change.
    pub missed_view_percent: u64,
}

/// Host and the node that runs on it.
#[derive(Debug)]
pub struct Host {
    pub name: NodeName,
    zone: ZoneName,
    wall_offset_millis: u64,
    paused_until: u64,
    pub incarnation: Incarnation,
    pub claims: Claims,
    pub guard: DispatchGuard,
    pub membership: ModelMembership,
    pub calls: BTreeMap<AttemptId, Call>,
    pub next_call: u64,
}

impl Host {
    /// Returns incarnation and address of another host in this host's view.
    pub fn membership_member(&self, other: &Self) -> Option<(Incarnation, SocketAddr)> {
        let member = self.membership.view().member(other.name.id())?;
        Some((member.incarnation, member.mesh_address))
    }
}

/// Message between nodes.
#[derive(Clone, Debug)]
pub enum Payload {
    Claim(ClaimMessage),
    Dispatch(Dispatch),
    Refused(AttemptId),
    Answered(AttemptId, RememberedAnswer),
    Failed(AttemptId),
}

/// Event at one host.
#[derive(Clone, Debug)]
pub enum HostEvent {
    Deliver(usize, Payload),
    Wake,
    Request(KeyedAttempt),
    Deadline(AttemptId),
    GuardStart(usize, Dispatch),
    GuardEnd(usize, Dispatch),
    Adopt(usize),
    Activate(usize),
}

#[derive(Clone, Debug)]
enum Event {
    /// Event at a host; if an incarnation is given, it is dropped after a restart of the node.
    Host(usize, Option<Incarnation>, HostEvent),
    Pause(usize, u64),
    Restart(usize),
    LinkFailure(usize, usize, u64),
    /// Removes a host from the view, or adds it again.
    ToggleMembership(usize),
    Propose,
}

pub struct World {
    pub time: u64,
    pub draws: Draws,
    pub hosts: Vec<Host>,
    pub oracle: Oracle,
    fault_plan: FaultPlan,
    faults: ClaimFaults,
    link_down_until: BTreeMap<(usize, usize), u64>,
    views: Vec<Arc<View>>,
    departed: Vec<bool>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
}

impl World {
    pub fn new(
        seed: u64,
        hosts: usize,
        zones: usize,
        fault_plan: FaultPlan,
        faults: ClaimFaults,
    ) -> Self {
        let mut world = Self {
            time: 0,
            draws: Draws::new(seed),
            hosts: Vec::new(),
            oracle: Oracle::default(),
            fault_plan,
            faults,
            link_down_until: BTreeMap::new(),
            views: vec![Arc::new(View::default())],
            departed: vec![false; hosts],
            events: BTreeMap::new(),
            next_event: 0,
        };
        for index in 0..hosts {
            let host = world.host(index, zones);
            world.hosts.push(host);
        }
        let view = world.view_of_hosts();
        for host in &mut world.hosts {
            host.membership = ModelMembership::with_active_view(Arc::clone(&view));
        }
        world.views.push(view);
        world.schedule_faults();
        world
    }

    /// Handles events until none is left.
    pub fn run(&mut self) {
        for _ in 0..MAX_EVENTS {
            let Some(((time, _), event)) = self.events.pop_first() else {
                return;
            };
            self.time = time;
            self.handle(event);
        }
        panic!("the run did not end within {MAX_EVENTS} events");
    }

    pub fn now(&self, host: usize) -> Now {
        let offset = self.hosts[host].wall_offset_millis;
        Now {
            instant: Instant::from_micros(self.time),
            wall: WallTime::from_millis(EPOCH_MILLIS + self.time / MILLI + offset),
        }
    }

    /// Returns the wall-clock time in milliseconds at a virtual time, by a clock in the middle of
    /// the hosts' offsets.
    pub fn wall_millis(time: u64) -> u64 {
        EPOCH_MILLIS + time / MILLI + 1_000
    }

    pub fn at_host(&mut self, host: usize, delay: u64, event: HostEvent) {
        let incarnation = Some(self.hosts[host].incarnation);
        self.push(self.time + delay, Event::Host(host, incarnation, event));
    }

    pub fn request(&mut self, host: usize, time: u64, keyed: KeyedAttempt) {
        self.push(time, Event::Host(host, None, HostEvent::Request(keyed)));
    }

    pub fn pause(&mut self, host: usize, length: u64) {
        self.push(self.time, Event::Pause(host, length));
    }

    pub fn restart_at(&mut self, host: usize, time: u64) {
        self.push(time, Event::Restart(host));
    }

    pub fn send(&mut self, from: usize, to: usize, payload: Payload) {
        let link_down_until = self.link_down_until.get(&(from, to)).copied().unwrap_or(0);
        if self.time < link_down_until || self.draws.percent(self.fault_plan.drop_percent) {
            return;
        }
        let late = self.draws.percent(self.fault_plan.late_percent);
        let max_delay = if late { 3 * SECOND } else { 3 * MILLI };
        let delay = self.draws.within(300..max_delay);
        let deliver = HostEvent::Deliver(from, payload);
        self.push(self.time + delay, Event::Host(to, None, deliver));
    }

    pub fn index_of(&self, node: NodeId) -> usize {
        let position = self.hosts.iter().position(|host| host.name.id() == node);
        position.expect("host exists")
    }

    /// Polls the claims of a node, sends its messages, handles its events and schedules its next
    /// poll.
    pub fn poll_host(&mut self, host: usize, mut out: Outbox) {
        let now = self.now(host);
        let node = &mut self.hosts[host];
        node.claims
            .poll(now, &node.membership, &mut node.guard, &mut out);
        for action in out {
            if let Action::Send {
                to,
                message: PeerMessage::Claim(message),
                ..
            } = action
            {
                let to = self.index_of(to);
                self.send(host, to, Payload::Claim(message));
            }
        }
        while let Some(event) = self.hosts[host].claims.take_event() {
            self.on_claim_event(host, event);
        }
        if let Some(wake) = self.hosts[host].claims.next_wake() {
            let delay = wake.as_micros().saturating_sub(self.time);
            self.at_host(host, delay, HostEvent::Wake);
        }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((time, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Host(host, incarnation, event) => self.handle_at_host(host, incarnation, event),
            Event::Pause(host, length) => self.hosts[host].paused_until = self.time + length,
            Event::Restart(host) => self.restart(host),
            Event::LinkFailure(from, to, length) => {
                self.link_down_until.insert((from, to), self.time + length);
            }
            Event::ToggleMembership(host) => {
                self.departed[host] = !self.departed[host];
                self.push(self.time + 1, Event::Propose);
            }
            Event::Propose => self.propose(),
        }
    }

    fn handle_at_host(&mut self, host: usize, incarnation: Option<Incarnation>, event: HostEvent) {
        if incarnation.is_some_and(|incarnation| incarnation != self.hosts[host].incarnation) {
            return;
        }
        let paused_until = self.hosts[host].paused_until;
        if self.time < paused_until {
            self.push(paused_until, Event::Host(host, incarnation, event));
            return;
        }
        let now = self.now(host);
        match event {
            HostEvent::Adopt(version) => {
                let latest = version + 1 == self.views.len();
                let view = &self.views[version];
                self.hosts[host].membership.adopt(view, latest);
            }
            HostEvent::Activate(version) => {
                let view = &self.views[version];
                self.hosts[host].membership.activate(now, view);
            }
            HostEvent::Deliver(from, Payload::Claim(message)) => {
                let from = self.hosts[from].name.id();
                let mut out = Outbox::new();
                let node = &mut self.hosts[host];
                node.claims.on_message(
                    now,
                    from,
                    message,
                    &node.membership,
                    &mut node.guard,
                    &mut out,
                );
                self.poll_host(host, out);
            }
            HostEvent::Wake => self.poll_host(host, Outbox::new()),
            event => self.on_data_path(host, event),
        }
    }

    fn host(&mut self, index: usize, zones: usize) -> Host {
        let name = NodeName::new(format!("node-{index}"));
        Host {
            zone: ZoneName::new(format!("zone-{}", index % zones)),
            wall_offset_millis: self.draws.within(0..2_000),
            paused_until: 0,
            incarnation: Incarnation(0),
            claims: self.new_claims(&name, Incarnation(0)),
            guard: self.new_guard(),
            membership: ModelMembership::without_history(Arc::default()),
            calls: BTreeMap::new(),
            next_call: 0,
            name,
        }
    }

    fn new_claims(&self, name: &NodeName, incarnation: Incarnation) -> Claims {
        let mut claims = Claims::new(name.id(), incarnation);
        claims.configure(&bounds());
        claims.inject_faults(self.faults);
        claims
    }

    fn new_guard(&self) -> DispatchGuard {
        let mut guard = DispatchGuard::default();
        guard.configure(&bounds());
        guard.inject_faults(self.faults);
        guard
    }

    /// Restarts a node without its state; its callers receive no answer.
    fn restart(&mut self, host: usize) {
        let incarnation = Incarnation(self.hosts[host].incarnation.0 + 1);
        let name = self.hosts[host].name.clone();
        let claims = self.new_claims(&name, incarnation);
        let guard = self.new_guard();
        let view = Arc::clone(self.views.last().expect("at least one view"));
        let node = &mut self.hosts[host];
        node.incarnation = incarnation;
        node.claims = claims;
        node.guard = guard;
        node.membership = ModelMembership::without_history(view);
        node.calls.clear();
        node.paused_until = 0;
        self.push(self.time + 20 * MILLI, Event::Propose);
    }

    /// Adopts a view of the current hosts as agreed; each node receives it after a random delay.
    fn propose(&mut self) {
        let view = self.view_of_hosts();
        if view.members == self.views[self.views.len() - 1].members {
            return;
        }
        let version = self.views.len();
        self.views.push(view);
        let lease_ends = self.time + LEASE_MICROS;
        for host in 0..self.hosts.len() {
            let membership = &mut self.hosts[host].membership;
            membership.on_superseded(Instant::from_micros(lease_ends));
            let adopted_after = self.draws.within(0..300 * MILLI);
            let activated_after = LEASE_MICROS + self.draws.within(0..200 * MILLI);
            if !self.draws.percent(self.fault_plan.missed_view_percent) {
                self.at_host(host, adopted_after, HostEvent::Adopt(version));
                self.at_host(host, activated_after, HostEvent::Activate(version));
            }
        }
    }

    fn view_of_hosts(&self) -> Arc<View> {
        let mut members: Vec<Arc<Member>> = self
            .hosts
            .iter()
            .zip(&self.departed)
            .filter(|(_, departed)| !**departed)
            .map(|(host, _)| {
                Arc::new(Member {
                    name: host.name.clone(),
                    zone: host.zone.clone(),
                    region: RegionName::new("region"),
                    incarnation: host.incarnation,
                    mesh_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                })
            })
            .collect();
        members.sort_by_key(|member| member.id());
        Arc::new(View {
            version: ViewVersion(self.views.len() as u64),
            members,
        })
    }

    fn schedule_faults(&mut self) {
        let FaultPlan {
            restarts,
            pauses,
            link_failures,
            departures,
            ..
        } = self.fault_plan;
        let count = self.hosts.len();
        for _ in 0..restarts {
            let (time, host) = (self.draw_time(), self.draws.index(count));
            self.push(time, Event::Restart(host));
        }
        for _ in 0..pauses {
            let (time, host) = (self.draw_time(), self.draws.index(count));
            let length = self.draws.within(50 * MILLI..4 * SECOND);
            self.push(time, Event::Pause(host, length));
        }
        for _ in 0..link_failures {
            let (time, length) = (self.draw_time(), self.draws.within(MILLI..5 * SECOND));
            let (from, to) = (self.draws.index(count), self.draws.index(count));
            self.push(time, Event::LinkFailure(from, to, length));
            if self.draws.percent(50) {
                self.push(time, Event::LinkFailure(to, from, length));
            }
        }
        for _ in 0..departures {
            let (time, host) = (self.draw_time(), self.draws.index(count));
            self.push(time, Event::ToggleMembership(host));
            self.push(time + 3 * SECOND, Event::ToggleMembership(host));
        }
    }

    fn draw_time(&mut self) -> u64 {
        self.draws.within(5 * SECOND..20 * SECOND)
    }

    pub fn reply(&mut self, call: &Call, code: ResultCode) {
        self.oracle.replies.push(crate::oracle::Reply {
            keyed: call.keyed,
            call: call.id,
            code,
            at: self.time,
        });
    }
}

fn bounds() -> Bounds {
    Bounds {
        extra_attempts: EXTRA_ATTEMPTS,
        key_life_seconds: KEY_LIFE_SECONDS as u32,
        ..Bounds::default()
    }
}
