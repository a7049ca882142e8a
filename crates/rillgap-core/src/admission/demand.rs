//! Demand on a back end per admission level, learned per class from what arrives.
//!
//! Entries let only roots above a threshold through, so arrivals alone understate the demand.
//! Shares are spread evenly over the levels of a class. The lowest level that arrived lately
//! therefore tells where the filter stands, and arrivals divided by the open levels above it
//! tell the demand per level, whatever the filter.

use super::level::Level;
use crate::policy::Class;

/// Windows over which the lowest arriving level is taken.
const HISTORY: usize = 4;
/// Weight of one window in the moving density.
const DENSITY_WEIGHT: f64 = 0.25;
/// Least open levels that a density is computed from, against division by next to nothing.
const LEAST_OPEN: f64 = Level::PER_CLASS as f64 / 256.0;

/// Arrivals of one window.
#[derive(Clone, Copy, Debug)]
struct Window {
    count: u32,
    lowest: Level,
}

const NOTHING: Window = Window {
    count: 0,
    lowest: Level(Level::COUNT),
};

/// Demand of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassDemand {
    class: Class,
    current: Window,
    history: [Window; HISTORY],
    next: usize,
    density: f64,
    filter: f64,
    gap: f64,
}

impl ClassDemand {
    /// Creates the demand of a class that was never seen.
    pub fn new(class: Class) -> Self {
        Self {
            class,
            current: NOTHING,
            history: [NOTHING; HISTORY],
            next: 0,
            density: 0.0,
            filter: floor(class),
            gap: f64::from(Level::PER_CLASS),
        }
    }

    /// Counts a request.
    pub fn arrived(&mut self, level: Level) {
        self.current.count += 1;
        self.current.lowest = self.current.lowest.min(level);
    }

    /// Ends a window. `work` is the slot time of one request as a share of what the limit
    /// offers in the window, `windows` the length of the window in ordinary ones, `level` the
    /// level that this back end publishes.
    pub fn end_window(&mut self, work: f64, windows: f64, level: f64) {
        let count = self.current.count;
        self.history[self.next] = self.current;
        self.next = (self.next + 1) % HISTORY;
        self.current = NOTHING;
        let recent: u32 = self.history.iter().map(|window| window.count).sum();
        if recent == 0 && level >= top(self.class) {
            // Shut out, so nothing can be learned.
            return;
        }
        if recent > 0 {
            self.observe_filter(recent);
        } else {
            self.filter = level.max(floor(self.class));
        }
        let open = (top(self.class) - self.filter).max(LEAST_OPEN);
        let sample = f64::from(count) * work / open;
        let weight = 1.0 - 1.0 / (1.0 + DENSITY_WEIGHT / (1.0 - DENSITY_WEIGHT) * windows);
        self.density += weight * (sample - self.density);
    }

    /// Returns the demand per level, as a share of what the limit can carry.
    pub fn density(&self) -> f64 {
        self.density
    }

    /// Returns the level below which nothing of the class arrives, for whatever reason.
    pub fn filter(&self) -> f64 {
        self.filter
    }

    /// Returns the mean gap between the levels of arrivals, by which the filter is uncertain.
    pub fn gap(&self) -> f64 {
        self.gap
    }

    /// Estimates the filter from the lowest arrival, which lies above it by the mean gap
    /// between arrivals.
    fn observe_filter(&mut self, recent: u32) {
        let lowest = self.history.iter().map(|window| window.lowest).min();
        let lowest = f64::from(lowest.unwrap_or(Level(Level::COUNT)).0).min(top(self.class));
        self.gap = (top(self.class) - lowest) / f64::from(recent.max(1));
        self.filter = (lowest - self.gap).max(floor(self.class));
    }
}

/// Returns the lowest level of a class.
pub(super) fn floor(class: Class) -> f64 {
    f64::from(Level::floor(class).0)
}

/// Returns the level above the highest of a class.
pub(super) fn top(class: Class) -> f64 {
    floor(class) + f64::from(Level::PER_CLASS)
}
