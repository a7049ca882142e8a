//! Reads the answer to one request and checks that it is complete, genuine and belongs to the
//! request.
//!
//! Every answer must name its request. A successful one is genuine if it is signed and has no
//! content encoding.

use std::time::Duration;

use bytes::BytesMut;
use rillgap_forward::back_end_notice::{BackEndNotice, RateLimitNotice, RequestRate};
use rillgap_forward::event::ExchangeResult;
use rillgap_forward::message::ForwardedAnswer;
use rillgap_http::h1::{
    BodyDecoder, BodyProgress, Connection, HeadLimits, ResponseHead, decode_response,
};

use crate::dialect::Dialect;

/// Maximum length of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum length of an answer's body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Status with which a back end answers a request that is meant for another one.
const MISDIRECTED_STATUS: u16 = 421;
/// Maximum number of answers to other requests that are skipped.
const MAX_FOREIGN_ANSWERS: u32 = 4;

/// Result of reading the bytes received so far.
pub(super) enum Progress {
    /// More bytes are needed.
    Partial,
    /// The answer is complete.
    Complete {
        result: ExchangeResult,
        /// Whether the connection may carry another request.
        keep_alive: bool,
        /// Time for which the back end keeps an idle connection; `None` if it does not say so.
        idle_timeout: Option<Duration>,
    },
    /// The bytes are not an answer, or the connection ended within the answer.
    Broken(AnswerFault),
}

/// Why what a back end has sent is not the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// The connection was reset or could not be written to.
    ConnectionLost,
    /// The connection was closed before the answer was whole.
    Closed,
    /// The bytes are not an answer in the protocol.
    Malformed,
    /// The body is longer than the limit.
    BodyTooLong,
    /// More answers to other requests came first than are skipped, or one without a known end.
    TooManyForeign,
    /// The answer names no request.
    NoIdentifier,
    /// The answer is a success without a signature, or its body is encoded.
    NotGenuine,
}

impl AnswerFault {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection lost",
            Self::Closed => "closed before the end of the answer",
            Self::Malformed => "not an answer",
            Self::BodyTooLong => "body too long",
            Self::TooManyForeign => "answers to other requests",
            Self::NoIdentifier => "answer without an identifier",
            Self::NotGenuine => "answer not genuine",
        }
    }
}

/// Header fields that decide how an answer is classified.
#[derive(Clone, Debug, Default)]
struct AnswerFields {
    request_id: Option<String>,
    is_signed: bool,
    is_not_run: bool,
    is_encoded: bool,
    notice: BackEndNotice,
    idle_timeout: Option<Duration>,
}

/// Reads the answer to one request.
pub(super) struct ResponseReader {
    request_id: String,
    is_head: bool,
    current: Option<(ResponseHead, AnswerFields, BodyDecoder)>,
    body: Vec<u8>,
    foreign_answers: u32,
    /// Identifiers in the answers to other requests, until they are taken.
    foreign_ids: Vec<String>,
    /// Notices in the head of the answer, until they are taken.
    notice: Option<BackEndNotice>,
}

impl ResponseReader {
    pub fn new(request_id: &str, is_head: bool) -> Self {
        Self {
            request_id: request_id.to_owned(),
            is_head,
            current: None,
            body: Vec::new(),
            foreign_answers: 0,
            foreign_ids: Vec::new(),
            notice: None,
        }
    }

    /// Reads received bytes.
    pub fn read(&mut self, input: &mut BytesMut, dialect: &dyn Dialect) -> Progress {
        loop {
            if self.current.is_none() && !self.read_head(input, dialect).unwrap_or(false) {
                return match self.is_partial_head(input) {
                    true => Progress::Partial,
                    false => Progress::Broken(AnswerFault::Malformed),
                };
            }
            let Some((_, _, decoder)) = &mut self.current else {
                return Progress::Broken(AnswerFault::Malformed);
            };
            match decoder.decode(input, &mut self.body) {
                Err(_) => return Progress::Broken(AnswerFault::Malformed),
                Ok(_) if self.body.len() > MAX_BODY_BYTES => {
                    return Progress::Broken(AnswerFault::BodyTooLong);
                }
                Ok(BodyProgress::Partial) => return Progress::Partial,
                Ok(BodyProgress::Complete) => {}
            }
            match self.finish() {
                Some(progress) => return progress,
                // This answer belongs to another request; the expected one may follow.
                None => continue,
            }
        }
    }

    /// Handles a clean close of the connection.
    pub fn on_close(&mut self) -> Progress {
        let is_complete = self
            .current
            .as_ref()
            .is_some_and(|(_, _, decoder)| decoder.is_complete_at_close());
        if !is_complete {
            return Progress::Broken(AnswerFault::Closed);
        }
        self.finish()
            .unwrap_or(Progress::Broken(AnswerFault::Closed))
    }

    /// Reads a head; returns `Some(true)` once it is complete. `None` stands for a partial head as
    /// well as for an error: [`Self::is_partial_head`] distinguishes them.
    fn read_head(&mut self, input: &mut BytesMut, dialect: &dyn Dialect) -> Option<bool> {
        loop {
            let mut answer_fields = AnswerFields::default();
            let limits = HeadLimits {
                max_bytes: MAX_HEAD_BYTES,
            };
            let head = decode_response(input, limits, self.is_head, |name, value| {
                answer_fields.record(name, value, dialect)
            });
            let head = head.ok()??;
            if head.is_interim() {
                continue;
            }
            self.record_notice(&head, &answer_fields);
            let decoder = BodyDecoder::new(head.framing);
            self.current = Some((head, answer_fields, decoder));
            self.body.clear();
            return Some(true);
        }
    }

    /// Returns the notices of the back end once the head of its answer has been read. They hold
    /// from then on, whatever becomes of the body.
    pub fn take_notice(&mut self) -> Option<BackEndNotice> {
        self.notice.take()
    }

    /// Returns the identifiers in answers to other requests that were read since the last call.
    pub fn take_foreign_ids(&mut self) -> Vec<String> {
        std::mem::take(&mut self.foreign_ids)
    }

    /// Records the notices of the back end that the request was sent to. A head without the
    /// identifier of the request may be a late answer, and a misdirected one comes from another
    /// back end.
    fn record_notice(&mut self, head: &ResponseHead, answer_fields: &AnswerFields) {
        let is_own_answer = answer_fields.request_id.as_ref() == Some(&self.request_id);
        if is_own_answer && head.status != MISDIRECTED_STATUS {
            self.notice = Some(answer_fields.notice);
        }
    }

    /// Returns whether the bytes are a valid but incomplete head.
    fn is_partial_head(&self, input: &BytesMut) -> bool {
        let mut copy = input.clone();
        let limits = HeadLimits {
            max_bytes: MAX_HEAD_BYTES,
        };
        matches!(
            decode_response(&mut copy, limits, self.is_head, |_, _| true),
            Ok(None)
        )
    }

    /// Classifies a complete answer; `None` if it belongs to another request.
    fn finish(&mut self) -> Option<Progress> {
        let (head, answer_fields, _) = self.current.take()?;
        let Some(answered_id) = &answer_fields.request_id else {
            // Back ends repeat the identifier, so these bytes belong to no request. They prove
            // neither an answer nor that the request did not run.
            return Some(Progress::Broken(AnswerFault::NoIdentifier));
        };
        if *answered_id != self.request_id {
            self.foreign_ids.push(answered_id.clone());
            self.foreign_answers += 1;
            // Whether an answer has a body depends on the method of its request, so next to HEAD the
            // end of a foreign answer is not known.
            let is_end_unknown = self.is_head || head.connection == Connection::Close;
            if is_end_unknown || self.foreign_answers > MAX_FOREIGN_ANSWERS {
                return Some(Progress::Broken(AnswerFault::TooManyForeign));
            }
            return None;
        }
        let is_success = (200..300).contains(&head.status);
        let is_genuine = answer_fields.is_signed && !answer_fields.is_encoded;
        // A success that is marked as not run contradicts itself and proves neither.
        if is_success && (!is_genuine || answer_fields.is_not_run) {
            return Some(Progress::Broken(AnswerFault::NotGenuine));
        }
        let result = if answer_fields.is_not_run {
            ExchangeResult::NotExecuted
        } else if head.status == MISDIRECTED_STATUS {
            ExchangeResult::WrongInstance
        } else {
            ExchangeResult::Answered(ForwardedAnswer {
                status: head.status,
                fields: head.fields.into_bytes(),
                body: std::mem::take(&mut self.body),
            })
        };
        // A late copy of an answer to HEAD would be read with a body.
        let is_reusable = self.foreign_answers == 0 && !self.is_head;
        Some(Progress::Complete {
            result,
            keep_alive: head.connection == Connection::KeepAlive && is_reusable,
            idle_timeout: answer_fields.idle_timeout,
        })
    }
}

impl AnswerFields {
    /// Records a field if it matters for the classification. Returns `true`, since every field is
    /// passed on.
    fn record(&mut self, name: &str, value: &[u8], dialect: &dyn Dialect) -> bool {
        let names = dialect.headers();
        if name.eq_ignore_ascii_case(names.request_id) {
            self.request_id = Some(String::from_utf8_lossy(value).trim().to_owned());
        } else if name.eq_ignore_ascii_case(names.signature) {
            self.is_signed = !value.is_empty();
        } else if name.eq_ignore_ascii_case(names.not_executed) {
            self.is_not_run = true;
        } else if name.eq_ignore_ascii_case(names.rate_limit) {
            self.notice.rate_limit = self.notice.rate_limit.stricter(parse_rate_limit(value));
        } else if name.eq_ignore_ascii_case(names.load) {
            self.notice.load = self.notice.load.and(dialect.load_notice(value));
        } else if name.eq_ignore_ascii_case(names.leaving) {
            self.notice.is_leaving = !matches!(value.trim_ascii(), b"" | b"0");
        } else if name.eq_ignore_ascii_case("content-encoding") {
            self.is_encoded = !value.eq_ignore_ascii_case(b"identity");
        } else if name.eq_ignore_ascii_case("keep-alive") {
            self.idle_timeout = parse_keep_alive(value);
        }
        true
    }
}

/// Reads a rate limit: a decimal number of requests per second.
fn parse_rate_limit(value: &[u8]) -> RateLimitNotice {
    let text = std::str::from_utf8(value).ok();
    let per_second = text.and_then(|text| text.trim().parse().ok());
    let rate = per_second.and_then(RequestRate::from_per_second);
    rate.map_or(RateLimitNotice::Unreadable, RateLimitNotice::Limited)
}

/// Returns the `timeout` parameter of `Keep-Alive`, in seconds.
fn parse_keep_alive(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let seconds = text.split(',').find_map(|parameter| {
        let (name, value) = parameter.trim().split_once('=')?;
        name.eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse::<u64>().ok())?
    })?;
    Some(Duration::from_secs(seconds))
}
