//! Attempts: selection of the back end, dispatch and retries.

use super::{Sender, refusal_for};
use crate::action::{Action, Observation};
use crate::call::attempt_runner::AttemptRunner;
use crate::call::outgoing::{CurrentAttempt, Phase};
use crate::call::ports::Ports;
use crate::call::retry::{self, Retry};
use crate::call::retry_pool::RetryPool;
use crate::claim::ClaimRequest;
use crate::code::ResultCode;
use crate::id::{AttemptId, CallId};
use crate::message::{CallMessage, Dispatch};
use crate::request::Refusal;
use crate::routing::{Candidates, Target};
use crate::time::{Now, micros};

impl Sender {
    /// Starts the next attempt of a call.
    ///
    /// `refused` is the keyed attempt whose claim the new one takes over, `None` if there is none.
    /// `fallback_code` is the reason of the refusal if no back end is available.
    pub(super) fn begin_attempt(
        &mut self,
        now: Now,
        id: CallId,
        refused: Option<AttemptId>,
        fallback_code: ResultCode,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(target) = self.pick(now, id, ports) else {
            self.refuse_untargeted(now, id, refused, fallback_code, runner, ports);
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let attempt = AttemptId {
            call: id,
            number: call.next_attempt,
        };
        call.next_attempt += 1;
        call.tried.push(target.back_end.clone());
        let phase = if call.keyed.is_some() {
            Phase::Claiming
        } else {
            Phase::Waiting
        };
        call.attempt = Some(CurrentAttempt {
            id: attempt,
            target: target.clone(),
            started_at: now.instant,
            lent: 0,
            phase,
        });
        let Some(keyed) = call.keyed else {
            self.dispatch(now, attempt, runner, ports);
            return;
        };
        let request = ClaimRequest {
            attempt,
            keyed,
            target,
            deadline: call.deadline,
        };
        let context = &mut *ports.context;
        match refused {
            None => context
                .claims
                .acquire(now, request, context.membership, context.out),
            Some(refused) => {
                context
                    .claims
                    .reassign(now, refused, request, context.membership, context.out);
            }
        }
    }

    /// Refuses a call for which no back end is available.
    ///
    /// For a keyed call that has never held a claim the outcome is unknown, because the state of
    /// its key was not checked.
    pub(super) fn refuse_untargeted(
        &mut self,
        now: Now,
        id: CallId,
        refused: Option<AttemptId>,
        fallback_code: ResultCode,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        if let Some(attempt) = refused {
            self.refuse_and_release(now, attempt, refusal_for(fallback_code), runner, ports);
            return;
        }
        let keyed = self.calls.get(&id).is_some_and(|call| call.keyed.is_some());
        let code = if keyed {
            ResultCode::KeyUnchecked
        } else {
            fallback_code
        };
        self.refuse(id, refusal_for(code), runner, ports);
    }

    pub(super) fn pick(&mut self, now: Now, id: CallId, ports: &Ports<'_, '_>) -> Option<Target> {
        let call = self.calls.get(&id)?;
        let context = &*ports.context;
        let candidates = Candidates {
            policy: context.configuration.policy()?,
            view: context.membership.view(),
            zone: &context.settings.zone,
        };
        self.router
            .pick(now.instant, candidates, &call.service, &call.tried)
    }

    pub(super) fn dispatch(
        &mut self,
        now: Now,
        attempt: AttemptId,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        if self.is_unreachable(attempt, ports) {
            self.retry(
                now,
                attempt,
                refusal_for(ResultCode::NodeStopping),
                runner,
                ports,
            );
            return;
        }
        let lent = self
            .with_pool(attempt.call, runner, RetryPool::lend)
            .unwrap_or(0);
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let Some(current) = &mut call.attempt else {
            return;
        };
        current.lent = lent;
        current.phase = Phase::Waiting;
        let target = current.target.clone();
        let dispatch = Dispatch {
            attempt,
            root: call.root,
            key: call.keyed,
            incarnation: target.incarnation,
            service: call.service.clone(),
            back_end: target.back_end.clone(),
            class: call.class,
            remaining_micros: micros(call.deadline.saturating_since(now.instant)),
            extra_attempts: lent,
            head: call.head.clone(),
            body: call.body.to_vec(),
        };
        if let Some(link) = call.parent
            && let Some(parent) = runner.parent_by_attempt(link.attempt)
        {
            parent.children.mark_sent(link.content);
        }
        self.router.on_started(now.instant, &target);
        ports.send(target.node, CallMessage::Dispatch(Box::new(dispatch)));
    }

    /// Returns whether the target's node has left the view since it was selected, so that its
    /// address is unknown.
    fn is_unreachable(&self, attempt: AttemptId, ports: &Ports<'_, '_>) -> bool {
        let current = self
            .calls
            .get(&attempt.call)
            .and_then(|call| call.attempt.as_ref());
        current.is_some_and(|current| {
            let node = current.target.node;
            let context = &*ports.context;
            node != context.settings.id() && context.membership.address(node).is_none()
        })
    }

    /// Starts another attempt if the refusal permits a retry and the budgets allow it; refuses the
    /// call otherwise.
    pub(super) fn retry(
        &mut self,
        now: Now,
        failed: AttemptId,
        refusal: Refusal,
        runner: &mut AttemptRunner,
        ports: &mut Ports<'_, '_>,
    ) {
        let allowed = match retry::kind(refusal.code) {
            Retry::Never => false,
            Retry::Reroute => self.take_reroute(failed.call) || self.spend(failed.call, runner),
            Retry::Budgeted => self.spend(failed.call, runner),
        };
        if allowed {
            ports.emit(Action::Observe(Observation::Retried));
            let keyed = self
                .calls
                .get(&failed.call)
                .is_some_and(|call| call.keyed.is_some());
            let refused = Some(failed).filter(|_| keyed);
            self.begin_attempt(now, failed.call, refused, refusal.code, runner, ports);
            return;
        }
        self.refuse_and_release(now, failed, refusal, runner, ports);
    }

    pub(super) fn take_reroute(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        if call.reroutes >= retry::MAX_REROUTES {
            return false;
        }
        call.reroutes += 1;
        true
    }
}
