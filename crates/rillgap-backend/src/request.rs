//! Builds HTTP requests to the back end and interprets its response headers.

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use rillgap_core::action::BackEndRequest;
use rillgap_core::request::AnswerHead;
use rillgap_http::{headers, names, timeout};

use crate::pool::OutgoingRequest;

/// Builds the HTTP request of an attempt.
///
/// # Errors
///
/// Fails if the method or the path is not one that HTTP allows.
pub fn build(request: BackEndRequest, host: &HeaderValue) -> Result<OutgoingRequest, http::Error> {
    let method = Method::from_bytes(request.head.method.as_bytes())?;
    let uri: Uri = request.head.path.parse()?;
    let mut outgoing = Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::new(request.body))?;
    let map = outgoing.headers_mut();
    headers::append(&request.head.headers, map);
    map.insert(HOST, host.clone());
    map.insert(names::CALL_TOKEN, token_value(request.token.0)?);
    map.insert(
        names::TIMEOUT,
        HeaderValue::from_str(&timeout::format(request.timeout))?,
    );
    Ok(outgoing)
}

/// Builds the request for the health endpoint.
///
/// # Errors
///
/// Fails if the path is not one that HTTP allows.
pub fn build_health(path: &str, host: &HeaderValue) -> Result<OutgoingRequest, http::Error> {
    Request::builder()
        .uri(path)
        .header(HOST, host)
        .body(Full::new(Bytes::new()))
}

/// Returns the head of an answer, without reserved and connection-specific headers.
pub fn answer_head(response: &Response<Incoming>) -> AnswerHead {
    AnswerHead {
        status: response.status().as_u16(),
        headers: headers::forwarded(response.headers(), |name| {
            name.starts_with(names::RESERVED_PREFIX)
        }),
    }
}

/// Returns whether an answer states that its request was refused without being executed.
pub fn is_shed(response: &Response<Incoming>) -> bool {
    response.status() == http::StatusCode::SERVICE_UNAVAILABLE
        && has_value(response.headers(), names::NOT_RUN, "true")
}

/// Returns whether an answer announces that the back end is leaving.
pub fn is_leaving(response: &Response<Incoming>) -> bool {
    has_value(response.headers(), names::LEAVING, "1")
}

/// Returns whether the end of an answer's body can be distinguished from a lost connection.
pub fn is_delimited(response: &Response<Incoming>, is_head_request: bool) -> bool {
    let has_no_body = is_head_request
        || response.status() == http::StatusCode::NO_CONTENT
        || response.status() == http::StatusCode::NOT_MODIFIED;
    let map = response.headers();
    has_no_body
        || map.contains_key(http::header::CONTENT_LENGTH)
        || map.contains_key(http::header::TRANSFER_ENCODING)
}

fn has_value(map: &HeaderMap, name: &str, expected: &str) -> bool {
    map.get(name).is_some_and(|value| value == expected)
}

fn token_value(token: u128) -> Result<HeaderValue, http::Error> {
    Ok(HeaderValue::from_str(&format!("{token:032x}"))?)
}
