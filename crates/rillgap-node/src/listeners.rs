//! Binds the addresses of a node before any duty starts.

use std::io;
use std::net::{SocketAddr, TcpListener};

use tokio::net::TcpSocket;

use crate::settings::ListenSettings;

/// Maximum number of connections that wait to be accepted on one listener.
const BACKLOG: u32 = 1_024;

/// Bound listeners of a node.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for callers.
    pub callers: TcpListener,
    /// Listener for calls made by the local back end; `None` if not configured.
    pub outbound: Option<TcpListener>,
    /// Listener for links from other nodes.
    pub mesh: TcpListener,
    /// Listener for operators; `None` if not configured.
    pub operator: Option<TcpListener>,
    /// Listener for the metrics endpoint; `None` if not configured.
    pub metrics: Option<TcpListener>,
}

/// Error for a listen address that cannot be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address} ({key}): {source}")]
pub struct BindError {
    key: &'static str,
    address: SocketAddr,
    source: io::Error,
}

impl Listeners {
    /// Binds all addresses; must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns the first address that cannot be bound, with its settings key.
    pub fn bind(settings: &ListenSettings) -> Result<Self, BindError> {
        let optional = |key, address: Option<SocketAddr>| {
            address.map(|address| bind(key, address)).transpose()
        };
        Ok(Self {
            callers: bind("listen.callers", settings.callers)?,
            outbound: optional("listen.outbound", settings.outbound)?,
            mesh: bind("listen.mesh", settings.mesh)?,
            operator: optional("listen.operator", settings.operator)?,
            metrics: optional("listen.metrics", settings.metrics)?,
        })
    }
}

fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    try_bind(address).map_err(|source| BindError {
        key,
        address,
        source,
    })
}

fn try_bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}
