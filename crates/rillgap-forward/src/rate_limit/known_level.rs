//! Admission level of a tenant as an entry node knows it from the owner of the tenant's bucket.

use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use crate::message::TIER_COUNT;

/// Age from which on a level no longer applies: an owner that is lost must not keep requests out.
const LIFETIME: Duration = Duration::from_millis(500);

/// Level and shortage that the owner has stated last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownLevel {
    level: Level,
    shortage: Duration,
    /// When the query was sent that the owner has answered; `None` before the first answer.
    as_of: Option<Instant>,
}

impl KnownLevel {
    /// Records the owner's answer to a query that was sent at `queried_at`. An answer to an earlier
    /// query than the last one is ignored, as is a level that no request could reach.
    pub fn record(&mut self, queried_at: Instant, level: Level, shortage: Duration) {
        if self.as_of.is_some_and(|as_of| queried_at < as_of) {
            return;
        }
        let is_valid = level < Level::tier_floor(TIER_COUNT as u8);
        self.level = if is_valid { level } else { Level(0) };
        self.shortage = shortage;
        self.as_of = Some(queried_at);
    }

    /// Returns the level in force; zero if there is none.
    pub fn in_force(&self, now: Instant) -> Level {
        if self.age(now).is_some() {
            self.level
        } else {
            Level(0)
        }
    }

    /// Returns for how long the tenant has been short of tokens; zero if that is not known.
    pub fn shortage(&self, now: Instant) -> Duration {
        match self.age(now) {
            Some(age) if self.shortage > Duration::ZERO => self.shortage + age,
            _ => Duration::ZERO,
        }
    }

    /// Returns the age of the answer; `None` if it no longer applies.
    fn age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_since(self.as_of?);
        (age <= LIFETIME).then_some(age)
    }
}
