//! Charges to the retry budget for the calls of retried runs, which are reserved before such a run
//! begins, and the records of all charges.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::retried_runs::AttemptId;
use super::{Origin, Outbound, OutboundContext};
use crate::action::Action;
use crate::event::CallerRequest;
use crate::inbound::{CallCounts, Inbound};
use crate::log_record::{LogRecord, RetryCharge};
use crate::message::ForwardedRequest;

impl Outbound {
    /// Reserves retries for the calls that a retried run is expected to make. Returns whether the
    /// budget covers them.
    pub fn reserve_calls(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        request: &ForwardedRequest,
        calls: CallCounts,
    ) -> bool {
        let is_covered = self.budget.try_reserve(now, &calls);
        if is_covered {
            let deadline = now + Duration::from_micros(request.remaining_micros);
            self.retried_runs
                .begin(attempt, &request.request_id, deadline, calls);
        }
        is_covered
    }

    /// Returns the origin of a request that has the identifier of a call, but whose parent does not
    /// run at the local back end.
    pub fn origin_without_parent(&self, now: Instant, parent_id: &str) -> Origin {
        if self.retried_runs.has_ended_run(now, parent_id) {
            Origin::EndedRetry
        } else if self.budget.may_have_earlier_charges(now) {
            Origin::Unattributed
        } else {
            Origin::Caller
        }
    }

    /// Releases the retries that are reserved for runs which have ended.
    pub fn release_ended_runs(&mut self, now: Instant, inbound: &Inbound) {
        let is_known = |(link, sequence)| inbound.is_unfinished(link, sequence);
        for reserved in self.retried_runs.remove_ended(now, is_known) {
            self.budget.release(&reserved);
        }
    }

    /// Logs that a request was charged to the retry budget, or that the budget does not cover it.
    pub(super) fn log_retry_charge(
        &mut self,
        now: Instant,
        request_id: &str,
        service: &str,
        charge: RetryCharge,
        context: &mut OutboundContext<'_>,
    ) {
        self.retry_reports.count_charge(now, service, charge);
        context.out.push(Action::Log(LogRecord::RetryBudget {
            request_id: request_id.to_owned(),
            service: service.to_owned(),
            charge,
            state: self.budget.state(now, service),
        }));
    }

    /// Logs the requests and retries of each service since its last report.
    pub(super) fn report_retries(&mut self, now: Instant, context: &mut OutboundContext<'_>) {
        for (service, covered, tally) in self.retry_reports.take_due(now) {
            let state = self.budget.state(now, &service);
            context.out.push(Action::Log(LogRecord::ServiceRetries {
                service,
                covered_millis: u64::try_from(covered.as_millis()).unwrap_or(u64::MAX),
                tally,
                state,
                slack_part: self.budget.slack_part(now),
                nodes: self.budget.known_nodes(),
            }));
        }
    }

    /// Charges a call of a retried run to the retry budget. Returns whether the budget covers it.
    pub(super) fn charge_call(
        &mut self,
        now: Instant,
        caller: &CallerRequest,
        service: &str,
        context: &mut OutboundContext<'_>,
    ) -> bool {
        let parent_id = caller.parent_id.as_deref().unwrap_or_default();
        let is_reserved = self.retried_runs.take_reserved(parent_id, service);
        let is_covered = self.budget.try_spend_call(now, service, is_reserved);
        let charge = if is_covered {
            RetryCharge::Call
        } else {
            RetryCharge::CallDenied
        };
        self.log_retry_charge(now, &caller.request_id, service, charge, context);
        is_covered
    }
}
