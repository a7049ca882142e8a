//! What the back end really executed: the ground truth for whoever checks the nodes.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use super::slots::Occupancy;

/// Counts since the start.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) started: AtomicU64,
    pub(super) started_while_leaving: AtomicU64,
    pub(super) completed: AtomicU64,
    pub(super) failed: AtomicU64,
    pub(super) cancelled: AtomicU64,
    pub(super) shed: AtomicU64,
    pub(super) expired: AtomicU64,
    executions: Mutex<BTreeMap<String, u32>>,
}

/// Counts at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterValues {
    /// Requests that got a slot.
    pub started: u64,
    /// Requests that got a slot after the back end had announced that it is leaving.
    pub started_while_leaving: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Requests that failed because of one of their own calls.
    pub failed: u64,
    /// Requests whose caller went away while they ran.
    pub cancelled: u64,
    /// Requests that found the queue full.
    pub shed: u64,
    /// Requests whose deadline passed while they were queued or ran.
    pub expired: u64,
    /// Requests that run now.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
}

/// How often idempotency keys were run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Number of distinct keys.
    pub keys: usize,
    /// Highest count of a single key.
    pub highest: u32,
    /// Keys that were run more than once, with their counts.
    pub repeated: BTreeMap<String, u32>,
}

impl Counters {
    /// Counts an execution of a key and returns how many there are now.
    pub(super) fn count_execution(&self, key: &str) -> u32 {
        let mut executions = self.lock_executions();
        let count = executions.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Returns how often keys were run.
    pub(super) fn executions(&self) -> Executions {
        let executions = self.lock_executions();
        Executions {
            keys: executions.len(),
            highest: executions.values().copied().max().unwrap_or(0),
            repeated: executions
                .iter()
                .filter(|(_, count)| **count > 1)
                .map(|(key, count)| (key.clone(), *count))
                .collect(),
        }
    }

    /// Returns the counts.
    pub(super) fn values(&self, occupancy: Occupancy) -> CounterValues {
        CounterValues {
            started: self.started.load(Ordering::Relaxed),
            started_while_leaving: self.started_while_leaving.load(Ordering::Relaxed),
            completed: self.completed.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
            shed: self.shed.load(Ordering::Relaxed),
            expired: self.expired.load(Ordering::Relaxed),
            running: occupancy.running,
            queued: occupancy.queued,
        }
    }

    fn lock_executions(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, u32>> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds one to a counter.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
