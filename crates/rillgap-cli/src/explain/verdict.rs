//! Determines from log records how a request ended and why.

use rillgap_core::code::ResultCode;
use serde::Serialize;

use super::{Record, extends};

/// Message of the log record of an answered request.
pub(super) const ANSWERED: &str = "outbound: answered";
/// Message of the log record of a request that ended at the back end's node without an answer.
const UNANSWERED: &str = "inbound: no answer";
/// Message of the log record that the caller disconnected.
const CALLER_GONE: &str = "outbound: caller gone";
/// Lowest HTTP status of a failure.
const MIN_FAILURE_STATUS: u64 = 500;

/// How a request ended and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// HTTP status of the answer to the caller; `None` if no answer was logged.
    pub status: Option<u64>,
    /// Number of the result code; 0 if the back end answered, `None` if no answer was logged.
    pub code: Option<u64>,
    /// Steps from the end of the request back to its cause, one sentence each.
    pub because: Vec<String>,
}

impl Verdict {
    /// Derives the verdict from the records of a request and its calls, ordered by time.
    pub fn of(request: &str, path: &[Record]) -> Self {
        let answer = last(path, request, ANSWERED);
        Self {
            status: answer.and_then(|answer| answer.number("status")),
            code: answer.and_then(|answer| answer.number("code")),
            because: steps(request, path),
        }
    }
}

/// Returns one sentence for each step from the end of a request back to its cause.
fn steps(request: &str, path: &[Record]) -> Vec<String> {
    let answer = last(path, request, ANSWERED);
    let unanswered = last(path, request, UNANSWERED);
    let mut sentences = Vec::new();
    sentences.push(match answer {
        Some(answer) => describe_answer(answer),
        None => describe_missing_end(request, path).to_owned(),
    });
    sentences.extend(unanswered.map(describe_no_answer));
    // If the back end answered with a failure, or no answer was logged, a failed call of the back
    // end may be the cause.
    let may_be_caused_by_call = answer.is_none_or(|answer| {
        answer.number("code") == Some(0) && answer.number("status") >= Some(MIN_FAILURE_STATUS)
    });
    if may_be_caused_by_call
        && unanswered.is_none()
        && let Some(call) = failed_call(path, request)
    {
        sentences.extend(steps(call, path));
    }
    sentences
}

fn describe_missing_end(request: &str, path: &[Record]) -> &'static str {
    if path.is_empty() {
        "no log record of the request: it succeeded and was not sampled, or the logs are from \
         another node or time"
    } else if last(path, request, CALLER_GONE).is_some() {
        "the caller disconnected before the answer"
    } else {
        "no log record of its end: the node that received it stopped or crashed first, or the \
         record was dropped"
    }
}

/// Returns the last record of `request` with the given message.
pub(super) fn last<'a>(path: &'a [Record], request: &str, message: &str) -> Option<&'a Record> {
    path.iter()
        .rev()
        .find(|record| record.request.as_deref() == Some(request) && record.message == message)
}

/// Returns the failed call of a request with the shortest identifier; of several, the one logged
/// first.
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
        // The identifier of a nested call is longer than that of its parent, so a parent precedes
        // its calls. `steps` then looks for the cause among the calls of the returned one.
        .min_by_key(|id| id.len())
}

fn title(code: u64) -> &'static str {
    let has_number = |candidate: &&ResultCode| u64::from(candidate.number()) == code;
    let known = ResultCode::ALL.iter().find(has_number);
    known.map_or("unknown code", |code| code.title())
}

fn describe_answer(answer: &Record) -> String {
    let node = &answer.node;
    let status = answer.number("status").unwrap_or(0);
    let code = answer.number("code").unwrap_or(0);
    let attempts = answer.number("attempts").unwrap_or(0);
    let millis = answer.number("elapsed_micros").unwrap_or(0) as f64 / 1_000.0;
    let reason = match code {
        0 => "answer of the back end".to_owned(),
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
        "{request}: {node} did not serve it (code {code}, {reason}) with {} running, {} queued, \
         limit {}",
        count("running"),
        count("queued"),
        count("limit")
    )
}
