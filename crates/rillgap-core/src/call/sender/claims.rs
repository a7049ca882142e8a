//! Claims of keyed calls, from grant to completion.

use bytes::Bytes;

use super::{Sender, refusal_for};
use crate::action::{Action, Observation};
use crate::admission::RootRequest;
use crate::call::attempt_runner::AttemptRunner;
use crate::call::entry;
use crate::call::outgoing::Phase;
use crate::call::ports::Ports;
use crate::claim::{ClaimEvent, ClaimResult, RememberedAnswer};
use crate::code::{Outcome, ResultCode};
use crate::id::{AttemptId, CallId};
use crate::request::Refusal;
use crate::time::Now;

impl Sender {
    /// Handles the result of a claim request.
    pub fn on_claim(
        &mut self,
        now: Now,
        event: ClaimEvent,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let id = event.attempt.call;
        let waiting = self.calls.get(&id).is_some_and(|call| {
            call.is_current(event.attempt) && call.phase() == Some(Phase::Claiming)
        });
        if !waiting {
            // The caller disconnected or was answered while the claim was pending.
            if matches!(event.result, ClaimResult::Granted { .. }) {
                let membership = &*ports.context.membership;
                ports
                    .context
                    .claims
                    .release(now, event.attempt, membership, ports.context.out);
            }
            return;
        }
        match event.result {
            ClaimResult::Granted { budget } => {
                if let Some(pool) = self.pools.get_mut(&id) {
                    pool.limit(budget);
                }
                self.on_granted(now, event.attempt, runner, ports);
            }
            ClaimResult::Completed(answer) => self.answer_remembered(now, id, answer, ports),
            ClaimResult::Refused(refusal) => self.refuse(id, refusal, runner, ports),
        }
    }

    /// Admits a keyed call whose claim was granted, and dispatches it.
    pub(super) fn on_granted(
        &mut self,
        now: Now,
        attempt: AttemptId,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        let request = RootRequest {
            service: &call.service,
            route: call.route,
            class: call.class,
            root: call.root,
        };
        let admitted = entry::admit_load(now, &mut self.entry_admission, request, ports);
        match admitted {
            Ok(()) => self.dispatch(now, attempt, runner, ports),
            Err(refusal) => self.refuse_and_release(now, attempt, refusal, runner, ports),
        }
    }

    pub(super) fn answer_remembered(
        &mut self,
        now: Now,
        id: CallId,
        answer: RememberedAnswer,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(call) = self.remove(id) else {
            return;
        };
        let inbound = call.inbound;
        let latency = now.instant.saturating_since(call.arrived);
        ports.emit(Action::AnswerHead {
            inbound,
            head: answer.head,
        });
        ports.emit(Action::AnswerBody {
            inbound,
            chunk: Bytes::from(answer.body),
        });
        ports.emit(Action::AnswerEnd { inbound });
        ports.emit(Action::Observe(Observation::Answered { latency }));
    }

    pub(super) fn release_claim(
        &mut self,
        now: Now,
        attempt: AttemptId,
        ports: &mut Ports<'_, '_>,
    ) {
        if self.is_keyed(attempt) {
            let context = &mut *ports.context;
            context
                .claims
                .release(now, attempt, context.membership, context.out);
        }
    }

    pub(super) fn abandon_claim(
        &mut self,
        now: Now,
        attempt: AttemptId,
        ports: &mut Ports<'_, '_>,
    ) {
        if self.is_keyed(attempt) {
            let context = &mut *ports.context;
            context.claims.abandon(now, attempt, context.out);
        }
    }

    pub(super) fn is_keyed(&self, attempt: AttemptId) -> bool {
        self.calls
            .get(&attempt.call)
            .is_some_and(|call| call.keyed.is_some())
    }

    /// Refuses a call whose attempt has not run, and releases its claim if it has one.
    ///
    /// Only a claim that is still held proves that no other attempt of the key has run. A
    /// holder whose process was paused past its deadline must report the outcome as unknown.
    pub(super) fn refuse_and_release(
        &mut self,
        now: Now,
        attempt: AttemptId,
        refusal: Refusal,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let context = &*ports.context;
        let holds = context.claims.holds(now, attempt, &*context.membership);
        let unproved = self.is_keyed(attempt) && !holds;
        let reported = if unproved && refusal.code.outcome() == Outcome::NotRun {
            refusal_for(ResultCode::InProgress)
        } else {
            refusal
        };
        self.release_claim(now, attempt, ports);
        self.refuse(attempt.call, reported, runner, ports);
    }
}
