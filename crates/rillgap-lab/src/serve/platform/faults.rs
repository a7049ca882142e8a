//! Faults that the platform is told to show.

use std::time::Duration;

use serde::Deserialize;

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Closes every connection without an answer.
    pub down: bool,
    /// Time by which every answer is late.
    pub delay: Duration,
    /// Number of writes to come whose answers are lost although they take effect.
    pub lost_write_answers: u32,
}

/// A change of faults; what it leaves out stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultChange {
    /// Whether every connection is closed without an answer.
    pub down: Option<bool>,
    /// Milliseconds by which every answer is late.
    pub delay_millis: Option<u64>,
    /// Number of writes to come whose answers are lost although they take effect.
    pub lost_write_answers: Option<u32>,
}

impl Faults {
    /// Brings a change into force.
    pub(super) fn apply(&mut self, change: &FaultChange) {
        if let Some(down) = change.down {
            self.down = down;
        }
        if let Some(millis) = change.delay_millis {
            self.delay = Duration::from_millis(millis);
        }
        if let Some(count) = change.lost_write_answers {
            self.lost_write_answers = count;
        }
    }

    /// Returns whether the answer of the next write is lost, and counts it.
    pub(super) fn take_lost_write_answer(&mut self) -> bool {
        let lost = self.lost_write_answers > 0;
        self.lost_write_answers = self.lost_write_answers.saturating_sub(1);
        lost
    }
}
