//! Flow control of one answer: bytes that may be read from the back end.

use tokio::sync::Semaphore;

/// Bytes that may still be read. One task takes, others add.
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
    /// Adds bytes.
    pub fn add(&self, bytes: u32) {
        let room = Semaphore::MAX_PERMITS - self.bytes.available_permits();
        self.bytes.add_permits(room.min(bytes as usize));
    }

    /// Waits until there is credit and takes up to `wanted` bytes of it; at least one.
    pub async fn take(&self, wanted: usize) -> usize {
        match self.bytes.acquire().await {
            Ok(permit) => permit.forget(),
            Err(_) => unreachable!("the semaphore is never closed"),
        }
        1 + self.bytes.forget_permits(wanted.saturating_sub(1))
    }
}
