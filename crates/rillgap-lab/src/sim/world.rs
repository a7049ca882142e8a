//! The whole simulated deployment, as one model.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rillgap_core::action::Outbox;
use rillgap_core::event::{Event, InboundId};
use rillgap_core::id::{AttemptId, NodeId, PolicyVersion};
use rillgap_core::policy::{Class, Policy};
use rillgap_core::time::Instant;

use super::back_end::BackEnd;
use super::digest::RunDigest;
use super::event::{BackEndIndex, ExecutionIndex, HostIndex, SimulationEvent, SubmissionIndex};
use super::host::Host;
use super::ledger::Ledger;
use super::network::Network;
use super::operator::OperatorTask;
use super::options::{PlantedFault, SimulationOptions};
use super::platform::Platform;
use super::random::RandomStreams;
use super::timeline::Timeline;
use crate::model::scenario::Scenario;

/// Latency between a node and the back end on its machine.
pub const MACHINE_LATENCY: Duration = Duration::from_micros(50);

/// Extra attempts that nodes allow where that fault is planted.
const RAISED_BOUND: u8 = 32;

/// Whoever waits for the answer to a request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboundOwner {
    /// A caller.
    Submission(SubmissionIndex),
    /// The local back end.
    Call {
        /// Execution that called.
        execution: ExecutionIndex,
        /// Number of the call among all that it made.
        call: u32,
    },
}

/// The whole simulated deployment.
#[derive(Debug)]
pub struct World {
    /// What is simulated.
    pub scenario: Arc<Scenario>,
    /// Policy that is applied first.
    pub policy: Policy,
    /// Options of the run.
    pub options: SimulationOptions,
    /// Present time.
    pub time: Instant,
    /// Hosts with their nodes.
    pub hosts: Vec<Host>,
    /// Links between hosts.
    pub network: Network,
    /// The platform.
    pub platform: Platform,
    /// Back ends.
    pub back_ends: Vec<BackEnd>,
    /// Ground truth for observers.
    pub ledger: Ledger,
    /// Readable record.
    pub timeline: Timeline,
    /// Number of events that nodes have handled.
    pub node_events: u64,
    pub(super) random: RandomStreams,
    pub(super) hosts_by_id: BTreeMap<NodeId, HostIndex>,
    pub(super) entry_nodes: Vec<Vec<HostIndex>>,
    pub(super) inbounds: Vec<InboundOwner>,
    pub(super) arrivals: Vec<ArrivalProcess>,
    pub(super) slowdowns: Vec<f64>,
    pub(super) operator_tasks: Vec<OperatorTask>,
    pub(super) stalled: BTreeMap<(HostIndex, HostIndex), Vec<SimulationEvent>>,
    pub(super) dispatched: BTreeMap<AttemptId, SeenDispatch>,
    pub(super) highest_accepted: PolicyVersion,
    pub(super) scheduled: Vec<(Instant, SimulationEvent)>,
    outbox: Outbox,
    digest: RunDigest,
}

/// A dispatch that a node beside a back end has handled and not settled yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeenDispatch {
    /// True class of its root.
    pub class: Class,
    /// Number of executions in the ledger when the node handled it.
    pub executions: usize,
}

/// Arrivals of one group of callers.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalProcess {
    /// Factor on the scenario's rate.
    pub factor: f64,
    /// Increased at every change of the factor.
    pub generation: u32,
}

impl World {
    /// Creates the deployment of a scenario; everything starts at time zero.
    pub fn new(scenario: Arc<Scenario>, seed: u64, options: SimulationOptions) -> Self {
        let policy = planted_policy(&scenario, options);
        let mut random = RandomStreams::new(seed);
        let parts = super::setup::build(&scenario, &policy, &mut random);
        let zones = parts.hosts.iter().map(|host| host.zone).collect();
        let arrivals = vec![
            ArrivalProcess {
                factor: 1.0,
                generation: 0,
            };
            scenario.callers.len()
        ];
        let mut world = Self {
            network: Network::new(scenario.network.clone(), zones),
            hosts_by_id: super::setup::index_hosts(&parts.hosts),
            slowdowns: vec![1.0; scenario.services.len()],
            hosts: parts.hosts,
            back_ends: parts.back_ends,
            entry_nodes: parts.entry_nodes,
            platform: Platform::default(),
            ledger: Ledger::default(),
            timeline: Timeline::new(options.timeline),
            time: Instant::default(),
            node_events: 0,
            inbounds: Vec::new(),
            operator_tasks: Vec::new(),
            stalled: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            highest_accepted: PolicyVersion(0),
            scheduled: Vec::new(),
            outbox: Outbox::new(),
            digest: RunDigest::default(),
            arrivals,
            random,
            options,
            policy,
            scenario,
        };
        world.start();
        world
    }

    fn start(&mut self) {
        for host in 0..self.hosts.len() {
            self.start_node(host);
        }
        self.bootstrap();
        let start = Instant::from_micros(self.scenario.callers_start_millis * 1_000);
        for group in 0..self.scenario.callers.len() {
            self.schedule_at(start, SimulationEvent::CallersStart { group });
        }
        self.schedule_faults();
    }

    /// Returns the end of the run.
    pub fn end(&self) -> Instant {
        let millis = self.scenario.duration_millis + self.scenario.settle_millis;
        Instant::from_micros(millis * 1_000)
    }

    /// Returns the digest of all events so far; equal runs have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }

    /// Schedules an event after a delay of at least one microsecond.
    pub(super) fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.schedule_at(self.time + delay, event);
    }

    /// Schedules an event; one that is due now or earlier is due in a microsecond.
    pub(super) fn schedule_at(&mut self, at: Instant, event: SimulationEvent) {
        let soonest = self.time + Duration::from_micros(1);
        self.scheduled.push((at.max(soonest), event));
    }

    /// Takes the events that wait to be scheduled.
    pub fn take_scheduled(&mut self) -> Vec<(Instant, SimulationEvent)> {
        std::mem::take(&mut self.scheduled)
    }

    /// Handles one event that is due.
    pub fn handle(&mut self, time: Instant, event: SimulationEvent) {
        self.time = time;
        match event {
            SimulationEvent::Node { host, run, event } => self.node_event(host, run, event),
            SimulationEvent::Submit {
                host,
                submission,
                request,
            } => self.on_submit(host, submission, *request),
            SimulationEvent::Peer {
                from,
                run,
                to,
                connection,
                message,
            } => self.on_peer_message(from, run, to, connection, *message),
            SimulationEvent::PeerLost { host, run, peer } => {
                let peer = self.hosts[peer].id;
                self.node_event(host, run, Event::PeerLost { peer });
            }
            SimulationEvent::LinkTimeout {
                from,
                to,
                connection,
            } => self.on_link_timeout(from, to, connection),
            SimulationEvent::Wake { host, run } => self.on_wake(host, run),
            SimulationEvent::Store {
                host,
                run,
                request,
                body,
            } => self.on_store(host, run, request, body),
            SimulationEvent::StoreWaitOver { waiter } => self.on_store_wait_over(waiter),
            SimulationEvent::MachineList {
                host,
                listed,
                leaving,
            } => self.on_machine_list(host, listed, leaving),
            event => self.handle_work(event),
        }
    }

    fn handle_work(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::BackEndReceive {
                back_end,
                execution,
            } => {
                self.on_back_end_receive(back_end, execution);
            }
            SimulationEvent::BackEndCancel { execution } => self.on_back_end_cancel(execution),
            SimulationEvent::BackEndCredit { execution, bytes } => {
                self.on_back_end_credit(execution, bytes);
            }
            SimulationEvent::WorkDone { execution } => self.on_work_done(execution),
            SimulationEvent::CallAnswer {
                execution,
                call,
                part,
            } => self.on_call_answer(execution, call, part),
            SimulationEvent::CallTimeout { execution, call } => {
                self.on_call_timeout(execution, call);
            }
            SimulationEvent::CallersStart { group } => self.schedule_arrival(group),
            SimulationEvent::Arrival { group, generation } => self.on_arrival(group, generation),
            SimulationEvent::Attempt { root } => self.submit(root),
            SimulationEvent::Answer { submission, part } => self.on_answer(submission, part),
            SimulationEvent::Patience { submission } => self.on_patience(submission),
            SimulationEvent::FaultBegin { index } => self.on_fault(index, true),
            SimulationEvent::FaultEnd { index } => self.on_fault(index, false),
            SimulationEvent::OperatorStep { task } => self.on_operator_step(task),
            _ => {}
        }
    }

    /// Feeds an event into a node, if that run of it still lasts.
    pub(super) fn node_event(&mut self, host: HostIndex, run: u32, event: Event) {
        let state = &mut self.hosts[host];
        if state.run != run || state.node.is_none() {
            return;
        }
        if state.frozen {
            state.backlog.push_back(event);
            return;
        }
        self.feed(host, event);
    }

    /// Feeds an event into a node that is awake and carries out its actions.
    pub(super) fn feed(&mut self, host: HostIndex, event: Event) {
        self.note_dispatch(&event);
        let state = &mut self.hosts[host];
        let now = state.now(self.time);
        let Some(node) = state.node.as_mut() else {
            return;
        };
        self.node_events += 1;
        self.digest
            .node_event(self.time, host, event_number(&event));
        let mut outbox = std::mem::take(&mut self.outbox);
        node.handle(now, event, &mut outbox);
        self.digest.actions(outbox.len());
        for action in outbox.drain(..) {
            self.carry_out(host, action);
        }
        self.outbox = outbox;
        self.schedule_wake(host);
    }

    fn schedule_wake(&mut self, host: HostIndex) {
        let state = &mut self.hosts[host];
        let Some(wake) = state.node.as_ref().and_then(|node| node.next_wake()) else {
            return;
        };
        let at = state.simulation_time(wake);
        if state.wake_at.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        state.wake_at = Some(at);
        let run = state.run;
        self.schedule_at(at, SimulationEvent::Wake { host, run });
    }

    fn on_wake(&mut self, host: HostIndex, run: u32) {
        let state = &mut self.hosts[host];
        if state.run != run || state.node.is_none() {
            return;
        }
        if state.wake_at.is_some_and(|at| at <= self.time) {
            state.wake_at = None;
        }
        if state.frozen {
            return;
        }
        let reading = state.now(self.time).instant;
        let due = state.node.as_ref().and_then(|node| node.next_wake());
        if due.is_some_and(|due| due <= reading) {
            self.feed(host, Event::Wake);
        } else {
            self.schedule_wake(host);
        }
    }

    /// Draws the identifier of a request at a node.
    pub(super) fn draw_inbound(&mut self, owner: InboundOwner) -> InboundId {
        self.inbounds.push(owner);
        InboundId(self.inbounds.len() as u64 - 1)
    }

    /// Returns the host beside a back end.
    pub(super) fn host_of(&self, back_end: BackEndIndex) -> HostIndex {
        self.back_ends[back_end].host
    }
}

/// Returns the policy that nodes are given, with what is planted in it.
fn planted_policy(scenario: &Scenario, options: SimulationOptions) -> Policy {
    let mut policy = crate::model::policy::policy(scenario);
    match options.planted {
        Some(PlantedFault::BoundRaised) => policy.bounds.extra_attempts = RAISED_BOUND,
        Some(PlantedFault::ClassesExchanged) => {
            for route in &mut policy.routes {
                route.class = match route.class {
                    Class::Bulk => Class::Critical,
                    Class::Critical => Class::Bulk,
                    other => other,
                };
            }
        }
        _ => {}
    }
    policy
}

const fn event_number(event: &Event) -> u8 {
    match event {
        Event::Inbound { .. } => 0,
        Event::InboundGone { .. } => 1,
        Event::InboundConsumed { .. } => 2,
        Event::BackEndHead { .. } => 3,
        Event::BackEndBody { .. } => 4,
        Event::BackEndEnd { .. } => 5,
        Event::BackEndFailed { .. } => 6,
        Event::BackEndAnnounced { .. } => 7,
        Event::Peer { .. } => 8,
        Event::PeerLost { .. } => 9,
        Event::Store { .. } => 10,
        Event::Operator { .. } => 11,
        Event::Wake => 12,
        Event::Stop => 13,
    }
}
