//! Condition 6: a leaving back end receives no new requests after a few seconds.

use std::time::Duration;

use super::{Condition, Violation};
use crate::sim::outcome::RunOutcome;

/// Time after which nothing new may arrive.
pub const GRACE: Duration = Duration::from_secs(5);

/// Checks the condition.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let mut violations = Vec::new();
    for leaving in &run.ledger.leavings {
        let late = run
            .ledger
            .executions
            .iter()
            .enumerate()
            .find(|(_, execution)| {
                execution.back_end == leaving.back_end
                    && execution.arrived > leaving.from + GRACE
                    && leaving.until.is_none_or(|until| execution.arrived < until)
            });
        if let Some((index, execution)) = late {
            violations.push(Violation {
                condition: Condition::Leaving,
                at: execution.arrived,
                detail: format!(
                    "{} is leaving since {} us and received execution {index}",
                    run.facts.back_ends[leaving.back_end],
                    leaving.from.as_micros()
                ),
            });
        }
    }
    violations
}
