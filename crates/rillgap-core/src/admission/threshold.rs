//! Controller of the level below which a back end would shed requests. The level is sent upstream
//! with every answer.
//!
//! At the end of every control window, the controller computes from the demand per level
//! ([`super::demand`]) the level at which the remaining demand fits the capacity of the concurrency
//! limit. The demand per level does not depend on the level, so the loop does not oscillate when a
//! new level takes effect late. The queue corrects errors of the estimate: its distance from a
//! short target changes the assumed capacity, at once by a proportional term and over time by a
//! slow integral term (trim).

use std::collections::BTreeMap;
use std::time::Duration;

use super::demand::{TierDemand, floor, top};
use super::level::Level;
use crate::time::{Instant, micros};

/// Nominal length of a control window.
const WINDOW: Duration = Duration::from_millis(50);
/// Time in which a queue off its target should return to it, in microseconds.
const QUEUE_RECOVERY_MICROS: f64 = 150_000.0;
/// Bounds of the immediate correction of the capacity, as a fraction of the limit.
const QUEUE_CORRECTION_RANGE: (f64, f64) = (-0.9, 0.2);
/// Bounds of the trim: the capacity with its lasting correction, as a fraction of the limit.
const TRIM_RANGE: (f64, f64) = (0.85, 1.15);
/// Maximum change of the trim in one window, caused by an empty queue or one of twice the target.
const TRIM_STEP: f64 = 0.01;
/// Fraction of the distance to the computed level that one window covers, upwards and downwards.
const LEVEL_SMOOTHING: (f64, f64) = (0.5, 0.3);
/// Number of windows over which the highest own level is taken: by then its effect has arrived.
const LEVEL_HISTORY_WINDOWS: usize = 6;
/// Distance by which the upstream threshold must exceed the own level to be attributed to another
/// service, in mean gaps between arrivals.
const THRESHOLD_MARGIN_GAPS: f64 = 3.0;
/// Bounds of that distance, in levels.
const THRESHOLD_MARGIN_RANGE: (f64, f64) = (
    Level::PER_TIER as f64 / 512.0,
    Level::PER_TIER as f64 / 10.0,
);
/// Distance from the floor of the lowest tier, in levels, below which nothing is shed.
const NO_SHED_MARGIN: f64 = Level::PER_TIER as f64 / 128.0;
/// Lower bound of the demand per level as a divisor; avoids a division by zero.
const MIN_DENSITY: f64 = 1e-9;

/// Parameters of the controller.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Target of the queue length, as a fraction of the concurrency limit.
    pub queue_target: f64,
    /// Weight of one window in the moving demand per level, above 0 and below 1.
    pub demand_weight: f64,
}

impl Default for Tuning {
    /// Returns the values with the best results in `rillgap-lab compare` for services whose
    /// requests may queue for little longer than they run (`docs/design/admission.md`, rounds 2 and
    /// 5).
    fn default() -> Self {
        Self {
            queue_target: 0.2,
            demand_weight: 0.25,
        }
    }
}

/// Load of the back end at the end of a control window.
#[derive(Clone, Debug)]
pub struct WindowLoad {
    /// Concurrency limit.
    pub limit: f64,
    /// Mean slot time over all requests in microseconds.
    pub mean_service_micros: f64,
    /// Number of queued requests by tier.
    pub queued: BTreeMap<u8, usize>,
}

/// Controller of the level below which requests are to be shed upstream.
#[derive(Clone, Debug)]
pub struct Threshold {
    tuning: Tuning,
    level: f64,
    /// Capacity with its lasting correction, as a fraction of the limit.
    trim: f64,
    window_started: Instant,
    /// Ring buffer of the last published levels.
    recent_levels: [f64; LEVEL_HISTORY_WINDOWS],
    /// Index in `recent_levels` of the next window.
    next_recent: usize,
    demand: BTreeMap<u8, TierDemand>,
}

impl Default for Threshold {
    fn default() -> Self {
        Self::new(Tuning::default())
    }
}

impl Threshold {
    /// Creates a controller whose level sheds nothing.
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

    /// Returns the level below which requests would be shed; 0 while none would be.
    pub fn level(&self) -> Level {
        if self.level < self.lowest_known_floor() + NO_SHED_MARGIN {
            return Level(0);
        }
        Level(self.level as u32)
    }

    /// Returns the estimated demand of all tiers, as a fraction of the concurrency limit.
    pub fn demand(&self) -> f64 {
        let tiers = self.demand.iter();
        tiers
            .map(|(tier, demand)| demand.density() * (top(*tier) - floor(*tier)))
            .sum()
    }

    /// Records the arrival of a request that is expected to occupy a slot for `work_micros`.
    pub fn record_arrival(&mut self, level: Level, work_micros: f64) {
        if f64::from(level.0) < self.min_counted_level() {
            return;
        }
        let tier = level.tier();
        if !self.demand.contains_key(&tier) {
            self.add_tier(tier);
        }
        if let Some(demand) = self.demand.get_mut(&tier) {
            demand.record_arrival(level, work_micros);
        }
    }

    /// Adds a tier without recorded arrivals.
    ///
    /// While nothing is shed, the level is the floor of the lowest known tier. It moves to that of
    /// a lower tier at once, since it would otherwise shed the whole new tier.
    fn add_tier(&mut self, tier: u8) {
        let sheds_nothing = self.level() == Level(0);
        let demand = TierDemand::new(tier, self.tuning.demand_weight);
        self.demand.insert(tier, demand);
        if sheds_nothing {
            self.level = self.lowest_known_floor();
        }
    }

    /// Returns whether the control window is over and [`Self::update`] must be called.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_since(self.window_started) >= WINDOW
    }

    /// Ends the control window and adjusts the level.
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

    /// Returns the level below which arrivals are not counted, since they may belong to roots that
    /// were admitted before the level rose.
    ///
    /// While nothing is shed, this is 0 and all arrivals are counted. Otherwise, tiers below the
    /// first one with arrivals would never be recorded, and never be shed.
    fn min_counted_level(&self) -> f64 {
        self.recent_levels
            .iter()
            .copied()
            .fold(f64::from(self.level().0), f64::max)
    }

    /// Returns the floor of the lowest tier with recorded arrivals: as a level, it sheds none of
    /// them.
    fn lowest_known_floor(&self) -> f64 {
        self.demand.keys().next().map_or(0.0, |tier| floor(*tier))
    }

    fn move_level_towards(&mut self, target: f64, windows: f64) {
        let (up, down) = LEVEL_SMOOTHING;
        let share = if target > self.level { up } else { down };
        let share = (share * windows).min(1.0);
        self.level += share * (target - self.level);
    }

    /// Returns the lowest level at which the demand above it fits the capacity.
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
                // Set slightly lower, so that a threshold of another service close above the own
                // level becomes visible.
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

    /// Returns the upstream threshold of a tier if levels of other services cause it, which remain
    /// in force whatever this back end publishes; `None` if the own level explains it.
    fn other_services_threshold(&self, tier: u8, demand: &TierDemand) -> Option<f64> {
        let own = self.min_counted_level();
        let is_own =
            own > floor(tier) && demand.upstream_threshold() < own + threshold_margin(demand);
        (!is_own).then(|| demand.upstream_threshold())
    }

    /// Returns the demand to admit, as a fraction of the concurrency limit. `queued` counts the
    /// queued requests of the tiers that compete for the capacity.
    fn capacity(&self, queued: usize, load: &WindowLoad) -> f64 {
        let off_target = self.tuning.queue_target - queued as f64 / load.limit;
        let correction = off_target * load.mean_service_micros / QUEUE_RECOVERY_MICROS;
        self.trim + correction.clamp(QUEUE_CORRECTION_RANGE.0, QUEUE_CORRECTION_RANGE.1)
    }
}

/// Returns the distance from the own level at which an upstream threshold is attributed to another
/// service.
fn threshold_margin(demand: &TierDemand) -> f64 {
    let (min, max) = THRESHOLD_MARGIN_RANGE;
    (THRESHOLD_MARGIN_GAPS * demand.gap()).clamp(min, max)
}
