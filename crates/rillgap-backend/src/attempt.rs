//! One attempt at the back end, from the request to the end of its answer.

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

/// Longest body of a shed answer that is read so that its connection can be reused, in bytes.
const SHED_BODY: usize = 16 * 1024;

/// What an attempt needs besides its request.
#[derive(Clone, Debug)]
pub struct AttemptPorts {
    /// Connections to the back end.
    pub pool: ConnectionPool,
    /// Events for the node.
    pub events: RingSender<Event>,
    /// Takes in that the back end is leaving.
    pub announcement: Announcement,
    /// Value of the `Host` header.
    pub host: HeaderValue,
}

/// One attempt at the back end.
#[derive(Debug)]
pub struct Attempt {
    id: AttemptId,
    credit: Arc<Credit>,
    ports: AttemptPorts,
}

impl Attempt {
    /// Creates an attempt that reads as much as `credit` allows.
    pub fn new(id: AttemptId, credit: Arc<Credit>, ports: AttemptPorts) -> Self {
        Self { id, credit, ports }
    }

    /// Sends the request and passes its answer on to the node.
    pub async fn run(self, request: BackEndRequest) {
        if let Err(failure) = self.try_run(request).await {
            self.tell(Event::BackEndFailed {
                attempt: self.id,
                failure,
            })
            .await;
        }
    }

    async fn try_run(&self, request: BackEndRequest) -> Result<(), BackEndFailure> {
        let outgoing = request::build(request, &self.ports.host).map_err(|error| {
            log::warn!("back end: request cannot be built: {error}");
            BackEndFailure::NotConnected
        })?;
        let is_head_request = outgoing.method() == Method::HEAD;
        let (response, lease) = self.ports.pool.send(outgoing).await.map_err(failure_of)?;
        if request::is_leaving(&response) {
            self.ports.announcement.on_answer_leaving().await;
        }
        if request::is_shed(&response) {
            discard(response, lease).await;
            return Err(BackEndFailure::Shed);
        }
        self.pass_on(response, lease, is_head_request).await
    }

    async fn pass_on(
        &self,
        response: Response<Incoming>,
        lease: Lease,
        is_head_request: bool,
    ) -> Result<(), BackEndFailure> {
        let is_delimited = request::is_delimited(&response, is_head_request);
        self.tell(Event::BackEndHead {
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
                self.pass_on_chunk(data).await;
            }
        }
        if !is_delimited {
            log::warn!("back end: answer has neither length nor chunks, so its end proves nothing");
            return Err(BackEndFailure::Broken);
        }
        lease.give_back();
        self.tell(Event::BackEndEnd { attempt: self.id }).await;
        Ok(())
    }

    async fn pass_on_chunk(&self, mut data: Bytes) {
        while !data.is_empty() {
            let length = self.credit.take(data.len()).await;
            self.tell(Event::BackEndBody {
                attempt: self.id,
                chunk: data.split_to(length),
            })
            .await;
        }
    }

    async fn tell(&self, event: Event) {
        // A full ring holds back this attempt only; a closed one means that the process ends.
        let _ = self.ports.events.send(event).await;
    }
}

fn failure_of(error: SendError) -> BackEndFailure {
    log::warn!("back end: {error}");
    match error {
        SendError::NotSent(_) => BackEndFailure::NotConnected,
        SendError::Lost(_) => BackEndFailure::Broken,
    }
}

/// Reads a short body to its end, so that the connection can be reused.
async fn discard(response: Response<Incoming>, lease: Lease) {
    let body = Limited::new(response.into_body(), SHED_BODY);
    if body.collect().await.is_ok() {
        lease.give_back();
    }
}
