//! Runs of the local back end that are retries, with the retries that are reserved for their calls.
//!
//! The calls of a retried run reach the services below as retries. A run that could not make them
//! all would fail after work was done for it, so it is begun only if the budget covers the calls
//! that it is expected to make.

use std::collections::BTreeMap;

use crate::id::{LinkId, Sequence};
use crate::inbound::CallCounts;

/// An attempt as its sender knows it.
pub type AttemptId = (LinkId, Sequence);

/// A retried run that waits for the back end or runs there.
#[derive(Clone, Debug)]
struct RetriedRun {
    request_id: String,
    /// Retries that are reserved for calls which the run has not made yet.
    reserved: CallCounts,
}

/// Retried runs, by the attempt that began them.
#[derive(Clone, Debug, Default)]
pub struct RetriedRuns {
    runs: BTreeMap<AttemptId, RetriedRun>,
}

impl RetriedRuns {
    /// Records a run and the retries that are reserved for its calls.
    pub fn begin(&mut self, attempt: AttemptId, request_id: &str, reserved: CallCounts) {
        let run = RetriedRun {
            request_id: request_id.to_owned(),
            reserved,
        };
        self.runs.insert(attempt, run);
    }

    /// Takes the retry that is reserved for a call of a run to a service. Returns whether there is
    /// one.
    pub fn take_reserved(&mut self, request_id: &str, service: &str) -> bool {
        let runs = self.runs.values_mut();
        let of_request = runs.filter(|run| run.request_id == request_id);
        for run in of_request {
            let reserved = run.reserved.get_mut(service).filter(|count| **count > 0);
            if let Some(count) = reserved {
                *count -= 1;
                return true;
            }
        }
        false
    }

    /// Removes the runs that have ended, and returns the retries that were still reserved for them.
    pub fn remove_ended(&mut self, is_known: impl Fn(AttemptId) -> bool) -> Vec<CallCounts> {
        let ended: Vec<AttemptId> = self
            .runs
            .keys()
            .copied()
            .filter(|attempt| !is_known(*attempt))
            .collect();
        let removed = ended.iter().filter_map(|attempt| self.runs.remove(attempt));
        removed.map(|run| run.reserved).collect()
    }
}
