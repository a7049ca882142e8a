//! Periodic reports of the requests and retries that a node has sent to each service.
//!
//! The reports of all nodes add up to what the retry budget of the deployment bounds. They are few
//! enough to be kept when records about single requests are left out.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::log_record::RetryCharge;

/// Interval of the reports on services with retries.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the reports on services without retries, whose requests count all the same.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Numbers of requests and retries for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryTally {
    /// Requests, without calls that are made for retries.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
    /// Calls that were charged because they are made for a retry.
    pub calls: u32,
    /// Calls that were charged because an earlier run of the node may have started a retry for them.
    pub unattributed: u32,
    /// Retries that were not sent because the budget did not cover them.
    pub denied: u32,
    /// Calls made for a retry that were refused because the budget did not cover them.
    pub calls_denied: u32,
    /// Further attempts after one that reached no back end, which are not charged.
    pub free: u32,
}

impl RetryTally {
    fn has_retries(&self) -> bool {
        let without_requests = Self {
            requests: 0,
            ..*self
        };
        without_requests != Self::default()
    }
}

/// Tally of one service since its last report.
#[derive(Clone, Copy, Debug)]
struct Pending {
    tally: RetryTally,
    since: Instant,
}

/// Tallies of all services that are to be reported.
#[derive(Clone, Debug, Default)]
pub struct RetryReports {
    pending: BTreeMap<String, Pending>,
    next_check: Instant,
}

impl RetryReports {
    /// Counts a request for a service.
    pub fn count_request(&mut self, now: Instant, service: &str) {
        self.tally(now, service).requests += 1;
    }

    /// Counts a further attempt that is not charged.
    pub fn count_free(&mut self, now: Instant, service: &str) {
        self.tally(now, service).free += 1;
    }

    /// Counts a charge to the retry budget, or a retry or call that it does not cover.
    pub fn count_charge(&mut self, now: Instant, service: &str, charge: RetryCharge) {
        let tally = self.tally(now, service);
        let counter = match charge {
            RetryCharge::Retry => &mut tally.retries,
            RetryCharge::Call => &mut tally.calls,
            RetryCharge::Unattributed => &mut tally.unattributed,
            RetryCharge::Denied => &mut tally.denied,
            RetryCharge::CallDenied => &mut tally.calls_denied,
        };
        *counter += 1;
    }

    /// Returns the tallies that are due, each with its service and the time that it covers, and
    /// begins new ones.
    pub fn take_due(&mut self, now: Instant) -> Vec<(String, Duration, RetryTally)> {
        if now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + RETRY_INTERVAL;
        let is_due = |pending: &Pending| {
            pending.tally.has_retries() || now.saturating_since(pending.since) >= IDLE_INTERVAL
        };
        let due = self.pending.extract_if(.., |_, pending| is_due(pending));
        due.map(|(service, pending)| {
            let covered = now.saturating_since(pending.since);
            (service, covered, pending.tally)
        })
        .collect()
    }

    fn tally(&mut self, now: Instant, service: &str) -> &mut RetryTally {
        let pending = self.pending.entry(service.to_owned());
        let pending = pending.or_insert_with(|| Pending {
            tally: RetryTally::default(),
            since: now,
        });
        &mut pending.tally
    }
}
