//! Encodes refusals as problem details (RFC 9457).

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use rillgap_core::code::ResultCode;
use rillgap_core::request::{Refusal, RetryAfter};
use rillgap_http::names;
use serde::Serialize;

/// Media type of problem details.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Prefix of the problem types; the number of the result code follows.
const TYPE_PREFIX: &str = "https://rillgap.example/errors#";

/// Members of a problem details object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProblemDetails {
    /// URI of the problem type, which ends in the number of the result code.
    #[serde(rename = "type")]
    pub kind: String,
    /// Human-readable title of the result code.
    pub title: &'static str,
    /// HTTP status of the response.
    pub status: u16,
    /// Number of the result code.
    pub code: u8,
    /// Outcome of the request: `completed`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Milliseconds after which the caller may retry.
    pub retry_after_ms: u32,
}

impl ProblemDetails {
    /// Creates the problem details of a refusal.
    pub fn new(refusal: Refusal) -> Self {
        let code = refusal.code;
        Self {
            kind: format!("{TYPE_PREFIX}{}", code.number()),
            title: code.title(),
            status: code.http_status(),
            code: code.number(),
            outcome: code.outcome().token(),
            retry_after_ms: refusal.retry_after.millis,
        }
    }
}

/// Creates a refusal with the default retry time, for codes that are unrelated to load.
pub const fn refusal(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}

/// Creates the response to a refused request.
pub fn response(refusal: Refusal) -> Response<Bytes> {
    let problem = ProblemDetails::new(refusal);
    // The members are numbers and plain strings, which always serialize.
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    headers.insert(
        names::RETRY_AFTER,
        HeaderValue::from(refusal.retry_after.millis.div_ceil(1_000)),
    );
    headers.insert(
        names::RETRY_AFTER_MILLIS,
        HeaderValue::from(refusal.retry_after.millis),
    );
    response
}
