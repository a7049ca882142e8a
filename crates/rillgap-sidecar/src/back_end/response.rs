//! Reads the answer to one request and judges whether it is whole, genuine and its own.

use std::time::Duration;

use bytes::BytesMut;
use rillgap_forward::event::ExchangeResult;
use rillgap_forward::message::ForwardedAnswer;
use rillgap_http::h1::{
    BodyDecoder, BodyProgress, Connection, HeadLimits, ResponseHead, decode_response,
};

use crate::dialect::HeaderNames;

/// Longest head of an answer.
const HEAD_LIMIT: usize = 64 * 1024;
/// Longest body of an answer.
const BODY_LIMIT: usize = 64 * 1024 * 1024;
/// Status of an answer of another back end than the expected one.
const MISDIRECTED: u16 = 421;
/// Answers to other requests that are passed over.
const MOST_FOREIGN: u32 = 4;

/// What the bytes so far amount to.
pub(super) enum Step {
    /// More bytes are needed.
    Partial,
    /// The answer is whole.
    Complete {
        result: ExchangeResult,
        /// Whether the connection may carry another request.
        keep_alive: bool,
        /// How long the back end keeps the connection.
        keep: Option<Duration>,
    },
    /// The bytes are no answer, or the connection ended within it.
    Broken,
}

/// Fields that decide what an answer is worth.
#[derive(Clone, Debug, Default)]
struct Marks {
    request_id: Option<String>,
    is_signed: bool,
    not_executed: bool,
    is_encoded: bool,
    keep: Option<Duration>,
}

/// Reads the answer to one request.
pub(super) struct ResponseReader {
    request_id: String,
    is_head: bool,
    current: Option<(ResponseHead, Marks, BodyDecoder)>,
    body: Vec<u8>,
    foreign: u32,
}

impl ResponseReader {
    pub fn new(request_id: &str, is_head: bool) -> Self {
        Self {
            request_id: request_id.to_owned(),
            is_head,
            current: None,
            body: Vec::new(),
            foreign: 0,
        }
    }

    /// Takes in bytes.
    pub fn read(&mut self, input: &mut BytesMut, names: &HeaderNames) -> Step {
        loop {
            if self.current.is_none() && !self.read_head(input, names).unwrap_or(false) {
                return match self.peek_head(input) {
                    true => Step::Partial,
                    false => Step::Broken,
                };
            }
            let Some((_, _, decoder)) = &mut self.current else {
                return Step::Broken;
            };
            match decoder.decode(input, &mut self.body) {
                Err(_) => return Step::Broken,
                Ok(_) if self.body.len() > BODY_LIMIT => return Step::Broken,
                Ok(BodyProgress::Partial) => return Step::Partial,
                Ok(BodyProgress::Complete) => {}
            }
            match self.conclude() {
                Some(step) => return step,
                // An answer to another request: the own one may follow.
                None => continue,
            }
        }
    }

    /// Takes in that the connection was closed cleanly.
    pub fn at_end(&mut self) -> Step {
        let is_complete = self
            .current
            .as_ref()
            .is_some_and(|(_, _, decoder)| decoder.is_complete_at_close());
        if !is_complete {
            return Step::Broken;
        }
        self.conclude().unwrap_or(Step::Broken)
    }

    /// Reads a head; returns whether one is there. Errors are told apart by [`Self::peek_head`].
    fn read_head(&mut self, input: &mut BytesMut, names: &HeaderNames) -> Option<bool> {
        loop {
            let mut marks = Marks::default();
            let limits = HeadLimits { bytes: HEAD_LIMIT };
            let head = decode_response(input, limits, self.is_head, |name, value| {
                marks.note(name, value, names)
            });
            let head = head.ok()??;
            if head.is_interim() {
                continue;
            }
            let decoder = BodyDecoder::new(head.framing);
            self.current = Some((head, marks, decoder));
            self.body.clear();
            return Some(true);
        }
    }

    /// Returns whether the bytes can still become a head.
    fn peek_head(&self, input: &BytesMut) -> bool {
        let mut copy = input.clone();
        let limits = HeadLimits { bytes: HEAD_LIMIT };
        matches!(
            decode_response(&mut copy, limits, self.is_head, |_, _| true),
            Ok(None)
        )
    }

    /// Judges a whole answer; `None` if it belongs to another request.
    fn conclude(&mut self) -> Option<Step> {
        let (head, marks, _) = self.current.take()?;
        let is_foreign = marks
            .request_id
            .as_ref()
            .is_some_and(|id| *id != self.request_id);
        if is_foreign {
            self.foreign += 1;
            if self.foreign > MOST_FOREIGN || head.connection == Connection::Close {
                return Some(Step::Broken);
            }
            return None;
        }
        let is_success = (200..300).contains(&head.status);
        let is_genuine = marks.is_signed && marks.request_id.is_some() && !marks.is_encoded;
        let result = if marks.not_executed {
            ExchangeResult::NotExecuted
        } else if head.status == MISDIRECTED {
            ExchangeResult::WrongInstance
        } else if is_success && !is_genuine {
            ExchangeResult::Lost
        } else {
            ExchangeResult::Answered(ForwardedAnswer {
                status: head.status,
                fields: head.fields.into_bytes(),
                body: std::mem::take(&mut self.body),
            })
        };
        let is_sound = result != ExchangeResult::Lost && self.foreign == 0;
        Some(Step::Complete {
            result,
            keep_alive: head.connection == Connection::KeepAlive && is_sound,
            keep: marks.keep,
        })
    }
}

impl Marks {
    /// Notes a field; returns whether it is passed on.
    fn note(&mut self, name: &str, value: &[u8], names: &HeaderNames) -> bool {
        if name.eq_ignore_ascii_case(names.request_id) {
            self.request_id = Some(String::from_utf8_lossy(value).trim().to_owned());
        } else if name.eq_ignore_ascii_case(names.signature) {
            self.is_signed = !value.is_empty();
        } else if name.eq_ignore_ascii_case(names.not_executed) {
            self.not_executed = true;
        } else if name.eq_ignore_ascii_case("content-encoding") {
            self.is_encoded = !value.eq_ignore_ascii_case(b"identity");
        } else if name.eq_ignore_ascii_case("keep-alive") {
            self.keep = parse_keep_alive(value);
        }
        true
    }
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
