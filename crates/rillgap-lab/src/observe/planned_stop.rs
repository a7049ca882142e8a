//! Condition 7: a planned stop cuts no request that is in flight.

use super::{Condition, Violation};
use crate::sim::ledger::HostRecordKind;
use crate::sim::outcome::RunOutcome;

/// Checks the condition: nothing is open when the process ends by itself.
pub fn check(run: &RunOutcome) -> Vec<Violation> {
    let records = run.ledger.host_records.iter();
    records
        .filter_map(|record| match record.kind {
            HostRecordKind::Exited {
                open_inbounds,
                running,
            } if open_inbounds + running > 0 => Some(Violation {
                condition: Condition::PlannedStop,
                at: record.at,
                detail: format!(
                    "{} ended with {open_inbounds} requests open and {running} running",
                    run.facts.hosts[record.host]
                ),
            }),
            _ => None,
        })
        .collect()
}
