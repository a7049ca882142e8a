//! Condition 4: what was told as not run was not run.
//!
//! For a request with a key this covers all that was sent with the key before the word reached
//! the caller; a later submission may run it.

use std::collections::BTreeMap;

use rillgap_core::time::Instant;

use super::{Condition, Violation};
use crate::sim::event::RootIndex;
use crate::sim::ledger::Asker;
use crate::sim::outcome::RunOutcome;

/// Checks the condition, for callers and for the calls of back ends.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let ledger = &run.ledger;
    let mut violations = Vec::new();
    let mut keyed_starts: BTreeMap<RootIndex, Instant> = BTreeMap::new();
    for (index, execution) in ledger.executions.iter().enumerate() {
        let Some(started) = execution.started else {
            continue;
        };
        let (told, asker) = match execution.asker {
            Asker::Caller(submission) => {
                if ledger.roots[execution.root].key.is_some() {
                    keyed_starts.entry(execution.root).or_insert(started);
                }
                let told = ledger.submissions[submission].told;
                (told, format!("submission {submission}"))
            }
            Asker::BackEnd(call) => (ledger.calls[call].told, format!("call {call}")),
        };
        if told.not_run() {
            violations.push(Violation {
                condition: Condition::NotRun,
                at: started,
                detail: format!("{asker} was told {told:?}, but execution {index} ran"),
            });
        }
    }
    violations.extend(check_keys(run, &keyed_starts));
    violations
}

/// Finds keys that had run when one of their submissions was told that they had not.
fn check_keys(run: &RunOutcome, starts: &BTreeMap<RootIndex, Instant>) -> Vec<Violation> {
    let submissions = run.ledger.submissions.iter().enumerate();
    submissions
        .filter(|(_, submission)| submission.told.not_run())
        .filter_map(|(index, submission)| {
            let started = *starts.get(&submission.root)?;
            (started < submission.told_at).then(|| Violation {
                condition: Condition::NotRun,
                at: submission.told_at,
                detail: format!(
                    "submission {index} of root {} was told {:?}, but its key ran before",
                    submission.root, submission.told
                ),
            })
        })
        .collect()
}
