//! Reads the clocks of the host for the node's state machine.

use std::time::{SystemTime, UNIX_EPOCH};

use rillgap_clock::SteadyClock;
use rillgap_core::time::{Instant, Now, WallTime};

/// Reads the monotonic clock and the wall clock of the host.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    steady: SteadyClock,
}

impl Clock {
    /// Creates a clock whose monotonic readings start at zero.
    pub fn start() -> Self {
        Self {
            steady: SteadyClock::start(),
        }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        Now {
            instant: self.steady.now(),
            wall: wall_time(),
        }
    }

    /// Converts a reading of the monotonic clock to the runtime's time, for timers.
    pub fn deadline(&self, instant: Instant) -> tokio::time::Instant {
        self.steady.deadline(instant)
    }
}

/// Reads the wall clock; a time before the Unix epoch is reported as the epoch.
#[expect(
    clippy::disallowed_methods,
    reason = "only the daemon reads the host's clocks"
)]
fn wall_time() -> WallTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
