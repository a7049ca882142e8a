//! The list of machines, which readers see late.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// One machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineEntry {
    /// Name of the node that runs on it.
    pub node: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// One state of the list.
#[derive(Clone, Debug)]
pub(super) struct MachineVersion {
    visible_at: Option<Instant>,
    pub(super) index: u64,
    pub(super) machines: Vec<MachineEntry>,
}

/// The states that readers see now or will see after the lag.
#[derive(Debug)]
pub(super) struct MachineList {
    lag: Duration,
    versions: VecDeque<MachineVersion>,
    last_index: u64,
}

impl MachineList {
    /// Creates a list whose first state is seen at once.
    pub(super) fn new(lag: Duration, machines: Vec<MachineEntry>) -> Self {
        let first = MachineVersion {
            visible_at: None,
            index: 1,
            machines,
        };
        Self {
            lag,
            versions: VecDeque::from([first]),
            last_index: 1,
        }
    }

    /// Replaces the list.
    pub(super) fn replace(&mut self, now: Instant, machines: Vec<MachineEntry>) {
        self.last_index += 1;
        self.versions.push_back(MachineVersion {
            visible_at: Some(now + self.lag),
            index: self.last_index,
            machines,
        });
    }

    /// Returns the state that readers see now.
    pub(super) fn visible(&mut self, now: Instant) -> MachineVersion {
        while self.next_is_visible(now) {
            self.versions.pop_front();
        }
        self.versions[0].clone()
    }

    fn next_is_visible(&self, now: Instant) -> bool {
        self.versions
            .get(1)
            .is_some_and(|next| next.visible_at.is_none_or(|at| at <= now))
    }
}
