//! Answers that the node itself sends instead of a back end's.

use std::time::Duration;

use rillgap_core::code::{Outcome, ResultCode};

use crate::action::CallerAnswer;

/// Status for a request that may have run, with unknown outcome.
const UNKNOWN_STATUS: u16 = 502;
/// Status for a request that passed its deadline and may have run.
const TIMEOUT_STATUS: u16 = 504;
/// Status for a request that did not run and may be sent again.
const NOT_RUN_STATUS: u16 = 503;
/// Status for a request of a tenant that has reached its rate limit.
const LIMIT_STATUS: u16 = 429;
/// Minimum and default of the `Retry-After` field, in milliseconds.
const MIN_RETRY_AFTER_MILLIS: u32 = 100;

/// Part of the time that a caller has left after which it is asked back at the latest, as a divisor.
/// The rest is for the request itself, and for one more refusal.
const MAX_WAIT_PART: u32 = 3;

/// Returns the `Retry-After` of a caller that has `time_left` for the request, in milliseconds:
/// bounded, so that something can still be done when the caller comes back.
pub(super) fn bounded_retry_after(retry_after_millis: u32, time_left: Option<Duration>) -> u32 {
    let max = time_left.map_or(u32::MAX, |left| {
        u32::try_from((left / MAX_WAIT_PART).as_millis()).unwrap_or(u32::MAX)
    });
    retry_after_millis.min(max).max(MIN_RETRY_AFTER_MILLIS)
}

/// Returns whether an answer asks its caller to come back after a stated time.
pub(super) const fn states_retry_after(status: u16) -> bool {
    matches!(status, NOT_RUN_STATUS | LIMIT_STATUS)
}

/// Returns the answer for a result code.
///
/// `may_have_run` overrides the outcome of the code: after an attempt with unknown outcome, a later
/// refusal does not prove that the request did not run.
pub(super) fn for_code(
    code: ResultCode,
    retry_after_millis: u32,
    may_have_run: bool,
    close: bool,
) -> CallerAnswer {
    let status = status(code, may_have_run);
    let mut fields = Vec::new();
    fields.extend_from_slice(b"Content-Type: application/problem+json\r\n");
    if states_retry_after(status) {
        let millis = retry_after_millis.max(MIN_RETRY_AFTER_MILLIS);
        let seconds = f64::from(millis) / 1_000.0;
        fields.extend_from_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
    }
    let body = format!(
        "{{\"status\":{status},\"code\":{},\"title\":\"{}\"}}",
        code.number(),
        code.title()
    );
    CallerAnswer {
        status,
        fields,
        body: body.into_bytes(),
        close,
    }
}

fn status(code: ResultCode, may_have_run: bool) -> u16 {
    if code == ResultCode::AnswerTimeout {
        return TIMEOUT_STATUS;
    }
    if may_have_run || code.outcome() != Outcome::NotRun {
        return UNKNOWN_STATUS;
    }
    match code.http_status() {
        status @ 400..=499 => status,
        _ => NOT_RUN_STATUS,
    }
}
