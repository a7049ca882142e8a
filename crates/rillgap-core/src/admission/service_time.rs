//! Running estimate of how long the back end takes for a request of each class.

use std::time::Duration;

use crate::policy::Class;
use crate::time::micros;

/// Weight of a new sample once the estimate has settled.
const WEIGHT: f64 = 0.1;
/// Samples from which a class's own estimate is used instead of the one over all classes.
const SETTLED_SAMPLES: u32 = 8;

/// Moving mean and mean deviation of one kind of request, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Estimate {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        let error = sample - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
    }
}

/// Service time estimates of one back end.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    overall: Estimate,
    classes: [Estimate; Class::ALL.len()],
}

impl ServiceTimes {
    /// Takes in the latency of a request that was answered.
    pub fn answered(&mut self, class: Class, latency: Duration) {
        let sample = micros(latency) as f64;
        self.overall.add(sample);
        self.classes[class.index()].add(sample);
    }

    /// Takes in the latency of a request that was given up: it would have taken longer still,
    /// so it counts only if it exceeds the estimate.
    pub fn given_up(&mut self, class: Class, latency: Duration) {
        if micros(latency) as f64 > self.class(class).mean {
            self.answered(class, latency);
        }
    }

    /// Returns the mean over all classes in microseconds, zero if nothing is known.
    pub fn mean_micros(&self) -> f64 {
        self.overall.mean
    }

    /// Returns the mean of a class in microseconds, zero if nothing is known.
    pub fn class_mean_micros(&self, class: Class) -> f64 {
        self.class(class).mean
    }

    /// Returns the time that a request of a class is expected to take.
    pub fn expected(&self, class: Class) -> Duration {
        Duration::from_micros(self.class(class).mean as u64)
    }

    fn class(&self, class: Class) -> &Estimate {
        let own = &self.classes[class.index()];
        if own.samples >= SETTLED_SAMPLES {
            own
        } else {
            &self.overall
        }
    }
}
