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

/// Time in which a request that does not wait must be answered.
pub const NON_BLOCKING_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a blocking query asks the platform to wait.
pub const BLOCKING_WAIT: Duration = Duration::from_secs(30);

/// Time that a blocking query may take beyond [`BLOCKING_WAIT`].
const BLOCKING_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);
/// Client of the platform, cheap to clone; its requests may run at the same time.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    endpoints: Arc<[SocketAddr]>,
    preferred: Arc<AtomicUsize>,
    transport: Transport,
}

/// A read, with its answer if the object exists, and the index on which to wait next.
struct ReadAnswer {
    object: Option<StoreObject>,
    wait_index: ModifyIndex,
}

impl PlatformClient {
    /// Creates a client of the given endpoints, of which the first is asked first.
    pub fn new(endpoints: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self {
            endpoints: endpoints.into(),
            preferred: Arc::new(AtomicUsize::new(0)),
            transport: Transport::new(NON_BLOCKING_TIMEOUT),
        }
    }

    /// Sends a request and returns its reply.
    ///
    /// A read is tried at one endpoint after another. A write is sent once: if its answer is
    /// unclear the reply is [`StoreReply::Failed`], and it may or may not have taken effect.
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

    /// Waits for an object that does not exist.
    ///
    /// Index zero never waits, so the wait needs the index that the first answer names.
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

    /// Reads back the index of a write that took effect, as the answer to a put does not tell.
    async fn read_written_index(
        &self,
        key: &StoreKey,
        value: &Bytes,
    ) -> Result<StoreReply, PlatformError> {
        match self.read_once(key, None).await?.object {
            Some(object) if object.value.as_deref() == Some(value) => {
                Ok(StoreReply::Written(object.index))
            }
            // Already replaced by a later write: the index of ours cannot be learned any more.
            _ => Ok(StoreReply::Failed),
        }
    }

    /// Sends a read to one endpoint after another until one answers.
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
