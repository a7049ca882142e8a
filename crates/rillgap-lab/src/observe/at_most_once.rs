//! Condition 5: a request that may not be repeated runs at most once.

use std::collections::BTreeMap;

use super::{Condition, Violation};
use crate::sim::event::{ExecutionIndex, RootIndex};
use crate::sim::ledger::Asker;
use crate::sim::outcome::RunOutcome;

/// Checks the condition: no key is started twice, whichever submission asked.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let ledger = &run.ledger;
    let mut first: BTreeMap<RootIndex, ExecutionIndex> = BTreeMap::new();
    let mut violations = Vec::new();
    for (index, execution) in ledger.executions.iter().enumerate() {
        let from_caller = matches!(execution.asker, Asker::Caller(_));
        let keyed = ledger.roots[execution.root].key.is_some();
        let Some(started) = execution.started.filter(|_| from_caller && keyed) else {
            continue;
        };
        if let Some(earlier) = first.insert(execution.root, index) {
            let names = &run.facts.back_ends;
            violations.push(Violation {
                condition: Condition::AtMostOnce,
                at: started,
                detail: format!(
                    "root {}: execution {earlier} at {} and execution {index} at {}",
                    execution.root,
                    names[ledger.executions[earlier].back_end],
                    names[execution.back_end]
                ),
            });
        }
    }
    violations
}
