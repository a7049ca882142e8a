//! Condition 3: every whole answer is complete and belongs to its own request.

use super::{Condition, Violation};
use crate::sim::ledger::Told;
use crate::sim::outcome::RunOutcome;

/// Checks the condition, for callers and for the calls of back ends.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, submission) in run.ledger.submissions.iter().enumerate() {
        if let Told::Answer {
            fault: Some(fault), ..
        } = submission.told
        {
            violations.push(Violation {
                condition: Condition::WholeAnswers,
                at: submission.told_at,
                detail: format!("submission {index}: body is {fault:?}"),
            });
        }
    }
    for (index, call) in run.ledger.calls.iter().enumerate() {
        if let Told::Answer {
            fault: Some(fault), ..
        } = call.told
        {
            violations.push(Violation {
                condition: Condition::WholeAnswers,
                at: call.sent,
                detail: format!("call {index} of a back end: body is {fault:?}"),
            });
        }
    }
    violations
}
