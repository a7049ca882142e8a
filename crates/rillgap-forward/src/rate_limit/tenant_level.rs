//! Admission level of a tenant that is short of tokens, determined by the owner of its bucket.
//!
//! The owner knows the demand of all entry nodes by admission level. While the tenant is short of
//! tokens, it computes the level from which on the demand fits the limit. The content of the bucket
//! corrects errors of the estimate: the level falls while the bucket fills and rises while it
//! empties, so that the limit is used in full and few requests wait for a token.

use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use super::demand::{Bin, LevelDemand};
use crate::configuration::RateLimit;

/// Time constant of the averages of the demand; entry nodes report theirs several times within it.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Interval at which the level is recomputed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a surplus in the bucket is to be spent; longer than it takes until all entry
/// nodes have a new level.
const SURPLUS_TIME: Duration = Duration::from_millis(500);
/// Content of the bucket that is aimed at, as the time in which it is refilled.
const RESERVE_TIME: Duration = Duration::from_millis(50);
/// Minimum of the demand that is admitted, as a fraction of the limit.
const MIN_TARGET_FRACTION: f64 = 0.8;
/// Relative deviation of the admitted demand from the target below which the level is kept.
const TOLERANCE: f64 = 0.03;
/// Time without a shortage after which it has ended.
const END_DELAY: Duration = Duration::from_millis(500);

/// Admission level of one tenant at the owner of its bucket.
#[derive(Clone, Debug)]
pub struct TenantLevel {
    demand: LevelDemand,
    level: Level,
    next_update: Instant,
    /// Since when tokens are short; `None` if they are not.
    short_since: Option<Instant>,
    /// When tokens were last found to be short.
    last_short_at: Instant,
}

impl TenantLevel {
    /// Creates the state of an owner that knows of no demand yet.
    pub const fn new(now: Instant) -> Self {
        Self {
            demand: LevelDemand::new(now, DEMAND_TIME_CONSTANT),
            level: Level(0),
            next_update: now,
            short_since: None,
            last_short_at: now,
        }
    }

    /// Records requests that an entry node has seen: pairs of the number of a bin of admission
    /// levels and a number of requests.
    pub fn record_seen(&mut self, now: Instant, seen: &[(u8, u32)]) {
        for (bin, count) in seen {
            self.demand.add(now, Bin::from_number(*bin), *count);
        }
    }

    /// Records that the bucket did not hold all requested tokens.
    pub fn record_shortage(&mut self, now: Instant) {
        self.short_since.get_or_insert(now);
        self.last_short_at = now;
    }

    /// Recomputes the level if that is due. `tokens` is the content of the bucket.
    pub fn update(&mut self, now: Instant, limit: RateLimit, tokens: f64) {
        if now < self.next_update {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        self.demand.decay(now);
        if self.short_since.is_some() {
            self.move_level(target_rate(limit, tokens));
        }
        if self.level > Level(0) {
            self.last_short_at = now;
        } else if now.saturating_since(self.last_short_at) >= END_DELAY {
            self.short_since = None;
        }
    }

    /// Drops what remains of demand that has ended.
    pub fn drop_ended_demand(&mut self, now: Instant) {
        self.demand.decay(now);
    }

    /// Returns the level below which requests have no chance of a token; zero if all have.
    pub const fn level(&self) -> Level {
        self.level
    }

    /// Returns whether tokens are short.
    pub const fn is_short(&self) -> bool {
        self.short_since.is_some()
    }

    /// Returns for how long tokens have been short.
    pub fn shortage(&self, now: Instant) -> Duration {
        self.short_since
            .map_or(Duration::ZERO, |since| now.saturating_since(since))
    }

    /// Returns the demand of all entry nodes, in requests per second.
    pub fn demand(&self) -> f64 {
        self.demand.rate()
    }

    fn move_level(&mut self, target: f64) {
        let admitted = self.demand.rate_from(self.level);
        if (admitted - target).abs() > target * TOLERANCE {
            self.level = self.demand.level_within(target);
        }
    }
}

/// Returns the demand to admit, in requests per second, so that the bucket approaches its reserve.
fn target_rate(limit: RateLimit, tokens: f64) -> f64 {
    let reserve = limit.per_second * RESERVE_TIME.as_secs_f64();
    let reserve = reserve.max(1.0).min(limit.burst / 2.0);
    let correction = (tokens - reserve) / SURPLUS_TIME.as_secs_f64();
    (limit.per_second + correction).max(limit.per_second * MIN_TARGET_FRACTION)
}
