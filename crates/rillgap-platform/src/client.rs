//! Client of the platform's object store and machine list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rillgap_core::store::{Machine, ModifyIndex, StoreKey, StoreObject, StoreReply, StoreRequest};

use crate::error::PlatformError;
use crate::transport::{Answer, INDEX_HEADER, Transport};
use crate::wire;

/// Timeout of requests other than blocking queries, and of connecting.
pub const NON_BLOCKING_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a blocking query lets the platform wait for a change.
pub const BLOCKING_WAIT: Duration = Duration::from_secs(30);
/// Time beyond [`BLOCKING_WAIT`] after which a blocking query times out.
const BLOCKING_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Client of the platform. Clones are cheap and share the preferred endpoint; requests can run
/// concurrently.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    endpoints: Arc<[SocketAddr]>,
    /// Counter whose value modulo the number of endpoints is the index of the endpoint to use.
    preferred: Arc<AtomicUsize>,
    transport: Transport,
}

/// Answer to a read of one object.
struct ReadAnswer {
    /// The object; `None` if it does not exist.
    object: Option<StoreObject>,
    /// Index to pass to a blocking query that waits for the next change.
    wait_index: ModifyIndex,
}

impl PlatformClient {
    /// Creates a client of the given endpoints; it uses the first one until a request fails.
    pub fn new(endpoints: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self {
            endpoints: endpoints.into(),
            preferred: Arc::new(AtomicUsize::new(0)),
            transport: Transport::new(NON_BLOCKING_TIMEOUT),
        }
    }

    /// Sends a request and returns its reply.
    ///
    /// A read is tried at one endpoint after another until one answers. A write is sent only once:
    /// if no valid answer is received, the reply is [`StoreReply::Failed`], and the write may or
    /// may not have taken effect.
    pub async fn execute(&self, request: StoreRequest) -> StoreReply {
        let result = match request {
            StoreRequest::Read { key, after } => self.read(&key, after).await,
            StoreRequest::Machines { after } => self.machines(after).await,
            StoreRequest::CompareAndSet {
                key,
                expected,
                value,
            } => self.compare_and_set(&key, expected, value).await,
        };
        result.unwrap_or_else(|error| {
            log::warn!(code = error.code().number(); "platform: request failed: {error}");
            StoreReply::Failed
        })
    }

    async fn read(
        &self,
        key: &StoreKey,
        after: Option<ModifyIndex>,
    ) -> Result<StoreReply, PlatformError> {
        let object = match after {
            None => self.read_once(key, None).await?.object,
            Some(ModifyIndex(0)) => self.wait_for_creation(key).await?,
            Some(index) => self.read_once(key, Some(index)).await?.object,
        };
        Ok(StoreReply::Object(object.unwrap_or(StoreObject {
            index: ModifyIndex(0),
            value: None,
        })))
    }

    /// Reads an object; if it does not exist, waits until it is created or the wait ends.
    ///
    /// A query with index zero returns immediately, so the wait uses the index of a first answer.
    async fn wait_for_creation(
        &self,
        key: &StoreKey,
    ) -> Result<Option<StoreObject>, PlatformError> {
        let first = self.read_once(key, None).await?;
        if first.object.is_some() {
            return Ok(first.object);
        }
        let second = self.read_once(key, Some(first.wait_index)).await?;
        Ok(second.object)
    }

    async fn read_once(
        &self,
        key: &StoreKey,
        after: Option<ModifyIndex>,
    ) -> Result<ReadAnswer, PlatformError> {
        let path = format!("/v1/kv/{}{}", key.0, blocking_query(after));
        let answer = self.get(&path, request_timeout(after)).await?;
        let object = match answer.status {
            StatusCode::OK => Some(wire::decode_object(&answer.body)?),
            _ => None,
        };
        Ok(ReadAnswer {
            object,
            wait_index: answer.index.unwrap_or(ModifyIndex(1)),
        })
    }

    async fn machines(&self, after: Option<ModifyIndex>) -> Result<StoreReply, PlatformError> {
        let path = format!("/v1/catalog/nodes{}", blocking_query(after));
        let answer = self.get(&path, request_timeout(after)).await?;
        let index = answer
            .index
            .ok_or_else(|| PlatformError::Malformed(format!("no {INDEX_HEADER}")))?;
        let machines: Vec<Machine> = wire::decode_machines(&answer.body)?;
        Ok(StoreReply::Machines { index, machines })
    }

    async fn compare_and_set(
        &self,
        key: &StoreKey,
        expected: ModifyIndex,
        value: Vec<u8>,
    ) -> Result<StoreReply, PlatformError> {
        let endpoint = self.endpoint()?;
        let path = format!("/v1/kv/{}?cas={}", key.0, expected.0);
        let value = Bytes::from(value);
        let answer = self
            .transport
            .send(
                endpoint,
                Method::PUT,
                &path,
                value.clone(),
                NON_BLOCKING_TIMEOUT,
            )
            .await
            .inspect_err(|_| self.select_next_endpoint())?;
        answer.expect_status(&[StatusCode::OK])?;
        if !wire::decode_put_result(&answer.body)? {
            return Ok(StoreReply::Conflict);
        }
        self.read_written_index(key, &value).await
    }

    /// Reads the index of a write that took effect; the answer to a put does not contain it.
    async fn read_written_index(
        &self,
        key: &StoreKey,
        value: &Bytes,
    ) -> Result<StoreReply, PlatformError> {
        match self.read_once(key, None).await?.object {
            Some(object) if object.value.as_deref() == Some(value) => {
                Ok(StoreReply::Written(object.index))
            }
            // A later write has replaced the value, so the index of this write is unknown.
            _ => Ok(StoreReply::Failed),
        }
    }

    /// Sends a read to the endpoints in turn, starting with the preferred one, until one answers.
    async fn get(&self, path: &str, timeout: Duration) -> Result<Answer, PlatformError> {
        let mut last_error = PlatformError::NoEndpoint;
        for attempt in 0..self.endpoints.len() {
            let endpoint = self.endpoint()?;
            match self.get_from(endpoint, path, timeout).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    log::debug!(attempt = attempt; "platform: read failed: {error}");
                    last_error = error;
                    self.select_next_endpoint();
                }
            }
        }
        Err(last_error)
    }

    async fn get_from(
        &self,
        endpoint: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Answer, PlatformError> {
        let answer = self
            .transport
            .send(endpoint, Method::GET, path, Bytes::new(), timeout)
            .await?;
        answer.expect_status(&[StatusCode::OK, StatusCode::NOT_FOUND])?;
        Ok(answer)
    }

    fn endpoint(&self) -> Result<SocketAddr, PlatformError> {
        if self.endpoints.is_empty() {
            return Err(PlatformError::NoEndpoint);
        }
        let position = self.preferred.load(Ordering::Relaxed);
        Ok(self.endpoints[position % self.endpoints.len()])
    }

    fn select_next_endpoint(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }
}

fn blocking_query(after: Option<ModifyIndex>) -> String {
    match after {
        Some(index) => format!("?index={}&wait={}s", index.0, BLOCKING_WAIT.as_secs()),
        None => String::new(),
    }
}

const fn request_timeout(after: Option<ModifyIndex>) -> Duration {
    match after {
        Some(_) => BLOCKING_WAIT.saturating_add(BLOCKING_TIMEOUT_MARGIN),
        None => NON_BLOCKING_TIMEOUT,
    }
}
