//! Frames: a big-endian length of four bytes, then one message encoded by `bitcode`.

use bytes::{Bytes, BytesMut};
use rillgap_core::message::PeerMessage;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::error::LinkError;

/// Longest frame in bytes, without its length.
pub const MAX_FRAME_LENGTH: usize = 1024 * 1024;

/// Length of the length field in bytes.
const LENGTH_FIELD: usize = 4;

/// Encodes messages into frames and reuses its working memory.
#[derive(Default)]
pub struct FrameEncoder {
    buffer: bitcode::Buffer,
}

impl FrameEncoder {
    /// Encodes a message into a frame with its length.
    ///
    /// # Errors
    ///
    /// Fails if the message is too long for a frame.
    pub fn encode(&mut self, message: &PeerMessage) -> Result<Bytes, LinkError> {
        let payload = self.buffer.encode(message);
        if payload.len() > MAX_FRAME_LENGTH {
            return Err(LinkError::FrameTooLong {
                limit: MAX_FRAME_LENGTH,
            });
        }
        let length = u32::try_from(payload.len()).map_err(|_| LinkError::FrameMalformed)?;
        let mut frame = BytesMut::with_capacity(LENGTH_FIELD + payload.len());
        frame.extend_from_slice(&length.to_be_bytes());
        frame.extend_from_slice(payload);
        Ok(frame.freeze())
    }
}

/// Decodes frames out of a stream of bytes.
pub struct FrameDecoder {
    lengths: LengthDelimitedCodec,
    buffer: bitcode::Buffer,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_FIELD)
            .max_frame_length(MAX_FRAME_LENGTH)
            .new_codec();
        Self {
            lengths,
            buffer: bitcode::Buffer::new(),
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
        self.buffer
            .decode(&frame)
            .map(Some)
            .map_err(|_| LinkError::FrameMalformed)
    }
}
