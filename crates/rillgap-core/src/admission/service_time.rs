//! Moving estimate of the time that a back end takes for requests of each class.

use std::time::Duration;

use crate::policy::Class;
use crate::time::micros;

/// Minimum weight of a new sample. Until 10 samples are recorded, the estimate is their plain mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Number of samples from which the estimate of a class replaces the one over all classes.
const SETTLED_SAMPLES: u32 = 8;

/// Moving means over one class of requests or over all, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Time from start to end.
    latency: f64,
    /// Latency without the time that nested calls spent in queues of other back ends.
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
    /// Records a request that was answered after `latency`. Its nested calls spent `waited` of that
    /// in queues of other back ends.
    pub fn record_answered(&mut self, class: Class, latency: Duration, waited: Duration) {
        let occupancy = micros(latency.saturating_sub(waited)) as f64;
        let latency = micros(latency) as f64;
        self.overall.add(latency, occupancy);
        self.classes[class.index()].add(latency, occupancy);
    }

    /// Records a request that failed or was cancelled after `latency`. Its full latency is unknown
    /// but longer, so the sample is used only if it exceeds the estimate.
    pub fn record_failed(&mut self, class: Class, latency: Duration, waited: Duration) {
        if micros(latency) as f64 > self.class(class).latency {
            self.record_answered(class, latency, waited);
        }
    }

    /// Returns the mean latency over all classes in microseconds; 0 without samples.
    pub fn mean_micros(&self) -> f64 {
        self.overall.latency
    }

    /// Returns the mean slot time over all classes in microseconds, without the queueing that
    /// downstream overload causes.
    pub fn mean_occupancy_micros(&self) -> f64 {
        self.overall.occupancy
    }

    /// Returns the mean slot time of a class in microseconds, without the queueing that downstream
    /// overload causes.
    pub fn class_occupancy_micros(&self, class: Class) -> f64 {
        self.class(class).occupancy
    }

    /// Returns the expected latency of a request of a class.
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
