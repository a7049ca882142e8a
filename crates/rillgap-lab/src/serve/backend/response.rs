//! Responses of the back end, with the headers by which a caller checks them.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use rillgap_http::names;

use crate::answer::{
    BODY_DIGEST_HEADER, BODY_LENGTH_HEADER, CALLER_ID_HEADER, ShortAnswer, digest,
};
use crate::serve::http::{ResponseBody, bytes_response, empty_response};

/// Seconds after which a shed caller may come back.
const RETRY_AFTER_SECONDS: &str = "1";
/// Makes the response with a short answer as its body.
pub(super) fn short_response(status: StatusCode, answer: &ShortAnswer) -> Response<ResponseBody> {
    let body = Bytes::from(serde_json::to_vec(answer).unwrap_or_default());
    let body_digest = digest(&body);
    let length = body.len() as u64;
    let mut response = bytes_response(status, body);
    let headers = response.headers_mut();
    describe_body(headers, &answer.caller, &body_digest, length);
    let content_type = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, content_type);
    response
}

/// Makes the answer that states that the request was not run.
pub(super) fn not_run() -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(names::NOT_RUN, HeaderValue::from_static("true"));
    let retry_after = HeaderValue::from_static(RETRY_AFTER_SECONDS);
    headers.insert(header::RETRY_AFTER, retry_after);
    response
}

/// Adds the headers by which the caller checks that the answer is its own and complete.
pub(super) fn describe_body(headers: &mut HeaderMap, caller: &str, digest: &str, length: u64) {
    if let Ok(caller) = HeaderValue::from_str(caller) {
        headers.insert(CALLER_ID_HEADER, caller);
    }
    if let Ok(digest) = HeaderValue::from_str(digest) {
        headers.insert(BODY_DIGEST_HEADER, digest);
    }
    headers.insert(BODY_LENGTH_HEADER, HeaderValue::from(length));
}
