//! The level below which a back end would shed, published upstream on every answer.
//!
//! At the end of every short window the level is computed at which the demand that remains
//! fits what the limit can carry, from the demand per level ([`super::demand`]). As the demand
//! per level does not depend on the level, nothing oscillates when the effect of a new level
//! arrives late. The queue corrects what the estimate gets wrong: its distance from a short
//! target changes the capacity that is reckoned with, at once and, by a slow trim, for good.

use std::time::Duration;

use super::demand::{ClassDemand, floor, top};
use super::level::Level;
use crate::policy::Class;
use crate::time::{Instant, micros};

/// Length of a control window.
const WINDOW: Duration = Duration::from_millis(50);
/// Queued requests, as a share of the limit, at which the queue rests.
const QUEUE_TARGET: f64 = 0.2;
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
    Level::PER_CLASS as f64 / 512.0,
    Level::PER_CLASS as f64 / 10.0,
);
/// Demand per level below which a class takes nothing.
const NO_DENSITY: f64 = 1e-9;

const CLASSES: usize = Class::ALL.len();

/// What the controller needs to know at the end of a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pressure {
    /// Concurrency limit.
    pub limit: f64,
    /// Mean service time of each class in microseconds.
    pub service_micros: [f64; CLASSES],
    /// Mean service time over all classes in microseconds.
    pub mean_service_micros: f64,
    /// Requests queued of each class.
    pub queued: [usize; CLASSES],
}

/// Controller of the published level.
#[derive(Clone, Debug)]
pub(super) struct Threshold {
    level: f64,
    trim: f64,
    window_started: Instant,
    recent_levels: [f64; LEVEL_HISTORY],
    next_recent: usize,
    demand: [ClassDemand; CLASSES],
}

impl Default for Threshold {
    fn default() -> Self {
        Self {
            level: 0.0,
            trim: 1.0,
            window_started: Instant::default(),
            recent_levels: [0.0; LEVEL_HISTORY],
            next_recent: 0,
            demand: Class::ALL.map(ClassDemand::new),
        }
    }
}

impl Threshold {
    /// Returns the level below which requests would be shed.
    pub fn level(&self) -> Level {
        Level(self.level as u16)
    }

    /// Counts a request that asks to be run.
    pub fn arrived(&mut self, class: Class, level: Level) {
        self.demand[class.index()].arrived(level);
    }

    /// Returns whether a window is over, so that [`Self::update`] has something to do.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_since(self.window_started) >= WINDOW
    }

    /// Ends the window and moves the level.
    pub fn update(&mut self, now: Instant, pressure: &Pressure) {
        let elapsed = micros(now.saturating_since(self.window_started)) as f64;
        let windows = elapsed / micros(WINDOW) as f64;
        self.window_started = now;
        self.recent_levels[self.next_recent] = self.level;
        self.next_recent = (self.next_recent + 1) % LEVEL_HISTORY;
        for class in Class::ALL {
            let work = pressure.service_micros[class.index()] / (pressure.limit * elapsed);
            self.demand[class.index()].end_window(work, windows, self.level);
        }
        let queued: usize = pressure.queued.iter().sum();
        let queue = queued as f64 / pressure.limit;
        if self.level < 1.0 && queue < QUEUE_TARGET {
            self.level = 0.0;
            self.trim = 1.0;
            return;
        }
        let step = TRIM_STEP * windows.min(1.0) * (1.0 - queue / QUEUE_TARGET).max(-1.0);
        self.trim = (self.trim + step).clamp(TRIM.0, TRIM.1);
        self.approach(self.needed_level(pressure), windows);
    }

    fn approach(&mut self, needed: f64, windows: f64) {
        let (up, down) = APPROACH;
        let share = if needed > self.level { up } else { down };
        let share = (share * windows).min(1.0);
        self.level += share * (needed - self.level);
    }

    /// Returns the lowest level at which the demand that remains fits the capacity.
    fn needed_level(&self, pressure: &Pressure) -> f64 {
        let mut carried = 0.0;
        let mut queued = 0;
        for class in Class::ALL.into_iter().rev() {
            queued += pressure.queued[class.index()];
            let left = self.capacity(queued, pressure) - carried;
            let demand = &self.demand[class.index()];
            let others = self.filter_of_others(class);
            let filter = others.unwrap_or(floor(class));
            let whole = demand.density() * (top(class) - filter);
            if whole > left {
                let open = left.max(0.0) / demand.density().max(NO_DENSITY);
                // A little lower, so that another service's filter nearby shows.
                let probe = if others.is_none() {
                    margin(demand)
                } else {
                    0.0
                };
                return (top(class) - open - probe).max(filter);
            }
            carried += whole;
        }
        0.0
    }

    /// Returns the level below which a class is kept away by other services' levels, which
    /// go on whatever this back end publishes; `None` if the own level explains the filter.
    fn filter_of_others(&self, class: Class) -> Option<f64> {
        let own = self
            .recent_levels
            .iter()
            .copied()
            .fold(self.level, f64::max);
        let demand = &self.demand[class.index()];
        let explained = own > floor(class) && demand.filter() < own + margin(demand);
        (!explained).then(|| demand.filter())
    }

    /// Returns the demand to admit, given the requests queued of the classes that matter.
    fn capacity(&self, queued: usize, pressure: &Pressure) -> f64 {
        let off_target = QUEUE_TARGET - queued as f64 / pressure.limit;
        let correction = off_target * pressure.mean_service_micros / HORIZON_MICROS;
        self.trim + correction.clamp(CORRECTION.0, CORRECTION.1)
    }
}

/// Returns the distance from which a filter can be told from the own level.
fn margin(demand: &ClassDemand) -> f64 {
    let (least, most) = FILTER_MARGIN;
    (FILTER_MARGIN_GAPS * demand.gap()).clamp(least, most)
}
