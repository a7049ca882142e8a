//! Frames: a big-endian length of four bytes, the kind of the message in one byte, then the
//! message encoded by `bitcode`.
//!
//! The kind stands outside the encoding because the codec visits the fields of every variant of
//! an enumeration, used or not: a message of the data path would pay for all other subsystems.

use bytes::{Bytes, BytesMut};
use rillgap_core::message::PeerMessage;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::error::LinkError;

/// Longest frame in bytes, without its length.
pub const MAX_FRAME_LENGTH: usize = 1024 * 1024;

/// Length of the length field in bytes.
const LENGTH_FIELD_BYTES: usize = 4;

/// Length of the kind in bytes.
const KIND_FIELD_BYTES: usize = 1;

const KIND_CALL: u8 = 0;
const KIND_CLAIM: u8 = 1;
const KIND_MEMBERSHIP: u8 = 2;
const KIND_CONFIGURATION: u8 = 3;

/// Working memory of the codec, one for each kind of message.
#[derive(Default)]
struct Buffers {
    call: bitcode::Buffer,
    claim: bitcode::Buffer,
    membership: bitcode::Buffer,
    configuration: bitcode::Buffer,
}

/// Encodes messages into frames and reuses its working memory.
#[derive(Default)]
pub struct FrameEncoder {
    buffers: Buffers,
}

impl FrameEncoder {
    /// Encodes a message into a frame with its length.
    ///
    /// # Errors
    ///
    /// Fails if the message is too long for a frame.
    pub fn encode(&mut self, message: &PeerMessage) -> Result<Bytes, LinkError> {
        let buffers = &mut self.buffers;
        let (kind, payload) = match message {
            PeerMessage::Call(message) => (KIND_CALL, buffers.call.encode(message)),
            PeerMessage::Claim(message) => (KIND_CLAIM, buffers.claim.encode(message)),
            PeerMessage::Membership(message) => {
                (KIND_MEMBERSHIP, buffers.membership.encode(message))
            }
            PeerMessage::Configuration(message) => {
                (KIND_CONFIGURATION, buffers.configuration.encode(message))
            }
        };
        let length = KIND_FIELD_BYTES + payload.len();
        if length > MAX_FRAME_LENGTH {
            return Err(LinkError::FrameTooLong {
                limit: MAX_FRAME_LENGTH,
            });
        }
        let length_field = u32::try_from(length).map_err(|_| LinkError::FrameMalformed)?;
        let mut frame = BytesMut::with_capacity(LENGTH_FIELD_BYTES + length);
        frame.extend_from_slice(&length_field.to_be_bytes());
        frame.extend_from_slice(&[kind]);
        frame.extend_from_slice(payload);
        Ok(frame.freeze())
    }
}

/// Decodes frames out of a stream of bytes.
pub struct FrameDecoder {
    lengths: LengthDelimitedCodec,
    buffers: Buffers,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_FIELD_BYTES)
            .max_frame_length(MAX_FRAME_LENGTH)
            .new_codec();
        Self {
            lengths,
            buffers: Buffers::default(),
        }
    }
}

impl Decoder for FrameDecoder {
    type Item = PeerMessage;
    type Error = LinkError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, LinkError> {
        let frame = match self.lengths.decode(source) {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(None),
            // The codec's only error of its own is a length over the limit.
            Err(_) => {
                return Err(LinkError::FrameTooLong {
                    limit: MAX_FRAME_LENGTH,
                });
            }
        };
        self.decode_frame(&frame).map(Some)
    }
}

impl FrameDecoder {
    fn decode_frame(&mut self, frame: &[u8]) -> Result<PeerMessage, LinkError> {
        let (kind, payload) = frame.split_first().ok_or(LinkError::FrameMalformed)?;
        let buffers = &mut self.buffers;
        let message = match *kind {
            KIND_CALL => buffers.call.decode(payload).map(PeerMessage::Call),
            KIND_CLAIM => buffers.claim.decode(payload).map(PeerMessage::Claim),
            KIND_MEMBERSHIP => buffers
                .membership
                .decode(payload)
                .map(PeerMessage::Membership),
            KIND_CONFIGURATION => buffers
                .configuration
                .decode(payload)
                .map(PeerMessage::Configuration),
            _ => return Err(LinkError::FrameMalformed),
        };
        message.map_err(|_| LinkError::FrameMalformed)
    }
}
