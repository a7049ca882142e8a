//! The soaked deployment: three machines form a zone, one for each service.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Services; a back end of one may call the next.
pub const SERVICES: [&str; 3] = ["front", "middle", "deep"];
/// Default number of machines.
pub const DEFAULT_NODES: usize = 9;
/// Maximum number of machines: each needs its own last byte of a loopback address.
pub const MAX_NODES: usize = 250;
/// Host of all routes.
pub const HOST: &str = "soak.example";
/// Number of requests that a back end works on concurrently.
pub const BACK_END_SLOTS: usize = 24;
/// Number of requests that wait at a back end for a free slot.
pub const QUEUE_LENGTH: usize = 12;
/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after the acknowledgement of a drain after which a back end must receive no new requests.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Maximum duration of a planned stop.
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Maximum time until an accepted configuration is in force on all nodes.
pub const MAX_APPLY_TIME: Duration = Duration::from_secs(2);
/// Retry budget: retries allowed per request, summed over all nodes.
pub const RETRY_RATIO: f64 = 0.2;
/// Retry budget: number of retries allowed within a window in addition to the ratio.
pub const RETRY_SLACK: f64 = 55.0;
/// The same under retry pressure, when it is small beside the number of nodes.
pub const TIGHT_RETRY_SLACK: f64 = 12.0;
/// Ratio of retries to requests that nodes are set to instead of [`RETRY_RATIO`] for a soak that must
/// exceed the retry budget.
const EXCESS_RETRY_RATIO: f64 = 10.0;
/// Slack that nodes are set to for it.
const EXCESS_RETRY_SLACK: f64 = 10_000.0;
/// Tenant of all callers.
pub const TENANT: &str = "north";
/// Maximum time until a revoked key stops working.
pub const MAX_REVOCATION_TIME: Duration = Duration::from_secs(5);
/// Window in which retries are counted against [`RETRY_RATIO`] and [`RETRY_SLACK`].
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Maximum peak memory of a node, in kilobytes.
pub const MAX_MEMORY_KB: u64 = 32 * 1024;

const CALLERS_PORT: u16 = 8304;
const CONTROL_PORT: u16 = 8306;
const READINESS_PORT: u16 = 8302;
const MESH_PORT: u16 = 7620;
const BACK_END_PORT: u16 = 8301;
const STORE_PORT: u16 = 8309;

/// Addresses of a deployment: each machine has one loopback address of its own and another one for
/// the proxies in front of it.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Second byte of all addresses, so that concurrent soaks do not share addresses.
    pub network: u8,
    /// Number of machines.
    pub nodes: usize,
    /// Retries allowed within a window in addition to the ratio.
    pub retry_slack: f64,
    /// Whether nodes are set to a larger ratio of retries than the deployment allows.
    pub has_excess_retries: bool,
}

impl Layout {
    /// Returns the name of a node.
    pub fn name(node: usize) -> String {
        format!("node-{node}")
    }

    /// Returns the service of the back end on a node's machine.
    pub const fn service(node: usize) -> &'static str {
        SERVICES[node % SERVICES.len()]
    }

    /// Returns the zone of a node.
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

    /// Returns the address to which callers and the back end send requests.
    pub fn callers(self, node: usize) -> SocketAddr {
        self.machine(node, CALLERS_PORT)
    }

    /// Returns the address to which the back end sends heartbeats.
    pub fn control(self, node: usize) -> SocketAddr {
        self.machine(node, CONTROL_PORT)
    }

    /// Returns the address for readiness queries.
    pub fn readiness(self, node: usize) -> SocketAddr {
        self.machine(node, READINESS_PORT)
    }

    /// Returns the address on which the node accepts links, and that of the proxy in front of it.
    pub fn mesh(self, node: usize) -> (SocketAddr, SocketAddr) {
        (self.machine(node, MESH_PORT), self.proxy(node, MESH_PORT))
    }

    /// Returns the address of a further proxy in front of the node's links, for a planted fault.
    pub fn tampering(self, node: usize) -> SocketAddr {
        self.address(3, node, MESH_PORT)
    }

    /// Returns the address on which the back end accepts requests, and that of the proxy in front
    /// of it.
    pub fn back_end(self, node: usize) -> (SocketAddr, SocketAddr) {
        (
            self.machine(node, BACK_END_PORT),
            self.proxy(node, BACK_END_PORT),
        )
    }

    /// Returns the address on which the store accepts a node's calls, and that of the proxy in
    /// front of it.
    pub fn store(self, node: usize) -> (SocketAddr, SocketAddr) {
        (self.machine(node, STORE_PORT), self.proxy(node, STORE_PORT))
    }

    /// Returns the content of a node's settings file. `is_first_start` says whether the whole
    /// deployment starts.
    pub fn settings(self, node: usize, is_first_start: bool) -> String {
        let (mesh, mesh_proxy) = self.mesh(node);
        let (retry_ratio, retry_slack) = if self.has_excess_retries {
            (EXCESS_RETRY_RATIO, EXCESS_RETRY_SLACK)
        } else {
            (RETRY_RATIO, self.retry_slack)
        };
        format!(
            r#"[node]
name = "{name}"
zone = "{zone}"
region = "region"
first-start = {is_first_start}

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
retry-ratio = {retry_ratio}
retry-slack = {retry_slack:?}
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
