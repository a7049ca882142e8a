//! Condition 2: protected work is refused for load only where no unprotected work is begun.
//!
//! Checked at two places: beside a back end (nothing unprotected is handed to the same back end
//! from the arrival of the refused request to its refusal), and at an entry node (nothing
//! unprotected for the same service is let in there within [`ENTRY_WINDOW`] after the refusal).
//! Up to [`TOLERATED_SHARE`] of the protected requests of a run may break it, because a
//! threshold takes a round trip to reach the entries.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::policy::Class;
use rillgap_core::time::Instant;

use super::{Condition, Violation};
use crate::sim::event::HostIndex;
use crate::sim::ledger::{Asker, Told};
use crate::sim::outcome::RunOutcome;

/// Time within which a request let in counts as of the same instant.
pub const ENTRY_WINDOW: Duration = Duration::from_millis(10);
/// Share of the protected requests that may break the order.
pub const TOLERATED_SHARE: f64 = 0.001;

/// Checks the condition.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let mut violations = check_gates(run);
    violations.extend(check_entries(run));
    let protected = run
        .ledger
        .submissions
        .iter()
        .filter(|submission| run.ledger.roots[submission.root].class == Class::Critical)
        .count();
    let tolerated = protected as f64 * TOLERATED_SHARE;
    if violations.len() as f64 <= tolerated {
        violations.clear();
    }
    violations
}

fn is_unprotected(class: Class) -> bool {
    class <= Class::Sheddable
}

const fn is_for_load(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Overloaded | ResultCode::QueueFull | ResultCode::DeadlineUnmet
    )
}

fn check_gates(run: &RunOutcome) -> Vec<Violation> {
    let ledger = &run.ledger;
    let refusals = ledger.gate_refusals.iter();
    refusals
        .filter(|refusal| refusal.class == Class::Critical && is_for_load(refusal.code))
        .filter_map(|refusal| {
            let mut begun = ledger.executions[refusal.executions.clone()].iter();
            let other = begun.find(|execution| {
                execution.back_end == refusal.back_end
                    && is_unprotected(ledger.roots[execution.root].class)
            })?;
            Some(Violation {
                condition: Condition::ClassOrder,
                at: other.arrived,
                detail: format!(
                    "{} refused a protected attempt ({:?}) and began unprotected work meanwhile",
                    run.facts.back_ends[refusal.back_end], refusal.code
                ),
            })
        })
        .collect()
}

fn check_entries(run: &RunOutcome) -> Vec<Violation> {
    let ledger = &run.ledger;
    let mut let_in: BTreeMap<(HostIndex, usize), Vec<Instant>> = BTreeMap::new();
    for execution in &ledger.executions {
        if let Asker::Caller(submission) = execution.asker
            && is_unprotected(ledger.roots[execution.root].class)
        {
            let submission = &ledger.submissions[submission];
            let times = let_in
                .entry((submission.host, service_of(run, execution.route)))
                .or_default();
            times.push(submission.sent);
        }
    }
    for times in let_in.values_mut() {
        times.sort_unstable();
    }
    let mut violations = Vec::new();
    for (index, submission) in ledger.submissions.iter().enumerate() {
        let root = &ledger.roots[submission.root];
        let refused = submission.told == Told::Refused(ResultCode::Overloaded);
        if !refused || root.class != Class::Critical {
            continue;
        }
        let place = (submission.host, service_of(run, root.route));
        let times = let_in.get(&place).map_or(&[][..], Vec::as_slice);
        let next = times.partition_point(|time| *time < submission.sent);
        let end = submission.sent + ENTRY_WINDOW;
        if times.get(next).is_some_and(|time| *time <= end) {
            violations.push(Violation {
                condition: Condition::ClassOrder,
                at: submission.sent,
                detail: format!("submission {index} shed at the entry, unprotected work let in"),
            });
        }
    }
    violations
}

fn service_of(run: &RunOutcome, route: usize) -> usize {
    let name = &run.scenario.routes[route].service;
    run.scenario.service_index(name).unwrap_or(0)
}
