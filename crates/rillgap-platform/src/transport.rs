//! HTTP transport: sends one request to one endpoint of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rillgap_core::store::ModifyIndex;

use crate::error::PlatformError;

/// Maximum size of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Response header with the index of the data; a blocking query with this index waits for a
/// larger one.
pub(crate) const INDEX_HEADER: &str = "x-consul-index";

/// HTTP client that reuses its connections.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Complete answer of the platform.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// Value of [`INDEX_HEADER`]; `None` if the header is missing or not a number.
    pub(crate) index: Option<ModifyIndex>,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Checks that the status is one of `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Status`] if it is not.
    pub(crate) fn expect_status(&self, expected: &[StatusCode]) -> Result<(), PlatformError> {
        if expected.contains(&self.status) {
            Ok(())
        } else {
            Err(PlatformError::Status {
                status: self.status.as_u16(),
            })
        }
    }
}

impl Transport {
    /// Creates a transport whose connection attempts time out after `connect_timeout`.
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and returns the complete answer; fails after `timeout`.
    pub(crate) async fn send(
        &self,
        endpoint: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, PlatformError> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(endpoint.to_string())
            .path_and_query(path)
            .build()?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))?;
        tokio::time::timeout(timeout, self.exchange(endpoint, request))
            .await
            .unwrap_or(Err(PlatformError::Timeout {
                endpoint,
                millis: timeout.as_millis(),
            }))
    }

    async fn exchange(
        &self,
        endpoint: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, PlatformError> {
        let response = self
            .http
            .request(request)
            .await
            .map_err(|source| PlatformError::Connection { endpoint, source })?;
        let status = response.status();
        let index = response
            .headers()
            .get(INDEX_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok())
            .map(ModifyIndex);
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| PlatformError::Body {
                endpoint,
                detail: error.to_string(),
            })?
            .to_bytes();
        Ok(Answer {
            status,
            index,
            body,
        })
    }
}
