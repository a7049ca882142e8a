//! Calls that the back end makes itself, through the node beside it.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rillgap_http::names;

use crate::answer::{BODY_DIGEST_HEADER, CALLER_ID_HEADER, DownstreamAnswer, ShortAnswer, digest};

/// One call that is made for every short request, written `SERVICE:PATH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DownstreamCall {
    /// Service to call.
    pub service: String,
    /// Path below the service, with a leading slash.
    pub path: String,
}

/// A call is not written as `SERVICE:PATH`.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not of the form SERVICE:/PATH")]
pub struct DownstreamCallError(String);

impl FromStr for DownstreamCall {
    type Err = DownstreamCallError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            Some((service, path)) if !service.is_empty() && path.starts_with('/') => Ok(Self {
                service: service.to_owned(),
                path: path.to_owned(),
            }),
            _ => Err(DownstreamCallError(text.to_owned())),
        }
    }
}

/// What the back end passes on with its own calls.
pub(super) struct InboundContext {
    pub(super) caller: String,
    pub(super) token: Option<HeaderValue>,
}

/// Makes the back end's own calls.
pub(super) struct DownstreamClient {
    node: Option<SocketAddr>,
    attempts: u32,
    http: Client<HttpConnector, Empty<Bytes>>,
}

impl DownstreamClient {
    /// Creates a client of the node's outbound listener, which calls from a source address.
    pub(super) fn new(node: Option<SocketAddr>, source: IpAddr, attempts: u32) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(Some(source));
        Self {
            node,
            attempts: attempts.max(1),
            http: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Makes a call and repeats it for as long as it fails and attempts are left.
    pub(super) async fn call(
        &self,
        call: &DownstreamCall,
        context: &InboundContext,
    ) -> DownstreamAnswer {
        let mut answer = self.call_once(call, context).await;
        for _ in 1..self.attempts {
            if answer.status == StatusCode::OK.as_u16() {
                break;
            }
            answer = self.call_once(call, context).await;
        }
        answer
    }

    async fn call_once(&self, call: &DownstreamCall, context: &InboundContext) -> DownstreamAnswer {
        let result = match self.request(call, context) {
            Ok(request) => self.exchange(request, context).await,
            Err(detail) => Err(detail),
        };
        let (status, detail) = result.unwrap_or_else(|detail| (0, detail));
        DownstreamAnswer {
            service: call.service.clone(),
            status,
            detail,
        }
    }

    fn request(
        &self,
        call: &DownstreamCall,
        context: &InboundContext,
    ) -> Result<Request<Empty<Bytes>>, String> {
        let node = self.node.ok_or("no node is configured")?;
        let mut request = Request::get(format!("http://{node}/{}{}", call.service, call.path))
            .header(CALLER_ID_HEADER, &context.caller);
        if let Some(token) = &context.token {
            request = request.header(names::CALL_TOKEN, token);
        }
        request
            .body(Empty::new())
            .map_err(|error| error.to_string())
    }

    async fn exchange(
        &self,
        request: Request<Empty<Bytes>>,
        context: &InboundContext,
    ) -> Result<(u16, String), String> {
        let sent = self.http.request(request).await;
        let response = sent.map_err(|error| error.to_string())?;
        let status = response.status();
        let (headers, body) = read_whole(response).await?;
        if status != StatusCode::OK {
            let detail = String::from_utf8_lossy(&body).into_owned();
            return Ok((status.as_u16(), detail));
        }
        check_answer(&headers, &body, context)?;
        let answer: ShortAnswer =
            serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        Ok((status.as_u16(), answer.back_end))
    }
}

async fn read_whole(response: Response<Incoming>) -> Result<(HeaderMap, Bytes), String> {
    let (head, body) = response.into_parts();
    let whole = body.collect().await.map_err(|error| error.to_string())?;
    Ok((head.headers, whole.to_bytes()))
}

/// Checks that an answer is whole and meant for this caller.
fn check_answer(headers: &HeaderMap, body: &[u8], context: &InboundContext) -> Result<(), String> {
    if header_text(headers, CALLER_ID_HEADER) != Some(&context.caller) {
        return Err("answer for another caller".to_owned());
    }
    if header_text(headers, BODY_DIGEST_HEADER) != Some(&digest(body)) {
        return Err("answer with a wrong digest".to_owned());
    }
    Ok(())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
