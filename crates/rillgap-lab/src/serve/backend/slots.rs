//! Slots in which requests run, with a bounded queue before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// How full the slots and their queue are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Occupancy {
    /// Requests that hold a slot.
    pub running: usize,
    /// Requests that wait for one.
    pub queued: usize,
}

/// The slots of one back end.
pub(super) struct Slots {
    slots: Arc<Semaphore>,
    slot_count: usize,
    queue_limit: usize,
    queued: AtomicUsize,
}

/// The queue was full.
#[derive(Debug)]
pub(super) struct QueueFull;

/// A place in the queue, given up on drop.
struct QueuePlace<'a>(&'a AtomicUsize);

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// Creates free slots.
    pub(super) fn new(slot_count: usize, queue_limit: usize) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slot_count)),
            slot_count,
            queue_limit,
            queued: AtomicUsize::new(0),
        }
    }

    /// Waits for a slot, in the order of arrival; the slot is free again when the permit drops.
    pub(super) async fn acquire(&self) -> Result<OwnedSemaphorePermit, QueueFull> {
        if let Ok(permit) = Arc::clone(&self.slots).try_acquire_owned() {
            return Ok(permit);
        }
        let _place = self.take_queue_place()?;
        Arc::clone(&self.slots)
            .acquire_owned()
            .await
            .map_err(|_closed| QueueFull)
    }

    /// Returns how full the slots and the queue are.
    pub(super) fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: self.slot_count - self.slots.available_permits(),
            queued: self.queued.load(Ordering::Relaxed),
        }
    }

    fn take_queue_place(&self) -> Result<QueuePlace<'_>, QueueFull> {
        let previous = self.queued.fetch_add(1, Ordering::Relaxed);
        let place = QueuePlace(&self.queued);
        if previous < self.queue_limit {
            Ok(place)
        } else {
            Err(QueueFull)
        }
    }
}
