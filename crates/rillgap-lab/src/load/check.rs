//! Checks that an answer is the caller's own and whole.

use std::time::Duration;

use http::{HeaderMap, header};
use rillgap_http::names;
use serde::Deserialize;

use crate::answer::{BODY_DIGEST_HEADER, BODY_LENGTH_HEADER, CALLER_ID_HEADER, RunningDigest};

/// Media type of refusals (RFC 9457).
const PROBLEM_TYPE: &str = "application/problem+json";
/// Beginning of a body that is kept, in bytes; longer refusals cannot be read.
const KEPT_BYTES: usize = 4096;

/// A body as received.
#[derive(Default)]
pub(super) struct ReceivedBody {
    digest: RunningDigest,
    beginning: Vec<u8>,
}

impl ReceivedBody {
    /// Takes in the next part.
    pub(super) fn push(&mut self, part: &[u8]) {
        self.digest.update(part);
        let room = KEPT_BYTES.saturating_sub(self.beginning.len());
        self.beginning
            .extend_from_slice(&part[..part.len().min(room)]);
    }
}

/// A refusal, as problem details state it.
#[derive(Debug, Deserialize)]
pub(super) struct StatedRefusal {
    pub(super) code: u8,
    outcome: String,
    #[serde(default)]
    retry_after_ms: u32,
}

impl StatedRefusal {
    /// Returns the time after which the caller may come back.
    pub(super) fn retry_after(&self) -> Duration {
        Duration::from_millis(u64::from(self.retry_after_ms))
    }

    /// Returns whether the refusal states that the request was not run.
    pub(super) fn not_run(&self) -> bool {
        self.outcome == rillgap_core::code::Outcome::NotRun.token()
    }
}

/// Returns the refusal that an answer states, if it is one.
pub(super) fn parse_refusal(headers: &HeaderMap, body: &ReceivedBody) -> Option<StatedRefusal> {
    let media_type = header_text(headers, header::CONTENT_TYPE.as_str())?;
    if !media_type.starts_with(PROBLEM_TYPE) {
        return None;
    }
    serde_json::from_slice(&body.beginning).ok()
}

/// Checks that an answer names its caller and has the length and digest that it states.
///
/// # Errors
///
/// Returns what is wrong with the answer.
pub(super) fn check_own_and_whole(
    headers: &HeaderMap,
    body: &ReceivedBody,
    caller: &str,
) -> Result<(), String> {
    if headers.contains_key(names::NOT_RUN) {
        return Ok(());
    }
    expect_header(headers, CALLER_ID_HEADER, caller)?;
    expect_header(
        headers,
        BODY_LENGTH_HEADER,
        &body.digest.length().to_string(),
    )?;
    expect_header(headers, BODY_DIGEST_HEADER, &body.digest.finish())
}

fn expect_header(headers: &HeaderMap, name: &str, expected: &str) -> Result<(), String> {
    let stated = header_text(headers, name);
    if stated == Some(expected) {
        Ok(())
    } else {
        Err(format!("{name} is {stated:?} in place of {expected:?}"))
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
