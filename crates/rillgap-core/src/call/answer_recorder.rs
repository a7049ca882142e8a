//! Records a keyed attempt's answer, so that repeats of its key can be given the same.

use crate::claim::RememberedAnswer;
use crate::request::AnswerHead;

/// Longest body that is recorded, in bytes.
pub const MAX_REMEMBERED_BODY_BYTES: usize = 2 * 1024;

/// Collects an answer while it passes through, up to [`MAX_REMEMBERED_BODY_BYTES`].
#[derive(Debug)]
pub struct AnswerRecorder {
    answer: Option<RememberedAnswer>,
    recording: bool,
}

impl AnswerRecorder {
    /// Creates a recorder; without `recording` it keeps nothing.
    pub const fn new(recording: bool) -> Self {
        Self {
            answer: None,
            recording,
        }
    }

    /// Records the head.
    pub fn record_head(&mut self, head: &AnswerHead) {
        if self.recording {
            self.answer = Some(RememberedAnswer {
                head: head.clone(),
                body: Vec::new(),
            });
        }
    }

    /// Records a part of the body, or gives up if the answer becomes too long.
    pub fn record_body(&mut self, chunk: &[u8]) {
        let Some(answer) = &mut self.answer else {
            return;
        };
        if answer.body.len() + chunk.len() > MAX_REMEMBERED_BODY_BYTES {
            self.answer = None;
            return;
        }
        answer.body.extend_from_slice(chunk);
    }

    /// Returns the whole answer, or `None` if it was too long.
    pub fn into_answer(self) -> Option<RememberedAnswer> {
        self.answer
    }
}
