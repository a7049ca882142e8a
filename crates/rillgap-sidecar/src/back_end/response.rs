//! Reads the answer to one request and checks that it is complete, genuine and belongs to the
//! request.
//!
//! Every answer must name its request. A successful one is genuine if it is signed and has no
//! content encoding. What can be told from the head is told before the body is read, and each part
//! that a back end could send without end has a limit: heads, interim answers, answers to other
//! requests, bodies, and the bytes around the body's own.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use rillgap_forward::back_end_notice::{BackEndNotice, RateLimitNotice, RequestRate};
use rillgap_forward::buffer_account::{BufferLimits, HolderKind, Room};
use rillgap_forward::event::ExchangeResult;
use rillgap_forward::message::ForwardedAnswer;
use rillgap_http::h1::{
    BodyDecoder, BodyProgress, Connection, Framing, HeadLimits, HeadScan, MessageError,
    ResponseHead, decode_response,
};

use crate::buffers::{Buffers, Held};
use crate::dialect::Dialect;

/// Maximum length of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Status with which a back end answers a request that is meant for another one.
const MISDIRECTED_STATUS: u16 = 421;
/// Maximum number of answers to other requests that are skipped.
const MAX_FOREIGN_ANSWERS: u32 = 4;
/// Maximum number of interim answers.
const MAX_INTERIM_ANSWERS: u32 = 16;
/// Maximum number of bytes received for an answer, as a multiple of the limit of its body: chunks
/// and trailers take some, too.
const MAX_OVERHEAD_FACTOR: usize = 2;
/// Minimum number of bytes by which the room for a body of unknown length grows.
const MIN_GROWTH_BYTES: usize = 16 * 1024;

/// Result of reading the bytes received so far.
pub(super) enum Progress {
    /// More bytes are needed.
    Partial,
    /// The bytes received cannot be held at the moment.
    NoRoom,
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
    /// The head is longer than the limit.
    HeadTooLong,
    /// More interim answers came first than are skipped.
    TooManyInterim,
    /// More answers to other requests came first than are skipped, or one without a known end.
    TooManyForeign,
    /// The body, or what comes with it, is longer than the limit.
    BodyTooLong,
    /// The node had no room for the answer in time.
    NoRoom,
    /// The answer names no request.
    NoIdentifier,
    /// The answer is a success without a signature, its body is encoded, or it is also marked as
    /// not run.
    NotGenuine,
}

impl AnswerFault {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection lost",
            Self::Closed => "closed before the end of the answer",
            Self::Malformed => "not an answer",
            Self::HeadTooLong => "head too long",
            Self::TooManyInterim => "too many interim answers",
            Self::TooManyForeign => "answers to other requests",
            Self::BodyTooLong => "body too long",
            Self::NoRoom => "no room for the answer",
            Self::NoIdentifier => "answer without an identifier",
            Self::NotGenuine => "answer not genuine",
        }
    }
}

impl From<MessageError> for AnswerFault {
    fn from(error: MessageError) -> Self {
        match error {
            MessageError::HeadTooLong => Self::HeadTooLong,
            _ => Self::Malformed,
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

/// An answer whose head has been read.
struct CurrentAnswer {
    head: ResponseHead,
    fields: AnswerFields,
    decoder: BodyDecoder,
    /// Whether the answer belongs to another request; its body is dropped.
    is_foreign: bool,
    /// Maximum length of the body.
    max_body: usize,
    /// Number of bytes received after the head.
    received: usize,
}

/// Reads the answer to one request.
pub(super) struct ResponseReader {
    request_id: String,
    is_head: bool,
    limits: BufferLimits,
    buffers: Rc<Buffers>,
    /// Room for the body; `None` before any was needed.
    held: Option<Held>,
    scan: HeadScan,
    current: Option<CurrentAnswer>,
    body: Vec<u8>,
    /// Number of bytes for which the node has granted room.
    granted: usize,
    /// Whether a body of known length gets its room as it arrives.
    is_overdue: bool,
    /// Number of bytes of empty lines before heads.
    empty_bytes: usize,
    interim_answers: u32,
    foreign_answers: u32,
    /// Whether what has been read last was no part of the expected answer.
    was_skipped: bool,
    /// Identifiers in the answers to other requests, until they are taken.
    foreign_ids: Vec<String>,
    /// Notices in the head of the answer, until they are taken.
    notice: Option<BackEndNotice>,
}

impl ResponseReader {
    /// Creates a reader that counts the bytes of the answer in `buffers`.
    pub fn new(request_id: &str, is_head: bool, buffers: Rc<Buffers>) -> Self {
        Self {
            request_id: request_id.to_owned(),
            is_head,
            limits: buffers.limits(),
            buffers,
            held: None,
            scan: HeadScan::default(),
            current: None,
            body: Vec::new(),
            granted: 0,
            is_overdue: false,
            empty_bytes: 0,
            interim_answers: 0,
            foreign_answers: 0,
            was_skipped: false,
            foreign_ids: Vec::new(),
            notice: None,
        }
    }

    /// Reads received bytes.
    pub fn read(&mut self, input: &mut BytesMut, dialect: &dyn Dialect) -> Progress {
        self.try_read(input, dialect)
            .unwrap_or_else(Progress::Broken)
    }

    fn try_read(
        &mut self,
        input: &mut BytesMut,
        dialect: &dyn Dialect,
    ) -> Result<Progress, AnswerFault> {
        loop {
            if self.current.is_none() && !self.read_head(input, dialect)? {
                return Ok(Progress::Partial);
            }
            if !self.make_room(input.len())? {
                return Ok(Progress::NoRoom);
            }
            if !self.read_body(input)? {
                return Ok(Progress::Partial);
            }
            if let Some(progress) = self.finish() {
                return Ok(progress);
            }
        }
    }

    /// Gives back the room for what has not arrived: the answer is overdue, and what is missing may never
    /// come. From now on it gets room for what arrives.
    pub fn on_overdue(&mut self) {
        self.is_overdue = true;
        if let Some(held) = &self.held {
            held.remove(self.granted - self.body.len());
            self.granted = self.body.len();
            self.body.shrink_to_fit();
        }
    }

    /// Handles a clean close of the connection.
    pub fn on_close(&mut self) -> Progress {
        let is_complete = self
            .current
            .as_ref()
            .is_some_and(|current| current.decoder.is_complete_at_close());
        let complete = is_complete.then(|| self.finish()).flatten();
        complete.unwrap_or(Progress::Broken(AnswerFault::Closed))
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

    /// Returns whether interim answers or answers to other requests were read since the last call,
    /// so that the expected answer is still to begin.
    pub fn take_skipped(&mut self) -> bool {
        std::mem::take(&mut self.was_skipped)
    }

    /// Reads a head; returns whether it is complete.
    fn read_head(
        &mut self,
        input: &mut BytesMut,
        dialect: &dyn Dialect,
    ) -> Result<bool, AnswerFault> {
        loop {
            self.empty_bytes += skip_empty_lines(input);
            if self.empty_bytes > MAX_HEAD_BYTES {
                return Err(AnswerFault::HeadTooLong);
            }
            let is_short = input.len() <= MAX_HEAD_BYTES;
            if input.is_empty() || is_short && !self.scan.is_due(input) {
                return Ok(false);
            }
            let mut fields = AnswerFields::default();
            let limits = HeadLimits {
                max_bytes: MAX_HEAD_BYTES,
            };
            let head = decode_response(input, limits, self.is_head, |name, value| {
                fields.record(name, value, dialect)
            })?;
            let Some(head) = head else {
                return Ok(false);
            };
            self.scan = HeadScan::default();
            if !head.is_interim() {
                self.begin_answer(head, fields)?;
                return Ok(true);
            }
            self.was_skipped = true;
            self.interim_answers += 1;
            if self.interim_answers > MAX_INTERIM_ANSWERS {
                return Err(AnswerFault::TooManyInterim);
            }
        }
    }

    /// Classifies an answer by its head.
    fn begin_answer(
        &mut self,
        head: ResponseHead,
        fields: AnswerFields,
    ) -> Result<(), AnswerFault> {
        // Back ends repeat the identifier, so without it these bytes belong to no request. They
        // prove neither an answer nor that the request did not run.
        let answered_id = fields
            .request_id
            .as_ref()
            .ok_or(AnswerFault::NoIdentifier)?;
        let is_foreign = *answered_id != self.request_id;
        if is_foreign {
            self.foreign_ids.push(answered_id.clone());
            self.foreign_answers += 1;
            // Whether an answer has a body depends on the method of its request, so next to HEAD the
            // end of a foreign answer is not known.
            let is_end_unknown = self.is_head || head.connection == Connection::Close;
            if is_end_unknown || self.foreign_answers > MAX_FOREIGN_ANSWERS {
                return Err(AnswerFault::TooManyForeign);
            }
        } else {
            self.record_notice(&head, &fields);
            fields.check_genuine(head.status)?;
        }
        let max_body = match head.framing {
            Framing::None | Framing::Length(_) => self.limits.answer,
            Framing::Chunked | Framing::UntilClose => self.limits.open_ended_answer,
        };
        if matches!(head.framing, Framing::Length(length) if length > max_body as u64) {
            return Err(AnswerFault::BodyTooLong);
        }
        self.body.clear();
        self.current = Some(CurrentAnswer {
            decoder: BodyDecoder::new(head.framing),
            head,
            fields,
            is_foreign,
            max_body,
            received: 0,
        });
        Ok(())
    }

    /// Records the notices of the back end that the request was sent to. A head without the
    /// identifier of the request may be a late answer, and a misdirected one comes from another
    /// back end.
    fn record_notice(&mut self, head: &ResponseHead, fields: &AnswerFields) {
        if head.status == MISDIRECTED_STATUS {
            return;
        }
        let mut notice = fields.notice;
        // A refusal may come from a part of the back end that does not know of its limit.
        if fields.is_not_run && notice.rate_limit == RateLimitNotice::Unlimited {
            notice.rate_limit = RateLimitNotice::Unknown;
        }
        self.notice = Some(notice);
    }

    /// Asks for the room that the body needs; returns whether it is granted. A body of known length
    /// gets its room before it is read, so that answers which are read at the same time do not
    /// wait for each other.
    fn make_room(&mut self, available: usize) -> Result<bool, AnswerFault> {
        let Some(current) = self.current.as_ref().filter(|current| !current.is_foreign) else {
            return Ok(true);
        };
        let arrived = self.body.len() + available;
        let (needed, limit) = match current.head.framing {
            Framing::None => (0, 0),
            Framing::Length(length) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                let needed = if self.is_overdue { arrived } else { length };
                (needed.min(length), length)
            }
            Framing::Chunked | Framing::UntilClose => (arrived, usize::MAX),
        };
        if needed <= self.granted {
            return Ok(true);
        }
        let growth = (needed - self.granted)
            .max(self.granted)
            .max(MIN_GROWTH_BYTES)
            .min(limit - self.granted);
        let kind = match current.head.framing {
            Framing::Length(_) => HolderKind::Answer,
            _ => HolderKind::OpenEndedAnswer,
        };
        let held = self.held.get_or_insert_with(|| self.buffers.open(kind));
        match held.request(growth) {
            Room::Granted => {
                self.granted += growth;
                self.body.reserve_exact(self.granted - self.body.len());
                Ok(true)
            }
            Room::Wait => Ok(false),
            Room::Exhausted => Err(AnswerFault::NoRoom),
        }
    }

    /// Reads the body; returns whether it is complete.
    fn read_body(&mut self, input: &mut BytesMut) -> Result<bool, AnswerFault> {
        let Some(current) = &mut self.current else {
            return Ok(false);
        };
        let before = input.len();
        let progress = current.decoder.decode(input, &mut self.body)?;
        current.received += before - input.len();
        let is_too_long = self.body.len() > current.max_body
            || current.received > current.max_body * MAX_OVERHEAD_FACTOR;
        if is_too_long {
            return Err(AnswerFault::BodyTooLong);
        }
        if current.is_foreign {
            self.body.clear();
        }
        Ok(progress == BodyProgress::Complete)
    }

    /// Returns how a complete answer ends the exchange; `None` if it belongs to another request.
    fn finish(&mut self) -> Option<Progress> {
        let CurrentAnswer {
            head,
            fields,
            is_foreign,
            ..
        } = self.current.take()?;
        if is_foreign {
            self.was_skipped = true;
            return None;
        }
        let result = if fields.is_not_run {
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
            idle_timeout: fields.idle_timeout,
        })
    }
}

/// Drops empty lines before a head and returns their length.
fn skip_empty_lines(input: &mut BytesMut) -> usize {
    let is_line_end = |byte: &&u8| matches!(**byte, b'\r' | b'\n');
    let empty = input.iter().take_while(is_line_end).count();
    input.advance(empty);
    empty
}

impl AnswerFields {
    /// Fails if an answer is a success that is not genuine. A success that is marked as not run
    /// contradicts itself and proves neither.
    fn check_genuine(&self, status: u16) -> Result<(), AnswerFault> {
        let is_success = (200..300).contains(&status);
        let is_genuine = self.is_signed && !self.is_encoded && !self.is_not_run;
        if is_success && !is_genuine {
            return Err(AnswerFault::NotGenuine);
        }
        Ok(())
    }

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
