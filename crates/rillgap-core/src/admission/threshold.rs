//! The level below which a back end would shed, published upstream on every answer.
//!
//! At the end of every short window the level is computed at which the demand that remains
//! fits what the limit can carry, from the demand per level ([`super::demand`]). As the demand
//! per level does not depend on the level, nothing oscillates when the effect of a new level
//! arrives late. The queue corrects what the estimate gets wrong: its distance from a short
//! target changes the capacity that is reckoned with, at once and, by a slow trim, for good.

use std::collections::BTreeMap;
use std::time::Duration;

use super::demand::{TierDemand, floor, top};
use super::level::Level;
use crate::time::{Instant, micros};

/// Length of a control window.
const WINDOW: Duration = Duration::from_millis(50);
/// Time within which a queue off its target shall come back to it, in microseconds.
const HORIZON_MICROS: f64 = 150_000.0;
/// Bounds of the queue's immediate correction of the capacity.
const CORRECTION: (f64, f64) = (-0.9, 0.2);
/// Bounds of the queue's lasting correction of the capacity.
const TRIM: (f64, f64) = (0.85, 1.15);
/// Change of the trim in one window, for a queue that is off by its whole target.
const TRIM_STEP: f64 = 0.01;
/// Share of the way to the computed level that one window goes, upwards and downwards.
const APPROACH: (f64, f64) = (0.5, 0.3);
/// Windows over which the highest own level is taken, so that its effect has arrived.
const LEVEL_HISTORY: usize = 6;
/// Gaps between arrivals by which a filter must lie above the own level to be another service's.
const FILTER_MARGIN_GAPS: f64 = 3.0;
/// Bounds of that margin, in levels.
const FILTER_MARGIN: (f64, f64) = (
    Level::PER_TIER as f64 / 512.0,
    Level::PER_TIER as f64 / 10.0,
);
/// Distance from the lowest tier's floor, in levels, at which nothing counts as shed any more.
const NOTHING_SHED: f64 = Level::PER_TIER as f64 / 128.0;
/// Demand per level below which a tier takes nothing.
const NO_DENSITY: f64 = 1e-9;

/// How the controller is tuned.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Queued requests, as a share of the limit, at which the queue rests.
    pub queue_target: f64,
    /// Weight of one window in the moving demand for a level, above 0 and below 1.
    pub demand_weight: f64,
}

impl Default for Tuning {
    /// Returns the tuning that `rillgap-lab compare` showed to be best where a request may queue for
    /// little longer than it runs (`docs/design/admission.md`, rounds 2 and 5).
    fn default() -> Self {
        Self {
            queue_target: 0.2,
            demand_weight: 0.25,
        }
    }
}

/// What the controller needs to know at the end of a window.
#[derive(Clone, Debug)]
pub struct WindowLoad {
    /// Concurrency limit.
    pub limit: f64,
    /// Mean slot time over all requests in microseconds.
    pub mean_service_micros: f64,
    /// Requests queued of each tier.
    pub queued: BTreeMap<u8, usize>,
}

/// Controller of the published level.
#[derive(Clone, Debug)]
pub struct Threshold {
    tuning: Tuning,
    level: f64,
    trim: f64,
    window_started: Instant,
    recent_levels: [f64; LEVEL_HISTORY],
    next_recent: usize,
    demand: BTreeMap<u8, TierDemand>,
}

impl Default for Threshold {
    fn default() -> Self {
        Self::new(Tuning::default())
    }
}

impl Threshold {
    /// Creates a controller that sheds nothing yet.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            level: 0.0,
            trim: 1.0,
            window_started: Instant::default(),
            recent_levels: [0.0; LEVEL_HISTORY],
            next_recent: 0,
            demand: BTreeMap::new(),
        }
    }

    /// Returns the level below which requests would be shed; zero while none would be.
    pub fn level(&self) -> Level {
        if self.level < self.lowest() + NOTHING_SHED {
            return Level(0);
        }
        Level(self.level as u32)
    }

    /// Counts a request that asks to be run and is expected to take this much slot time.
    pub fn record_arrival(&mut self, level: Level, work_micros: f64) {
        if f64::from(level.0) < self.cut() {
            return;
        }
        let tier = level.tier();
        self.demand
            .entry(tier)
            .or_insert_with(|| TierDemand::new(tier, self.tuning.demand_weight))
            .record_arrival(level, work_micros);
    }

    /// Returns whether a window is over, so that [`Self::update`] has something to do.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_since(self.window_started) >= WINDOW
    }

    /// Ends the window and moves the level.
    pub fn update(&mut self, now: Instant, pressure: &WindowLoad) {
        let elapsed = micros(now.saturating_since(self.window_started)) as f64;
        let windows = elapsed / micros(WINDOW) as f64;
        let cut = self.cut();
        self.window_started = now;
        for demand in self.demand.values_mut() {
            demand.end_window(pressure.limit * elapsed, windows, cut);
        }
        self.recent_levels[self.next_recent] = f64::from(self.level().0);
        self.next_recent = (self.next_recent + 1) % LEVEL_HISTORY;
        let queued: usize = pressure.queued.values().sum();
        let queue = queued as f64 / pressure.limit;
        if self.level() == Level(0) && queue < self.tuning.queue_target {
            self.level = self.lowest();
            self.trim = 1.0;
            return;
        }
        let off_target = (1.0 - queue / self.tuning.queue_target).max(-1.0);
        let step = TRIM_STEP * windows.min(1.0) * off_target;
        self.trim = (self.trim + step).clamp(TRIM.0, TRIM.1);
        self.approach(self.needed_level(pressure), windows);
    }

    /// Returns the level below which arrivals are not counted: they may be of roots that were let in
    /// before the level rose. While nothing is shed all are counted: otherwise tiers below the first one that was seen
    /// would never be known, and never shed.
    fn cut(&self) -> f64 {
        self.recent_levels
            .iter()
            .copied()
            .fold(f64::from(self.level().0), f64::max)
    }

    /// Returns the level at which nothing that was ever seen is shed.
    fn lowest(&self) -> f64 {
        self.demand.keys().next().map_or(0.0, |tier| floor(*tier))
    }

    fn approach(&mut self, needed: f64, windows: f64) {
        let (up, down) = APPROACH;
        let share = if needed > self.level { up } else { down };
        let share = (share * windows).min(1.0);
        self.level += share * (needed - self.level);
    }

    /// Returns the lowest level at which the demand that remains fits the capacity.
    fn needed_level(&self, pressure: &WindowLoad) -> f64 {
        let mut carried = 0.0;
        let mut queued = 0;
        for (tier, demand) in self.demand.iter().rev() {
            queued += pressure.queued.get(tier).copied().unwrap_or(0);
            let left = self.capacity(queued, pressure) - carried;
            let others = self.filter_of_others(*tier, demand);
            let filter = others.unwrap_or(floor(*tier));
            let whole = demand.density() * (top(*tier) - filter);
            if whole > left {
                let open = left.max(0.0) / demand.density().max(NO_DENSITY);
                // A little lower, so that another service's filter nearby shows.
                let probe = if others.is_none() {
                    margin(demand)
                } else {
                    0.0
                };
                return (top(*tier) - open - probe).max(filter);
            }
            carried += whole;
        }
        self.lowest()
    }

    /// Returns the level below which a tier is kept away by other services' levels, which
    /// go on whatever this back end publishes; `None` if the own level explains the filter.
    fn filter_of_others(&self, tier: u8, demand: &TierDemand) -> Option<f64> {
        let own = self.cut();
        let explained = own > floor(tier) && demand.filter() < own + margin(demand);
        (!explained).then(|| demand.filter())
    }

    /// Returns the demand to admit, given the requests queued of the tiers that matter.
    fn capacity(&self, queued: usize, pressure: &WindowLoad) -> f64 {
        let off_target = self.tuning.queue_target - queued as f64 / pressure.limit;
        let correction = off_target * pressure.mean_service_micros / HORIZON_MICROS;
        self.trim + correction.clamp(CORRECTION.0, CORRECTION.1)
    }
}

/// Returns the distance from which a filter can be told from the own level.
fn margin(demand: &TierDemand) -> f64 {
    let (least, most) = FILTER_MARGIN;
    (FILTER_MARGIN_GAPS * demand.gap()).clamp(least, most)
}
