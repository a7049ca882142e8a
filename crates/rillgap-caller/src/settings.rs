//! Limits of the HTTP listeners.

use std::net::IpAddr;
use std::time::Duration;

/// Limits of one HTTP listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
    /// Maximum size of request target and headers together, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum size of all request bodies being received, over all connections, in bytes.
    pub receiving_bytes: usize,
    /// Timeout for the first request of a connection, and for receiving a request's headers and
    /// its body.
    pub request_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            receiving_bytes: 8 * 1024 * 1024,
            request_timeout: Duration::from_secs(10),
        }
    }
}

/// Clients that a listener serves, by their address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Callers from any address except those of back ends.
    Callers {
        /// Addresses whose requests are refused.
        except: Vec<IpAddr>,
    },
    /// The node's local back end, only from its own addresses.
    LocalBackEnd {
        /// Source addresses of the back end.
        from: Vec<IpAddr>,
    },
}

impl Audience {
    /// Returns whether requests from an address are served.
    pub fn admits(&self, address: IpAddr) -> bool {
        match self {
            Self::Callers { except } => !except.contains(&address),
            Self::LocalBackEnd { from } => from.contains(&address),
        }
    }
}
