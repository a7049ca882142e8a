//! Completes requests: records their outcomes and service times and sends the responses.

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::{
    Arrival, CANCELLATION_DEADLINE_MARGIN, DEADLINE_GRACE, FAILURE_THRESHOLD_PERMILLE, Inbound,
    MAX_SAMPLE_DELAY, Running, count, elapsed_micros,
};
use crate::action::{Action, Actions};
use crate::event::ExchangeResult;
use crate::id::{ExchangeId, LinkId, Sequence};
use crate::log_record::{LogRecord, LostRequest};
use crate::message::{
    ForwardResponse, ForwardResult, ForwardedRequest, LinkMessage, NotRunProof,
    ServiceAdmissionLevel, Timing,
};

/// Status that a back end sends for a failure of its own.
pub(super) const INTERNAL_SERVER_ERROR: u16 = 500;

/// A request that ends without an answer, for the log.
pub(super) struct Ended<'a> {
    request: &'a ForwardedRequest,
    sequence: Sequence,
    arrived: Instant,
    /// Exchange with the back end; `None` if the request was not handed to it.
    exchange: Option<ExchangeId>,
    lost: Option<&'a LostRequest>,
}

impl<'a> Ended<'a> {
    /// Describes a request that was not started.
    fn unstarted(arrival: &'a Arrival) -> Self {
        Self {
            request: &arrival.request,
            sequence: arrival.sequence,
            arrived: arrival.arrived,
            exchange: None,
            lost: None,
        }
    }

    /// Describes a request that was handed to the back end.
    fn of(running: &'a Running) -> Self {
        Self {
            request: &running.request,
            sequence: running.sequence,
            arrived: running.arrived,
            exchange: Some(running.exchange),
            lost: None,
        }
    }

    /// Describes a request whose answer was lost.
    pub fn without_answer(running: &'a Running, lost: &'a LostRequest) -> Self {
        Self {
            lost: Some(lost),
            ..Self::of(running)
        }
    }
}

impl Inbound {
    /// Notifies the sender of a request that may be repeated that its answer has begun and is overdue.
    pub fn on_answer_overdue(&mut self, exchange: ExchangeId, out: &mut Actions) {
        let Some(running) = self.running.get(&exchange) else {
            return;
        };
        if running.is_awaited && running.request.is_idempotent {
            out.push(Action::SendOnLink {
                link: running.link,
                message: LinkMessage::AnswerOverdue(running.sequence),
            });
        }
    }

    /// Cancels requests that got no answer by the end of the grace after their deadline, and
    /// reports their outcome as unknown.
    pub(super) fn time_out_overdue(&mut self, now: Instant, out: &mut Actions) {
        while let Some((deadline, exchange)) = self.deadlines.first().copied() {
            if deadline + DEADLINE_GRACE > now {
                return;
            }
            self.deadlines.pop_first();
            let Some(running) = self.take_running(exchange) else {
                continue;
            };
            out.push(Action::CancelExchange(exchange));
            self.record_service_time(now, &running);
            if running.is_awaited {
                let result = ForwardResult::Unknown {
                    code: ResultCode::AnswerTimeout,
                };
                self.log_failure(now, &running, &result, out);
                let is_back_end_fault = running.is_back_end_fault();
                self.respond_running(now, running, result, out);
                self.failure_rate.record(now, is_back_end_fault);
            } else {
                self.failure_rate.record(now, running.is_back_end_fault());
            }
            let effect = self.back_end.on_missing_answer();
            self.apply_effect(now, effect, None, out);
        }
    }

    /// Cancels a running request that nobody waits for. A request that is not idempotent keeps
    /// running: its work may be partly or completely done, and after a cancellation it would be
    /// unknown how much was.
    pub(super) fn cancel_running(&mut self, now: Instant, exchange: ExchangeId, out: &mut Actions) {
        let Some(running) = self.running.get_mut(&exchange) else {
            return;
        };
        if now + CANCELLATION_DEADLINE_MARGIN >= running.deadline {
            let is_failure = running.is_back_end_fault();
            self.failure_rate.record(now, is_failure);
        }
        if !running.request.is_idempotent {
            running.is_awaited = false;
            return;
        }
        self.take_running(exchange);
        out.push(Action::CancelExchange(exchange));
    }

    /// Records the service time of a request. A back end stops working on a request at its
    /// deadline, so an end that is noticed long after the deadline says nothing about the back end.
    pub(super) fn record_service_time(&mut self, now: Instant, running: &Running) {
        if now > running.deadline + MAX_SAMPLE_DELAY {
            return;
        }
        let elapsed = now.saturating_since(running.started);
        let route = &running.request.route;
        self.service_times.record(route, elapsed);
        let own = running.own_time.elapsed(now);
        self.speed.usual.record(now, route, own, elapsed);
    }

    /// Records the time of a request that the back end has answered, and updates the slowdown.
    pub(super) fn record_answer_time(&mut self, now: Instant, running: &mut Running) {
        let own_time = &mut running.own_time;
        self.speed.slowdown.record_end(now, own_time);
        self.record_service_time(now, running);
        self.refresh_slowdown(now);
    }

    /// Records whether the back end itself failed a request.
    pub(super) fn record_outcome(
        &mut self,
        now: Instant,
        running: &Running,
        result: &ExchangeResult,
    ) {
        let is_failure = match result {
            ExchangeResult::Answered(answer) => {
                answer.status == INTERNAL_SERVER_ERROR && running.is_back_end_fault()
            }
            ExchangeResult::NotExecuted | ExchangeResult::Lost => true,
            // The incarnation that the request was meant for did not receive it.
            ExchangeResult::WrongInstance | ExchangeResult::NotSent => return,
        };
        self.failure_rate.record(now, is_failure);
        let is_refused = *result == ExchangeResult::NotExecuted;
        self.refusals.record(now, is_refused);
    }

    /// Updates the reported failure rate. Triggers a load report to peers when the back end starts
    /// or stops counting as failing.
    pub(super) fn update_failure_rate(&mut self, now: Instant) {
        let was_failing = self.failing_permille >= FAILURE_THRESHOLD_PERMILLE;
        self.failing_permille = self.failure_rate.permille(now);
        let is_failing = self.failing_permille >= FAILURE_THRESHOLD_PERMILLE;
        self.load_changed |= was_failing != is_failing;
    }

    /// Refuses all queued requests.
    pub(super) fn refuse_queued(&mut self, now: Instant, code: ResultCode, out: &mut Actions) {
        while let Some(arrival) = self.queue.pop().or_else(|| self.isolated_queue.pop()) {
            self.refuse(now, &arrival, code, out);
        }
    }

    pub(super) fn refuse_expired(&mut self, now: Instant, out: &mut Actions) {
        while let Some(arrival) = self.queue.pop_expired(now) {
            self.record_expired_wait(now, &arrival);
            let code = self.shed_code(now);
            self.refuse(now, &arrival, code, out);
        }
        while let Some(arrival) = self.isolated_queue.pop_expired(now) {
            self.start_unisolated(now, arrival, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        code: ResultCode,
        out: &mut Actions,
    ) {
        self.request_states
            .remove(&(arrival.link, arrival.sequence));
        let proof = NotRunProof::NotStarted;
        self.log_not_answered(now, &Ended::unstarted(arrival), code, Some(proof), out);
        let result = ForwardResult::NotRun {
            code,
            proof,
            retry_after_millis: self.retry_after_millis_for(now, code, &arrival.request),
        };
        let timing = Timing {
            queued_micros: elapsed_micros(now, arrival.arrived),
            back_end_micros: 0,
        };
        let response = ForwardResponse {
            sequence: arrival.sequence,
            load: self.load(),
            downstream_levels: Vec::new(),
            has_failed_call: false,
            timing,
            result,
        };
        respond(arrival.link, response, out);
    }

    /// Sends the response to a request that was started on the back end.
    pub(super) fn respond_running(
        &self,
        now: Instant,
        running: Running,
        result: ForwardResult,
        out: &mut Actions,
    ) {
        let timing = running.timing(now);
        let downstream_levels = running
            .downstream_levels
            .into_iter()
            .map(|(service, level)| ServiceAdmissionLevel { service, level })
            .collect();
        let response = ForwardResponse {
            sequence: running.sequence,
            load: self.load(),
            downstream_levels,
            has_failed_call: running.has_failed_call,
            timing,
            result,
        };
        respond(running.link, response, out);
    }

    pub(super) fn forward_result(&self, now: Instant, result: ExchangeResult) -> ForwardResult {
        let (code, proof) = match result {
            ExchangeResult::Answered(answer) => return ForwardResult::Answered(answer),
            ExchangeResult::Lost => {
                return ForwardResult::Unknown {
                    code: ResultCode::AnswerLost,
                };
            }
            ExchangeResult::NotExecuted => (ResultCode::BackEndShed, NotRunProof::Refused),
            ExchangeResult::WrongInstance => (ResultCode::BackEndLeaving, NotRunProof::Misdirected),
            ExchangeResult::NotSent => (ResultCode::BackEndUnreachable, NotRunProof::NotConnected),
        };
        ForwardResult::NotRun {
            code,
            proof,
            retry_after_millis: self.retry_after_millis(now),
        }
    }

    pub(super) fn log_failure(
        &self,
        now: Instant,
        running: &Running,
        result: &ForwardResult,
        out: &mut Actions,
    ) {
        let (code, proof) = match result {
            ForwardResult::Answered(_) => return,
            ForwardResult::NotRun { code, proof, .. } => (*code, Some(*proof)),
            ForwardResult::Unknown { code } => (*code, None),
        };
        self.log_not_answered(now, &Ended::of(running), code, proof, out);
    }

    pub(super) fn log_not_answered(
        &self,
        now: Instant,
        ended: &Ended<'_>,
        code: ResultCode,
        proof: Option<NotRunProof>,
        out: &mut Actions,
    ) {
        out.push(Action::Log(LogRecord::NotAnswered {
            request_id: ended.request.request_id.clone(),
            sequence: ended.sequence.0,
            exchange: ended.exchange.map_or(0, |exchange| exchange.0),
            code,
            proof,
            elapsed_micros: elapsed_micros(now, ended.arrived),
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            limit: self.limit(),
            lost: ended.lost.cloned(),
        }));
    }
}

fn respond(link: LinkId, response: ForwardResponse, out: &mut Actions) {
    out.push(Action::SendOnLink {
        link,
        message: LinkMessage::Response(response),
    });
}
