//! Ends of attempts: refusals, failures, cancellation.

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
    /// Ends an attempt that nobody waits for any more.
    ///
    /// A keyed attempt that was started runs on: its key can never run again, so its
    /// answer is kept for a repeat of the key.
    pub fn on_cancel(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some(local) = self.attempts.get(&attempt) else {
            return;
        };
        match local.phase {
            Phase::Queued => {
                self.cancel_queued(now, attempt, ResultCode::Cancelled, ports);
            }
            Phase::Running { .. } if local.dispatch.key.is_some() => {}
            // A baseline without cancellation works on for nobody.
            Phase::Running { .. } if !self.cancels_abandoned_work => {}
            Phase::Running { .. } => self.abort(now, attempt, ports),
        }
    }

    /// Ends what the entry node at the other end of a lost link had dispatched.
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

    /// A back end that is leaving gets nothing new, and queued attempts would be new to it.
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

    /// Takes an attempt out of all tables and frees its place at the back end; returns it
    /// with the load to carry on its answer.
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
            // The guard refused it after admission had already given it a place.
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

    /// Takes an attempt out of admission's queue and refuses it.
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

    /// Refuses an attempt that admission has already taken out of its queue.
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

    /// Tells the entry node that an attempt has not run; a keyed one is barred for good.
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
