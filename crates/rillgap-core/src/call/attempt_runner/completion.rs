//! Ends attempts: refusals, failures, cancellation and passed deadlines.

use std::time::Duration;

use super::{AttemptRunner, LocalAttempt, Phase, refusal_for};
use crate::action::Action;
use crate::admission::{Completion, LoadReport};
use crate::call::ports::Ports;
use crate::code::ResultCode;
use crate::id::{AttemptId, NodeId};
use crate::message::{CallMessage, Dispatch};
use crate::request::Refusal;
use crate::time::Now;

impl AttemptRunner {
    /// Cancels an attempt whose answer is no longer needed.
    ///
    /// A keyed attempt that was started keeps running: its key can never run again, so its
    /// answer is stored for retries with the same key.
    pub fn on_cancel(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some(local) = self.attempts.get(&attempt) else {
            return;
        };
        match local.phase {
            Phase::Queued => {
                self.cancel_queued(now, attempt, ResultCode::Cancelled, ports);
            }
            Phase::Running { .. } if local.dispatch.key.is_some() => {}
            // The baseline without cancellation lets abandoned attempts run to their end.
            Phase::Running { .. } if !self.cancels_abandoned_work => {}
            Phase::Running { .. } => self.abort(now, attempt, ports),
        }
    }

    /// Cancels the attempts that were dispatched over a lost link.
    pub fn on_peer_lost(&mut self, now: Now, peer: NodeId, ports: &mut Ports<'_, '_>) {
        let orphans: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, local)| local.entry == peer)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in orphans {
            self.on_cancel(now, attempt, ports);
        }
    }

    /// Refuses queued attempts while the back end takes nothing new: none of them has reached it.
    pub(super) fn refuse_queued_while_closed(&mut self, now: Now, ports: &mut Ports<'_, '_>) {
        if self.attempts.is_empty() {
            return;
        }
        let Some(code) = self.refusal_while_closed(now, ports) else {
            return;
        };
        let queued: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, local)| matches!(local.phase, Phase::Queued))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in queued {
            self.cancel_queued(now, attempt, code, ports);
        }
    }

    /// Removes an attempt from all tables and frees its slot at the back end; returns it with the
    /// load report to send with its answer.
    pub(super) fn finish(
        &mut self,
        now: Now,
        attempt: AttemptId,
        completion: Completion,
    ) -> Option<(LocalAttempt, LoadReport)> {
        let local = self.attempts.remove(&attempt)?;
        self.deadlines.remove(local.deadline, attempt);
        let latency = match local.phase {
            Phase::Running {
                token, started_at, ..
            } => {
                self.tokens.remove(&token);
                self.ended.push(attempt);
                now.instant.saturating_since(started_at)
            }
            // The guard refused the attempt after admission had granted it a slot.
            Phase::Queued => Duration::ZERO,
        };
        let load = self
            .admission
            .finish(now.instant, attempt, latency, completion);
        Some((local, load))
    }

    /// Ends an attempt that was admitted but has provably not run.
    pub(super) fn end_not_run(
        &mut self,
        now: Now,
        attempt: AttemptId,
        code: ResultCode,
        ports: &mut Ports<'_, '_>,
    ) {
        if let Some((local, _)) = self.finish(now, attempt, Completion::Shed) {
            let refusal = refusal_for(code);
            self.refuse(now, local.entry, &local.dispatch, refusal, ports);
        }
    }

    /// Ends an attempt that may have run.
    pub(super) fn end_failed(
        &mut self,
        now: Now,
        attempt: AttemptId,
        code: ResultCode,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some((local, load)) = self.finish(now, attempt, Completion::Failed) else {
            return;
        };
        if let (Some(keyed), Phase::Running { .. }) = (local.dispatch.key, &local.phase) {
            self.guard.fail(now, keyed.key);
        }
        let refusal = refusal_for(code);
        let unspent = local.pool.available();
        ports.send(
            local.entry,
            CallMessage::AnswerFailed {
                attempt,
                refusal,
                unspent,
                load,
            },
        );
    }

    pub(super) fn abort(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        ports.emit(Action::CancelBackEnd { attempt });
        self.end_failed(now, attempt, ResultCode::AnswerTimeout, ports);
    }

    pub(super) fn expire(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some(local) = self.attempts.get(&attempt) else {
            return;
        };
        match local.phase {
            Phase::Queued => {
                self.cancel_queued(now, attempt, ResultCode::DeadlineUnmet, ports);
            }
            Phase::Running { .. } if !self.cancels_abandoned_work => {}
            Phase::Running { .. } => self.abort(now, attempt, ports),
        }
    }

    /// Removes an attempt from the admission queue and refuses it.
    pub(super) fn cancel_queued(
        &mut self,
        now: Now,
        attempt: AttemptId,
        code: ResultCode,
        ports: &mut Ports<'_, '_>,
    ) {
        self.admission.cancel(now.instant, attempt);
        self.refuse_queued(now, attempt, refusal_for(code), ports);
    }

    /// Refuses an attempt that admission has already removed from its queue.
    pub(super) fn refuse_queued(
        &mut self,
        now: Now,
        attempt: AttemptId,
        refusal: Refusal,
        ports: &mut Ports<'_, '_>,
    ) {
        if let Some(local) = self.attempts.remove(&attempt) {
            self.deadlines.remove(local.deadline, attempt);
            self.refuse(now, local.entry, &local.dispatch, refusal, ports);
        }
    }

    /// Sends the entry node the refusal of an attempt that has not run. A keyed attempt is barred
    /// first, so that it can never start later.
    pub(super) fn refuse(
        &mut self,
        now: Now,
        entry: NodeId,
        dispatch: &Dispatch,
        refusal: Refusal,
        ports: &mut Ports<'_, '_>,
    ) {
        if let Some(keyed) = dispatch.key {
            self.guard.bar(now, dispatch.attempt, keyed);
        }
        let load = self.admission.load();
        let attempt = dispatch.attempt;
        ports.send(
            entry,
            CallMessage::Refused {
                attempt,
                refusal,
                load,
            },
        );
    }
}
