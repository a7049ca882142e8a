//! Settings with which a node starts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::NodeRecord;

/// Bound on retries, summed over all nodes of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries allowed per request, as a ratio.
    pub ratio: f64,
    /// Retries allowed in addition to that ratio.
    pub slack: u32,
    /// Length of the sliding window in which retries and requests are counted.
    pub window: Duration,
}

/// Settings of a forwarding node.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Record of the node that is published to its peers.
    pub record: NodeRecord,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Write requests per second that the store accepts from all nodes together.
    pub store_writes_per_second: f64,
    /// Number of this run of the node; differs from that of every other run.
    pub incarnation: u64,
    /// Seed of the node's random numbers.
    pub random_seed: u64,
    /// Address of the back end next to the node.
    pub back_end_address: SocketAddr,
    /// Time between two heartbeats of a back end.
    pub heartbeat_interval: Duration,
    /// Maximum duration of a planned stop.
    pub grace: Duration,
    /// Bound on retries.
    pub retry_bound: RetryBound,
    /// Time within which a revoked key must have stopped working, also at a partitioned node;
    /// `None` if this is not required.
    pub revocation: Option<Duration>,
}
