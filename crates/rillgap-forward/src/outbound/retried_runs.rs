//! Runs of the local back end that are retries, with the retries that are reserved for their calls.
//!
//! The calls of a retried run reach the services below as retries. A run that could not make them
//! all would fail after work was done for it, so it is begun only if the budget covers the calls
//! that it is expected to make.

use std::collections::BTreeMap;

use rillgap_core::time::Instant;

use crate::id::{LinkId, Sequence};
use crate::inbound::CallCounts;

/// An attempt as its sender knows it.
pub type AttemptId = (LinkId, Sequence);

/// Maximum number of ended runs that are remembered.
const MAX_ENDED_RUNS: usize = 4_096;

/// A retried run that waits for the back end or runs there.
#[derive(Clone, Debug)]
struct RetriedRun {
    request_id: String,
    deadline: Instant,
    /// Retries that are reserved for calls which the run has not made yet.
    reserved: CallCounts,
}

/// Retried runs, by the attempt that began them.
///
/// A run that has ended for the node, because its answer was lost or nobody waits for it, may go on
/// at the back end until its deadline. Its identifier is remembered until then, so that its calls
/// are still known as calls of a retry.
#[derive(Clone, Debug, Default)]
pub struct RetriedRuns {
    runs: BTreeMap<AttemptId, RetriedRun>,
    /// Deadlines of the runs that have ended, by request.
    ended: BTreeMap<String, Instant>,
}

impl RetriedRuns {
    /// Records a run and the retries that are reserved for its calls.
    pub fn begin(
        &mut self,
        attempt: AttemptId,
        request_id: &str,
        deadline: Instant,
        reserved: CallCounts,
    ) {
        let run = RetriedRun {
            request_id: request_id.to_owned(),
            deadline,
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

    /// Returns whether a request has had a retried run here that has ended and may still go on at
    /// the back end.
    pub fn has_ended_run(&self, now: Instant, request_id: &str) -> bool {
        let deadline = self.ended.get(request_id);
        deadline.is_some_and(|deadline| now <= *deadline)
    }

    /// Removes the runs that have ended, and returns the retries that were still reserved for them.
    pub fn remove_ended(
        &mut self,
        now: Instant,
        is_known: impl Fn(AttemptId) -> bool,
    ) -> Vec<CallCounts> {
        let ended: Vec<AttemptId> = self
            .runs
            .keys()
            .copied()
            .filter(|attempt| !is_known(*attempt))
            .collect();
        let mut released = Vec::new();
        for attempt in ended {
            if let Some(run) = self.runs.remove(&attempt) {
                self.remember(now, run.request_id, run.deadline);
                released.push(run.reserved);
            }
        }
        released
    }

    fn remember(&mut self, now: Instant, request_id: String, deadline: Instant) {
        if self.ended.len() >= MAX_ENDED_RUNS {
            self.ended.retain(|_, deadline| now <= *deadline);
        }
        if self.ended.len() < MAX_ENDED_RUNS {
            self.ended.insert(request_id, deadline);
        }
    }
}
