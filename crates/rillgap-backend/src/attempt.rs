//! Runs one attempt of a request at the back end, until the end of its answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Method, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rillgap_core::action::BackEndRequest;
use rillgap_core::event::{BackEndFailure, Event};
use rillgap_core::id::AttemptId;
use rillgap_ring::RingSender;

use crate::announcement::Announcement;
use crate::credit::Credit;
use crate::pool::{ConnectionPool, Lease, SendError};
use crate::request;

/// Maximum body of a shed answer that is read so that its connection can be reused; a longer body
/// closes the connection.
const MAX_SHED_BODY_BYTES: usize = 16 * 1024;

/// Resources of an attempt that are shared by all attempts of a client.
#[derive(Clone, Debug)]
pub struct AttemptContext {
    /// Connections to the back end.
    pub pool: ConnectionPool,
    /// Events for the node.
    pub events: RingSender<Event>,
    /// Records that the back end is leaving.
    pub announcement: Announcement,
    /// Value of the `Host` header.
    pub host: HeaderValue,
}

/// One attempt of a request at the back end.
#[derive(Debug)]
pub struct Attempt {
    id: AttemptId,
    credit: Arc<Credit>,
    context: AttemptContext,
}

impl Attempt {
    /// Creates an attempt whose answer is read only as far as `credit` permits.
    pub fn new(id: AttemptId, credit: Arc<Credit>, context: AttemptContext) -> Self {
        Self {
            id,
            credit,
            context,
        }
    }

    /// Sends the request and forwards its answer or its failure to the node.
    pub async fn run(self, request: BackEndRequest) {
        if let Err(failure) = self.try_run(request).await {
            self.send_event(Event::BackEndFailed {
                attempt: self.id,
                failure,
            })
            .await;
        }
    }

    async fn try_run(&self, request: BackEndRequest) -> Result<(), BackEndFailure> {
        let outgoing = request::build(request, &self.context.host).map_err(|error| {
            log::warn!("back end: request cannot be built: {error}");
            BackEndFailure::NotConnected
        })?;
        let is_head_request = outgoing.method() == Method::HEAD;
        let (response, lease) = self.context.pool.send(outgoing).await.map_err(failure_of)?;
        if request::is_leaving(&response) {
            self.context.announcement.on_answer_leaving().await;
        }
        if request::is_shed(&response) {
            discard(response, lease).await;
            return Err(BackEndFailure::Shed);
        }
        self.forward_answer(response, lease, is_head_request).await
    }

    async fn forward_answer(
        &self,
        response: Response<Incoming>,
        lease: Lease,
        is_head_request: bool,
    ) -> Result<(), BackEndFailure> {
        let is_delimited = request::is_delimited(&response, is_head_request);
        self.send_event(Event::BackEndHead {
            attempt: self.id,
            head: request::answer_head(&response),
        })
        .await;
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                log::warn!("back end: answer broken off: {error}");
                BackEndFailure::Broken
            })?;
            if let Ok(data) = frame.into_data() {
                self.forward_chunk(data).await;
            }
        }
        if !is_delimited {
            log::warn!("back end: answer has neither length nor chunks, so its end proves nothing");
            return Err(BackEndFailure::Broken);
        }
        lease.return_to_pool();
        self.send_event(Event::BackEndEnd { attempt: self.id })
            .await;
        Ok(())
    }

    async fn forward_chunk(&self, mut data: Bytes) {
        while !data.is_empty() {
            let length = self.credit.take(data.len()).await;
            self.send_event(Event::BackEndBody {
                attempt: self.id,
                chunk: data.split_to(length),
            })
            .await;
        }
    }

    async fn send_event(&self, event: Event) {
        // A full ring blocks this attempt only; the ring is closed only when the process exits.
        let _ = self.context.events.send(event).await;
    }
}

fn failure_of(error: SendError) -> BackEndFailure {
    log::warn!("back end: {error}");
    match error {
        SendError::NotSent(_) => BackEndFailure::NotConnected,
        SendError::Lost(_) => BackEndFailure::Broken,
    }
}

/// Reads a short body to its end, so that the connection can be reused; otherwise closes it.
async fn discard(response: Response<Incoming>, lease: Lease) {
    let body = Limited::new(response.into_body(), MAX_SHED_BODY_BYTES);
    if body.collect().await.is_ok() {
        lease.return_to_pool();
    }
}
