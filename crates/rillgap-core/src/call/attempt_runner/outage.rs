//! Detects that the local back end has ended, from the failures of its requests.
//!
//! When a process ends, all its connections break at once. The node beside it sees that first; an
//! attempt that it refuses unsent costs the request none of its extra attempts.

use std::time::Duration;

use crate::time::Instant;

/// Number of broken requests without an answer in between that count as the end of the back end. One
/// may be the fault of the request.
const MIN_BROKEN_REQUESTS: u32 = 2;
/// Time after which a back end that counts as ended is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Whether the local back end counts as ended.
#[derive(Debug, Default)]
pub(super) struct Outage {
    /// Broken requests since the last answer.
    broken: u32,
    down_until: Option<Instant>,
}

impl Outage {
    /// Records an answer, or a refusal by the back end itself.
    pub fn on_answered(&mut self) {
        *self = Self::default();
    }

    /// Records that a request broke off; `running` counts those that still run.
    pub fn on_broken(&mut self, now: Instant, running: usize) {
        self.broken = self.broken.saturating_add(1);
        if running == 0 && self.broken >= MIN_BROKEN_REQUESTS {
            self.down_until = Some(now + RETRY_INTERVAL);
        }
    }

    /// Records that the back end could not be reached; `running` counts the requests that still run.
    pub fn on_unreachable(&mut self, now: Instant, running: usize) {
        if running == 0 {
            self.down_until = Some(now + RETRY_INTERVAL);
        }
    }

    /// Returns whether new attempts must not be sent to the back end.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }
}
