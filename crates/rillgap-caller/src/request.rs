//! Converts an HTTP request to an [`InboundRequest`] and enforces its limits.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use rillgap_core::code::ResultCode;
use rillgap_core::id::{CallToken, IdempotencyKey, ServiceName};
use rillgap_core::request::{Header, InboundRequest, Origin, RequestHead};
use rillgap_http::{headers, names, timeout};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::settings::{Audience, HttpLimits};
use crate::{key, trace};

/// Request headers that are not forwarded, because the node sets or handles them itself.
const REPLACED_HEADERS: [&str; 4] = ["host", "content-length", "expect", names::TIMEOUT];

/// Number of hexadecimal digits of a call token (128 bits).
const CALL_TOKEN_HEX_DIGITS: usize = 32;

/// Reads a request with its body, if `receive_budget` has room for the body.
///
/// # Errors
///
/// Returns the result code under which the request is refused.
pub async fn read(
    request: http::Request<Incoming>,
    audience: &Audience,
    limits: &HttpLimits,
    receive_budget: &Semaphore,
) -> Result<InboundRequest, ResultCode> {
    let (parts, body) = request.into_parts();
    let mut inbound = read_head(&parts, audience, limits)?;
    let _reservation = reserve_body(&body, limits, receive_budget)?;
    inbound.body = tokio::time::timeout(limits.request_timeout, read_body(body, limits))
        .await
        .map_err(|_| ResultCode::RequestTimeout)??;
    Ok(inbound)
}

/// Reads the head of a request and leaves the body empty.
///
/// # Errors
///
/// Returns the result code under which the request is refused.
pub fn read_head(
    parts: &Parts,
    audience: &Audience,
    limits: &HttpLimits,
) -> Result<InboundRequest, ResultCode> {
    let target_length = parts
        .uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    if target_length + headers::total_length(&parts.headers) > limits.header_bytes {
        return Err(ResultCode::HeadersTooLong);
    }
    let (service, path) = split_target(&parts.uri).ok_or(ResultCode::UnknownRoute)?;
    Ok(InboundRequest {
        origin: read_origin(&parts.headers, audience),
        service,
        head: RequestHead {
            method: parts.method.as_str().to_owned(),
            path,
            headers: forwarded_headers(&parts.headers),
        },
        body: Bytes::new(),
        key: read_key(&parts.headers)?,
        timeout: read_timeout(&parts.headers)?,
    })
}

/// Splits `/{service}/{rest}?{query}` into the service and `/{rest}?{query}`.
fn split_target(uri: &http::Uri) -> Option<(ServiceName, String)> {
    let target = uri.path_and_query()?.as_str().strip_prefix('/')?;
    let end = target.find(['/', '?']).unwrap_or(target.len());
    let (service, rest) = target.split_at(end);
    if service.is_empty() {
        return None;
    }
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Some((ServiceName::new(service), path))
}

fn read_origin(headers: &HeaderMap, audience: &Audience) -> Origin {
    match audience {
        Audience::Callers { .. } => Origin::Caller,
        Audience::LocalBackEnd { .. } => Origin::LocalBackEnd {
            token: read_token(headers),
        },
    }
}

fn read_token(headers: &HeaderMap) -> Option<CallToken> {
    let value = headers.get(names::CALL_TOKEN)?.to_str().ok()?;
    if value.len() != CALL_TOKEN_HEX_DIGITS || !value.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u128::from_str_radix(value, 16).ok().map(CallToken)
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ResultCode> {
    single_value(headers, names::IDEMPOTENCY_KEY, ResultCode::KeyMalformed)?
        .map(key::parse)
        .transpose()
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, ResultCode> {
    single_value(headers, names::TIMEOUT, ResultCode::MalformedRequest)?
        .map(|value| timeout::parse(value).ok_or(ResultCode::MalformedRequest))
        .transpose()
}

/// Returns the value of a header that must not occur twice.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &str,
    code: ResultCode,
) -> Result<Option<&'a str>, ResultCode> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(code);
    }
    value.to_str().map(Some).map_err(|_| code)
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut forwarded = headers::forwarded(headers, |name| {
        REPLACED_HEADERS.contains(&name)
            || name == names::TRACE_PARENT
            || name.starts_with(names::RESERVED_PREFIX)
    });
    forwarded.push(Header {
        name: names::TRACE_PARENT.to_owned(),
        value: trace_parent(headers).into_bytes(),
    });
    forwarded
}

fn trace_parent(headers: &HeaderMap) -> String {
    headers
        .get(names::TRACE_PARENT)
        .and_then(|value| value.to_str().ok())
        .filter(|value| trace::is_valid(value))
        .map_or_else(trace::create, str::to_owned)
}

/// Reserves the bytes of a body in `receive_budget` before any of it is received.
///
/// Reserves the maximum length if the body's length is not announced.
fn reserve_body<'a>(
    body: &Incoming,
    limits: &HttpLimits,
    receive_budget: &'a Semaphore,
) -> Result<SemaphorePermit<'a>, ResultCode> {
    let max_body_bytes = limits.body_bytes as u64;
    let size = body.size_hint();
    if size.lower() > max_body_bytes {
        return Err(ResultCode::BodyTooLong);
    }
    let expected = size
        .upper()
        .map_or(max_body_bytes, |upper| upper.min(max_body_bytes));
    let expected = u32::try_from(expected).unwrap_or(u32::MAX);
    receive_budget
        .try_acquire_many(expected)
        .map_err(|_| ResultCode::Overloaded)
}

async fn read_body(body: Incoming, limits: &HttpLimits) -> Result<Bytes, ResultCode> {
    let collected = Limited::new(body, limits.body_bytes).collect().await;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ResultCode::BodyTooLong),
        Err(_) => Err(ResultCode::MalformedRequest),
    }
}
