//! Handling of the result of an attempt: answer, retry on another node, or refusal.

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::request::{Request, RequestKey};
use super::{MAX_RETRIES, MAX_TRANSPARENT_RETRIES, Outbound, OutboundContext};
use crate::action::Action;
use crate::crash::Suspicion;
use crate::id::Sequence;
use crate::log_record::{LogRecord, RetryCharge};
use crate::message::{ForwardResult, ForwardedAnswer, NotRunProof};

/// Minimum number of serving back ends for an immediate retry of a request during which a back end
/// crashed. The retry may crash another one; with few back ends, that takes away much of the
/// service's capacity.
const MIN_BACK_ENDS_FOR_CRASH_RETRY: usize = 4;

/// Status from which an answer is a failure of the back end.
const INTERNAL_SERVER_ERROR: u16 = 500;

impl Outbound {
    /// Handles the result of an attempt while another one of the same request is in flight. Only a success
    /// ends the request: what the other attempt brings is not known yet.
    fn on_result_beside_another(
        &mut self,
        now: Instant,
        key: RequestKey,
        result: ForwardResult,
        context: &mut OutboundContext<'_>,
    ) {
        match result {
            ForwardResult::Answered(answer) if answer.status < INTERNAL_SERVER_ERROR => {
                self.finish_forwarded(now, key, answer, context);
            }
            ForwardResult::Answered(answer) => {
                if let Some(request) = self.requests.get_mut(&key) {
                    request.failed_answer = Some(answer);
                }
            }
            ForwardResult::NotRun {
                proof,
                retry_after_millis,
                ..
            } => {
                if let Some(request) = self.requests.get_mut(&key) {
                    request.record_not_run(proof, retry_after_millis);
                }
            }
            ForwardResult::Unknown { .. } => {}
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.resume_overdue_attempt();
        }
    }

    /// Handles an answer that has begun and is not whole although it is overdue: a request that may be
    /// repeated is sent to another back end as well, if answers of its service are seldom overdue.
    pub fn on_answer_overdue(
        &mut self,
        now: Instant,
        sequence: Sequence,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(key) = self.by_sequence.get(&sequence).copied() else {
            return;
        };
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        if !request.mark_overdue(sequence) {
            return;
        }
        let service = request.forwarded.service.clone();
        let is_usual = self.overdue_answers.is_usual(now, &service);
        self.overdue_answers.record(now, &service, true);
        if is_usual
            || !self.has_other_target(now, key, context)
            || !self.try_spend_retry(now, key, context)
        {
            return;
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.keep_overdue_attempt();
        }
        self.retry(now, key, ResultCode::AnswerTimeout, true, context);
    }

    pub(super) fn on_result(
        &mut self,
        now: Instant,
        key: RequestKey,
        result: ForwardResult,
        context: &mut OutboundContext<'_>,
    ) {
        let is_beside_another = self.requests.get(&key).is_some_and(Request::is_in_flight);
        if is_beside_another {
            self.on_result_beside_another(now, key, result, context);
            return;
        }
        match result {
            ForwardResult::Answered(answer) => self.on_answer(now, key, answer, context),
            ForwardResult::NotRun {
                code,
                proof,
                retry_after_millis,
            } => self.on_not_run(now, key, code, proof, retry_after_millis, context),
            ForwardResult::Unknown { code } => self.on_unknown(now, key, code, context),
        }
    }

    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        key: RequestKey,
        forwarded: ForwardedAnswer,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.may_have_run = true;
        self.budget
            .record_attempt(now, &request.forwarded.service, false);
        // A failed call was already retried by the node that made it, within the budget. Retrying
        // the whole chain above it would cost a retry at every service of the chain.
        let is_failure = forwarded.status >= 500 && !request.has_failed_call;
        if is_failure
            && self.has_other_target(now, key, context)
            && self.try_spend_retry(now, key, context)
        {
            if let Some(request) = self.requests.get_mut(&key) {
                request.failed_answer = Some(forwarded);
            }
            self.retry(now, key, ResultCode::AnswerBroken, true, context);
            return;
        }
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        // These statuses state that the request did not run. Only a node can guarantee this,
        // so a back end's status is not passed on for a request that may run only once.
        let claims_not_run = matches!(forwarded.status, 408 | 421 | 429 | 503);
        if claims_not_run && !request.route.is_idempotent() {
            self.answer_with_code(now, key, ResultCode::AnswerLost, 0, context);
            return;
        }
        self.finish_forwarded(now, key, forwarded, context);
    }

    pub(super) fn on_not_run(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        proof: NotRunProof,
        retry_after_millis: u32,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.record_not_run(proof, retry_after_millis);
        let arrived = proof.has_reached_back_end();
        if code == ResultCode::BackEndShed {
            self.on_refused(now, key, context);
        }
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let max_retries = if arrived {
            MAX_RETRIES
        } else {
            MAX_TRANSPARENT_RETRIES
        };
        let has_retries_left = request.retries < max_retries;
        // If one node's queue is full, another's is likely to be shorter. If one node cannot meet
        // the deadline, another is unlikely to meet it.
        let may_succeed_elsewhere = match code {
            ResultCode::DeadlineUnmet => request.is_call,
            ResultCode::Quarantined => false,
            _ => true,
        };
        let may_retry = has_retries_left
            && may_succeed_elsewhere
            && self.has_other_target(now, key, context)
            && (!arrived || self.try_spend_retry(now, key, context));
        if may_retry {
            self.retry(now, key, code, arrived, context);
            return;
        }
        self.answer_with_code(now, key, code, retry_after_millis, context);
    }

    /// Records that a back end has refused an attempt. A service that refuses a share of what it
    /// gets may run the request at the next attempt, also at a back end that has refused it.
    fn on_refused(&mut self, now: Instant, key: RequestKey, context: &OutboundContext<'_>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.record_refusing_node();
        let service = &request.forwarded.service;
        self.budget.record_attempt(now, service, true);
        if !self.budget.is_refusing(now, service) || self.has_other_target(now, key, context) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.readmit_refusing_nodes();
        }
    }

    pub(super) fn on_unknown(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.may_have_run = true;
        let back_end_crashed = code == ResultCode::BackEndCrashed;
        let may_risk_crash =
            !back_end_crashed || has_enough_for_crash_retry(&request.forwarded.service, context);
        if may_risk_crash
            && self.has_other_target(now, key, context)
            && self.try_spend_retry(now, key, context)
        {
            self.retry(now, key, code, true, context);
            return;
        }
        self.answer_with_code(now, key, code, 0, context);
    }

    /// Spends one retry on a request that has reached a back end, if it may be sent to another
    /// one. Returns whether it may.
    pub(super) fn try_spend_retry(
        &mut self,
        now: Instant,
        key: RequestKey,
        context: &mut OutboundContext<'_>,
    ) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        let has_time = request.deadline > now;
        // An attempt in flight may be running until its node has reported a result.
        let has_not_run = !request.may_have_run && !request.is_in_flight();
        let may_run_again = request.route.is_idempotent() || has_not_run;
        // A back end that has refused to run the request does not count.
        let has_attempts_left = request.possible_runs() < request.route.max_attempts;
        // Several back ends have crashed while running this content: no immediate retry.
        let is_recurrent =
            context.inbound.suspicion(now, &request.forwarded) >= Suspicion::Recurrent;
        if !has_time || !may_run_again || !has_attempts_left || is_recurrent {
            return false;
        }
        let forwarded = request.forwarded.clone();
        let service = &forwarded.service;
        let is_granted = self.budget.try_spend(now, service, forwarded.level);
        let charge = if is_granted {
            RetryCharge::Retry
        } else {
            RetryCharge::Denied
        };
        self.log_retry_charge(now, &forwarded.request_id, service, charge, context);
        is_granted
    }

    pub(super) fn has_other_target(
        &self,
        now: Instant,
        key: RequestKey,
        context: &OutboundContext<'_>,
    ) -> bool {
        self.requests
            .get(&key)
            .is_some_and(|request| !self.candidates(now, request, context).is_empty())
    }

    pub(super) fn retry(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        paid: bool,
        context: &mut OutboundContext<'_>,
    ) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.retries += 1;
            if !paid {
                let service = &request.forwarded.service;
                self.retry_reports.count_free(now, service);
            }
            context.out.push(Action::Log(LogRecord::Retried {
                request_id: request.forwarded.request_id.clone(),
                attempt: request.last_attempt(),
                code,
                paid,
            }));
        }
        self.dispatch(now, key, context);
    }
}

/// Returns whether a service has enough back ends for an immediate retry of a request during which
/// one of them crashed.
fn has_enough_for_crash_retry(service: &str, context: &OutboundContext<'_>) -> bool {
    serving_nodes(service, context) >= MIN_BACK_ENDS_FOR_CRASH_RETRY
}

/// Returns the number of nodes known to this one that have a serving back end of a service.
fn serving_nodes(service: &str, context: &OutboundContext<'_>) -> usize {
    let is_own_serving = context.inbound.is_serving() && context.inbound.service() == service;
    let peers = context.directory.linked(service);
    let serving = peers.filter(|(_, peer)| peer.serving_link().is_some());
    usize::from(is_own_serving) + serving.count()
}
