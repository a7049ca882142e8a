//! Settings of the client of the local back end.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the client of the local back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackEndSettings {
    /// Address to which connections are opened.
    pub address: SocketAddr,
    /// Maximum number of connections used for requests; the health endpoint has one more.
    pub connections: usize,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Path of the health endpoint; `None` disables health checks.
    pub health_path: Option<String>,
    /// Interval between requests to the health endpoint.
    pub health_interval: Duration,
}
