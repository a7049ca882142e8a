//! The clocks of the host, as the node's state machine takes them.

use std::time::{SystemTime, UNIX_EPOCH};

use rillgap_core::time::{Instant, Now, WallTime, micros};

/// Reads the host's clocks.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// Creates a clock whose monotonic readings count from now.
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        Now {
            instant: Instant::from_micros(micros(self.origin.elapsed())),
            wall: wall_time(),
        }
    }

    /// Returns the runtime's time for a reading of the monotonic clock.
    pub fn deadline(&self, instant: Instant) -> tokio::time::Instant {
        self.origin + std::time::Duration::from_micros(instant.as_micros())
    }
}

/// Reads the wall clock; a clock before the epoch reads as the epoch.
#[expect(
    clippy::disallowed_methods,
    reason = "the daemon is the one place where clocks are read"
)]
fn wall_time() -> WallTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
