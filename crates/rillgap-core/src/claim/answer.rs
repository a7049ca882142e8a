//! Answers that are kept for repeats of their key.

use bitcode::{Decode, Encode};

use crate::request::AnswerHead;

/// A whole answer that repeats of its key are given.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RememberedAnswer {
    /// Status and headers.
    pub head: AnswerHead,
    /// Whole body.
    pub body: Vec<u8>,
}

impl RememberedAnswer {
    /// Returns the bytes of headers and body.
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
