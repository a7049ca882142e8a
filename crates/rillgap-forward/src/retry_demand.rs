//! Which requests are worth a repeat while there are fewer repeats than failures.
//!
//! A chain of calls is of use only if all of them succeed. Where back ends refuse much and the budget
//! pays for few repeats, paying for whoever fails next saves hardly any chain: each gets some of the
//! repeats that it needs. So repeats go to the same chains everywhere: those whose roots have the
//! highest admission levels, as far down as the budget reaches. Levels follow from the priority and the
//! root's identifier, so all nodes prefer the same chains without talking.

use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use crate::message::TIER_COUNT;

/// Bins of each tier.
const BINS_PER_TIER: usize = 16;
/// Bins.
const BINS: usize = TIER_COUNT * BINS_PER_TIER;
/// Levels in a bin.
const LEVELS_PER_BIN: u32 = Level::PER_TIER / BINS_PER_TIER as u32;
/// Time over which demand is averaged.
const MEMORY: Duration = Duration::from_millis(500);
/// Demand a second that counts as none.
const NEGLIGIBLE: f64 = 0.05;
/// Time between two looks at the demand.
const INTERVAL: Duration = Duration::from_millis(50);

/// Repeats that are wanted, by the levels of the roots.
#[derive(Clone, Debug)]
pub struct RetryDemand {
    /// Repeats wanted a second, averaged.
    wanted: [f64; BINS],
    floor: Level,
    next_look: Instant,
    looked_at: Instant,
}

impl Default for RetryDemand {
    fn default() -> Self {
        Self {
            wanted: [0.0; BINS],
            floor: Level(0),
            next_look: Instant::default(),
            looked_at: Instant::default(),
        }
    }
}

impl RetryDemand {
    /// Counts that a repeat is wanted for a chain whose root has this level.
    pub fn count(&mut self, level: Level) {
        let bin = (level.0 / LEVELS_PER_BIN) as usize;
        self.wanted[bin.min(BINS - 1)] += 1.0 / MEMORY.as_secs_f64();
    }

    /// Returns the lowest level of which repeats are paid while `rate` of them a second can be.
    pub fn floor(&mut self, now: Instant, rate: f64) -> Level {
        if now >= self.next_look {
            self.next_look = now + INTERVAL;
            self.fade(now);
            self.floor = self.lowest_within(rate);
        }
        self.floor
    }

    fn fade(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.looked_at).as_secs_f64();
        self.looked_at = now;
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        for wanted in &mut self.wanted {
            *wanted *= kept;
        }
    }

    fn lowest_within(&self, rate: f64) -> Level {
        let mut above = 0.0;
        for (bin, wanted) in self.wanted.iter().enumerate().rev() {
            // The highest levels that are wanted are paid for as long as anything is left.
            let is_highest = above < NEGLIGIBLE;
            if above + wanted > rate && !is_highest {
                return Level((bin as u32 + 1) * LEVELS_PER_BIN);
            }
            above += wanted;
        }
        Level(0)
    }
}
