//! Reads requests out of the bytes of a connection.

use std::time::Duration;

use bytes::BytesMut;
use rillgap_core::code::ResultCode;
use rillgap_forward::configuration::CallerLimits;
use rillgap_forward::credential::{Credential, KeyDigest};
use rillgap_forward::event::CallerRequest;
use rillgap_http::h1::{
    BodyDecoder, BodyProgress, Connection, Framing, HeadLimits, HeadScan, MessageError,
    RequestHead, decode_request,
};

use crate::dialect::{Dialect, HeaderNames};

/// Number of bytes around a short body, for chunks and trailers, that are always accepted.
const MIN_OVERHEAD_BYTES: u64 = 64 * 1024;

/// A request that has arrived completely.
#[derive(Debug)]
pub(super) struct ReadRequest {
    pub request: CallerRequest,
    pub connection: Connection,
    pub is_head: bool,
}

/// Result of reading the bytes received so far.
#[derive(Debug)]
pub(super) enum Progress {
    /// A request has arrived completely.
    Request(Box<ReadRequest>),
    /// More bytes are needed.
    Partial,
    /// More bytes are needed, and the sender waits for `100 Continue`.
    SendContinue,
    /// The bytes are refused with this code.
    Refused(ResultCode),
}

/// A request whose head has arrived, but not its whole body.
#[derive(Debug)]
struct PartialRequest {
    head: RequestHead,
    request_id: String,
    deadline: Option<Duration>,
    credential: Credential,
    decoder: BodyDecoder,
    body: Vec<u8>,
    /// Number of bytes received after the head.
    received: u64,
}

/// Reads requests out of the bytes of a connection.
#[derive(Debug, Default)]
pub(super) struct RequestReader {
    partial: Option<PartialRequest>,
    scan: HeadScan,
}

impl RequestReader {
    /// Returns whether part of a request has arrived.
    pub fn is_within_request(&self, input: &BytesMut) -> bool {
        self.partial.is_some() || !input.is_empty()
    }

    /// Returns whether a head has arrived and its body has not ended.
    pub const fn is_within_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the length of the body received so far.
    pub fn body_bytes(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.body.len())
    }

    /// Returns the time for which the caller waits for the answer to the request whose body is being
    /// read; `None` if it has not stated one.
    pub fn deadline(&self) -> Option<Duration> {
        self.partial.as_ref().and_then(|partial| partial.deadline)
    }

    /// Reads the next request from `input`. Fields that hold credentials are not passed on if
    /// `withholds_credentials`.
    pub fn read(
        &mut self,
        input: &mut BytesMut,
        dialect: &dyn Dialect,
        limits: &CallerLimits,
        withholds_credentials: bool,
    ) -> Progress {
        let mut wants_continue = false;
        if self.partial.is_none() {
            let is_short = input.len() <= limits.head_bytes as usize;
            if is_short && !self.scan.is_due(input) {
                return Progress::Partial;
            }
            match read_head(input, dialect, limits, withholds_credentials) {
                Ok(Some(partial)) => {
                    self.scan = HeadScan::default();
                    wants_continue = partial.head.expects_continue;
                    self.partial = Some(partial);
                }
                Ok(None) => return Progress::Partial,
                Err(code) => return Progress::Refused(code),
            }
        }
        let Some(partial) = &mut self.partial else {
            return Progress::Partial;
        };
        let before = input.len();
        let decoded = partial.decoder.decode(input, &mut partial.body);
        partial.received += (before - input.len()) as u64;
        match decoded {
            Err(_) => return Progress::Refused(ResultCode::MalformedRequest),
            Ok(_) if partial.is_too_long(limits.body_bytes) => {
                return Progress::Refused(ResultCode::BodyTooLong);
            }
            Ok(BodyProgress::Partial) if wants_continue => return Progress::SendContinue,
            Ok(BodyProgress::Partial) => return Progress::Partial,
            Ok(BodyProgress::Complete) => {}
        }
        match self.partial.take() {
            Some(partial) => Progress::Request(Box::new(partial.finish(dialect))),
            None => Progress::Partial,
        }
    }
}

impl PartialRequest {
    /// Returns whether the body, or what comes with it in chunks and trailers, is too long.
    fn is_too_long(&self, max_body: u64) -> bool {
        let max_received = max_body
            .saturating_mul(2)
            .saturating_add(MIN_OVERHEAD_BYTES);
        self.body.len() as u64 > max_body || self.received > max_received
    }

    fn finish(self, dialect: &dyn Dialect) -> ReadRequest {
        let parent_id = dialect.parent_id(&self.request_id).map(str::to_owned);
        ReadRequest {
            connection: self.head.connection,
            is_head: self.head.method == "HEAD",
            request: CallerRequest {
                request_id: self.request_id,
                method: self.head.method,
                target: self.head.target,
                host: self.head.host,
                fields: self.head.fields.into_bytes(),
                body: self.body,
                credential: self.credential,
                deadline: self.deadline,
                parent_id,
            },
        }
    }
}

fn read_head(
    input: &mut BytesMut,
    dialect: &dyn Dialect,
    limits: &CallerLimits,
    withholds_credentials: bool,
) -> Result<Option<PartialRequest>, ResultCode> {
    let names = dialect.headers();
    let mut credential = Credential::Absent;
    let mut request_id = String::new();
    let mut deadline = None;
    let head_limits = HeadLimits {
        max_bytes: limits.head_bytes as usize,
    };
    let head = decode_request(input, head_limits, |name, value| {
        if name.eq_ignore_ascii_case(names.request_id) {
            request_id = String::from_utf8_lossy(value).trim().to_owned();
            return true;
        }
        if name.eq_ignore_ascii_case(names.deadline_millis) {
            deadline = parse_millis(value);
            return false;
        }
        if name.eq_ignore_ascii_case(names.credential) {
            credential = read_credential(credential, value, dialect);
            return !withholds_credentials;
        }
        !is_reserved_field(name, names)
    });
    let head = match head {
        Ok(Some(head)) => head,
        Ok(None) => return Ok(None),
        Err(MessageError::HeadTooLong | MessageError::TooManyFields) => {
            return Err(ResultCode::HeadersTooLong);
        }
        Err(_) => return Err(ResultCode::MalformedRequest),
    };
    if matches!(head.framing, Framing::Length(length) if length > limits.body_bytes) {
        return Err(ResultCode::BodyTooLong);
    }
    Ok(Some(PartialRequest {
        decoder: BodyDecoder::new(head.framing),
        head,
        request_id,
        deadline,
        credential,
        body: Vec::new(),
        received: 0,
    }))
}

/// Returns the credential of a request after a further credential field was read. With two fields
/// it is undefined which one counts, so they are treated as malformed.
fn read_credential(before: Credential, value: &[u8], dialect: &dyn Dialect) -> Credential {
    match (before, dialect.key(value)) {
        (Credential::Absent, Some(key)) => Credential::Key(KeyDigest::of(key)),
        _ => Credential::Malformed,
    }
}

/// Returns whether only nodes and back ends may set a field; it is dropped from callers' requests.
fn is_reserved_field(name: &str, names: &HeaderNames) -> bool {
    [
        names.caller_service,
        names.expected_instance,
        names.not_executed,
        names.signature,
        names.instance,
        names.tenant,
    ]
    .iter()
    .any(|reserved| name.eq_ignore_ascii_case(reserved))
}

fn parse_millis(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let millis: f64 = text.parse().ok()?;
    (0.0..=86_400_000.0)
        .contains(&millis)
        .then(|| Duration::from_micros((millis * 1_000.0) as u64))
}
