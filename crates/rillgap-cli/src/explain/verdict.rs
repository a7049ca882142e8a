//! How a request ended, and what the lines about it say of the cause.

use rillgap_core::code::ResultCode;
use serde::Serialize;

use super::{Record, extends};

/// Message of the line that tells a request's end.
pub(super) const ANSWERED: &str = "outbound: answered";
/// Message of the line with which the node beside a back end gives a request up.
const UNANSWERED: &str = "inbound: no answer";
/// Message of the line that tells that the caller left.
const CALLER_GONE: &str = "outbound: caller gone";
/// Status from which an answer is a failure.
const MIN_FAILURE_STATUS: u64 = 500;

/// How a request ended, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Status that the caller got; `None` if no line tells.
    pub status: Option<u64>,
    /// Number of the result code; 0 for an answer of the back end's own.
    pub code: Option<u64>,
    /// One sentence for each step from the end to the cause.
    pub because: Vec<String>,
}

impl Verdict {
    /// Judges by the lines about a request and its calls, in their order.
    pub fn of(request: &str, path: &[Record]) -> Self {
        let answer = last(path, request, ANSWERED);
        Self {
            status: answer.and_then(|answer| answer.number("status")),
            code: answer.and_then(|answer| answer.number("code")),
            because: steps(request, path),
        }
    }
}

/// Returns a sentence for each step from a request's end to its cause.
fn steps(request: &str, path: &[Record]) -> Vec<String> {
    let answer = last(path, request, ANSWERED);
    let unanswered = last(path, request, UNANSWERED);
    let mut sentences = Vec::new();
    sentences.push(match answer {
        Some(answer) => describe_answer(answer),
        None => describe_missing_end(request, path).to_owned(),
    });
    sentences.extend(unanswered.map(describe_no_answer));
    // A failure of the back end's own may come from a call that it made.
    let is_own_failure = answer.is_none_or(|answer| {
        answer.number("code") == Some(0) && answer.number("status") >= Some(MIN_FAILURE_STATUS)
    });
    if is_own_failure
        && unanswered.is_none()
        && let Some(call) = failed_call(path, request)
    {
        sentences.extend(steps(call, path));
    }
    sentences
}

fn describe_missing_end(request: &str, path: &[Record]) -> &'static str {
    if path.is_empty() {
        "no line tells of it: it succeeded and was not sampled, or the logs are not those of its \
         node and time"
    } else if last(path, request, CALLER_GONE).is_some() {
        "the caller left before an answer"
    } else {
        "no line tells its end: the node that took it ended first, or the line was left out"
    }
}

pub(super) fn last<'a>(path: &'a [Record], request: &str, message: &str) -> Option<&'a Record> {
    path.iter()
        .rev()
        .find(|record| record.request.as_deref() == Some(request) && record.message == message)
}

/// Returns the first call of a request that came to nothing.
fn failed_call<'a>(path: &'a [Record], request: &str) -> Option<&'a str> {
    let is_failure = |record: &&Record| {
        let answered =
            record.message == ANSWERED && record.number("status") >= Some(MIN_FAILURE_STATUS);
        answered || record.message == UNANSWERED
    };
    path.iter()
        .filter(is_failure)
        .filter_map(|record| record.request.as_deref())
        .filter(|id| *id != request && extends(id, request))
        // Of several calls one below the other, the nearest.
        .min_by_key(|id| id.len())
}

fn title(code: u64) -> &'static str {
    let known = |known: &&ResultCode| u64::from(known.number()) == code;
    let code = ResultCode::ALL.iter().find(known);
    code.map_or("unknown code", |code| code.title())
}

fn describe_answer(answer: &Record) -> String {
    let node = &answer.node;
    let status = answer.number("status").unwrap_or(0);
    let code = answer.number("code").unwrap_or(0);
    let attempts = answer.number("attempts").unwrap_or(0);
    let millis = answer.number("elapsed_micros").unwrap_or(0) as f64 / 1_000.0;
    let reason = match code {
        0 => "the answer of a back end".to_owned(),
        code => format!("code {code}, {}", title(code)),
    };
    let peer = answer.text("peer").filter(|peer| !peer.is_empty());
    let peer = peer.map_or(String::new(), |peer| format!(", last at {peer}"));
    let request = answer.request.as_deref().unwrap_or_default();
    format!(
        "{request}: {node} answered {status} ({reason}) after {millis:.1} ms and {attempts} \
         attempts{peer}"
    )
}

fn describe_no_answer(unanswered: &Record) -> String {
    let node = &unanswered.node;
    let request = unanswered.request.as_deref().unwrap_or_default();
    let code = unanswered.number("code").unwrap_or(0);
    let reason = title(code);
    let count = |name| unanswered.number(name).unwrap_or(0);
    format!(
        "{request}: {node} gave it up (code {code}, {reason}) with {} running and {} waiting of {} allowed",
        count("running"),
        count("queued"),
        count("limit")
    )
}
