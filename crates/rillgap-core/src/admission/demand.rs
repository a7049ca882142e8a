//! Estimates the demand on a back end per admission level, for each tier, from arrivals.
//!
//! Entry nodes admit only roots above a threshold, so arrivals alone understate the demand. Roots
//! are distributed evenly over the levels of a tier. Two estimates follow:
//!
//! - The lowest level that arrived recently shows the upstream threshold.
//! - The work that arrived, divided by the number of levels above that threshold, is the demand
//!   per level. It does not depend on the threshold.
//!
//! Arrivals below the back end's own recent levels are not counted: they belong to roots that were
//! admitted before the threshold rose.

use super::level::Level;

/// Number of windows over which the lowest arriving level is taken.
const HISTORY_WINDOWS: usize = 4;
/// Lower bound of the divisor of the density, in levels; avoids a division by almost zero.
const MIN_OPEN_LEVELS: f64 = Level::PER_TIER as f64 / 256.0;

/// Arrivals in one control window.
#[derive(Clone, Copy, Debug)]
struct Window {
    count: u32,
    work_micros: f64,
    /// Lowest level that arrived, `u32::MAX` if none did.
    lowest: Level,
}

const EMPTY_WINDOW: Window = Window {
    count: 0,
    work_micros: 0.0,
    lowest: Level(u32::MAX),
};

/// Demand estimate of one tier.
#[derive(Clone, Copy, Debug)]
pub(super) struct TierDemand {
    tier: u8,
    /// Weight of one window in the moving density.
    weight: f64,
    current: Window,
    history: [Window; HISTORY_WINDOWS],
    /// Index in `history` of the next window.
    next: usize,
    /// Demand per level, as a fraction of the concurrency limit.
    density: f64,
    /// Level below which nothing of the tier arrives.
    upstream_threshold: f64,
    /// Mean distance between the levels of arrivals.
    gap: f64,
}

impl TierDemand {
    /// Creates the estimate of a tier without arrivals. `weight` is the weight of one window in the
    /// moving density.
    pub fn new(tier: u8, weight: f64) -> Self {
        Self {
            tier,
            weight,
            current: EMPTY_WINDOW,
            history: [EMPTY_WINDOW; HISTORY_WINDOWS],
            next: 0,
            density: 0.0,
            upstream_threshold: floor(tier),
            gap: f64::from(Level::PER_TIER),
        }
    }

    /// Records the arrival of a request that is expected to occupy a slot for `work_micros`.
    pub fn record_arrival(&mut self, level: Level, work_micros: f64) {
        self.current.count += 1;
        self.current.work_micros += work_micros;
        self.current.lowest = self.current.lowest.min(level);
    }

    /// Ends a window in which the concurrency limit offered `offered_micros` of slot time.
    /// `windows` is its length in nominal windows; arrivals below `min_counted_level` were not
    /// counted.
    pub fn end_window(&mut self, offered_micros: f64, windows: f64, min_counted_level: f64) {
        let work = self.current.work_micros / offered_micros;
        self.history[self.next] = self.current;
        self.next = (self.next + 1) % HISTORY_WINDOWS;
        self.current = EMPTY_WINDOW;
        let recent: u32 = self.history.iter().map(|window| window.count).sum();
        if recent == 0 && min_counted_level >= top(self.tier) {
            // The whole tier is shed upstream, so the window says nothing about its demand.
            return;
        }
        if recent > 0 {
            self.estimate_upstream_threshold(recent);
        } else {
            self.upstream_threshold = min_counted_level.max(floor(self.tier));
        }
        let open = (top(self.tier) - self.upstream_threshold).max(MIN_OPEN_LEVELS);
        let sample = work / open;
        let weight = 1.0 - 1.0 / (1.0 + self.weight / (1.0 - self.weight) * windows);
        self.density += weight * (sample - self.density);
    }

    /// Returns the demand per level, as a fraction of the capacity of the concurrency limit.
    pub fn density(&self) -> f64 {
        self.density
    }

    /// Returns the level below which nothing of the tier arrives, whether this back end's own level
    /// or that of another service is the cause.
    pub fn upstream_threshold(&self) -> f64 {
        self.upstream_threshold
    }

    /// Returns the mean distance between the levels of arrivals, which is the uncertainty of the
    /// upstream threshold.
    pub fn gap(&self) -> f64 {
        self.gap
    }

    /// Estimates the upstream threshold from the lowest arrival, which lies above it by the mean
    /// distance between arrivals.
    fn estimate_upstream_threshold(&mut self, recent: u32) {
        let lowest = self.history.iter().map(|window| window.lowest).min();
        let lowest = f64::from(lowest.unwrap_or(Level(u32::MAX)).0).min(top(self.tier));
        self.gap = (top(self.tier) - lowest) / f64::from(recent.max(1));
        self.upstream_threshold = (lowest - self.gap).max(floor(self.tier));
    }
}

/// Returns the lowest level of a tier.
pub(super) fn floor(tier: u8) -> f64 {
    f64::from(Level::tier_floor(tier).0)
}

/// Returns the upper end of a tier: the level above its highest.
pub(super) fn top(tier: u8) -> f64 {
    floor(tier) + f64::from(Level::PER_TIER)
}
