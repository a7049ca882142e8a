//! Completion of requests, with the answer of a back end or with one that the node itself makes.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;

use super::request::{Request, RequestKey};
use super::returns::{Returned, kind_of};
use super::tenancy::Refusal;
use super::{NO_BACK_END_RETRY_AFTER_MILLIS, Outbound, OutboundContext, answer, returns};
use crate::action::{Action, CallerAnswer};
use crate::configuration::RouteTable;
use crate::event::CallerRequest;
use crate::inbound::{CallProgress, CallUpdate};
use crate::log_record::LogRecord;
use crate::message::{ForwardedAnswer, Timing};

impl Outbound {
    /// Completes a request with the answer of a back end.
    pub(super) fn finish_forwarded(
        &mut self,
        now: Instant,
        key: RequestKey,
        forwarded: ForwardedAnswer,
        context: &mut OutboundContext<'_>,
    ) {
        let answer = CallerAnswer {
            status: forwarded.status,
            fields: forwarded.fields,
            body: forwarded.body,
            close: context.is_stopping,
        };
        self.finish(now, key, answer, None, None, context);
    }

    pub(super) fn answer_without_target(
        &mut self,
        now: Instant,
        key: RequestKey,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let retry_after = request
            .retry_after_millis
            .unwrap_or(NO_BACK_END_RETRY_AFTER_MILLIS);
        self.answer_with_code(now, key, ResultCode::NoBackEnd, retry_after, context);
    }

    /// Completes a request whose deadline has passed.
    pub(super) fn on_deadline(
        &mut self,
        now: Instant,
        key: RequestKey,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            self.deadlines.retain(|(_, other)| *other != key);
            return;
        };
        let was_sent = request.current().is_some();
        self.cancel_attempt_by_key(key, context);
        let code = if was_sent {
            ResultCode::AnswerTimeout
        } else {
            ResultCode::DeadlineUnmet
        };
        self.answer_with_code(now, key, code, 0, context);
    }

    /// Completes a request with a result code, or with the failure of a back end if one was kept.
    pub(super) fn answer_with_code(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        retry_after_millis: u32,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        // The failure that a back end answered says more than the result of an unsuccessful retry.
        if let Some(forwarded) = request.failed_answer.take() {
            self.finish_forwarded(now, key, forwarded, context);
            return;
        }
        let time_left = request
            .caller_deadline
            .map(|deadline| deadline.saturating_since(now));
        let retry_after_millis = answer::bounded_retry_after(retry_after_millis, time_left);
        let answer = answer::for_code(
            code,
            retry_after_millis,
            request.may_have_run,
            context.is_stopping,
        );
        let is_told = !request.is_call
            && returns::is_shortage(code)
            && answer::states_retry_after(answer.status);
        let told_millis = is_told.then_some(retry_after_millis);
        if let Some(told_millis) = told_millis {
            let content = request.forwarded.content();
            let returned = request.returned;
            self.remember_refusal(now, content, told_millis, returned);
        }
        self.finish(now, key, answer, Some(code), told_millis, context);
    }

    /// Remembers a refusal whose caller was asked to come back after `told_millis`.
    pub(super) fn remember_refusal(
        &mut self,
        now: Instant,
        content: Fingerprint,
        told_millis: u32,
        returned: Option<Returned>,
    ) {
        let told = Duration::from_millis(u64::from(told_millis));
        let first_refused = returned.map_or(now, |returned| returned.first_refused);
        self.refusals.remember(now, content, told, first_refused);
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        key: RequestKey,
        answer: CallerAnswer,
        code: Option<ResultCode>,
        told_millis: Option<u32>,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.remove_request(key) else {
            return;
        };
        let has_not_run = request.possible_arrivals == 0 && !request.may_have_run;
        if let Some(tenant) = request.limited_tenant.as_ref().filter(|_| has_not_run) {
            self.tokens.return_token(now, tenant);
        }
        let elapsed = now.saturating_since(request.arrived).as_micros();
        context.out.push(Action::Log(LogRecord::Answered {
            request_id: request.forwarded.request_id.clone(),
            route: request.route.name.clone(),
            status: answer.status,
            code,
            peer: request.last_target().to_owned(),
            attempts: request.attempts(),
            elapsed_micros: u64::try_from(elapsed).unwrap_or(u64::MAX),
            configuration: request.configuration,
            timing: request.timing,
            tenant: request.forwarded.tenant.clone().unwrap_or_default(),
            proof_age_millis: context.proof_age_millis,
            caller_return: kind_of(request.returned),
            told_millis,
        }));
        self.record_call_outcome(request, answer.status);
        context.out.push(Action::Answer {
            connection: key.connection,
            pipeline_index: key.pipeline_index,
            answer,
        });
    }

    /// Queues the outcome of a call of the local back end for the inbound side.
    fn record_call_outcome(&mut self, request: Request, status: u16) {
        let Some(parent_id) = request.parent_id else {
            return;
        };
        let progress = match status {
            500.. => CallProgress::Failed,
            _ => CallProgress::Succeeded,
        };
        self.call_updates.push(CallUpdate {
            parent_id,
            progress,
            involved: request.involved,
        });
    }

    /// Answers a request that was refused before its first attempt.
    pub(super) fn answer_rejected(
        &self,
        key: RequestKey,
        caller: CallerRequest,
        refusal: Refusal,
        context: &mut OutboundContext<'_>,
    ) {
        let Refusal {
            code,
            retry_after_millis,
            caller_return,
        } = refusal;
        let answer = answer::for_code(code, retry_after_millis, false, context.is_stopping);
        context.out.push(Action::Log(LogRecord::Answered {
            request_id: caller.request_id,
            route: String::new(),
            status: answer.status,
            code: Some(code),
            peer: String::new(),
            attempts: 0,
            elapsed_micros: 0,
            configuration: context.table.map_or(0, RouteTable::version),
            timing: Timing::default(),
            tenant: String::new(),
            proof_age_millis: context.proof_age_millis,
            caller_return,
            told_millis: returns::is_shortage(code).then_some(retry_after_millis),
        }));
        context.out.push(Action::Answer {
            connection: key.connection,
            pipeline_index: key.pipeline_index,
            answer,
        });
    }

    /// Removes a request together with its deadline.
    pub(super) fn remove_request(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(&key)?;
        self.deadlines.remove(&(request.deadline, key));
        Some(request)
    }
}
