//! Forwards answers of attempts to the caller.

use bytes::Bytes;

use super::{AnswerTrailer, Sender, refusal_for};
use crate::action::{Action, Observation};
use crate::admission::LoadReport;
use crate::call::attempt_runner::AttemptRunner;
use crate::call::held_answer::HeldAnswer;
use crate::call::outgoing::{OutgoingCall, Phase};
use crate::call::ports::Ports;
use crate::code::ResultCode;
use crate::event::InboundId;
use crate::id::{AttemptId, CallId, NodeId};
use crate::message::CallMessage;
use crate::request::{AnswerHead, Refusal};
use crate::routing::{Router, TargetResult};
use crate::time::Now;

impl Sender {
    /// Forwards the head of an answer.
    pub fn on_head(
        &mut self,
        now: Now,
        attempt: AttemptId,
        head: AnswerHead,
        load: &LoadReport,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        self.observe_load(now, attempt, load, runner);
        let Some(call) = self.current(attempt) else {
            return;
        };
        let inbound = call.inbound;
        let Some(current) = &mut call.attempt else {
            return;
        };
        if current.phase != Phase::Waiting {
            return;
        }
        current.phase = Phase::Answering { parts: 0 };
        if call.parent.is_none() {
            ports.emit(Action::AnswerHead { inbound, head });
            return;
        }
        let held = HeldAnswer::new(now.instant, head);
        let until = held.until;
        call.held = Some(held);
        self.held_until.insert(until, attempt.call);
    }

    /// Forwards what is held of an answer.
    pub(super) fn forward_held(&mut self, id: CallId, ports: &mut Ports<'_, '_>) {
        let Some(held) = self.take_held(id) else {
            return;
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        held.into_actions(call.inbound)
            .for_each(|action| ports.emit(action));
    }

    fn take_held(&mut self, id: CallId) -> Option<HeldAnswer> {
        let held = self.calls.get_mut(&id)?.held.take()?;
        self.held_until.remove(held.until, id);
        Some(held)
    }

    /// Forwards a part of an answer's body; a gap in the sequence aborts the answer.
    pub fn on_body(
        &mut self,
        now: Now,
        attempt: AttemptId,
        sequence: u32,
        chunk: Vec<u8>,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(call) = self.current(attempt) else {
            return;
        };
        let inbound = call.inbound;
        match call.attempt.as_mut().map(|current| &mut current.phase) {
            Some(Phase::Answering { parts }) if *parts == sequence => {
                *parts += 1;
                let chunk = Bytes::from(chunk);
                let Some(held) = &mut call.held else {
                    ports.emit(Action::AnswerBody { inbound, chunk });
                    return;
                };
                if held.push(chunk) {
                    self.forward_held(attempt.call, ports);
                }
            }
            Some(Phase::Answering { .. }) => self.abort_answer(now, attempt, ports),
            _ => {}
        }
    }

    /// Completes an answer; one with a missing part is aborted.
    pub fn on_end(
        &mut self,
        now: Now,
        attempt: AttemptId,
        end: AnswerTrailer,
        load: &LoadReport,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let AnswerTrailer { parts, unspent } = end;
        self.observe_load(now, attempt, load, runner);
        let Some(phase) = self.current(attempt).and_then(|call| call.phase()) else {
            return;
        };
        if phase != (Phase::Answering { parts }) && phase != Phase::Detached {
            self.abort_answer(now, attempt, ports);
            return;
        }
        self.restore(attempt, unspent, runner);
        self.forward_held(attempt.call, ports);
        let Some(call) = self.remove(attempt.call) else {
            return;
        };
        self.report_removed_call(now, &call, TargetResult::Answered);
        self.retry_budget.record_success(&call.service);
        if call.parent.is_none() {
            self.entry_admission
                .record_involvement(&call.service, call.route, load);
        }
        if call.keyed.is_some() {
            let context = &mut *ports.context;
            context
                .claims
                .complete(now, attempt, context.membership, context.out);
        }
        if phase != Phase::Detached {
            let latency = now.instant.saturating_since(call.arrived);
            ports.emit(Action::AnswerEnd {
                inbound: call.inbound,
            });
            ports.emit(Action::Observe(Observation::Answered { latency }));
        }
    }

    /// Handles an attempt that may have run and gave no complete answer. A call whose answer is still
    /// held is in the same position as one without an answer.
    pub fn on_failed(
        &mut self,
        now: Now,
        attempt: AttemptId,
        refusal: Refusal,
        unspent: u8,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let was_held = self.take_held(attempt.call).is_some();
        let Some(call) = self.current(attempt) else {
            return;
        };
        if was_held && let Some(current) = &mut call.attempt {
            current.phase = Phase::Waiting;
        }
        let (phase, repeatable) = (call.phase(), call.repeatable);
        call.earlier_failure = Some(refusal);
        self.restore(attempt, unspent, runner);
        self.report_attempt_end(now, attempt, TargetResult::Failed);
        match phase {
            Some(Phase::Waiting) if repeatable => {
                self.retry(now, attempt, refusal, runner, ports);
            }
            Some(Phase::Waiting) => {
                self.abandon_claim(now, attempt, ports);
                self.refuse(attempt.call, refusal, runner, ports);
            }
            Some(Phase::Answering { .. }) => self.abort_answer(now, attempt, ports),
            _ => {
                self.abandon_claim(now, attempt, ports);
                self.remove(attempt.call);
            }
        }
    }

    /// Handles an attempt that has provably not run.
    pub fn on_refused(
        &mut self,
        now: Now,
        attempt: AttemptId,
        refusal: Refusal,
        load: &LoadReport,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        self.observe_load(now, attempt, load, runner);
        let Some(call) = self.current(attempt) else {
            return;
        };
        let phase = call.phase();
        self.restore(attempt, u8::MAX, runner);
        self.report_attempt_end(now, attempt, target_result(refusal));
        if phase == Some(Phase::Detached) {
            self.release_claim(now, attempt, ports);
            self.remove(attempt.call);
            return;
        }
        self.mark_child_not_run(attempt.call, runner);
        self.retry(now, attempt, refusal, runner, ports);
    }

    /// Sends the node beside the back end credit for the bytes that the caller has consumed.
    pub fn on_consumed(&mut self, inbound: InboundId, bytes: u32, ports: &mut Ports<'_, '_>) {
        let call = self
            .by_inbound
            .get(&inbound)
            .and_then(|id| self.calls.get(id));
        if let Some(attempt) = call.and_then(|call| call.attempt.as_ref()) {
            let message = CallMessage::Credit {
                attempt: attempt.id,
                bytes,
            };
            ports.send(attempt.target.node, message);
        }
    }

    /// Fails the attempts whose answers were expected over a lost link.
    pub fn on_peer_lost(
        &mut self,
        now: Now,
        peer: NodeId,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let lost: Vec<AttemptId> = self
            .calls
            .values()
            .filter_map(|call| call.attempt.as_ref())
            .filter(|attempt| attempt.target.node == peer && attempt.phase != Phase::Claiming)
            .map(|attempt| attempt.id)
            .collect();
        for attempt in lost {
            let refusal = refusal_for(ResultCode::AnswerLost);
            self.on_failed(now, attempt, refusal, 0, runner, ports);
        }
    }

    /// Aborts the transfer to the caller, so that the answer does not look complete.
    pub(super) fn abort_answer(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        let inbound = call.inbound;
        ports.emit(Action::AnswerAbort { inbound });
        self.abandon_claim(now, attempt, ports);
        self.remove(attempt.call);
    }

    pub(super) fn observe_load(
        &mut self,
        now: Now,
        attempt: AttemptId,
        load: &LoadReport,
        runner: &mut AttemptRunner,
    ) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        self.entry_admission
            .record_levels(now.instant, &call.service, load);
        if let Some(link) = call.parent {
            runner.record_nested_load(link.attempt, load);
        }
        if let Some(current) = &call.attempt {
            self.router
                .on_load_report(now.instant, &current.target.back_end, load);
        }
    }

    /// Reports the result of a call's current attempt to the router.
    pub(super) fn report_attempt_end(
        &mut self,
        now: Now,
        attempt: AttemptId,
        result: TargetResult,
    ) {
        if let Some(call) = self.calls.get(&attempt.call) {
            report_to_router(&mut self.router, now, call, result);
        }
    }

    /// Reports the result of the last attempt of a removed call to the router.
    pub(super) fn report_removed_call(
        &mut self,
        now: Now,
        call: &OutgoingCall,
        result: TargetResult,
    ) {
        report_to_router(&mut self.router, now, call, result);
    }

    pub(super) fn current(&mut self, attempt: AttemptId) -> Option<&mut OutgoingCall> {
        self.calls
            .get_mut(&attempt.call)
            .filter(|call| call.is_current(attempt))
    }
}

fn report_to_router(router: &mut Router, now: Now, call: &OutgoingCall, result: TargetResult) {
    if let Some(current) = &call.attempt {
        let latency = now.instant.saturating_since(current.started_at);
        router.on_finished(now.instant, &current.target, latency, result);
    }
}

/// Returns the result that a refusal counts as for its target.
///
/// Attempts at an unreachable back end are refused immediately, so it looks idle: it must be
/// ejected like a failing one, or it attracts all calls.
fn target_result(refusal: Refusal) -> TargetResult {
    match refusal.code {
        ResultCode::BackEndUnreachable | ResultCode::BackEndDown => TargetResult::Unreachable,
        _ => TargetResult::Refused,
    }
}
