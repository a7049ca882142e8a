//! Running estimate of how long the back end takes for a request of each class.

use std::time::Duration;

use crate::policy::Class;
use crate::time::micros;

/// Weight of a new sample once the estimate has settled.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Samples from which a class's own estimate is used instead of the one over all classes.
const SETTLED_SAMPLES: u32 = 8;

/// Moving means of one kind of request, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Time from start to end.
    latency: f64,
    /// The same without the time that its calls waited in other back ends' queues.
    occupancy: f64,
    samples: u32,
}

impl Estimate {
    fn add(&mut self, latency: f64, occupancy: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.latency += weight * (latency - self.latency);
        self.occupancy += weight * (occupancy - self.occupancy);
    }
}

/// Service time estimates of one back end.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    overall: Estimate,
    classes: [Estimate; Class::ALL.len()],
}

impl ServiceTimes {
    /// Takes in a request that was answered after `latency`, during `waited` of which calls
    /// made for it waited in other back ends' queues.
    pub fn record_answered(&mut self, class: Class, latency: Duration, waited: Duration) {
        let occupancy = micros(latency.saturating_sub(waited)) as f64;
        let latency = micros(latency) as f64;
        self.overall.add(latency, occupancy);
        self.classes[class.index()].add(latency, occupancy);
    }

    /// Takes in a request that was given up: it would have taken longer still, so it counts
    /// only if it exceeds the estimate.
    pub fn record_failed(&mut self, class: Class, latency: Duration, waited: Duration) {
        if micros(latency) as f64 > self.class(class).latency {
            self.record_answered(class, latency, waited);
        }
    }

    /// Returns the mean latency over all classes in microseconds, zero if nothing is known.
    pub fn mean_micros(&self) -> f64 {
        self.overall.latency
    }

    /// Returns the mean time in a slot over all classes in microseconds, without the waits
    /// that overload further down causes.
    pub fn mean_occupancy_micros(&self) -> f64 {
        self.overall.occupancy
    }

    /// Returns the mean time in a slot of a class in microseconds, without the waits that
    /// overload further down causes.
    pub fn class_occupancy_micros(&self, class: Class) -> f64 {
        self.class(class).occupancy
    }

    /// Returns the time that a request of a class is expected to take.
    pub fn expected(&self, class: Class) -> Duration {
        Duration::from_micros(self.class(class).latency as u64)
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
