//! Decodes bodies: by length, in chunks, or until the connection ends.

use bytes::{Buf, BytesMut};

use super::error::MessageError;

/// Maximum length of a line with a chunk's size or a trailer, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this number of bytes.
    Length(u64),
    /// The body is sent in chunks and ends with an empty one.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Whether the end of a body has been reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// More bytes are needed.
    Partial,
    /// The body has ended.
    Complete,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Remaining(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Complete,
}

/// Decodes one body from a stream of bytes.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Remaining(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Moves the bytes of the body from `input` to `output`.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is malformed.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        output: &mut Vec<u8>,
    ) -> Result<BodyProgress, MessageError> {
        loop {
            let advanced = match self.state {
                State::Complete => return Ok(BodyProgress::Complete),
                State::Remaining(length) => self.take(length, input, output, State::Remaining),
                State::ChunkData(length) => self.take(length, input, output, State::ChunkData),
                State::UntilClose => {
                    output.extend_from_slice(input);
                    input.clear();
                    false
                }
                State::ChunkSize => self.chunk_size(input)?,
                State::ChunkEnd => self.chunk_end(input)?,
                State::Trailers => self.trailer(input)?,
            };
            if !advanced {
                return Ok(BodyProgress::Partial);
            }
        }
    }

    /// Returns whether the body is complete if the connection is closed cleanly now.
    pub const fn is_complete_at_close(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Complete)
    }

    fn take(
        &mut self,
        length: u64,
        input: &mut BytesMut,
        output: &mut Vec<u8>,
        next: fn(u64) -> State,
    ) -> bool {
        let available = usize::try_from(length)
            .unwrap_or(usize::MAX)
            .min(input.len());
        output.extend_from_slice(&input[..available]);
        input.advance(available);
        let left = length - available as u64;
        self.state = next(left);
        if left > 0 {
            return false;
        }
        self.state = match self.state {
            State::ChunkData(_) => State::ChunkEnd,
            _ => State::Complete,
        };
        true
    }

    fn chunk_size(&mut self, input: &mut BytesMut) -> Result<bool, MessageError> {
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((length, size))) => {
                input.advance(length);
                self.state = match size {
                    0 => State::Trailers,
                    size => State::ChunkData(size),
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_LINE_BYTES => Ok(false),
            _ => Err(MessageError::MalformedChunk),
        }
    }

    fn chunk_end(&mut self, input: &mut BytesMut) -> Result<bool, MessageError> {
        if input.len() < 2 {
            return Ok(false);
        }
        if &input[..2] != b"\r\n" {
            return Err(MessageError::MalformedChunk);
        }
        input.advance(2);
        self.state = State::ChunkSize;
        Ok(true)
    }

    /// Skips one line of the trailers; an empty line ends the body.
    fn trailer(&mut self, input: &mut BytesMut) -> Result<bool, MessageError> {
        let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
            if input.len() > MAX_LINE_BYTES {
                return Err(MessageError::MalformedChunk);
            }
            return Ok(false);
        };
        input.advance(end + 2);
        if end == 0 {
            self.state = State::Complete;
        }
        Ok(true)
    }
}
