//! The steady clock of a daemon: the one place where it is read.
//!
//! The runtime's own clock does not count the time for which a machine is suspended. Every age that
//! is reckoned by it is too young afterwards: a proof of freshness, a key that was taken away, the
//! silence of a peer, the time that is left for a request. This clock counts that time. The
//! runtime's timers do not, and fire late after it; so what is due is looked for at each event,
//! before anything else is decided.

use std::time::Duration;

use rillgap_core::time::{Instant, micros};
use rustix::time::{ClockId, clock_gettime};

/// Reads a clock that never goes back and counts the time that the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    origin: Duration,
}

impl SteadyClock {
    /// Creates a clock whose readings count from now.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> Instant {
        Instant::from_micros(micros(self.elapsed()))
    }

    /// Returns the time since the clock was created.
    pub fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.origin)
    }

    /// Returns the runtime's time at which a timer is to be set for a reading of this clock.
    pub fn deadline(&self, instant: Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + instant.saturating_since(self.now())
    }
}

/// Returns the time since the machine was started, that for which it was suspended included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
