//! Errors of requests to the platform.

use std::net::SocketAddr;

use rillgap_core::code::ResultCode;

/// Error of a request to an endpoint of the platform.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No endpoint is configured.
    #[error("no endpoint of the platform is configured")]
    NoEndpoint,
    /// The request could not be built, for instance because its key is not valid in a path.
    #[error("request cannot be built: {0}")]
    Request(#[from] http::Error),
    /// The endpoint did not answer in time.
    #[error("{endpoint} did not answer within {millis} ms")]
    Timeout {
        /// Endpoint to which the request was sent.
        endpoint: SocketAddr,
        /// Timeout in milliseconds.
        millis: u128,
    },
    /// The connection could not be established or was lost.
    #[error("connection to {endpoint} failed: {source}")]
    Connection {
        /// Endpoint to which the request was sent.
        endpoint: SocketAddr,
        /// Error of the HTTP client.
        source: hyper_util::client::legacy::Error,
    },
    /// The body of the answer was incomplete or too long.
    #[error("answer of {endpoint} is incomplete or too long: {detail}")]
    Body {
        /// Endpoint to which the request was sent.
        endpoint: SocketAddr,
        /// Text of the error that the HTTP library returned.
        detail: String,
    },
    /// The endpoint answered with an unexpected HTTP status.
    #[error("unexpected status {status}")]
    Status {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer does not follow the HTTP conventions of the platform.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl PlatformError {
    /// Returns the result code that is logged with the error.
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
