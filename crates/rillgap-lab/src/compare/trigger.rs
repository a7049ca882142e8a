//! The time during which a scenario disturbs the services.

use rillgap_core::time::Instant;

use crate::model::fault::{Fault, TimedFault};
use crate::model::scenario::Scenario;

/// Time for which figures ignore the start of a run without a trigger, in milliseconds. With a
/// trigger it is the first half of the time before it.
pub const WARM_UP_MILLIS: u64 = 4_000;

/// Span of virtual time, in milliseconds; the end is excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Begin.
    pub from: u64,
    /// End.
    pub to: u64,
}

impl Span {
    /// Returns whether a moment lies in the span.
    pub fn contains(&self, at: Instant) -> bool {
        let millis = at.as_micros() / 1_000;
        (self.from..self.to).contains(&millis)
    }
}

/// Spans of a run that figures refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spans {
    /// From the end of the warm-up to the trigger.
    pub before: Span,
    /// The trigger; without one, the whole time after the warm-up.
    pub trigger: Span,
    /// From the end of the warm-up to the last arrival.
    pub measured: Span,
    /// Whether the scenario has a trigger at all.
    pub disturbed: bool,
}

impl Spans {
    /// Returns the spans of a scenario.
    pub fn of(scenario: &Scenario) -> Self {
        let faults: Vec<&TimedFault> = scenario
            .faults
            .iter()
            .filter(|timed| disturbs_calls(&timed.fault))
            .collect();
        let from = faults.iter().map(|timed| timed.at_millis).min();
        let to = faults
            .iter()
            .map(|timed| timed.at_millis + timed.for_millis);
        let warm_up = from.map_or(WARM_UP_MILLIS, |from| from / 2);
        let measured = Span {
            from: warm_up.min(scenario.duration_millis),
            to: scenario.duration_millis,
        };
        match (from, to.max()) {
            (Some(from), Some(to)) => Self {
                before: Span {
                    from: measured.from,
                    to: from,
                },
                trigger: Span { from, to },
                measured,
                disturbed: true,
            },
            _ => Self {
                before: measured,
                trigger: measured,
                measured,
                disturbed: false,
            },
        }
    }
}

/// Returns whether a fault disturbs calls directly; the platform's faults only coincide.
fn disturbs_calls(fault: &Fault) -> bool {
    !matches!(
        fault,
        Fault::StoreDown
            | Fault::StoreSlow { .. }
            | Fault::StoreLosesAnswers
            | Fault::StoreStale
            | Fault::MachineListStuck
    )
}
