//! Selection of the requests to retry while the budget covers only some of the failures.
//!
//! A chain of calls succeeds only if all of its calls do. Where back ends refuse many requests and
//! the budget covers few retries, spending it in the order of failures saves hardly any chain: each
//! one gets only some of the retries that it needs. Retries therefore go to the same chains at all
//! nodes: those whose roots have the highest admission levels, down to the level that the budget
//! covers. Levels depend only on the priority and the root's identifier, so all nodes prefer the
//! same chains without coordination.

use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use crate::message::TIER_COUNT;

/// Number of bins of the histogram per tier.
const BINS_PER_TIER: usize = 16;
/// Total number of bins of the histogram.
const BINS: usize = TIER_COUNT * BINS_PER_TIER;
/// Number of admission levels per bin.
const LEVELS_PER_BIN: u32 = Level::PER_TIER / BINS_PER_TIER as u32;
/// Time constant of the exponential average of the demand.
const DECAY_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Shortest time over which the demand is averaged after it has begun.
const MIN_AVERAGING_TIME: Duration = Duration::from_millis(50);
/// Demand that is treated as none, in retries per second.
const NEGLIGIBLE_RATE: f64 = 0.05;
/// Interval at which the lowest level to retry is recomputed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Demand for retries, as a histogram over the levels of the chains' roots.
#[derive(Clone, Debug)]
pub struct RetryDemand {
    /// Retries that were requested per second in each bin, averaged.
    requested: [f64; BINS],
    min_level: Level,
    next_update: Instant,
    updated_at: Instant,
    /// Time of the first request for a retry after a time without any.
    begun_at: Instant,
}

impl Default for RetryDemand {
    fn default() -> Self {
        Self {
            requested: [0.0; BINS],
            min_level: Level(0),
            next_update: Instant::default(),
            updated_at: Instant::default(),
            begun_at: Instant::default(),
        }
    }
}

impl RetryDemand {
    /// Counts a request for a retry in a chain whose root has this level.
    pub fn count(&mut self, now: Instant, level: Level) {
        if self.requested.iter().sum::<f64>() < NEGLIGIBLE_RATE {
            self.begun_at = now;
        }
        let bin = (level.0 / LEVELS_PER_BIN) as usize;
        self.requested[bin.min(BINS - 1)] += 1.0 / DECAY_TIME_CONSTANT.as_secs_f64();
    }

    /// Returns the lowest level of which retries are covered by a budget of `rate` retries per
    /// second.
    pub fn min_level(&mut self, now: Instant, rate: f64) -> Level {
        if now >= self.next_update {
            self.next_update = now + UPDATE_INTERVAL;
            self.decay(now);
            self.min_level = self.min_level_within(rate);
        }
        self.min_level
    }

    /// Returns the part of the present demand that the average contains: it lags behind a demand
    /// that has just begun. Multiplied by it, a rate covers no more retries at first than later.
    pub fn averaged_part(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_since(self.begun_at).max(MIN_AVERAGING_TIME);
        1.0 - (-elapsed.as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let decay_factor = (-elapsed / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        for requested in &mut self.requested {
            *requested *= decay_factor;
        }
    }

    fn min_level_within(&self, rate: f64) -> Level {
        let mut above = 0.0;
        for (bin, requested) in self.requested.iter().enumerate().rev() {
            // The highest bin with demand is covered while any budget is left, even if its demand
            // alone exceeds the rate.
            let is_highest = above < NEGLIGIBLE_RATE;
            if above + requested > rate && !is_highest {
                return Level((bin as u32 + 1) * LEVELS_PER_BIN);
            }
            above += requested;
        }
        Level(0)
    }
}
