//! What a node is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::NodeRecord;

/// Bound on repeated sends, summed over all nodes of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeats as a share of requests.
    pub ratio: f64,
    /// Repeats on top of that share.
    pub slack: u32,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Settings of a forwarding node.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// The node as peers know it.
    pub record: NodeRecord,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Writing calls a second that the store takes from all nodes together.
    pub store_writes_per_second: f64,
    /// Number that differs from that of every other run of the node.
    pub incarnation: u64,
    /// Seed of the node's random numbers.
    pub random_seed: u64,
    /// Address of the back end beside the node.
    pub back_end_address: SocketAddr,
    /// Time between two heartbeats of a back end.
    pub heartbeat_interval: Duration,
    /// Longest planned stop.
    pub grace: Duration,
    /// Bound on repeated sends.
    pub retry_bound: RetryBound,
    /// Time within which a key that was taken away must have stopped working, also at a node that is
    /// cut off; `None` if that is not demanded.
    pub revocation: Option<Duration>,
}
