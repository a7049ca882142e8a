//! Demand on a back end per admission level, learned for each tier from what arrives.
//!
//! Entries let only roots above a threshold through, so arrivals alone understate the demand.
//! Shares are spread evenly over the levels of a tier. The lowest level that arrived lately
//! therefore tells where the filter stands, and the work that arrived divided by the open levels
//! above it tells the demand per level, whatever the filter. Arrivals below the own recent
//! levels belong to roots that were let in before the filter moved and are not counted.

use super::level::Level;

/// Windows over which the lowest arriving level is taken.
const HISTORY_WINDOWS: usize = 4;
/// Least open levels that a density is computed from, against division by next to nothing.
const MIN_OPEN_LEVELS: f64 = Level::PER_TIER as f64 / 256.0;

/// Arrivals of one window.
#[derive(Clone, Copy, Debug)]
struct Window {
    count: u32,
    work_micros: f64,
    lowest: Level,
}

const EMPTY_WINDOW: Window = Window {
    count: 0,
    work_micros: 0.0,
    lowest: Level(u32::MAX),
};

/// Demand of one tier.
#[derive(Clone, Copy, Debug)]
pub(super) struct TierDemand {
    tier: u8,
    /// Weight of one window in the moving density.
    weight: f64,
    current: Window,
    history: [Window; HISTORY_WINDOWS],
    next: usize,
    density: f64,
    upstream_threshold: f64,
    gap: f64,
}

impl TierDemand {
    /// Creates the demand of a tier that was never seen. `weight` is that of one window in the moving
    /// density.
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

    /// Counts a request that is expected to take this much slot time.
    pub fn record_arrival(&mut self, level: Level, work_micros: f64) {
        self.current.count += 1;
        self.current.work_micros += work_micros;
        self.current.lowest = self.current.lowest.min(level);
    }

    /// Ends a window in which the limit offered `offered_micros` of slot time. `windows` is its length
    /// in ordinary ones, `cut` the level below which arrivals were not counted.
    pub fn end_window(&mut self, offered_micros: f64, windows: f64, min_counted_level: f64) {
        let work = self.current.work_micros / offered_micros;
        self.history[self.next] = self.current;
        self.next = (self.next + 1) % HISTORY_WINDOWS;
        self.current = EMPTY_WINDOW;
        let recent: u32 = self.history.iter().map(|window| window.count).sum();
        if recent == 0 && min_counted_level >= top(self.tier) {
            // Shut out, so nothing can be learned.
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

    /// Returns the demand per level, as a share of what the limit can carry.
    pub fn density(&self) -> f64 {
        self.density
    }

    /// Returns the level below which nothing of the tier arrives, for whatever reason.
    pub fn upstream_threshold(&self) -> f64 {
        self.upstream_threshold
    }

    /// Returns the mean gap between the levels of arrivals, by which the filter is uncertain.
    pub fn gap(&self) -> f64 {
        self.gap
    }

    /// Estimates the filter from the lowest arrival, which lies above it by the mean gap
    /// between arrivals.
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

/// Returns the level above the highest of a tier.
pub(super) fn top(tier: u8) -> f64 {
    floor(tier) + f64::from(Level::PER_TIER)
}
