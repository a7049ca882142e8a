//! Completion of requests, with the answer of a back end or with one that the node itself makes.

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::request::{Request, RequestKey};
use super::{NO_BACK_END_RETRY_AFTER_MILLIS, Outbound, OutboundContext, answer};
use crate::action::{Action, CallerAnswer};
use crate::configuration::RouteTable;
use crate::event::CallerRequest;
use crate::inbound::{CallProgress, CallUpdate};
use crate::log_record::{AttemptRecord, LogRecord};
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
        self.finish(now, key, answer, None, context);
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
        let was_sent = request.is_in_flight();
        self.cancel_attempts_by_key(key, context);
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
        let answer = answer::for_code(
            code,
            retry_after_millis,
            request.may_have_run,
            context.is_stopping,
        );
        self.finish(now, key, answer, Some(code), context);
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        key: RequestKey,
        answer: CallerAnswer,
        code: Option<ResultCode>,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(mut request) = self.remove_request(key) else {
            return;
        };
        // Another attempt whose answer is not needed any more.
        self.cancel_attempts(&mut request, context);
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
            attempts: request.attempts(),
            last_attempt: request.last_attempt(),
            elapsed_micros: u64::try_from(elapsed).unwrap_or(u64::MAX),
            configuration: request.configuration,
            timing: request.timing,
            tenant: request.forwarded.tenant.clone().unwrap_or_default(),
            proof_age_millis: context.proof_age_millis,
        }));
        let deadline = request.deadline;
        self.record_call_outcome(request, answer.status);
        context.out.push(Action::Answer {
            connection: key.connection,
            pipeline_index: key.pipeline_index,
            answer,
            wanted_until: Some(deadline),
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
            service: request.forwarded.service.clone(),
            progress,
            involved: request.involved,
        });
    }

    pub(super) fn answer_rejected(
        &self,
        key: RequestKey,
        caller: CallerRequest,
        code: ResultCode,
        answer: CallerAnswer,
        context: &mut OutboundContext<'_>,
    ) {
        context.out.push(Action::Log(LogRecord::Answered {
            request_id: caller.request_id,
            route: String::new(),
            status: answer.status,
            code: Some(code),
            attempts: 0,
            last_attempt: AttemptRecord::default(),
            elapsed_micros: 0,
            configuration: context.table.map_or(0, RouteTable::version),
            timing: Timing::default(),
            tenant: String::new(),
            proof_age_millis: context.proof_age_millis,
        }));
        context.out.push(Action::Answer {
            connection: key.connection,
            pipeline_index: key.pipeline_index,
            answer,
            wanted_until: None,
        });
    }

    /// Removes a request together with its deadline.
    pub(super) fn remove_request(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(&key)?;
        self.deadlines.remove(&(request.deadline, key));
        Some(request)
    }
}
