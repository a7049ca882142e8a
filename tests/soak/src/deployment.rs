//! The deployment that is soaked: machines in groups of three, one of each service; a group is a zone.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Services; a request to one may call the next.
pub const SERVICES: [&str; 3] = ["front", "middle", "deep"];
/// Machines, unless the command line names another number.
pub const DEFAULT_NODES: usize = 9;
/// Most machines: each has a last byte of a loopback address of its own.
pub const MAX_NODES: usize = 250;
/// Host of all routes.
pub const HOST: &str = "soak.example";
/// Requests that a back end works on at the same time.
pub const BACK_END_SLOTS: usize = 24;
/// Requests that wait at a back end beyond those.
pub const QUEUE_LENGTH: usize = 12;
/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after an acknowledged announcement from which a back end gets nothing new.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Longest planned stop.
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time within which an accepted configuration is in force everywhere.
pub const MAX_APPLY_TIME: Duration = Duration::from_secs(2);
/// Repeats as a share of requests, summed over all nodes.
pub const RETRY_RATIO: f64 = 0.2;
/// Repeats on top of that share.
pub const RETRY_SLACK: f64 = 55.0;
/// Tenant that all callers belong to.
pub const TENANT: &str = "north";
/// Time within which a key that was taken away must have stopped working.
pub const MAX_REVOCATION_TIME: Duration = Duration::from_secs(5);
/// Window of the two.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Most memory of a node, in kilobytes.
pub const MAX_MEMORY_KB: u64 = 260 * 1024;

const CALLERS_PORT: u16 = 8304;
const CONTROL_PORT: u16 = 8306;
const READINESS_PORT: u16 = 8302;
const MESH_PORT: u16 = 7620;
const BACK_END_PORT: u16 = 8301;
const STORE_PORT: u16 = 8309;

/// Addresses of a deployment: each machine has a loopback address of its own, and another one for
/// the proxies in front of it.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Second byte of all addresses, so that soaks side by side do not meet.
    pub network: u8,
    /// Number of machines.
    pub nodes: usize,
}

impl Layout {
    /// Name of a node.
    pub fn name(node: usize) -> String {
        format!("node-{node}")
    }

    /// Service of the back end beside a node.
    pub const fn service(node: usize) -> &'static str {
        SERVICES[node % SERVICES.len()]
    }

    /// Zone of a node.
    pub fn zone(node: usize) -> String {
        format!("zone-{}", node / SERVICES.len())
    }

    fn machine(self, node: usize, port: u16) -> SocketAddr {
        self.address(1, node, port)
    }

    fn proxy(self, node: usize, port: u16) -> SocketAddr {
        self.address(2, node, port)
    }

    fn address(self, kind: u8, node: usize, port: u16) -> SocketAddr {
        let host = u8::try_from(node + 1).unwrap_or(u8::MAX);
        let ip = Ipv4Addr::new(127, self.network, kind, host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    /// Where callers and the back end send requests.
    pub fn callers(self, node: usize) -> SocketAddr {
        self.machine(node, CALLERS_PORT)
    }

    /// Where the back end sends heartbeats.
    pub fn control(self, node: usize) -> SocketAddr {
        self.machine(node, CONTROL_PORT)
    }

    /// Where readiness is asked.
    pub fn readiness(self, node: usize) -> SocketAddr {
        self.machine(node, READINESS_PORT)
    }

    /// Where the node takes links, and the proxy in front of it.
    pub fn mesh(self, node: usize) -> (SocketAddr, SocketAddr) {
        (self.machine(node, MESH_PORT), self.proxy(node, MESH_PORT))
    }

    /// Where the back end takes requests, and the proxy in front of it.
    pub fn back_end(self, node: usize) -> (SocketAddr, SocketAddr) {
        (
            self.machine(node, BACK_END_PORT),
            self.proxy(node, BACK_END_PORT),
        )
    }

    /// Where the store takes a node's calls, and the proxy in front of it.
    pub fn store(self, node: usize) -> (SocketAddr, SocketAddr) {
        (self.machine(node, STORE_PORT), self.proxy(node, STORE_PORT))
    }

    /// Settings file of a node.
    pub fn settings(self, node: usize) -> String {
        let (mesh, mesh_proxy) = self.mesh(node);
        format!(
            r#"[node]
name = "{name}"
zone = "{zone}"
region = "region"

[listen]
callers = "{callers}"
control = "{control}"
readiness = "{readiness}"
mesh = "{mesh}"
mesh-advertised = "{mesh_proxy}"

[back-end]
service = "{service}"
address = "{back_end}"
heartbeat-seconds = {heartbeat}

[store]
address = "{store}"

[bounds]
grace-seconds = {grace}
retry-ratio = {RETRY_RATIO}
retry-slack = {RETRY_SLACK:?}
retry-window-seconds = {window}
revocation-seconds = {revocation}

[log]
success-sample = 1
lines-per-second = 5000
"#,
            name = Self::name(node),
            zone = Self::zone(node),
            callers = self.callers(node),
            control = self.control(node),
            readiness = self.readiness(node),
            service = Self::service(node),
            back_end = self.back_end(node).1,
            heartbeat = HEARTBEAT_INTERVAL.as_secs_f64(),
            store = self.store(node).1,
            grace = GRACE_PERIOD.as_secs(),
            window = RETRY_WINDOW.as_secs(),
            revocation = MAX_REVOCATION_TIME.as_secs(),
        )
    }
}
