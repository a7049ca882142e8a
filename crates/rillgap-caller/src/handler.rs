//! Handles an HTTP request until the head of its answer is known.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rillgap_core::code::ResultCode;
use rillgap_core::event::Event;
use rillgap_core::request::{AnswerHead, Refusal};
use rillgap_http::headers;
use rillgap_ring::{RingError, RingSender};
use tokio::sync::Semaphore;

use crate::body::{AnswerStream, ResponseBody};
use crate::exchange::{AnswerPart, Exchange};
use crate::inbound::Inbound;
use crate::problem;
use crate::request;
use crate::settings::{Audience, HttpLimits};

/// Request handler of a listener, shared by all its connections.
#[derive(Clone, Debug)]
pub struct Handler {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    audience: Audience,
    limits: HttpLimits,
    exchange: Exchange,
    events: RingSender<Event>,
    /// Bytes of request bodies that may still be reserved, over all connections.
    receive_budget: Semaphore,
}

impl Handler {
    /// Creates the handler of a listener.
    pub fn new(
        audience: Audience,
        limits: HttpLimits,
        exchange: Exchange,
        events: RingSender<Event>,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                audience,
                limits,
                exchange,
                events,
                receive_budget: Semaphore::new(limits.receiving_bytes),
            }),
        }
    }

    /// Returns the limits of the listener.
    pub fn limits(&self) -> &HttpLimits {
        &self.shared.limits
    }

    /// Forwards one request to the node and returns its answer, or a problem response if refused.
    pub async fn handle(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        match self.answer(peer, request).await {
            Ok(response) => response,
            Err(refusal) => refuse(peer, refusal),
        }
    }

    async fn answer(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let shared = &*self.shared;
        if !shared.audience.admits(peer.ip()) {
            return Err(problem::refusal(ResultCode::TokenInvalid));
        }
        let is_head_request = request.method() == Method::HEAD;
        let request = request::read(
            request,
            &shared.audience,
            &shared.limits,
            &shared.receive_budget,
        )
        .await
        .map_err(problem::refusal)?;
        let mut inbound = Inbound::register(&shared.exchange, &shared.events);
        let event = Event::Inbound {
            inbound: inbound.id(),
            request,
        };
        // A full ring means that the node is overloaded: refusing immediately adds no load to it.
        if let Err(error) = shared.events.try_send(event) {
            inbound.set_ended();
            return Err(problem::refusal(ring_error_code(&error)));
        }
        match inbound.next_part().await {
            Some(AnswerPart::Head(head)) => Ok(respond(head, is_head_request, inbound)),
            Some(AnswerPart::Refusal(refusal)) => {
                inbound.set_ended();
                Err(refusal)
            }
            _ => {
                inbound.set_ended();
                Err(problem::refusal(ResultCode::AnswerBroken))
            }
        }
    }
}

fn ring_error_code<T>(error: &RingError<T>) -> ResultCode {
    match error {
        RingError::Full(_) => ResultCode::Overloaded,
        RingError::Closed(_) => ResultCode::NodeStopping,
    }
}

fn refuse(peer: SocketAddr, refusal: Refusal) -> Response<ResponseBody> {
    log::debug!(peer:% = peer, code = refusal.code.number(); "caller: request refused: {}", refusal.code.title());
    problem::response(refusal).map(|body| ResponseBody::Whole(Some(body)))
}

fn respond(
    head: AnswerHead,
    is_head_request: bool,
    mut inbound: Inbound,
) -> Response<ResponseBody> {
    let mut response_headers = http::HeaderMap::with_capacity(head.headers.len());
    headers::append(&head.headers, &mut response_headers);
    let content_length = response_headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if is_head_request || has_no_body(status, content_length) {
        // The connection never polls a body that is empty or not sent, so the end of the answer
        // is recorded here.
        inbound.set_ended();
    }
    let body = ResponseBody::Streamed(AnswerStream::new(inbound, content_length));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = response_headers;
    response
}

fn has_no_body(status: StatusCode, content_length: Option<u64>) -> bool {
    content_length == Some(0)
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}
