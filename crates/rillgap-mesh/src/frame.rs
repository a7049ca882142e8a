//! Encodes and decodes the frames of mesh links.
//!
//! A frame consists of a big-endian length (4 bytes), the kind of the message (1 byte) and the
//! message encoded by `bitcode`. The length covers the kind and the message.
//!
//! The kind is not part of the `bitcode` encoding, because `bitcode` processes the fields of all
//! variants of an enum, including unused ones. Encoding [`PeerMessage`] as a whole would make
//! messages of the data path pay for the fields of all other subsystems.

use bytes::{Bytes, BytesMut};
use rillgap_core::message::PeerMessage;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::error::LinkError;

/// Maximum length of a frame in bytes, without the length field.
pub const MAX_FRAME_LENGTH: usize = 1024 * 1024;

/// Size of the length field.
const LENGTH_FIELD_BYTES: usize = 4;

/// Size of the field with the kind of the message.
const KIND_FIELD_BYTES: usize = 1;

const KIND_CALL: u8 = 0;
const KIND_CLAIM: u8 = 1;
const KIND_MEMBERSHIP: u8 = 2;
const KIND_CONFIGURATION: u8 = 3;

/// Reusable `bitcode` buffers, one for each kind of message.
#[derive(Default)]
struct Buffers {
    call: bitcode::Buffer,
    claim: bitcode::Buffer,
    membership: bitcode::Buffer,
    configuration: bitcode::Buffer,
}

/// Encodes messages into frames; reuses its buffers from one message to the next.
#[derive(Default)]
pub struct FrameEncoder {
    buffers: Buffers,
}

impl FrameEncoder {
    /// Encodes a message into a frame, including the length field.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::FrameTooLong`] if the frame exceeds [`MAX_FRAME_LENGTH`].
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

/// Decodes the frames of a byte stream into messages.
pub struct FrameDecoder {
    length_codec: LengthDelimitedCodec,
    buffers: Buffers,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_FIELD_BYTES)
            .max_frame_length(MAX_FRAME_LENGTH)
            .new_codec();
        Self {
            length_codec,
            buffers: Buffers::default(),
        }
    }
}

impl Decoder for FrameDecoder {
    type Item = PeerMessage;
    type Error = LinkError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, LinkError> {
        let frame = match self.length_codec.decode(source) {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(None),
            // `LengthDelimitedCodec` fails only if the length exceeds the maximum.
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
