//! Bound on the frames that wait for one link.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Most frames that may wait for one link.
pub const MAX_QUEUED_FRAMES: usize = 4_096;

/// Most bytes that may wait for one link.
pub const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Counts the frames that wait for one link.
///
/// The mailbox of an actor has no bound of its own; the budget gives it one.
#[derive(Debug, Default)]
pub struct SendBudget {
    frames: AtomicUsize,
    bytes: AtomicUsize,
}

impl SendBudget {
    /// Takes room for a frame; returns whether there was room.
    pub fn try_reserve(&self, length: usize) -> bool {
        let frames = self.frames.fetch_add(1, Ordering::AcqRel) + 1;
        let bytes = self.bytes.fetch_add(length, Ordering::AcqRel) + length;
        let fits = frames <= MAX_QUEUED_FRAMES && bytes <= MAX_QUEUED_BYTES;
        if !fits {
            self.release(length);
        }
        fits
    }

    /// Gives back the room of a frame.
    pub fn release(&self, length: usize) {
        self.frames.fetch_sub(1, Ordering::AcqRel);
        self.bytes.fetch_sub(length, Ordering::AcqRel);
    }

    /// Returns whether no frame waits.
    pub fn is_empty(&self) -> bool {
        self.frames.load(Ordering::Acquire) == 0
    }
}
