//! Stand-ins that take the place of the platform and of back ends, as real processes.

use std::net::SocketAddr;

use tokio::net::TcpListener;

pub mod backend;
pub mod http;
pub mod platform;

/// Why a stand-in could not be served.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The asynchronous runtime could not be started.
    #[error("runtime cannot be started: {0}")]
    Runtime(std::io::Error),
    /// The address could not be bound.
    #[error("address {address} cannot be bound: {source}")]
    Bind {
        /// Address that was asked for.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
}

/// Binds a listener.
///
/// # Errors
///
/// Returns [`ServeError::Bind`] if the address is in use or not one of this machine's.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ServeError::Bind { address, source })
}
