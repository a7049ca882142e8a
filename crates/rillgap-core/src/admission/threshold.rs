//! The level below which a back end would shed, published upstream on every answer.
//!
//! An integral controller over short windows. The demand on the back end is the work that
//! arrives per second as a share of what the limit can carry; the excess is that demand above
//! one, corrected so that the queue drains to (or fills up to) a short target. The excess is
//! turned into a number of levels by the density of demand over levels, which is learned per
//! class. Without the density a fixed step is either too slow to recover or oscillates.

use std::time::Duration;

use super::level::Level;
use crate::policy::Class;
use crate::time::{Instant, micros};

/// Length of a control window.
const WINDOW: Duration = Duration::from_millis(50);
/// Weight of a window in the moving demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Queued requests, as a share of the limit, at which the controller rests.
const QUEUE_TARGET: f64 = 0.4;
/// Time within which a queue off its target shall come back to it, in microseconds.
const HORIZON_MICROS: f64 = 200_000.0;
/// Share of the computed correction that one window applies.
const GAIN: f64 = 0.4;
/// Most levels that the threshold rises in one window.
const MAX_RISE: f64 = 128.0;
/// Most levels that the threshold falls in one window, before it accelerates.
const MAX_FALL: f64 = 32.0;
/// Most windows of headroom that accelerate the fall.
const MAX_ACCELERATION: u32 = 6;
/// Demand of a class and those above it that surely fits, so that the class is not touched.
const FITTING_DEMAND: f64 = 0.9;
/// Least share of a class that must be open for its density to be learned.
const LEARNING_SHARE: f64 = 0.1;
/// Density assumed for a class that was never seen: one class fills the back end.
const UNKNOWN_DENSITY: f64 = 1.0 / Level::PER_CLASS as f64;

const CLASSES: usize = Class::ALL.len();

/// What the controller needs to know at the end of a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pressure {
    /// Concurrency limit.
    pub limit: f64,
    /// Mean service time of each class in microseconds.
    pub service_micros: [f64; CLASSES],
    /// Requests queued of each class.
    pub queued: [usize; CLASSES],
}

/// Controller of the published level.
#[derive(Clone, Debug)]
pub(super) struct Threshold {
    level: f64,
    window_started: Instant,
    arrivals: [u32; CLASSES],
    demand: [f64; CLASSES],
    density: [f64; CLASSES],
    calm_windows: u32,
}

impl Default for Threshold {
    fn default() -> Self {
        Self {
            level: 0.0,
            window_started: Instant::default(),
            arrivals: [0; CLASSES],
            demand: [0.0; CLASSES],
            density: [UNKNOWN_DENSITY; CLASSES],
            calm_windows: 0,
        }
    }
}

impl Threshold {
    /// Returns the level below which requests would be shed.
    pub fn level(&self) -> Level {
        Level(self.level as u16)
    }

    /// Counts a request that asks to be run.
    pub fn arrived(&mut self, class: Class) {
        self.arrivals[class.index()] += 1;
    }

    /// Returns whether a window is over, so that [`Self::update`] has something to do.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_since(self.window_started) >= WINDOW
    }

    /// Ends the window and moves the level.
    pub fn update(&mut self, now: Instant, pressure: &Pressure) {
        let elapsed = micros(now.saturating_since(self.window_started)) as f64;
        self.window_started = now;
        self.measure_demand(elapsed, pressure);
        self.learn_density();
        let windows = (elapsed / micros(WINDOW) as f64).min(f64::from(Level::COUNT));
        let excess = self.excess(pressure);
        let queued: usize = pressure.queued.iter().sum();
        if excess > 0.0 && queued as f64 > pressure.limit * QUEUE_TARGET * 0.5 {
            self.calm_windows = 0;
            self.rise(excess);
        } else if excess < 0.0 {
            self.fall(-excess, windows, queued);
        }
        self.level = self.level.min(self.highest_needed(pressure));
    }

    fn measure_demand(&mut self, elapsed: f64, pressure: &Pressure) {
        let windows = elapsed / micros(WINDOW) as f64;
        let weight = 1.0 - 1.0 / (1.0 + DEMAND_WEIGHT / (1.0 - DEMAND_WEIGHT) * windows);
        for class in 0..CLASSES {
            let work = f64::from(self.arrivals[class]) * pressure.service_micros[class];
            let demand = work / (pressure.limit * elapsed);
            self.demand[class] += weight * (demand - self.demand[class]);
            self.arrivals[class] = 0;
        }
    }

    /// Learns the demand per level of every class that is open far enough.
    fn learn_density(&mut self) {
        for class in Class::ALL {
            let open = self.open_levels(class);
            if open >= LEARNING_SHARE * f64::from(Level::PER_CLASS) {
                self.density[class.index()] = self.demand[class.index()] / open;
            }
        }
    }

    fn open_levels(&self, class: Class) -> f64 {
        let top = f64::from(Level::floor(class).0 + Level::PER_CLASS);
        (top - self.level).clamp(0.0, f64::from(Level::PER_CLASS))
    }

    /// Returns by how much the demand exceeds what can be carried; negative for headroom.
    fn excess(&self, pressure: &Pressure) -> f64 {
        let demand: f64 = self.demand.iter().sum();
        let queued: usize = pressure.queued.iter().sum();
        let off_target = queued as f64 / pressure.limit - QUEUE_TARGET;
        let service = self.mean_service(pressure);
        let correction = (off_target * service / HORIZON_MICROS).clamp(-1.0, 1.0);
        demand - 1.0 + correction
    }

    fn mean_service(&self, pressure: &Pressure) -> f64 {
        let total: f64 = self.demand.iter().sum();
        if total <= 0.0 {
            return pressure.service_micros[CLASSES - 1];
        }
        (0..CLASSES)
            .map(|class| self.demand[class] / total * pressure.service_micros[class])
            .sum()
    }

    fn rise(&mut self, excess: f64) {
        let class = class_at(self.level);
        let step = GAIN * excess / self.density[class].max(UNKNOWN_DENSITY / 16.0);
        let top = f64::from((class as u16 + 1) * Level::PER_CLASS);
        self.level = (self.level + step.min(MAX_RISE)).min(top);
    }

    fn fall(&mut self, headroom: f64, windows: f64, queued: usize) {
        self.calm_windows = match queued {
            0 => (self.calm_windows + 1).min(MAX_ACCELERATION),
            _ => 0,
        };
        let class = class_at((self.level - 1.0).max(0.0));
        let density = self.density[class].max(UNKNOWN_DENSITY / 4.0);
        let acceleration = f64::from(1 + self.calm_windows);
        let step = (GAIN * headroom / density).clamp(1.0, MAX_FALL) * acceleration * windows;
        self.level = (self.level - step).max(0.0);
    }

    /// Returns the highest level that may be needed: the floor of the lowest class that fits
    /// together with all classes above it.
    fn highest_needed(&self, pressure: &Pressure) -> f64 {
        let mut demand = 0.0;
        let mut queued = 0;
        let mut highest = f64::from(Level::COUNT);
        for class in Class::ALL.into_iter().rev() {
            demand += self.demand[class.index()];
            queued += pressure.queued[class.index()];
            let fits = demand < FITTING_DEMAND && (queued as f64) < pressure.limit * QUEUE_TARGET;
            if !fits {
                break;
            }
            highest = f64::from(Level::floor(class).0);
        }
        highest
    }
}

fn class_at(level: f64) -> usize {
    ((level as u16 / Level::PER_CLASS) as usize).min(CLASSES - 1)
}
