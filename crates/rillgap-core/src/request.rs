//! Requests and answers as the state machines see them, independent of any HTTP library.

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
    /// Headers that are forwarded; hop-by-hop headers are already removed.
    pub headers: Vec<Header>,
}

/// Status and headers of a back end's answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers that are returned; hop-by-hop headers are already removed.
    pub headers: Vec<Header>,
}

/// Where an inbound request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller outside the call graph.
    Caller,
    /// The node's own back end, with the token of the inbound call it is serving.
    LocalBackEnd {
        /// Token as sent; `None` if it was missing or unreadable.
        token: Option<CallToken>,
    },
}

/// A whole request as received from a caller or from the local back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InboundRequest {
    /// Where it came from.
    pub origin: Origin,
    /// Service that is addressed.
    pub service: ServiceName,
    /// Method, target and forwarded headers.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// Key of the caller, if one was sent.
    pub key: Option<IdempotencyKey>,
    /// Time the caller still waits, if it said so; it can shorten the policy's deadline only.
    pub timeout: Option<Duration>,
}

/// A refusal or failure, as told to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Refusal {
    /// Numbered reason, which also states the outcome.
    pub code: ResultCode,
    /// When the caller may come back.
    pub retry_after: RetryAfter,
}

/// Time after which a caller may come back, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RetryAfter {
    /// Milliseconds from now.
    pub millis: u32,
}

impl RetryAfter {
    /// Default for refusals that say nothing about load.
    pub const DEFAULT: Self = Self { millis: 1_000 };
}
