//! Demand of a tenant by admission level, as decaying rates.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use crate::message::{POSITIONS_PER_RANK, TIER_COUNT};

/// Number of bins of admission levels per tier.
const BINS_PER_TIER: u32 = POSITIONS_PER_RANK as u32;
/// Number of admission levels per bin.
const LEVELS_PER_BIN: u32 = Level::PER_TIER / BINS_PER_TIER;
/// Total number of bins.
const BINS: u32 = TIER_COUNT as u32 * BINS_PER_TIER;
/// Rate below which a bin is dropped, in requests per second.
const NEGLIGIBLE_RATE: f64 = 0.01;
/// Minimum time between two decays of all bins, so that most requests change one bin only.
const DECAY_INTERVAL: Duration = Duration::from_millis(10);

/// Bin of admission levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bin(u8);

impl Bin {
    /// Returns the bin of a level; levels beyond the highest tier belong to the highest bin.
    pub fn of(level: Level) -> Self {
        Self::clamped(level.0 / LEVELS_PER_BIN)
    }

    /// Returns the bin with this number, as sent between nodes.
    pub fn from_number(number: u8) -> Self {
        Self::clamped(u32::from(number))
    }

    /// Returns the number of the bin, as sent between nodes.
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the lowest level of the bin.
    pub fn floor(self) -> Level {
        Level(u32::from(self.0) * LEVELS_PER_BIN)
    }

    fn clamped(number: u32) -> Self {
        Self(u8::try_from(number.min(BINS - 1)).unwrap_or(u8::MAX))
    }
}

/// Requests per second by bin, as exponential averages. Only bins with demand are kept.
#[derive(Clone, Debug)]
pub struct LevelDemand {
    rates: BTreeMap<Bin, f64>,
    time_constant: Duration,
    decayed_at: Instant,
}

impl LevelDemand {
    /// Creates the record of a tenant without demand so far.
    pub const fn new(now: Instant, time_constant: Duration) -> Self {
        Self {
            rates: BTreeMap::new(),
            time_constant,
            decayed_at: now,
        }
    }

    /// Counts requests of a bin.
    pub fn add(&mut self, now: Instant, bin: Bin, count: u32) {
        self.decay(now);
        let rate = f64::from(count) / self.time_constant.as_secs_f64();
        *self.rates.entry(bin).or_default() += rate;
    }

    /// Reduces the averages by the time that has passed.
    pub fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let factor = (-elapsed.as_secs_f64() / self.time_constant.as_secs_f64()).exp();
        self.rates.retain(|_, rate| {
            *rate *= factor;
            *rate >= NEGLIGIBLE_RATE
        });
    }

    /// Returns the requests per second of all levels.
    pub fn rate(&self) -> f64 {
        self.rates.values().sum()
    }

    /// Returns the requests per second from a level on.
    pub fn rate_from(&self, level: Level) -> f64 {
        let bin = Bin::of(level);
        let above: f64 = self.rates.range(bin..).map(|(_, rate)| rate).sum();
        let in_bin = self.rates.get(&bin).copied().unwrap_or(0.0);
        let below_level = level.0.saturating_sub(bin.floor().0).min(LEVELS_PER_BIN);
        above - in_bin * f64::from(below_level) / f64::from(LEVELS_PER_BIN)
    }

    /// Returns the lowest level from which on at most `rate` requests per second arrive; zero if
    /// no more arrive in total. The highest level with demand is always included.
    ///
    /// Levels are derived from a hash, so the demand within a bin is spread evenly over it.
    pub fn level_within(&self, rate: f64) -> Level {
        let mut above = 0.0;
        for (bin, in_bin) in self.rates.iter().rev() {
            if above + in_bin > rate {
                let covered_fraction = ((rate - above) / in_bin).clamp(0.0, 1.0);
                let covered_levels = (covered_fraction * f64::from(LEVELS_PER_BIN)) as u32;
                let covered_levels = covered_levels.max(1);
                return Level(bin.floor().0 + LEVELS_PER_BIN - covered_levels);
            }
            above += in_bin;
        }
        Level(0)
    }
}
