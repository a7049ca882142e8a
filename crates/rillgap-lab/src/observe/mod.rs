//! Observers: each checks one condition against the ground truth of a run.
//!
//! They read the ledger of the simulation (what back ends ran, what callers were told), never
//! what nodes say about themselves.

use std::fmt;

use rillgap_core::time::Instant;

use crate::sim::outcome::RunOutcome;

pub mod at_most_once;
pub mod class_order;
pub mod leaving;
pub mod not_run;
pub mod planned_stop;
pub mod policy_spread;
pub mod retry_bound;
pub mod usability;
pub mod whole_answers;

/// The conditions that must always hold, in the order of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Retries for one request stay within a fixed bound over the whole chain.
    RetryBound,
    /// Protected work is shed after browsing and bulk downloads.
    ClassOrder,
    /// Callers receive the complete answer to their own request.
    WholeAnswers,
    /// What callers are told was not run was not run.
    NotRun,
    /// Requests that may not be repeated run at most once.
    AtMostOnce,
    /// A leaving back end receives nothing new after a few seconds.
    Leaving,
    /// A planned stop cuts nothing in flight.
    PlannedStop,
    /// An accepted policy is in force everywhere within seconds and never reverts.
    PolicySpread,
}

impl Condition {
    /// All conditions, in order.
    pub const ALL: [Self; 8] = [
        Self::RetryBound,
        Self::ClassOrder,
        Self::WholeAnswers,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::PlannedStop,
        Self::PolicySpread,
    ];

    /// Returns the number of the condition, from one.
    pub const fn number(self) -> usize {
        self as usize + 1
    }
}

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub condition: Condition,
    /// When it was broken.
    pub at: Instant,
    /// What happened, for people.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at.as_micros() as f64 / 1e6;
        let number = self.condition.number();
        let (condition, detail) = (self.condition, &self.detail);
        write!(
            formatter,
            "condition {number} ({condition:?}) broken at {seconds:.6} s: {detail}"
        )
    }
}

/// Checks all conditions.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let checks: [fn(&RunOutcome) -> Vec<Violation>; 8] = [
        retry_bound::check,
        class_order::check,
        whole_answers::check,
        not_run::check,
        at_most_once::check,
        leaving::check,
        planned_stop::check,
        policy_spread::check,
    ];
    checks.iter().flat_map(|check| check(run)).collect()
}
