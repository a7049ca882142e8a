//! Answers of the node's own.

use rillgap_core::code::{Outcome, ResultCode};

use crate::action::CallerAnswer;

/// Status of an answer that promises nothing because the request may have run.
const UNKNOWN_STATUS: u16 = 502;
/// Status of an answer to a request whose time is over and that may have run.
const TIMEOUT_STATUS: u16 = 504;
/// Status of an answer to a request that did not run and may be sent again.
const NOT_RUN_STATUS: u16 = 503;
/// Status of an answer to a request of a tenant that is at its limit.
const LIMIT_STATUS: u16 = 429;
/// Time after which to come back if nothing better is known, in milliseconds.
const RETRY_AFTER_MILLIS: u32 = 100;

/// Returns the answer for a result of the node's own.
///
/// `may_have_run` overrides what the code says: after an attempt whose fate is unknown, a later
/// refusal proves nothing.
pub(super) fn own(
    code: ResultCode,
    retry_after_millis: u32,
    may_have_run: bool,
    close: bool,
) -> CallerAnswer {
    let status = status(code, may_have_run);
    let mut fields = Vec::new();
    fields.extend_from_slice(b"Content-Type: application/problem+json\r\n");
    if matches!(status, NOT_RUN_STATUS | LIMIT_STATUS) {
        let millis = retry_after_millis.max(RETRY_AFTER_MILLIS);
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
