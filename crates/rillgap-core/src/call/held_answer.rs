//! Holds the beginning of an answer to a back end's call, so that the call can be retried if the
//! answer breaks off.
//!
//! A back end whose call gets a broken answer fails, and its own caller repeats everything that it
//! had done so far. A retry of the call alone repeats one execution.

use std::time::Duration;

use bytes::Bytes;

use crate::action::Action;
use crate::event::InboundId;
use crate::request::AnswerHead;
use crate::time::Instant;

/// Maximum length of the part of a body that is held; longer answers are forwarded as they arrive.
const MAX_HELD_BYTES: usize = 4 * 1_024;
/// Maximum time for which an answer is held, so that slow streams are forwarded as they arrive.
pub const MAX_HOLD_TIME: Duration = Duration::from_millis(50);

/// Head of an answer and the part of its body received so far; nothing of it was forwarded.
#[derive(Debug)]
pub struct HeldAnswer {
    head: AnswerHead,
    body: Vec<Bytes>,
    bytes: usize,
    /// Time at which the answer is forwarded, whole or not.
    pub until: Instant,
}

impl HeldAnswer {
    /// Begins to hold an answer.
    pub fn new(now: Instant, head: AnswerHead) -> Self {
        Self {
            head,
            body: Vec::new(),
            bytes: 0,
            until: now + MAX_HOLD_TIME,
        }
    }

    /// Appends a part of the body; returns whether the answer has become too long to be held.
    pub fn push(&mut self, chunk: Bytes) -> bool {
        self.bytes += chunk.len();
        self.body.push(chunk);
        self.bytes > MAX_HELD_BYTES
    }

    /// Returns the actions that forward what is held.
    pub fn into_actions(self, inbound: InboundId) -> impl Iterator<Item = Action> {
        let head = Action::AnswerHead {
            inbound,
            head: self.head,
        };
        let body = self.body.into_iter();
        let body = body.map(move |chunk| Action::AnswerBody { inbound, chunk });
        std::iter::once(head).chain(body)
    }
}
