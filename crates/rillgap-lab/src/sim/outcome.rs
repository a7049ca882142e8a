//! What a finished run leaves.

use std::sync::Arc;

use rillgap_core::time::Instant;

use super::ledger::Ledger;
use super::world::World;
use crate::model::scenario::Scenario;

/// A finished run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Scenario that ran.
    pub scenario: Arc<Scenario>,
    /// Seed of the run.
    pub seed: u64,
    /// Ground truth.
    pub ledger: Ledger,
    /// Facts about hosts and back ends that observers need.
    pub facts: Facts,
    /// Digest of all events; equal runs have equal digests.
    pub digest: u64,
    /// Number of events that nodes have handled.
    pub node_events: u64,
    /// Readable record, empty unless it was asked for.
    pub timeline: String,
    /// Virtual time at the end.
    pub end: Instant,
}

/// Names of hosts and back ends by their positions.
#[derive(Debug, Default)]
pub struct Facts {
    /// Names of hosts.
    pub hosts: Vec<String>,
    /// Names of back ends.
    pub back_ends: Vec<String>,
    /// Hosts whose process runs and is not frozen at the end.
    pub awake_at_end: Vec<bool>,
}

impl RunOutcome {
    /// Takes what matters out of a world.
    pub fn new(world: World, seed: u64) -> Self {
        let facts = Facts {
            hosts: world.hosts.iter().map(|host| host.name.0.clone()).collect(),
            back_ends: world
                .back_ends
                .iter()
                .map(|end| end.name.0.clone())
                .collect(),
            awake_at_end: world.hosts.iter().map(|host| host.is_awake()).collect(),
        };
        Self {
            digest: world.digest(),
            node_events: world.node_events,
            timeline: world.timeline.text().to_owned(),
            end: world.time,
            scenario: world.scenario,
            ledger: world.ledger,
            facts,
            seed,
        }
    }
}

/// Requests of one group of callers, counted by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupSummary {
    /// Requests that callers wanted.
    pub wanted: u64,
    /// Completed within the caller's patience, at the first or a later try.
    pub completed: u64,
    /// Requests sent, repeats included.
    pub submissions: u64,
    /// Submissions told not run.
    pub not_run: u64,
    /// Submissions told an unknown outcome, broken, lost or given up on.
    pub unknown: u64,
}

impl RunOutcome {
    /// Counts what became of the requests of each group of callers.
    pub fn summary(&self) -> Vec<GroupSummary> {
        let mut groups = vec![GroupSummary::default(); self.scenario.callers.len()];
        for root in &self.ledger.roots {
            let group = &mut groups[root.group];
            group.wanted += 1;
            group.completed += u64::from(root.completed.is_some());
            for submission in &root.submissions {
                let told = self.ledger.submissions[*submission].told;
                group.submissions += 1;
                if told.not_run() {
                    group.not_run += 1;
                } else if !told.succeeded() {
                    group.unknown += 1;
                }
            }
        }
        groups
    }
}
