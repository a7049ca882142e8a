//! How usable non-repeatable requests stay: what callers were told in the end.

use crate::sim::ledger::Asker;
use crate::sim::outcome::RunOutcome;

/// Requests with a key, counted by how they ended for their callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyedUsability {
    /// Requests that callers wanted.
    pub wanted: u64,
    /// Completed, at the first or a later try.
    pub completed: u64,
    /// Last told that it was not run, and it never ran.
    pub refused: u64,
    /// Last told that the outcome is unknown (or nothing), and it ran.
    pub unknown_ran: u64,
    /// Last told that the outcome is unknown (or nothing), and it never ran.
    pub unknown_not_run: u64,
}

impl KeyedUsability {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: Self) {
        self.wanted += other.wanted;
        self.completed += other.completed;
        self.refused += other.refused;
        self.unknown_ran += other.unknown_ran;
        self.unknown_not_run += other.unknown_not_run;
    }
}

/// Counts how requests with a key ended.
pub fn measure(run: &RunOutcome) -> KeyedUsability {
    let ledger = &run.ledger;
    let mut ran = vec![false; ledger.roots.len()];
    for execution in &ledger.executions {
        if matches!(execution.asker, Asker::Caller(_)) && execution.started.is_some() {
            ran[execution.root] = true;
        }
    }
    let mut usability = KeyedUsability::default();
    for (index, root) in ledger.roots.iter().enumerate() {
        if root.key.is_none() {
            continue;
        }
        usability.wanted += 1;
        let last = root.submissions.last().copied();
        let refused = last.is_some_and(|last| ledger.submissions[last].told.not_run());
        let counter = match (root.completed.is_some(), refused, ran[index]) {
            (true, _, _) => &mut usability.completed,
            (false, true, _) => &mut usability.refused,
            (false, false, true) => &mut usability.unknown_ran,
            (false, false, false) => &mut usability.unknown_not_run,
        };
        *counter += 1;
    }
    usability
}
