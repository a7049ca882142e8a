//! Defines the answer that is stored for retries with the same idempotency key.

use bitcode::{Decode, Encode};

use crate::request::AnswerHead;

/// A complete answer, returned again to retries with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RememberedAnswer {
    /// Status and headers.
    pub head: AnswerHead,
    /// Complete body.
    pub body: Vec<u8>,
}

impl RememberedAnswer {
    /// Returns the size of headers and body in bytes, without the status.
    pub fn bytes(&self) -> usize {
        let headers: usize = self
            .head
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        headers + self.body.len()
    }
}
