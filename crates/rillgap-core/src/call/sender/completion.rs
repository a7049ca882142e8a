//! Ends calls: refusals, passed deadlines and callers that disconnected.

use std::time::Duration;

use super::{Sender, refusal_for};
use crate::action::Action;
use crate::call::attempt_runner::AttemptRunner;
use crate::call::entry;
use crate::call::outgoing::{OutgoingCall, Phase};
use crate::call::ports::Ports;
use crate::code::ResultCode;
use crate::event::InboundId;
use crate::id::{AttemptId, CallId};
use crate::message::CallMessage;
use crate::request::Refusal;
use crate::routing::TargetResult;
use crate::time::Now;

/// Time for which the outcome of a keyed attempt is awaited after its caller was answered.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

impl Sender {
    /// Cancels a call whose caller has disconnected.
    pub fn on_caller_disconnected(
        &mut self,
        now: Now,
        inbound: InboundId,
        ports: &mut Ports<'_, '_>,
    ) {
        if let Some(id) = self.by_inbound.get(&inbound).copied() {
            self.cancel(now, id, ports);
        }
    }

    /// Cancels the calls that were made for a local attempt that has ended.
    pub fn cancel_children(&mut self, now: Now, parent: AttemptId, ports: &mut Ports<'_, '_>) {
        let children: Vec<CallId> = self
            .by_parent
            .remove(&parent)
            .into_iter()
            .flatten()
            .collect();
        for id in children {
            let Some(inbound) = self.calls.get(&id).map(|call| call.inbound) else {
                continue;
            };
            self.cancel(now, id, ports);
            ports.emit(Action::AnswerAbort { inbound });
        }
    }

    /// Forwards answers that were held for long enough, and ends the calls whose deadline has passed.
    pub fn expire(&mut self, now: Now, runner: &mut AttemptRunner, ports: &mut Ports<'_, '_>) {
        while let Some(id) = self.held_until.pop_passed(now.instant) {
            self.forward_held(id, ports);
        }
        while let Some(id) = self.deadlines.pop_passed(now.instant) {
            self.expire_call(now, id, runner, ports);
        }
    }

    pub(super) fn expire_call(
        &mut self,
        now: Now,
        id: CallId,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let inbound = call.inbound;
        match call.phase() {
            Some(Phase::Detached) => {
                if let Some(attempt) = call.attempt.as_ref().map(|attempt| attempt.id) {
                    self.abandon_claim(now, attempt, ports);
                }
                self.remove(id);
            }
            Some(Phase::Answering { .. }) if call.held.is_none() => {
                ports.emit(Action::AnswerAbort { inbound });
                self.cancel(now, id, ports);
            }
            Some(Phase::Answering { .. } | Phase::Waiting) => {
                entry::refuse(inbound, refusal_for(ResultCode::AnswerTimeout), ports);
                self.cancel(now, id, ports);
            }
            Some(Phase::Claiming) => {
                entry::refuse(inbound, refusal_for(ResultCode::NoQuorum), ports);
                self.cancel(now, id, ports);
            }
            None => self.refuse(id, refusal_for(ResultCode::DeadlineUnmet), runner, ports),
        }
    }

    pub(super) fn refuse(
        &mut self,
        id: CallId,
        refusal: Refusal,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        self.mark_unsent_child(id, runner);
        if let Some(call) = self.remove(id) {
            entry::refuse(call.inbound, call.reported_refusal(refusal), ports);
        }
    }

    /// Cancels the current attempt of a call whose caller has been answered or has disconnected.
    ///
    /// A keyed attempt is kept until its outcome is known, because a claim may be released only
    /// with proof that the attempt has not run.
    pub(super) fn cancel(&mut self, now: Now, id: CallId, ports: &mut Ports<'_, '_>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let holds_claim = call.holds_claim();
        if let Some(current) = &mut call.attempt
            && current.phase != Phase::Claiming
        {
            let message = CallMessage::Cancel {
                attempt: current.id,
            };
            ports.send(current.target.node, message);
            current.phase = Phase::Detached;
        }
        if !holds_claim {
            if let Some(call) = self.remove(id) {
                self.report_removed_call(now, &call, TargetResult::Failed);
            }
            return;
        }
        self.await_outcome(now, id);
    }

    pub(super) fn await_outcome(&mut self, now: Now, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.deadlines.remove(call.deadline, id);
        self.by_inbound.remove(&call.inbound);
        call.deadline = now.instant + ORPHAN_TIMEOUT;
        self.deadlines.insert(call.deadline, id);
    }

    pub(super) fn remove(&mut self, id: CallId) -> Option<OutgoingCall> {
        let call = self.calls.remove(&id)?;
        self.pools.remove(&id);
        self.remove_child(&call);
        self.by_inbound.remove(&call.inbound);
        self.deadlines.remove(call.deadline, id);
        if let Some(held) = &call.held {
            self.held_until.remove(held.until, id);
        }
        Some(call)
    }

    fn remove_child(&mut self, call: &OutgoingCall) {
        let Some(link) = call.parent else {
            return;
        };
        if let Some(siblings) = self.by_parent.get_mut(&link.attempt) {
            siblings.remove(&call.id);
            if siblings.is_empty() {
                self.by_parent.remove(&link.attempt);
            }
        }
    }
}
