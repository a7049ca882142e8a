//! A listener with a scripted node behind it, and an HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rillgap_caller::exchange::{Answer, AnswerPart, Exchange};
use rillgap_caller::handler::Handler;
use rillgap_caller::listener::Listener;
use rillgap_caller::settings::{Audience, HttpLimits};
use rillgap_core::event::{Event, InboundId};
use rillgap_core::request::{AnswerHead, Header, InboundRequest};
use rillgap_ring::{RingReceiver, ring};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Capacity of the event ring.
pub const EVENT_SLOTS: usize = 16;

/// A running listener with the node's ends of its channels.
pub struct Server {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Events that the listener sends to the node.
    pub events: RingReceiver<Event>,
    /// Exchange to which the node delivers answers.
    pub exchange: Exchange,
    /// Shuts the listener down when cancelled.
    pub stop: CancellationToken,
}

/// Answer as received by the client.
pub struct ClientAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body, or `None` if the transfer failed.
    pub body: Option<Bytes>,
}

impl ClientAnswer {
    /// Returns the result code number of a problem details body.
    pub fn code(&self) -> u64 {
        let body = self.body.as_ref().expect("a whole body");
        let problem: serde_json::Value = serde_json::from_slice(body).expect("JSON");
        problem["code"].as_u64().expect("a number")
    }
}

/// Returns limits with a request timeout short enough for tests.
pub fn limits() -> HttpLimits {
    HttpLimits {
        request_timeout: Duration::from_millis(200),
        ..HttpLimits::default()
    }
}

/// Starts a listener for callers.
pub async fn start(limits: HttpLimits) -> Server {
    start_for(limits, Audience::Callers { except: Vec::new() }).await
}

/// Starts a listener for an audience.
pub async fn start_for(limits: HttpLimits, audience: Audience) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("bound");
    let (sender, events) = ring(EVENT_SLOTS);
    let exchange = Exchange::default();
    let stop = CancellationToken::new();
    let handler = Handler::new(audience, limits, exchange.clone(), sender);
    tokio::spawn(Listener::new(handler, stop.clone()).run(listener));
    Server {
        address,
        events,
        exchange,
        stop,
    }
}

impl Server {
    /// Waits for the next request.
    pub async fn next_request(&self) -> (InboundId, InboundRequest) {
        match self.events.recv().await {
            Some(Event::Inbound { inbound, request }) => (inbound, request),
            other => panic!("expected a request, got {other:?}"),
        }
    }

    /// Delivers parts of an answer.
    pub fn answer(&self, inbound: InboundId, parts: impl IntoIterator<Item = AnswerPart>) {
        for part in parts {
            self.exchange.deliver(Answer { inbound, part });
        }
    }

    /// Sends a request and returns its answer.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> ClientAnswer {
        exchange_with(client(false), request).await
    }

    /// Returns the URL of a path.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Returns the builder of a GET request for a path.
    pub fn get(&self, path: &str) -> http::request::Builder {
        Request::builder().uri(self.url(path))
    }
}

/// Returns an HTTP/1.1 client, or an HTTP/2 client with prior knowledge.
pub fn client(http2: bool) -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new())
        .http2_only(http2)
        .build_http()
}

/// Sends a request and reads its answer; panics if no head is received.
pub async fn exchange_with(
    client: Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> ClientAnswer {
    try_exchange_with(client, request)
        .await
        .expect("a response")
}

/// Sends a request and reads its answer; returns `None` if no head is received.
pub async fn try_exchange_with(
    client: Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<ClientAnswer> {
    let response = client.request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok().map(|body| body.to_bytes());
    Some(ClientAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

/// Returns the head of an answer with status 200.
pub fn head(content_length: Option<usize>) -> AnswerPart {
    let headers = content_length
        .map(|length| Header {
            name: "content-length".to_owned(),
            value: length.to_string().into_bytes(),
        })
        .into_iter()
        .collect();
    AnswerPart::Head(AnswerHead {
        status: 200,
        headers,
    })
}

/// Returns a part of a body.
pub fn chunk(bytes: &'static [u8]) -> AnswerPart {
    AnswerPart::Body(Bytes::from_static(bytes))
}
