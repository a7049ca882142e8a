//! Encodes and decodes the frames on links: a big-endian length of four bytes, the kind of the
//! message in one byte, then the message encoded by `bitcode`.
//!
//! The kind is a byte of its own rather than an enum encoded by `bitcode`, because `bitcode` visits
//! the fields of every variant of an enum, used or not.

use std::sync::Arc;

use bytes::{Buf, BufMut, BytesMut};
use rillgap_forward::configuration::Configuration;
use rillgap_forward::crash::ContentEvidence;
use rillgap_forward::freshness::QueryNumber;
use rillgap_forward::id::Sequence;
use rillgap_forward::message::{
    ForwardResponse, ForwardResult, ForwardedAnswer, ForwardedRequest, FreshnessAnswer, Hello,
    LinkMessage, Status, TokenAnswer, TokenQuery,
};
use rillgap_forward::rate_limit::lease::{Vote, VoteRequest};
use rillgap_forward::store_epoch::StoreEpoch;
use rillgap_forward::watch_relay::ContactReport;

/// Maximum length of a frame in bytes, without the length field: that of the longest body that nodes
/// hold, with the rest of a message.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Length of a frame from which its buffer is reserved at once, in bytes.
const LONG_FRAME_BYTES: usize = 64 * 1024;
/// Length of the length field in bytes.
const LENGTH_BYTES: usize = 4;
/// Length of an encoded number in bytes.
const NUMBER_BYTES: usize = 8;

const HELLO: u8 = 0;
const REQUEST: u8 = 1;
const CANCEL: u8 = 2;
const RESPONSE: u8 = 3;
const STATUS: u8 = 4;
const PING: u8 = 5;
const PONG: u8 = 6;
const CONFIGURATION_OFFER: u8 = 7;
const CONFIGURATION_QUERY: u8 = 8;
const CONFIGURATION: u8 = 9;
const FRESHNESS_QUERY: u8 = 10;
const FRESHNESS_ANSWER: u8 = 11;
const TOKEN_QUERY: u8 = 12;
const TOKEN_ANSWER: u8 = 13;
const CRASH_EVIDENCE: u8 = 14;
const STORE_EPOCH: u8 = 15;
const FOLLOW: u8 = 16;
const UNFOLLOW: u8 = 17;
const STORE_CONTACT: u8 = 18;
const NO_STORE_CONTACT: u8 = 19;
const BODY_OFFER: u8 = 20;
const BODY_GRANT: u8 = 21;
const VOTE_REQUEST: u8 = 24;
const VOTE: u8 = 25;
const ANSWER_OVERDUE: u8 = 26;

/// Why a frame cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than the limit.
    #[error("frame too long")]
    TooLong,
    /// The frame is malformed.
    #[error("frame malformed")]
    Malformed,
}

/// What a frame contains.
#[expect(
    clippy::large_enum_variant,
    reason = "nearly all frames are messages, which are not kept"
)]
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A message for the node.
    Message(LinkMessage),
    /// The sender has a message with a long body, and sends it once there is room for it.
    BodyOffer {
        /// Number of the offer on this link, in this direction.
        number: u64,
        /// Length of the body.
        bytes: u64,
    },
    /// There is room for the body that the receiver has offered.
    BodyGrant {
        /// Number of the offer.
        number: u64,
    },
}

/// Buffers of the codec, one for each kind of message that `bitcode` encodes.
#[derive(Default)]
struct Buffers {
    hello: bitcode::Buffer,
    request: bitcode::Buffer,
    response: bitcode::Buffer,
    status: bitcode::Buffer,
    configuration: bitcode::Buffer,
    token_query: bitcode::Buffer,
    token_answer: bitcode::Buffer,
    vote_request: bitcode::Buffer,
    vote: bitcode::Buffer,
    crash_evidence: bitcode::Buffer,
}

/// Encodes messages; reuses its buffers.
#[derive(Default)]
pub struct FrameEncoder {
    buffers: Buffers,
}

impl FrameEncoder {
    /// Appends a message as a frame.
    ///
    /// # Errors
    ///
    /// Fails if the message is too long for a frame.
    pub fn encode(&mut self, message: &LinkMessage, out: &mut BytesMut) -> Result<(), FrameError> {
        let buffers = &mut self.buffers;
        match message {
            LinkMessage::Hello(hello) => put_frame(out, HELLO, &[], buffers.hello.encode(hello)),
            LinkMessage::Request { sequence, request } => {
                let number = sequence.0.to_be_bytes();
                put_frame(out, REQUEST, &number, buffers.request.encode(&**request))
            }
            LinkMessage::Cancel(sequence) => put_frame(out, CANCEL, &sequence.0.to_be_bytes(), &[]),
            LinkMessage::AnswerOverdue(sequence) => {
                put_frame(out, ANSWER_OVERDUE, &sequence.0.to_be_bytes(), &[])
            }
            LinkMessage::Response(response) => {
                let payload = buffers.response.encode(&without_body(response));
                put_response(out, payload, body_of(response))
            }
            LinkMessage::Status(status) => {
                put_frame(out, STATUS, &[], buffers.status.encode(status))
            }
            LinkMessage::Ping => put_frame(out, PING, &[], &[]),
            LinkMessage::Pong => put_frame(out, PONG, &[], &[]),
            LinkMessage::ConfigurationOffer(version) => {
                put_frame(out, CONFIGURATION_OFFER, &version.to_be_bytes(), &[])
            }
            LinkMessage::ConfigurationQuery(version) => {
                put_frame(out, CONFIGURATION_QUERY, &version.to_be_bytes(), &[])
            }
            LinkMessage::Configuration(configuration) => {
                let payload = buffers.configuration.encode(&**configuration);
                put_frame(out, CONFIGURATION, &[], payload)
            }
            LinkMessage::Follow(true) => put_frame(out, FOLLOW, &[], &[]),
            LinkMessage::Follow(false) => put_frame(out, UNFOLLOW, &[], &[]),
            LinkMessage::StoreContact(report) => {
                let sent_at = report.sent_at_micros.to_be_bytes();
                match report.age_micros {
                    Some(age) => put_frame(out, STORE_CONTACT, &sent_at, &age.to_be_bytes()),
                    None => put_frame(out, NO_STORE_CONTACT, &sent_at, &[]),
                }
            }
            LinkMessage::StoreEpoch(epoch) => {
                put_frame(out, STORE_EPOCH, &epoch.0.to_be_bytes(), &[])
            }
            LinkMessage::FreshnessQuery(number) => {
                put_frame(out, FRESHNESS_QUERY, &number.0.to_be_bytes(), &[])
            }
            LinkMessage::FreshnessAnswer(answer) => {
                let numbers = [
                    answer.epoch.0,
                    answer.number.0,
                    answer.version,
                    answer.age_micros,
                ];
                let bytes = numbers.map(u64::to_be_bytes);
                put_frame(out, FRESHNESS_ANSWER, bytes.as_flattened(), &[])
            }
            LinkMessage::TokenQuery(query) => {
                put_frame(out, TOKEN_QUERY, &[], buffers.token_query.encode(query))
            }
            LinkMessage::TokenAnswer(answer) => {
                put_frame(out, TOKEN_ANSWER, &[], buffers.token_answer.encode(answer))
            }
            LinkMessage::VoteRequest(request) => {
                put_frame(out, VOTE_REQUEST, &[], buffers.vote_request.encode(request))
            }
            LinkMessage::Vote(vote) => put_frame(out, VOTE, &[], buffers.vote.encode(vote)),
            LinkMessage::CrashEvidence(evidence) => {
                let payload = buffers.crash_evidence.encode(evidence);
                put_frame(out, CRASH_EVIDENCE, &[], payload)
            }
        }
    }
}

/// Appends the offer of a message with a long body.
///
/// # Errors
///
/// Never fails: the frame is short.
pub fn encode_offer(number: u64, bytes: u64, out: &mut BytesMut) -> Result<(), FrameError> {
    let numbers = [number, bytes].map(u64::to_be_bytes);
    put_frame(out, BODY_OFFER, numbers.as_flattened(), &[])
}

/// Appends the grant of an offer.
///
/// # Errors
///
/// Never fails: the frame is short.
pub fn encode_grant(number: u64, out: &mut BytesMut) -> Result<(), FrameError> {
    put_frame(out, BODY_GRANT, &number.to_be_bytes(), &[])
}

/// Returns a response without the body of its answer, which is sent as it is: the encoder would
/// need as much memory again, and time to look for values that it can pack.
fn without_body(response: &ForwardResponse) -> ForwardResponse {
    let result = match &response.result {
        ForwardResult::Answered(answer) => ForwardResult::Answered(ForwardedAnswer {
            status: answer.status,
            fields: answer.fields.clone(),
            body: Vec::new(),
        }),
        result => result.clone(),
    };
    ForwardResponse {
        sequence: response.sequence,
        load: response.load,
        downstream_levels: response.downstream_levels.clone(),
        has_failed_call: response.has_failed_call,
        timing: response.timing,
        result,
    }
}

fn body_of(response: &ForwardResponse) -> &[u8] {
    match &response.result {
        ForwardResult::Answered(answer) => &answer.body,
        _ => &[],
    }
}

/// Appends a response: the length of its encoded part, this part and the body.
fn put_response(out: &mut BytesMut, payload: &[u8], body: &[u8]) -> Result<(), FrameError> {
    let length = 1 + LENGTH_BYTES + payload.len() + body.len();
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    out.reserve(LENGTH_BYTES + length);
    out.put_u32(u32::try_from(length).map_err(|_| FrameError::TooLong)?);
    out.put_u8(RESPONSE);
    out.put_u32(u32::try_from(payload.len()).map_err(|_| FrameError::TooLong)?);
    out.put_slice(payload);
    out.put_slice(body);
    Ok(())
}

fn put_frame(
    out: &mut BytesMut,
    kind: u8,
    prefix: &[u8],
    payload: &[u8],
) -> Result<(), FrameError> {
    let length = 1 + prefix.len() + payload.len();
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    out.reserve(LENGTH_BYTES + length);
    out.put_u32(u32::try_from(length).map_err(|_| FrameError::TooLong)?);
    out.put_u8(kind);
    out.put_slice(prefix);
    out.put_slice(payload);
    Ok(())
}

/// Decodes frames from a stream of bytes; reuses its buffers.
#[derive(Default)]
pub struct FrameDecoder {
    buffers: Buffers,
}

impl FrameDecoder {
    /// Removes the next frame from `input` and decodes it; `None` if it has not arrived completely.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a frame.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if input.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let mut field = &input[..LENGTH_BYTES];
        let length = field.get_u32() as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        let missing = (LENGTH_BYTES + length).saturating_sub(input.len());
        if missing > 0 {
            reserve_for_long_frame(input, missing);
            return Ok(None);
        }
        input.advance(LENGTH_BYTES);
        let frame = input.split_to(length);
        self.decode_frame(&frame).map(Some)
    }

    fn decode_frame(&mut self, frame: &[u8]) -> Result<Frame, FrameError> {
        let (kind, payload) = frame.split_first().ok_or(FrameError::Malformed)?;
        match *kind {
            BODY_OFFER => {
                let (number, rest) = split_number(payload)?;
                let (bytes, _) = split_number(rest)?;
                Ok(Frame::BodyOffer { number, bytes })
            }
            BODY_GRANT => split_number(payload).map(|(number, _)| Frame::BodyGrant { number }),
            kind => self.decode_message(kind, payload).map(Frame::Message),
        }
    }

    fn decode_message(&mut self, kind: u8, payload: &[u8]) -> Result<LinkMessage, FrameError> {
        let buffers = &mut self.buffers;
        match kind {
            HELLO => decode::<Hello>(&mut buffers.hello, payload).map(LinkMessage::Hello),
            REQUEST => {
                let (number, payload) = split_number(payload)?;
                let request = decode::<ForwardedRequest>(&mut buffers.request, payload)?;
                Ok(LinkMessage::Request {
                    sequence: Sequence(number),
                    request: Arc::new(request),
                })
            }
            CANCEL => {
                split_number(payload).map(|(number, _)| LinkMessage::Cancel(Sequence(number)))
            }
            ANSWER_OVERDUE => split_number(payload)
                .map(|(number, _)| LinkMessage::AnswerOverdue(Sequence(number))),
            RESPONSE => decode_response(&mut buffers.response, payload).map(LinkMessage::Response),
            STATUS => decode::<Status>(&mut buffers.status, payload).map(LinkMessage::Status),
            PING => Ok(LinkMessage::Ping),
            PONG => Ok(LinkMessage::Pong),
            CONFIGURATION_OFFER => {
                split_number(payload).map(|(number, _)| LinkMessage::ConfigurationOffer(number))
            }
            CONFIGURATION_QUERY => {
                split_number(payload).map(|(number, _)| LinkMessage::ConfigurationQuery(number))
            }
            CONFIGURATION => decode::<Configuration>(&mut buffers.configuration, payload)
                .map(|configuration| LinkMessage::Configuration(Arc::new(configuration))),
            FOLLOW => Ok(LinkMessage::Follow(true)),
            UNFOLLOW => Ok(LinkMessage::Follow(false)),
            STORE_CONTACT => {
                let (sent_at_micros, rest) = split_number(payload)?;
                let (age, _) = split_number(rest)?;
                Ok(LinkMessage::StoreContact(ContactReport {
                    sent_at_micros,
                    age_micros: Some(age),
                }))
            }
            NO_STORE_CONTACT => split_number(payload).map(|(sent_at_micros, _)| {
                LinkMessage::StoreContact(ContactReport {
                    sent_at_micros,
                    age_micros: None,
                })
            }),
            STORE_EPOCH => {
                split_number(payload).map(|(epoch, _)| LinkMessage::StoreEpoch(StoreEpoch(epoch)))
            }
            FRESHNESS_QUERY => split_number(payload)
                .map(|(number, _)| LinkMessage::FreshnessQuery(QueryNumber(number))),
            FRESHNESS_ANSWER => freshness_answer(payload).map(LinkMessage::FreshnessAnswer),
            TOKEN_QUERY => {
                decode::<TokenQuery>(&mut buffers.token_query, payload).map(LinkMessage::TokenQuery)
            }
            TOKEN_ANSWER => decode::<TokenAnswer>(&mut buffers.token_answer, payload)
                .map(LinkMessage::TokenAnswer),
            VOTE_REQUEST => decode::<VoteRequest>(&mut buffers.vote_request, payload)
                .map(LinkMessage::VoteRequest),
            VOTE => decode::<Vote>(&mut buffers.vote, payload).map(LinkMessage::Vote),
            CRASH_EVIDENCE => decode::<Vec<ContentEvidence>>(&mut buffers.crash_evidence, payload)
                .map(LinkMessage::CrashEvidence),
            _ => Err(FrameError::Malformed),
        }
    }
}

/// Reserves what is missing of a long frame at once: a buffer that grows with each read would take
/// up to twice the length of the frame.
fn reserve_for_long_frame(input: &mut BytesMut, missing: usize) {
    if missing > LONG_FRAME_BYTES {
        input.reserve(missing);
    }
}

fn decode<'a, T: bitcode::Decode<'a>>(
    buffer: &'a mut bitcode::Buffer,
    payload: &'a [u8],
) -> Result<T, FrameError> {
    buffer.decode(payload).map_err(|_| FrameError::Malformed)
}

fn decode_response(
    buffer: &mut bitcode::Buffer,
    payload: &[u8],
) -> Result<ForwardResponse, FrameError> {
    let (mut length, rest) = payload
        .split_first_chunk::<LENGTH_BYTES>()
        .map(|(length, rest)| (&length[..], rest))
        .ok_or(FrameError::Malformed)?;
    let (encoded, body) = rest
        .split_at_checked(length.get_u32() as usize)
        .ok_or(FrameError::Malformed)?;
    let mut response = decode::<ForwardResponse>(buffer, encoded)?;
    match &mut response.result {
        ForwardResult::Answered(answer) => answer.body = body.to_vec(),
        _ if body.is_empty() => {}
        _ => return Err(FrameError::Malformed),
    }
    Ok(response)
}

fn freshness_answer(payload: &[u8]) -> Result<FreshnessAnswer, FrameError> {
    let (epoch, rest) = split_number(payload)?;
    let (number, rest) = split_number(rest)?;
    let (version, rest) = split_number(rest)?;
    let (age_micros, _) = split_number(rest)?;
    Ok(FreshnessAnswer {
        epoch: StoreEpoch(epoch),
        number: QueryNumber(number),
        version,
        age_micros,
    })
}

fn split_number(payload: &[u8]) -> Result<(u64, &[u8]), FrameError> {
    let (number, rest) = payload
        .split_first_chunk::<NUMBER_BYTES>()
        .ok_or(FrameError::Malformed)?;
    Ok((u64::from_be_bytes(*number), rest))
}
