//! Condition 8: an accepted policy is in force everywhere within seconds and never reverts.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::id::PolicyVersion;
use rillgap_core::time::Instant;

use super::{Condition, Violation};
use crate::sim::event::HostIndex;
use crate::sim::ledger::{HostRecord, HostRecordKind};
use crate::sim::outcome::RunOutcome;

/// Time within which an accepted policy must be in force on every machine that serves.
pub const GRACE: Duration = Duration::from_secs(3);

/// State of one host as its records tell it.
#[derive(Clone, Copy, Debug, Default)]
struct HostState {
    awake: bool,
    serving: bool,
    policy: PolicyVersion,
}

/// Checks the condition.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let mut violations = shared_versions(run);
    violations.extend(stale_dispatches(run));
    violations.extend(laggards(run));
    violations
}

fn accepted(run: &RunOutcome) -> impl Iterator<Item = (Instant, PolicyVersion)> + '_ {
    let changes = run.ledger.changes.iter();
    changes.filter_map(|change| change.accepted)
}

/// Finds versions that two operators were told to be theirs.
fn shared_versions(run: &RunOutcome) -> Vec<Violation> {
    let mut seen = BTreeMap::new();
    let mut violations = Vec::new();
    for (at, version) in accepted(run) {
        if seen.insert(version, at).is_some() {
            violations.push(violation(
                at,
                format!("version {} was accepted for two changes", version.0),
            ));
        }
    }
    violations
}

/// Finds requests sent to a back end under a policy that should long have been replaced.
fn stale_dispatches(run: &RunOutcome) -> Vec<Violation> {
    let records = run.ledger.host_records.iter();
    records
        .filter_map(|record| {
            let HostRecordKind::StaleDispatch(version) = record.kind else {
                return None;
            };
            let expected = expected_at(run, record.at);
            (version < expected).then(|| {
                let name = &run.facts.hosts[record.host];
                let detail = format!(
                    "{name} works under version {}, accepted is {}",
                    version.0, expected.0
                );
                violation(record.at, detail)
            })
        })
        .collect()
}

/// Returns the highest version accepted longer ago than the grace.
fn expected_at(run: &RunOutcome, at: Instant) -> PolicyVersion {
    accepted(run)
        .filter(|(time, _)| *time + GRACE <= at)
        .map(|(_, version)| version)
        .max()
        .unwrap_or_default()
}

/// Finds reverts, and hosts that serve without the accepted policy.
fn laggards(run: &RunOutcome) -> Vec<Violation> {
    let mut states: BTreeMap<HostIndex, HostState> = BTreeMap::new();
    let mut violations = Vec::new();
    let mut deadlines: Vec<Instant> = accepted(run).map(|(time, _)| time + GRACE).collect();
    deadlines.sort_unstable();
    let mut deadlines = deadlines.into_iter().peekable();
    for record in &run.ledger.host_records {
        while let Some(deadline) = deadlines.next_if(|deadline| *deadline <= record.at) {
            violations.extend(check_all(run, &states, deadline));
        }
        let state = states.entry(record.host).or_default();
        violations.extend(apply(run, record, state));
    }
    for deadline in deadlines.filter(|deadline| *deadline <= run.end) {
        violations.extend(check_all(run, &states, deadline));
    }
    violations
}

fn apply(run: &RunOutcome, record: &HostRecord, state: &mut HostState) -> Option<Violation> {
    match record.kind {
        HostRecordKind::Started => {
            *state = HostState {
                awake: true,
                ..HostState::default()
            };
        }
        HostRecordKind::Killed | HostRecordKind::Exited { .. } => *state = HostState::default(),
        HostRecordKind::Frozen => state.awake = false,
        HostRecordKind::Thawed => state.awake = true,
        HostRecordKind::Serving(serving) => {
            state.serving = serving;
            return check_host(run, record.host, *state, record.at);
        }
        HostRecordKind::Policy(version) => {
            let earlier = std::mem::replace(&mut state.policy, version);
            if version < earlier {
                let name = &run.facts.hosts[record.host];
                let detail = format!("{name} went from {} back to {}", earlier.0, version.0);
                return Some(violation(record.at, detail));
            }
        }
        HostRecordKind::Stopping | HostRecordKind::StaleDispatch(_) => {}
    }
    None
}

fn check_all(
    run: &RunOutcome,
    states: &BTreeMap<HostIndex, HostState>,
    at: Instant,
) -> Vec<Violation> {
    states
        .iter()
        .filter_map(|(host, state)| check_host(run, *host, *state, at))
        .collect()
}

fn check_host(
    run: &RunOutcome,
    host: HostIndex,
    state: HostState,
    at: Instant,
) -> Option<Violation> {
    let expected = expected_at(run, at);
    (state.awake && state.serving && state.policy < expected).then(|| {
        let name = &run.facts.hosts[host];
        let detail = format!(
            "{name} serves with version {}, accepted is {}",
            state.policy.0, expected.0
        );
        violation(at, detail)
    })
}

fn violation(at: Instant, detail: String) -> Violation {
    Violation {
        condition: Condition::PolicySpread,
        at,
        detail,
    }
}
