//! Why bytes are not an HTTP/1.1 message.

/// Why bytes are not an HTTP/1.1 message.
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
    /// The body's length is contradictory or unsupported.
    #[error("contradictory or unsupported body length")]
    MalformedLength,
    /// A chunk is malformed.
    #[error("malformed chunk")]
    MalformedChunk,
}
