//! Records the answer of a keyed attempt, so that retries with the same key get the same answer.

use crate::claim::RememberedAnswer;
use crate::request::AnswerHead;

/// Maximum size of a recorded body, in bytes.
pub const MAX_REMEMBERED_BODY_BYTES: usize = 2 * 1024;

/// Records an answer while it is forwarded, up to [`MAX_REMEMBERED_BODY_BYTES`].
#[derive(Debug)]
pub struct AnswerRecorder {
    answer: Option<RememberedAnswer>,
    recording: bool,
}

impl AnswerRecorder {
    /// Creates a recorder, which records nothing if `recording` is false.
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

    /// Records a part of the body; discards the recorded answer if the body becomes too long.
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

    /// Returns the recorded answer, or `None` if it was too long or not to be recorded.
    pub fn into_answer(self) -> Option<RememberedAnswer> {
        self.answer
    }
}
