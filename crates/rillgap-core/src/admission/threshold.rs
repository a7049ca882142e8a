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
const QUEUE_RECOVERY_MICROS: f64 = 150_000.0;
/// Bounds of the queue's immediate correction of the capacity.
const QUEUE_CORRECTION_RANGE: (f64, f64) = (-0.9, 0.2);
/// Bounds of the queue's lasting correction of the capacity.
const TRIM_RANGE: (f64, f64) = (0.85, 1.15);
/// Change of the trim in one window, for a queue that is off by its whole target.
const TRIM_STEP: f64 = 0.01;
/// Share of the way to the computed level that one window goes, upwards and downwards.
const LEVEL_SMOOTHING: (f64, f64) = (0.5, 0.3);
/// Windows over which the highest own level is taken, so that its effect has arrived.
const LEVEL_HISTORY_WINDOWS: usize = 6;
/// Gaps between arrivals by which a filter must lie above the own level to be another service's.
const THRESHOLD_MARGIN_GAPS: f64 = 3.0;
/// Bounds of that margin, in levels.
const THRESHOLD_MARGIN_RANGE: (f64, f64) = (
    Level::PER_TIER as f64 / 512.0,
    Level::PER_TIER as f64 / 10.0,
);
/// Distance from the lowest tier's floor, in levels, at which nothing counts as shed any more.
const NO_SHED_MARGIN: f64 = Level::PER_TIER as f64 / 128.0;
/// Demand per level below which a tier takes nothing.
const MIN_DENSITY: f64 = 1e-9;

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
    recent_levels: [f64; LEVEL_HISTORY_WINDOWS],
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
            recent_levels: [0.0; LEVEL_HISTORY_WINDOWS],
            next_recent: 0,
            demand: BTreeMap::new(),
        }
    }

    /// Returns the level below which requests would be shed; zero while none would be.
    pub fn level(&self) -> Level {
        if self.level < self.lowest_known_floor() + NO_SHED_MARGIN {
            return Level(0);
        }
        Level(self.level as u32)
    }

    /// Counts a request that asks to be run and is expected to take this much slot time.
    pub fn record_arrival(&mut self, level: Level, work_micros: f64) {
        if f64::from(level.0) < self.min_counted_level() {
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
    pub fn update(&mut self, now: Instant, load: &WindowLoad) {
        let elapsed = micros(now.saturating_since(self.window_started)) as f64;
        let windows = elapsed / micros(WINDOW) as f64;
        let min_counted_level = self.min_counted_level();
        self.window_started = now;
        for demand in self.demand.values_mut() {
            demand.end_window(load.limit * elapsed, windows, min_counted_level);
        }
        self.recent_levels[self.next_recent] = f64::from(self.level().0);
        self.next_recent = (self.next_recent + 1) % LEVEL_HISTORY_WINDOWS;
        let queued: usize = load.queued.values().sum();
        let queue = queued as f64 / load.limit;
        if self.level() == Level(0) && queue < self.tuning.queue_target {
            self.level = self.lowest_known_floor();
            self.trim = 1.0;
            return;
        }
        let off_target = (1.0 - queue / self.tuning.queue_target).max(-1.0);
        let step = TRIM_STEP * windows.min(1.0) * off_target;
        self.trim = (self.trim + step).clamp(TRIM_RANGE.0, TRIM_RANGE.1);
        self.move_level_towards(self.needed_level(load), windows);
    }

    /// Returns the level below which arrivals are not counted: they may be of roots that were let in
    /// before the level rose. While nothing is shed all are counted: otherwise tiers below the first one that was seen
    /// would never be known, and never shed.
    fn min_counted_level(&self) -> f64 {
        self.recent_levels
            .iter()
            .copied()
            .fold(f64::from(self.level().0), f64::max)
    }

    /// Returns the level at which nothing that was ever seen is shed.
    fn lowest_known_floor(&self) -> f64 {
        self.demand.keys().next().map_or(0.0, |tier| floor(*tier))
    }

    fn move_level_towards(&mut self, target: f64, windows: f64) {
        let (up, down) = LEVEL_SMOOTHING;
        let share = if target > self.level { up } else { down };
        let share = (share * windows).min(1.0);
        self.level += share * (target - self.level);
    }

    /// Returns the lowest level at which the demand that remains fits the capacity.
    fn needed_level(&self, load: &WindowLoad) -> f64 {
        let mut carried = 0.0;
        let mut queued = 0;
        for (tier, demand) in self.demand.iter().rev() {
            queued += load.queued.get(tier).copied().unwrap_or(0);
            let remaining_capacity = self.capacity(queued, load) - carried;
            let other_threshold = self.other_services_threshold(*tier, demand);
            let upstream_threshold = other_threshold.unwrap_or(floor(*tier));
            let tier_demand = demand.density() * (top(*tier) - upstream_threshold);
            if tier_demand > remaining_capacity {
                let admitted_levels =
                    remaining_capacity.max(0.0) / demand.density().max(MIN_DENSITY);
                // A little lower, so that another service's filter nearby shows.
                let probe = if other_threshold.is_none() {
                    threshold_margin(demand)
                } else {
                    0.0
                };
                return (top(*tier) - admitted_levels - probe).max(upstream_threshold);
            }
            carried += tier_demand;
        }
        self.lowest_known_floor()
    }

    /// Returns the level below which a tier is kept away by other services' levels, which
    /// go on whatever this back end publishes; `None` if the own level explains the filter.
    fn other_services_threshold(&self, tier: u8, demand: &TierDemand) -> Option<f64> {
        let own = self.min_counted_level();
        let is_own =
            own > floor(tier) && demand.upstream_threshold() < own + threshold_margin(demand);
        (!is_own).then(|| demand.upstream_threshold())
    }

    /// Returns the demand to admit, given the requests queued of the tiers that matter.
    fn capacity(&self, queued: usize, load: &WindowLoad) -> f64 {
        let off_target = self.tuning.queue_target - queued as f64 / load.limit;
        let correction = off_target * load.mean_service_micros / QUEUE_RECOVERY_MICROS;
        self.trim + correction.clamp(QUEUE_CORRECTION_RANGE.0, QUEUE_CORRECTION_RANGE.1)
    }
}

/// Returns the distance from which a filter can be told from the own level.
fn threshold_margin(demand: &TierDemand) -> f64 {
    let (min, max) = THRESHOLD_MARGIN_RANGE;
    (THRESHOLD_MARGIN_GAPS * demand.gap()).clamp(min, max)
}
