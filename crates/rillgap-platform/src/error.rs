//! Why an exchange with the platform failed.

use std::net::SocketAddr;

use rillgap_core::code::ResultCode;

/// Why an exchange with one endpoint of the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No endpoint is configured.
    #[error("no endpoint of the platform is configured")]
    NoEndpoint,
    /// The request could not be formed, for instance because of its key.
    #[error("request cannot be formed: {0}")]
    Request(#[from] http::Error),
    /// The endpoint did not answer in time.
    #[error("{endpoint} did not answer within {millis} ms")]
    Timeout {
        /// Endpoint that was asked.
        endpoint: SocketAddr,
        /// Time that was allowed, in milliseconds.
        millis: u128,
    },
    /// The connection failed or broke off.
    #[error("connection to {endpoint} failed: {source}")]
    Connection {
        /// Endpoint that was asked.
        endpoint: SocketAddr,
        /// What the HTTP library reported.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer's body broke off or was too long.
    #[error("answer of {endpoint} is broken or too long: {detail}")]
    Body {
        /// Endpoint that was asked.
        endpoint: SocketAddr,
        /// What the HTTP library reported.
        detail: String,
    },
    /// The endpoint answered with a status that the request does not allow for.
    #[error("unexpected status {status}")]
    Status {
        /// Status of the answer.
        status: u16,
    },
    /// The answer is not what the conventions call for.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl PlatformError {
    /// Returns the numbered code under which the error is reported.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::NoEndpoint | Self::Timeout { .. } | Self::Connection { .. } => {
                ResultCode::StoreUnavailable
            }
            Self::Request(_) | Self::Body { .. } | Self::Status { .. } | Self::Malformed(_) => {
                ResultCode::StoreProtocol
            }
        }
    }
}
