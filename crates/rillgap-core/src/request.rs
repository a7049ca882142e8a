//! Requests and answers in the form that the state machines use, independent of any HTTP library.

use std::time::Duration;

use bitcode::{Decode, Encode};
use bytes::Bytes;

use crate::code::ResultCode;
use crate::id::{CallToken, IdempotencyKey, ServiceName};

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Header {
    /// Field name in lower case.
    pub name: String,
    /// Field value as sent.
    pub value: Vec<u8>,
}

/// Method, target and headers of a request, as forwarded to a back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RequestHead {
    /// Upper-case method, such as `POST`.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Forwarded headers; hop-by-hop headers are already removed.
    pub headers: Vec<Header>,
}

/// Status and headers of a back end's answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Returned headers; hop-by-hop headers are already removed.
    pub headers: Vec<Header>,
}

/// Sender of an inbound request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller outside the call graph.
    Caller,
    /// The local back end, with the token of the request that it is serving.
    LocalBackEnd {
        /// Token as sent; `None` if it was missing or unreadable.
        token: Option<CallToken>,
    },
}

/// A complete request, received from a caller or from the local back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InboundRequest {
    /// Sender of the request.
    pub origin: Origin,
    /// Service to which the request is addressed.
    pub service: ServiceName,
    /// Method, target and forwarded headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Timeout stated by the caller; it can only shorten the deadline of the policy. `None` if
    /// none was stated.
    pub timeout: Option<Duration>,
}

/// A refusal or failure, as reported to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Refusal {
    /// Result code, which also determines the outcome.
    pub code: ResultCode,
    /// Time after which the caller may retry.
    pub retry_after: RetryAfter,
}

/// Time after which a caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RetryAfter {
    /// Milliseconds from now.
    pub millis: u32,
}

impl RetryAfter {
    /// Default for refusals that do not depend on load.
    pub const DEFAULT: Self = Self { millis: 1_000 };
}
