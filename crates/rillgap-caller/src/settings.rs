//! Limits of the HTTP listeners.

use std::net::IpAddr;
use std::time::Duration;

/// Limits of one HTTP listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Most connections at a time; further ones are closed at once.
    pub connections: usize,
    /// Longest request line and headers together, in bytes.
    pub header_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Most bytes of bodies that are being received at a time, over all connections.
    pub receiving_bytes: usize,
    /// Longest time in which a request must arrive whole.
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

/// Who is served by a listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Callers from any address but these, which belong to back ends.
    Callers {
        /// Addresses whose requests are refused.
        except: Vec<IpAddr>,
    },
    /// The node's own back end, from one of these addresses only.
    LocalBackEnd {
        /// Addresses from which the back end calls.
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
