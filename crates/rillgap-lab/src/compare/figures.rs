//! Figures of one run.

use rillgap_core::policy::Class;
use serde::Serialize;

use super::recovery::Recovery;
use super::variant::Variant;

/// Counts of one class during the trigger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassCounts {
    /// Requests that callers wanted; repeats are not counted.
    pub offered: u64,
    /// Requests completed whole within their deadline.
    pub good: u64,
    /// Requests that could be completed at best.
    pub best: f64,
}

impl ClassCounts {
    /// Returns good requests as a share of offered ones.
    pub fn of_offered(&self) -> f64 {
        share(self.good as f64, self.offered as f64)
    }
}

/// One second of a run, by the time at which requests were created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Second {
    /// Requests created, by class.
    pub offered: [u32; Class::ALL.len()],
    /// Requests of these that were good, by class.
    pub good: [u32; Class::ALL.len()],
    /// Requests that could be completed at best, by class.
    pub best: [f64; Class::ALL.len()],
}

/// Figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunFigures {
    /// What was run.
    pub variant: Variant,
    /// Seed of the run.
    pub seed: u64,
    /// Counts during the trigger, by class, the first to be shed first.
    pub trigger: [ClassCounts; Class::ALL.len()],
    /// Counts from the end of the warm-up to the end, by class.
    pub measured: [ClassCounts; Class::ALL.len()],
    /// Share of good requests before the trigger.
    pub before: f64,
    /// Recovery time; absent without a trigger.
    pub recovery: Option<Recovery>,
    /// Slot time of requests that were not good, as a share of all slot time.
    pub wasted: f64,
    /// Slot time used during the trigger as a share of what there is, by service.
    pub utilization: Vec<f64>,
    /// Most extra executions that one request caused.
    pub highest_retries: u32,
    /// Requests of which any submission was refused.
    pub refused: u64,
    /// Fairness between the callers of a class (Jain's index), the lowest over classes.
    pub fairness: f64,
    /// The run over time.
    pub seconds: Vec<Second>,
}

impl RunFigures {
    /// Returns all good requests during the trigger as a share of offered ones.
    pub fn goodput_of_offered(&self) -> f64 {
        let good: u64 = self.trigger.iter().map(|class| class.good).sum();
        let offered: u64 = self.trigger.iter().map(|class| class.offered).sum();
        share(good as f64, offered as f64)
    }

    /// Returns all good requests during the trigger as a share of the best.
    pub fn goodput_of_best(&self) -> f64 {
        let good: u64 = self.trigger.iter().map(|class| class.good).sum();
        let best: f64 = self.trigger.iter().map(|class| class.best).sum();
        share(good as f64, best)
    }

    /// Returns good protected requests as a share of offered ones, over the measured time.
    pub fn protected_goodput(&self) -> f64 {
        self.measured[Class::Critical.index()].of_offered()
    }

    /// Returns what protected goodput could be at best, as a share of offered.
    pub fn protected_best(&self) -> f64 {
        let critical = &self.measured[Class::Critical.index()];
        share(critical.best, critical.offered as f64)
    }
}

/// Returns a share; of nothing it is one.
pub fn share(part: f64, whole: f64) -> f64 {
    if whole <= 0.0 { 1.0 } else { part / whole }
}
