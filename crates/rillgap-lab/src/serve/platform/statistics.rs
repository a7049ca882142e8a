//! What the platform counts, to show how few readers it needs to bear.

use serde::Serialize;

/// Requests counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Statistics {
    /// Reads, blocking queries included.
    pub reads: u64,
    /// Puts, refused ones included.
    pub writes: u64,
    /// Blocking queries that wait now.
    pub waiting: u64,
    /// Most blocking queries that ever waited at once.
    pub most_waiting: u64,
}

impl Statistics {
    /// Counts a blocking query that begins to wait.
    pub(super) fn begin_wait(&mut self) {
        self.waiting += 1;
        self.most_waiting = self.most_waiting.max(self.waiting);
    }

    /// Counts a blocking query that waits no longer.
    pub(super) fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }
}
