//! Limits and header fields that the heads of requests and responses have in common.

use httparse::Header;

use super::body::Framing;
use super::error::MessageError;
use crate::headers::is_hop_by_hop;

/// Maximum number of header fields in a head.
pub(super) const MAX_FIELDS: usize = 100;

/// Limits of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum length of a head in bytes, start line included.
    pub max_bytes: usize,
}

impl HeadLimits {
    /// Returns the length of a parsed head; `None` if it is incomplete after `available` bytes.
    pub(super) fn length_of_head(
        self,
        parsed: httparse::Result<usize>,
        available: usize,
    ) -> Result<Option<usize>, MessageError> {
        let (length, is_whole) = match parsed {
            Ok(httparse::Status::Complete(length)) => (length, true),
            Ok(httparse::Status::Partial) => (available, false),
            Err(httparse::Error::TooManyHeaders) => return Err(MessageError::TooManyFields),
            Err(_) => return Err(MessageError::MalformedHead),
        };
        if length > self.max_bytes {
            return Err(MessageError::HeadTooLong);
        }
        Ok(is_whole.then_some(length))
    }
}

/// Whether a connection stays open after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// Further messages may follow.
    KeepAlive,
    /// The connection is closed after this message.
    Close,
}

/// End-to-end header fields as they are sent: `Name: value\r\n` for each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldBlock(Vec<u8>);

impl FieldBlock {
    /// Appends a field.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.0.extend_from_slice(name.as_bytes());
        self.0.extend_from_slice(b": ");
        self.0.extend_from_slice(value);
        self.0.extend_from_slice(b"\r\n");
    }

    /// Returns the encoded fields.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// Returns the encoded fields.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Header fields that determine persistence of the connection and framing of the body.
#[derive(Clone, Debug, Default)]
pub(super) struct ControlFields {
    pub content_length: Option<u64>,
    pub chunked: bool,
    pub close: bool,
    pub keep_alive: bool,
    named_by_connection: Vec<String>,
}

impl ControlFields {
    /// Reads these fields from the header fields of a message.
    pub fn read(headers: &[Header<'_>]) -> Result<Self, MessageError> {
        let mut fields = Self::default();
        for header in headers {
            if header.name.eq_ignore_ascii_case("content-length") {
                fields.add_content_length(header.value)?;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                fields.add_transfer_encoding(header.value)?;
            } else if header.name.eq_ignore_ascii_case("connection") {
                fields.add_connection(header.value);
            }
        }
        Ok(fields)
    }

    fn add_content_length(&mut self, value: &[u8]) -> Result<(), MessageError> {
        let text = std::str::from_utf8(value).map_err(|_| MessageError::MalformedLength)?;
        let text = text.trim();
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(MessageError::MalformedLength);
        }
        let length = text.parse().map_err(|_| MessageError::MalformedLength)?;
        if self.content_length.is_some_and(|known| known != length) {
            return Err(MessageError::MalformedLength);
        }
        self.content_length = Some(length);
        Ok(())
    }

    fn add_transfer_encoding(&mut self, value: &[u8]) -> Result<(), MessageError> {
        if self.chunked || !value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            return Err(MessageError::MalformedLength);
        }
        self.chunked = true;
        Ok(())
    }

    fn add_connection(&mut self, value: &[u8]) {
        for option in String::from_utf8_lossy(value).split(',') {
            let option = option.trim().to_ascii_lowercase();
            match option.as_str() {
                "close" => self.close = true,
                "keep-alive" => self.keep_alive = true,
                _ => self.named_by_connection.push(option),
            }
        }
    }

    /// Returns whether the connection stays open after the message, for HTTP/1.`minor`.
    pub fn connection(&self, minor: u8) -> Connection {
        let persistent = minor == 1 || self.keep_alive;
        if persistent && !self.close {
            Connection::KeepAlive
        } else {
            Connection::Close
        }
    }

    /// Returns whether a field may be passed on to the next hop.
    pub fn is_end_to_end(&self, name: &str) -> bool {
        if name.eq_ignore_ascii_case("content-length") {
            return false;
        }
        let lower = name.to_ascii_lowercase();
        !is_hop_by_hop(&lower) && !self.named_by_connection.contains(&lower)
    }

    /// Returns the framing that the fields announce; `None` if they announce none.
    ///
    /// A message with both `Content-Length` and `Transfer-Encoding` is refused, because the next
    /// hop might interpret it differently (RFC 9112, section 6.1).
    pub fn announced_framing(&self) -> Result<Option<Framing>, MessageError> {
        match (self.chunked, self.content_length) {
            (true, Some(_)) => Err(MessageError::MalformedLength),
            (true, None) => Ok(Some(Framing::Chunked)),
            (false, Some(length)) => Ok(Some(Framing::Length(length))),
            (false, None) => Ok(None),
        }
    }
}
