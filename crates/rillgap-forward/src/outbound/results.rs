//! What follows from the word of the node that was asked.

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::request::RequestKey;
use super::{MOST_FREE_MOVES, MOST_MOVES, Outbound, OutboundContext};
use crate::action::Action;
use crate::crash::Suspicion;
use crate::log_record::LogRecord;
use crate::message::{ForwardResult, ForwardedAnswer};

/// Back ends from which on a request is repeated at once after a crash under it: the repeat may end one more of them, and
/// where there are few the others lose much of the service.
const LEAST_EXPOSED: usize = 4;

impl Outbound {
    pub(super) fn on_result(
        &mut self,
        now: Instant,
        key: RequestKey,
        result: ForwardResult,
        context: &mut OutboundContext<'_>,
    ) {
        match result {
            ForwardResult::Answered(answer) => self.on_answer(now, key, answer, context),
            ForwardResult::NotRun {
                code,
                arrived,
                retry_after_millis,
            } => self.on_not_run(now, key, code, arrived, retry_after_millis, context),
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
        // A call that failed was repeated where it was made, as far as the budget reached. Repeating the
        // whole chain above it would cost a repeat at every service of the chain.
        let is_failure = forwarded.status >= 500 && !request.has_failed_call;
        if is_failure && self.has_other_target(key, context) && self.may_repeat(now, key, context) {
            if let Some(request) = self.requests.get_mut(&key) {
                request.failed_answer = Some(forwarded);
            }
            self.repeat(now, key, ResultCode::AnswerBroken, true, context);
            return;
        }
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        // A promise that the request did not run is only the system's to give.
        let breaks_promise = matches!(forwarded.status, 408 | 421 | 429 | 503);
        if breaks_promise && !request.route.is_idempotent() {
            self.answer_own(now, key, ResultCode::AnswerLost, 0, context);
            return;
        }
        self.finish_forwarded(now, key, forwarded, context);
    }

    pub(super) fn on_not_run(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        arrived: bool,
        retry_after_millis: u32,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.not_run(arrived, retry_after_millis);
        let most_moves = if arrived { MOST_MOVES } else { MOST_FREE_MOVES };
        let moves_left = request.moves < most_moves;
        // A queue that is full here is likely to be short elsewhere; a deadline that cannot be
        // met is not.
        let worth_moving = match code {
            ResultCode::DeadlineUnmet => request.is_call,
            ResultCode::Quarantined => false,
            _ => true,
        };
        let may_move = moves_left
            && worth_moving
            && self.has_other_target(key, context)
            && (!arrived || self.may_repeat(now, key, context));
        if may_move {
            self.repeat(now, key, code, arrived, context);
            return;
        }
        self.answer_own(now, key, code, retry_after_millis, context);
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
        let is_exposure = code == ResultCode::BackEndCrashed;
        let may_expose = !is_exposure || may_lose_one_more(&request.forwarded.service, context);
        if may_expose && self.has_other_target(key, context) && self.may_repeat(now, key, context) {
            self.repeat(now, key, code, true, context);
            return;
        }
        self.answer_own(now, key, code, 0, context);
    }

    /// Returns whether a request that has reached a back end may be sent to another one, and pays
    /// for it.
    pub(super) fn may_repeat(
        &mut self,
        now: Instant,
        key: RequestKey,
        context: &OutboundContext<'_>,
    ) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        let has_time = request.deadline > now;
        // An attempt that is under way may be running: only the other node's word ends that.
        let has_not_run = !request.may_have_run && request.current().is_none();
        let may_run_again = request.route.is_idempotent() || has_not_run;
        // A back end that has refused to run the request does not count.
        let attempts_left = request.runs() < request.route.max_attempts;
        // Several back ends have ended under it: the next one is not exposed to it at once.
        let is_recurrent =
            context.inbound.suspicion(now, &request.forwarded) >= Suspicion::Recurrent;
        if !has_time || !may_run_again || !attempts_left || is_recurrent {
            return false;
        }
        let service = request.forwarded.service.clone();
        let level = request.forwarded.level;
        let nodes = context.directory.estimated_nodes();
        self.budget.try_spend(now, &service, nodes, level)
    }

    pub(super) fn has_other_target(&self, key: RequestKey, context: &OutboundContext<'_>) -> bool {
        self.requests
            .get(&key)
            .is_some_and(|request| !self.candidates(request, context).is_empty())
    }

    pub(super) fn repeat(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        paid: bool,
        context: &mut OutboundContext<'_>,
    ) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.moves += 1;
            context.out.push(Action::Log(LogRecord::Retried {
                request_id: request.forwarded.request_id.clone(),
                from: request.last_target().to_owned(),
                code,
                paid,
            }));
        }
        self.dispatch(now, key, context);
    }
}

/// Returns whether a service has enough back ends to repeat a request under which one has just ended.
fn may_lose_one_more(service: &str, context: &OutboundContext<'_>) -> bool {
    serving_nodes(service, context) >= LEAST_EXPOSED
}

/// Returns how many nodes, as far as this one knows, have a back end of a service that takes requests.
fn serving_nodes(service: &str, context: &OutboundContext<'_>) -> usize {
    let own = context.inbound.is_serving() && context.inbound.service() == service;
    let peers = context.directory.linked(service);
    let serving = peers.filter(|(_, peer)| peer.serving_link().is_some());
    usize::from(own) + serving.count()
}
