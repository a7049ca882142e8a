//! Builds hosts and back ends of a scenario.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rillgap_core::event::Event;
use rillgap_core::id::{Incarnation, NodeId, NodeName, RegionName};
use rillgap_core::node::{LocalBackEnd, Node, NodeSettings, SeedPeer};
use rillgap_core::policy::Policy;
use rillgap_core::view::{Member, View};

use super::back_end::BackEnd;
use super::event::{HostIndex, SimulationEvent};
use super::host::{Host, SKEW_BASE_MILLIS, mesh_address};
use super::ledger::{HostRecord, HostRecordKind};
use super::options::PlantedFault;
use super::random::RandomStreams;
use super::world::World;
use crate::model::policy::node_name;
use crate::model::scenario::{Bootstrap, Scenario};

/// Name of the only region.
const REGION: &str = "region";
/// Number of peers that a node is told to ask first.
const SEED_PEERS: usize = 3;
/// Largest origin of a monotonic clock.
const CLOCK_ORIGIN_MICROS: u64 = 1_000_000_000_000;

/// What is built.
pub struct Parts {
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Back ends.
    pub back_ends: Vec<BackEnd>,
    /// Entry nodes by zone.
    pub entry_nodes: Vec<Vec<HostIndex>>,
}

/// Builds hosts and back ends; no node runs yet.
pub fn build(scenario: &Scenario, policy: &Policy, random: &mut RandomStreams) -> Parts {
    let zones = scenario.network.zones.len();
    let skew = scenario.network.clock_skew_millis;
    let mut parts = Parts {
        hosts: Vec::new(),
        back_ends: Vec::new(),
        entry_nodes: vec![Vec::new(); zones],
    };
    for (position, back_end) in policy.back_ends.iter().enumerate() {
        let host = host(node_name(&back_end.name), position % zones, skew, random);
        let service = scenario.service_index(&back_end.service).unwrap_or(0);
        parts.hosts.push(Host {
            back_end: Some(position),
            ..host
        });
        parts
            .back_ends
            .push(new_back_end(service, position, back_end.name.clone()));
    }
    for zone in 0..zones {
        for number in 1..=scenario.network.entry_nodes_per_zone {
            let name = NodeName::new(format!(
                "node-entry-{}-{number}",
                scenario.network.zones[zone]
            ));
            parts.entry_nodes[zone].push(parts.hosts.len());
            parts.hosts.push(host(name, zone, skew, random));
        }
    }
    parts
}

fn host(name: NodeName, zone: usize, skew: u64, random: &mut RandomStreams) -> Host {
    Host {
        id: name.id(),
        name,
        zone,
        back_end: None,
        node: None,
        run: 0,
        frozen: false,
        backlog: VecDeque::new(),
        wake_at: None,
        clock_offset: Duration::from_micros(random.hosts.up_to(CLOCK_ORIGIN_MICROS)),
        wall_skew_millis: SKEW_BASE_MILLIS - skew + random.hosts.up_to(2 * skew),
        open_inbounds: BTreeSet::new(),
        stopping: false,
    }
}

fn new_back_end(service: usize, host: HostIndex, name: rillgap_core::id::BackEndName) -> BackEnd {
    BackEnd {
        name,
        service,
        host,
        alive: true,
        run: 1,
        started: None,
        connections: 0,
        leaving: false,
        silent: 0,
        queue: VecDeque::new(),
        running: BTreeMap::new(),
        waiting: BTreeMap::new(),
        attempts: BTreeMap::new(),
        stale_token: None,
    }
}

/// Returns the hosts by the identifiers of their nodes.
pub fn index_hosts(hosts: &[Host]) -> BTreeMap<NodeId, HostIndex> {
    hosts
        .iter()
        .enumerate()
        .map(|(index, host)| (host.id, index))
        .collect()
}

impl World {
    /// Starts a node with empty memory.
    pub(super) fn start_node(&mut self, host: HostIndex) {
        if self.hosts[host].node.is_some() {
            return;
        }
        self.hosts[host].run += 1;
        let settings = self.node_settings(host);
        let time = self.time;
        let state = &mut self.hosts[host];
        let mut node = Node::new(state.now(time), settings);
        node.inject_claim_faults(self.options.claim_faults);
        state.node = Some(node);
        state.frozen = false;
        state.stopping = false;
        state.wake_at = None;
        state.backlog.clear();
        state.open_inbounds.clear();
        let run = state.run;
        self.record_host(host, HostRecordKind::Started);
        self.schedule_machine_entry(host, true, false);
        // The first event lets every subsystem do what is due at its start.
        let event = Event::Wake;
        let first = SimulationEvent::Node { host, run, event };
        self.schedule(Duration::from_micros(1), first);
        self.tell_restarted_node(host);
    }

    /// Lets a back end that is leaving say so to a restarted node.
    fn tell_restarted_node(&mut self, host: HostIndex) {
        let Some(back_end) = self.hosts[host].back_end else {
            return;
        };
        let planted = self.options.planted == Some(PlantedFault::LeavingUnheard);
        if self.back_ends[back_end].leaving && !planted {
            let run = self.hosts[host].run;
            let event = Event::BackEndAnnounced { leaving: true };
            self.tell_node(back_end, run, event);
        }
    }

    fn node_settings(&self, host: HostIndex) -> NodeSettings {
        let state = &self.hosts[host];
        let fixed_view = self.scenario.bootstrap == Bootstrap::Fixed;
        let fixed_policy = self.scenario.bootstrap != Bootstrap::Store;
        let reverts = self.options.planted == Some(PlantedFault::PolicyReverts) && state.run > 1;
        let back_end = state.back_end.map(|index| LocalBackEnd {
            name: self.back_ends[index].name.clone(),
            service: self.scenario.services[self.back_ends[index].service]
                .name
                .clone(),
        });
        NodeSettings {
            name: state.name.clone(),
            zone: self.scenario.network.zones[state.zone].clone(),
            region: RegionName::new(REGION),
            incarnation: incarnation(host, state.run),
            random_seed: state.id.0 ^ u64::from(state.run) ^ state.clock_offset.as_micros() as u64,
            mesh_address: mesh_address(host),
            back_end,
            seeds: if fixed_view {
                Vec::new()
            } else {
                self.seed_peers(host)
            },
            initial_view: fixed_view.then(|| self.fixed_view()),
            initial_policy: (fixed_policy || reverts).then(|| self.policy.clone()),
            admission: self.options.admission,
        }
    }

    fn seed_peers(&self, host: HostIndex) -> Vec<SeedPeer> {
        let entries = self.entry_nodes.iter().flatten().copied();
        entries
            .filter(|entry| *entry != host)
            .take(SEED_PEERS)
            .map(|entry| SeedPeer {
                name: self.hosts[entry].name.clone(),
                mesh_address: mesh_address(entry),
            })
            .collect()
    }

    fn fixed_view(&self) -> View {
        let members = (0..self.hosts.len()).map(|index| self.member(index));
        View::new(rillgap_core::id::ViewVersion(1), members)
    }

    fn member(&self, host: HostIndex) -> Member {
        let state = &self.hosts[host];
        Member {
            name: state.name.clone(),
            zone: self.scenario.network.zones[state.zone].clone(),
            region: RegionName::new(REGION),
            incarnation: incarnation(host, state.run.max(1)),
            mesh_address: mesh_address(host),
        }
    }

    /// Records a happening at a host.
    pub(super) fn record_host(&mut self, host: HostIndex, kind: HostRecordKind) {
        let record = HostRecord {
            host,
            run: self.hosts[host].run,
            at: self.time,
            kind,
        };
        self.ledger.host_records.push(record);
        let name = self.hosts[host].name.as_str();
        self.timeline
            .record(self.time, name, || format!("{kind:?}"));
    }
}

/// Returns the incarnation of one run of a host.
pub fn incarnation(host: HostIndex, run: u32) -> Incarnation {
    Incarnation(((host as u64 + 1) << 32) | u64::from(run))
}
