//! Errors of decoding HTTP/1.1 messages.

/// Why bytes cannot be decoded as an HTTP/1.1 message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head is longer than the limit.
    #[error("head longer than the limit")]
    HeadTooLong,
    /// The head has more fields than the limit.
    #[error("too many header fields")]
    TooManyFields,
    /// The head is not HTTP/1.1.
    #[error("malformed head")]
    MalformedHead,
    /// The header fields for the body's length are contradictory or unsupported.
    #[error("contradictory or unsupported body length")]
    MalformedLength,
    /// A chunk is malformed.
    #[error("malformed chunk")]
    MalformedChunk,
}
