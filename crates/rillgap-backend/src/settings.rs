//! Settings of the client of the local back end.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the client of the local back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackEndSettings {
    /// Address of the back end.
    pub address: SocketAddr,
    /// Most connections to the back end at a time.
    pub connections: usize,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Path of the health endpoint; `None` if there is none.
    pub health_path: Option<String>,
    /// Time between two looks at the health endpoint.
    pub health_interval: Duration,
}
