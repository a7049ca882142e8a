//! Time types of the state machines, which receive the time as an argument and never read a clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A reading of one host's monotonic clock, in microseconds since an arbitrary origin.
///
/// Readings of different hosts are not comparable, so peers exchange durations only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Creates a reading from microseconds since the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch, as in a UUID version 7.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a wall time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `duration` after this one.
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration) / 1_000))
    }

    /// Returns the time `duration` before this one, but not before the epoch.
    pub fn minus(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration) / 1_000))
    }
}

/// Both clocks of one host at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock: for deadlines, timers and measured latencies.
    pub instant: Instant,
    /// Wall clock: used only for the age of idempotency keys and for records that people read.
    pub wall: WallTime,
}

/// Returns a duration in whole microseconds, saturating at `u64::MAX`.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
