//! Flow control of one answer: limits the bytes that are read from the back end.

use tokio::sync::Semaphore;

/// Number of bytes that may still be forwarded. One task takes credit, others add it.
#[derive(Debug)]
pub struct Credit {
    bytes: Semaphore,
}

impl Default for Credit {
    fn default() -> Self {
        Self {
            bytes: Semaphore::new(0),
        }
    }
}

impl Credit {
    /// Adds bytes to the credit, up to the maximum of the semaphore.
    pub fn add(&self, bytes: u32) {
        let room = Semaphore::MAX_PERMITS - self.bytes.available_permits();
        self.bytes.add_permits(room.min(bytes as usize));
    }

    /// Waits for credit, takes between 1 and `wanted` bytes of it and returns their number.
    pub async fn take(&self, wanted: usize) -> usize {
        match self.bytes.acquire().await {
            Ok(permit) => permit.forget(),
            Err(_) => unreachable!("the semaphore is never closed"),
        }
        1 + self.bytes.forget_permits(wanted.saturating_sub(1))
    }
}
