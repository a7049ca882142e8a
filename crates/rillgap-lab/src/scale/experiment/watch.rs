//! Watches running hosts during a fault.

use std::collections::BTreeSet;

use crate::scale::fleet::Fleet;
use crate::scale::report::FaultReport;

/// Watches who is removed or stops serving although it runs and is not part of a fault.
pub(super) struct Watch {
    excused: BTreeSet<usize>,
    removed: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
}

impl Watch {
    pub(super) fn new(excused: &[usize]) -> Self {
        Self {
            excused: excused.iter().copied().collect(),
            removed: BTreeSet::new(),
            stopped: BTreeSet::new(),
        }
    }

    /// Takes a host into the fault: it may stop serving.
    pub(super) fn excuse(&mut self, host: usize) {
        self.excused.insert(host);
    }

    pub(super) fn look(&mut self, fleet: &Fleet) {
        let Some(viewer) = fleet
            .running()
            .filter(|host| fleet.hosts[*host].serving)
            .max_by_key(|host| fleet.view_version(*host))
        else {
            return;
        };
        for host in fleet.running() {
            let is_restarted = fleet.hosts[host].run > 1 && !fleet.hosts[host].serving;
            if !is_restarted && !fleet.is_member(host, viewer) {
                self.removed.insert(host);
            }
            if !fleet.hosts[host].serving && !self.excused.contains(&host) {
                self.stopped.insert(host);
            }
        }
    }

    pub(super) fn write(&self, report: &mut FaultReport) {
        report.false_removals = self.removed.len();
        report.stopped_serving = self.stopped.len();
    }
}
