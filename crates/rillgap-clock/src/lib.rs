//! The steady clock of a daemon, which counts the time for which the machine is suspended. It is
//! read only here.
//!
//! The runtime's own clock does not count the time for which a machine is suspended. Every age that
//! is measured by it is too small after a suspension: that of a proof of freshness, of a revocation
//! of a key, of the last message of a peer, of a request with a deadline. This clock counts that
//! time. The runtime's timers do not, and fire late after a suspension. A daemon therefore checks
//! at each event what is due, before it decides anything else.

use std::time::Duration;

use rillgap_core::time::{Instant, micros};
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that also counts the time for which the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    origin: Duration,
}

impl SteadyClock {
    /// Creates a clock whose readings start at 0 now.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Returns the current reading.
    pub fn now(&self) -> Instant {
        Instant::from_micros(micros(self.elapsed()))
    }

    /// Returns the time since the clock was created.
    pub fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.origin)
    }

    /// Converts a reading of this clock to the runtime's time, for timers.
    pub fn deadline(&self, instant: Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + instant.saturating_since(self.now())
    }
}

/// Returns the time since the start of the machine, including the time for which it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
