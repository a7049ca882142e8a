//! Limit on the frames that are queued for one link.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of frames that are queued for one link.
pub const MAX_QUEUED_FRAMES: usize = 4_096;

/// Maximum total size of the frames that are queued for one link, in bytes.
pub const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Counts the frames that are queued for one link, and their bytes.
///
/// The mailbox of a `ractor` actor is unbounded, so the sender checks this budget first.
#[derive(Debug, Default)]
pub struct SendBudget {
    frames: AtomicUsize,
    bytes: AtomicUsize,
}

impl SendBudget {
    /// Reserves space for a frame of `length` bytes; returns `false` if a limit is exceeded.
    pub fn try_reserve(&self, length: usize) -> bool {
        let frames = self.frames.fetch_add(1, Ordering::AcqRel) + 1;
        let bytes = self.bytes.fetch_add(length, Ordering::AcqRel) + length;
        let fits = frames <= MAX_QUEUED_FRAMES && bytes <= MAX_QUEUED_BYTES;
        if !fits {
            self.release(length);
        }
        fits
    }

    /// Releases the space of a frame of `length` bytes.
    pub fn release(&self, length: usize) {
        self.frames.fetch_sub(1, Ordering::AcqRel);
        self.bytes.fetch_sub(length, Ordering::AcqRel);
    }

    /// Returns whether no frame is queued.
    pub fn is_empty(&self) -> bool {
        self.frames.load(Ordering::Acquire) == 0
    }
}
