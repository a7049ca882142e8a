//! Admits dispatched attempts and starts them at the local back end.

use std::time::Duration;

use bytes::Bytes;
use rand_chacha::rand_core::Rng;

use super::{ANSWER_WINDOW_BYTES, AttemptRunner, LocalAttempt, Phase, refusal_for};
use crate::action::{Action, BackEndRequest};
use crate::admission::{Ticket, Verdict};
use crate::call::answer_recorder::AnswerRecorder;
use crate::call::children::Children;
use crate::call::ports::Ports;
use crate::call::retry_pool::RetryPool;
use crate::claim::GuardVerdict;
use crate::code::ResultCode;
use crate::id::{AttemptId, CallToken, NodeId};
use crate::message::Dispatch;
use crate::policy::BackEndState;
use crate::time::{Instant, Now};

impl AttemptRunner {
    /// Starts, queues or refuses an attempt that an entry node dispatched.
    pub fn on_dispatch(
        &mut self,
        now: Now,
        from: NodeId,
        dispatch: Dispatch,
        ports: &mut Ports<'_, '_>,
    ) {
        if self.attempts.contains_key(&dispatch.attempt) {
            return;
        }
        self.configure(ports);
        if let Some(code) = self.reason_to_refuse(now, &dispatch, ports) {
            let refusal = refusal_for(code);
            self.refuse(now, from, &dispatch, refusal, ports);
            return;
        }
        let deadline = now.instant + Duration::from_micros(dispatch.remaining_micros);
        let ticket = Ticket {
            attempt: dispatch.attempt,
            root: dispatch.root,
            class: dispatch.class,
            deadline,
        };
        match self.admission.offer(now.instant, ticket) {
            Verdict::Refuse(refusal) => self.refuse(now, from, &dispatch, refusal, ports),
            Verdict::Queue => self.insert(from, dispatch, deadline),
            Verdict::Start => {
                let attempt = dispatch.attempt;
                self.insert(from, dispatch, deadline);
                self.start(now, attempt, ports);
            }
        }
    }

    pub(super) fn configure(&mut self, ports: &Ports<'_, '_>) {
        let Some(back_end) = &ports.context.settings.back_end else {
            return;
        };
        let policy = ports.context.configuration.policy();
        if let Some(service) = policy.and_then(|policy| policy.service(&back_end.service)) {
            self.admission.configure(service);
        }
    }

    pub(super) fn reason_to_refuse(
        &self,
        now: Now,
        dispatch: &Dispatch,
        ports: &Ports<'_, '_>,
    ) -> Option<ResultCode> {
        let settings = ports.context.settings;
        if dispatch.incarnation != settings.incarnation {
            return Some(ResultCode::WrongIncarnation);
        }
        if self.stopping {
            return Some(ResultCode::NodeStopping);
        }
        let local = settings.back_end.as_ref()?;
        if local.name != dispatch.back_end {
            return Some(ResultCode::NoBackEnd);
        }
        self.refusal_while_closed(now, ports)
    }

    /// Returns the code with which new attempts are refused while the local back end takes none;
    /// `None` if it takes new attempts.
    pub(super) fn refusal_while_closed(
        &self,
        now: Now,
        ports: &Ports<'_, '_>,
    ) -> Option<ResultCode> {
        let context = &*ports.context;
        let Some(local) = &context.settings.back_end else {
            return Some(ResultCode::NoBackEnd);
        };
        let Some(policy) = context.configuration.policy() else {
            return Some(ResultCode::NotReady);
        };
        if !context.membership.may_serve(now) {
            return Some(ResultCode::NotReady);
        }
        if self.outage.is_down(now.instant) {
            return Some(ResultCode::BackEndDown);
        }
        let leaving_by_policy = policy
            .back_end(&local.name)
            .is_none_or(|back_end| back_end.state == BackEndState::Leaving);
        let leaving_by_platform = context
            .membership
            .machines()
            .iter()
            .any(|machine| machine.leaving && machine.node == context.settings.name);
        (leaving_by_policy || leaving_by_platform || self.announced_leaving)
            .then_some(ResultCode::BackEndLeaving)
    }

    pub(super) fn insert(&mut self, entry: NodeId, dispatch: Dispatch, deadline: Instant) {
        let attempt = dispatch.attempt;
        self.deadlines.insert(deadline, attempt);
        let local = LocalAttempt {
            entry,
            deadline,
            phase: Phase::Queued,
            pool: RetryPool::new(dispatch.extra_attempts),
            children: Children::default(),
            recorder: AnswerRecorder::new(dispatch.key.is_some()),
            dispatch,
        };
        self.attempts.insert(attempt, local);
    }

    pub(super) fn start(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some(local) = self.attempts.get(&attempt) else {
            return;
        };
        let verdict = match local.dispatch.key {
            Some(keyed) => self.guard.start(now, attempt, keyed),
            None => GuardVerdict::Start,
        };
        match verdict {
            GuardVerdict::Start => self.call_back_end(now, attempt, ports),
            GuardVerdict::Barred => {
                self.end_not_run(now, attempt, ResultCode::AttemptBarred, ports);
            }
            GuardVerdict::AlreadyStarted => {
                self.end_failed(now, attempt, ResultCode::InProgress, ports);
            }
            GuardVerdict::Full => {
                self.end_not_run(now, attempt, ResultCode::QueueFull, ports);
            }
        }
    }

    pub(super) fn call_back_end(
        &mut self,
        now: Now,
        attempt: AttemptId,
        ports: &mut Ports<'_, '_>,
    ) {
        let token = self.draw_token();
        let Some(local) = self.attempts.get_mut(&attempt) else {
            return;
        };
        local.phase = Phase::Running {
            token,
            started_at: now.instant,
            parts: 0,
        };
        let request = BackEndRequest {
            attempt,
            back_end: local.dispatch.back_end.clone(),
            token,
            timeout: local.deadline.saturating_since(now.instant),
            head: local.dispatch.head.clone(),
            body: Bytes::from(std::mem::take(&mut local.dispatch.body)),
        };
        self.tokens.insert(token, attempt);
        ports.emit(Action::CallBackEnd(Box::new(request)));
        ports.emit(Action::ReadBackEnd {
            attempt,
            bytes: ANSWER_WINDOW_BYTES,
        });
    }

    pub(super) fn draw_token(&mut self) -> CallToken {
        let high = u128::from(self.random.next_u64());
        let low = u128::from(self.random.next_u64());
        CallToken(high << 64 | low)
    }
}
