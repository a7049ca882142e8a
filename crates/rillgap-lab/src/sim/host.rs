//! Hosts: a node's process with its clocks, backlog and wake-up.

use std::collections::{BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use rillgap_core::event::{Event, InboundId};
use rillgap_core::id::{NodeId, NodeName};
use rillgap_core::node::Node;
use rillgap_core::policy::Class;
use rillgap_core::time::{Instant, Now, WallTime};

use super::event::BackEndIndex;

/// Wall clock at the start of every run: 2026-01-01.
pub const WALL_START_MILLIS: u64 = 1_767_225_600_000;

/// One host and the node that runs on it.
#[derive(Debug)]
pub struct Host {
    /// Configured name of the node.
    pub name: NodeName,
    /// Identifier of the node.
    pub id: NodeId,
    /// Zone, by position in the scenario.
    pub zone: usize,
    /// Back end on the same machine.
    pub back_end: Option<BackEndIndex>,
    /// The node, while its process runs.
    pub node: Option<Node>,
    /// Number of starts so far.
    pub run: u32,
    /// Whether the process is frozen.
    pub frozen: bool,
    /// Events that wait for a frozen process.
    pub backlog: VecDeque<Event>,
    /// Time for which a wake-up is scheduled.
    pub wake_at: Option<Instant>,
    /// Origin of the monotonic clock.
    pub clock_offset: Duration,
    /// Difference of the wall clock from true time, plus a constant that keeps it positive.
    pub wall_skew_millis: u64,
    /// Requests of callers that are open here.
    pub open_inbounds: BTreeSet<InboundId>,
    /// Whether a planned stop was asked for.
    pub stopping: bool,
}

/// Constant that keeps [`Host::wall_skew_millis`] positive.
pub const SKEW_BASE_MILLIS: u64 = 10_000;

impl Host {
    /// Returns both clocks of the host at a moment of the simulation.
    pub fn now(&self, time: Instant) -> Now {
        Now {
            instant: time + self.clock_offset,
            wall: wall_time(time, self.wall_skew_millis),
        }
    }

    /// Translates a reading of the host's clock into simulation time.
    pub fn simulation_time(&self, reading: Instant) -> Instant {
        reading - self.clock_offset
    }

    /// Returns whether the process runs and is not frozen.
    pub fn is_awake(&self) -> bool {
        self.node.is_some() && !self.frozen
    }
}

/// Returns the wall clock of a host with the given skew.
pub fn wall_time(time: Instant, skew_millis: u64) -> WallTime {
    WallTime::from_millis(WALL_START_MILLIS + time.as_micros() / 1_000 + skew_millis)
        .minus(Duration::from_millis(SKEW_BASE_MILLIS))
}

/// Returns the mesh address of a host; it is only a label in the simulation.
pub fn mesh_address(host: usize) -> SocketAddr {
    let number = u32::try_from(host).unwrap_or(u32::MAX);
    let address = Ipv4Addr::from(0x0a00_0001_u32.saturating_add(number));
    SocketAddr::new(IpAddr::V4(address), 7000)
}

/// Classes by their position, for readers of the timeline.
pub const fn class_name(class: Class) -> &'static str {
    match class {
        Class::Bulk => "bulk",
        Class::Sheddable => "sheddable",
        Class::Standard => "standard",
        Class::Critical => "critical",
    }
}
