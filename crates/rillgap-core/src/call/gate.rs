//! The node beside a back end: runs attempts that entry nodes dispatch.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::action::{Action, BackEndRequest};
use crate::admission::{BackEndAdmission, Completion, QueueDecision, Ticket, Verdict};
use crate::call::children::Children;
use crate::call::deadlines::Deadlines;
use crate::call::pool::RetryPool;
use crate::call::ports::Ports;
use crate::call::remembered::AnswerRecorder;
use crate::claim::{DispatchGuard, GuardVerdict};
use crate::code::ResultCode;
use crate::event::BackEndFailure;
use crate::id::{AttemptId, CallToken, NodeId};
use crate::message::{CallMessage, Dispatch};
use crate::node::NodeSettings;
use crate::policy::BackEndState;
use crate::request::{AnswerHead, Refusal, RetryAfter};
use crate::time::{Instant, Now};

/// Bytes of an answer's body that may be on the way to its reader at any time.
pub const ANSWER_WINDOW_BYTES: u32 = 64 * 1024;

/// Mixed into the node's seed, so that tokens share no random numbers with other parts.
const TOKEN_SEED_SALT: u64 = 0x746f_6b65_6e73;

#[derive(Debug)]
enum Phase {
    Queued,
    Running {
        token: CallToken,
        started_at: Instant,
        parts: u32,
    },
}

/// One attempt at the local back end.
#[derive(Debug)]
struct LocalAttempt {
    entry: NodeId,
    dispatch: Dispatch,
    deadline: Instant,
    phase: Phase,
    pool: RetryPool,
    children: Children,
    recorder: AnswerRecorder,
}

/// What a back end's own call inherits from the request that it serves.
#[derive(Debug)]
pub struct Parent<'a> {
    /// The attempt that is being served.
    pub attempt: AttemptId,
    /// Its root request and class.
    pub dispatch: &'a Dispatch,
    /// Its deadline.
    pub deadline: Instant,
    /// Its extra attempts.
    pub pool: &'a mut RetryPool,
    /// The calls made for it so far.
    pub children: &'a mut Children,
}

/// Attempts at the local back end.
#[derive(Debug)]
pub struct Gate {
    attempts: BTreeMap<AttemptId, LocalAttempt>,
    tokens: BTreeMap<CallToken, AttemptId>,
    deadlines: Deadlines<AttemptId>,
    admission: BackEndAdmission,
    guard: DispatchGuard,
    random: ChaCha8Rng,
    announced_leaving: bool,
    stopping: bool,
    ended: Vec<AttemptId>,
}

impl Gate {
    /// Creates the gate of a fresh node.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            attempts: BTreeMap::new(),
            tokens: BTreeMap::new(),
            deadlines: Deadlines::default(),
            admission: BackEndAdmission::default(),
            guard: DispatchGuard::default(),
            random: ChaCha8Rng::seed_from_u64(settings.random_seed ^ TOKEN_SEED_SALT),
            announced_leaving: false,
            stopping: false,
            ended: Vec::new(),
        }
    }

    /// Returns the guard against second starts.
    pub fn guard_mut(&mut self) -> &mut DispatchGuard {
        &mut self.guard
    }

    /// Returns whether no attempt is queued or running.
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the number of attempts that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Takes no new attempts from now on.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Returns when [`Self::settle`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        [self.deadlines.next(), self.admission.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Records what the back end says of itself.
    pub fn announce(&mut self, leaving: bool) {
        self.announced_leaving = leaving;
    }

    /// Takes the attempts that ended since the last call, whose own calls nobody needs now.
    pub fn take_ended(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the running attempt that a back end's token names.
    pub fn parent(&mut self, token: CallToken) -> Option<Parent<'_>> {
        let attempt = *self.tokens.get(&token)?;
        self.parent_by_attempt(attempt)
    }

    /// Returns a running attempt.
    pub fn parent_by_attempt(&mut self, attempt: AttemptId) -> Option<Parent<'_>> {
        let local = self.attempts.get_mut(&attempt)?;
        Some(Parent {
            attempt,
            dispatch: &local.dispatch,
            deadline: local.deadline,
            pool: &mut local.pool,
            children: &mut local.children,
        })
    }

    /// Takes in an attempt that an entry node dispatched.
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
            let refusal = Refusal {
                code,
                retry_after: RetryAfter::DEFAULT,
            };
            self.refuse(now, from, &dispatch, refusal, ports);
            return;
        }
        let deadline = now.instant + std::time::Duration::from_micros(dispatch.remaining_micros);
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

    /// Continues the answer of an attempt: its reader has room for more.
    pub fn on_credit(&mut self, attempt: AttemptId, bytes: u32, ports: &mut Ports<'_, '_>) {
        if self.attempts.contains_key(&attempt) {
            ports.act(Action::ReadBackEnd { attempt, bytes });
        }
    }

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
                self.admission.cancel(now.instant, attempt);
                self.refuse_queued(now, attempt, cancelled(ResultCode::Cancelled), ports);
            }
            Phase::Running { .. } if local.dispatch.key.is_some() => {}
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

    /// Passes on the head of the back end's answer.
    pub fn on_head(&mut self, attempt: AttemptId, head: AnswerHead, ports: &mut Ports<'_, '_>) {
        let load = self.admission.load();
        let Some(local) = self.attempts.get_mut(&attempt) else {
            return;
        };
        local.recorder.head(&head);
        ports.send(
            local.entry,
            CallMessage::AnswerHead {
                attempt,
                head,
                load,
            },
        );
    }

    /// Passes on a part of the back end's answer.
    pub fn on_body(&mut self, attempt: AttemptId, chunk: Bytes, ports: &mut Ports<'_, '_>) {
        let Some(local) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let Phase::Running { parts, .. } = &mut local.phase else {
            return;
        };
        local.recorder.body(&chunk);
        let sequence = *parts;
        *parts += 1;
        let chunk = Vec::from(chunk);
        ports.send(
            local.entry,
            CallMessage::AnswerBody {
                attempt,
                sequence,
                chunk,
            },
        );
    }

    /// Ends the back end's answer: it is whole.
    pub fn on_end(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some(local) = self.finish(now, attempt, Completion::Answered) else {
            return;
        };
        let Phase::Running { parts, .. } = local.phase else {
            return;
        };
        if let Some(keyed) = local.dispatch.key {
            self.guard
                .complete(now, keyed.key, local.recorder.into_answer());
        }
        let unspent = local.pool.left();
        let load = self.admission.load();
        ports.send(
            local.entry,
            CallMessage::AnswerEnd {
                attempt,
                parts,
                unspent,
                load,
            },
        );
    }

    /// Ends an attempt whose answer broke off.
    pub fn on_failed(
        &mut self,
        now: Now,
        attempt: AttemptId,
        failure: BackEndFailure,
        ports: &mut Ports<'_, '_>,
    ) {
        match failure {
            BackEndFailure::NotConnected => {
                self.end_not_run(now, attempt, ResultCode::BackEndUnreachable, ports);
            }
            BackEndFailure::Shed => self.end_not_run(now, attempt, ResultCode::BackEndShed, ports),
            BackEndFailure::Broken => self.end_failed(now, attempt, ResultCode::AnswerLost, ports),
        }
    }

    /// Does what is due: passed deadlines, queue decisions, refusals while leaving.
    pub fn settle(&mut self, now: Now, ports: &mut Ports<'_, '_>) {
        self.configure(ports);
        while let Some(attempt) = self.deadlines.pop_passed(now.instant) {
            self.expire(now, attempt, ports);
        }
        self.refuse_queued_while_closed(now, ports);
        for decision in self.admission.poll(now.instant) {
            match decision {
                QueueDecision::Start(attempt) => self.start(now, attempt, ports),
                QueueDecision::Refuse(attempt, refusal) => {
                    self.refuse_queued(now, attempt, refusal, ports);
                }
            }
        }
    }

    fn configure(&mut self, ports: &Ports<'_, '_>) {
        let Some(back_end) = &ports.context.settings.back_end else {
            return;
        };
        let policy = ports.context.configuration.policy();
        if let Some(service) = policy.and_then(|policy| policy.service(&back_end.service)) {
            self.admission.configure(service);
        }
    }

    fn reason_to_refuse(
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
        self.reason_closed(now, ports)
    }

    /// Returns why the local back end takes nothing new at the moment, if so.
    fn reason_closed(&self, now: Now, ports: &Ports<'_, '_>) -> Option<ResultCode> {
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

    /// A back end that is leaving gets nothing new, and queued attempts would be new to it.
    fn refuse_queued_while_closed(&mut self, now: Now, ports: &mut Ports<'_, '_>) {
        if self.attempts.is_empty() {
            return;
        }
        let Some(code) = self.reason_closed(now, ports) else {
            return;
        };
        let queued: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, local)| matches!(local.phase, Phase::Queued))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in queued {
            self.admission.cancel(now.instant, attempt);
            self.refuse_queued(now, attempt, cancelled(code), ports);
        }
    }

    fn insert(&mut self, entry: NodeId, dispatch: Dispatch, deadline: Instant) {
        let attempt = dispatch.attempt;
        self.deadlines.insert(deadline, attempt);
        let local = LocalAttempt {
            entry,
            deadline,
            phase: Phase::Queued,
            pool: RetryPool::new(dispatch.share),
            children: Children::default(),
            recorder: AnswerRecorder::new(dispatch.key.is_some()),
            dispatch,
        };
        self.attempts.insert(attempt, local);
    }

    fn start(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
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

    fn call_back_end(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
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
        ports.act(Action::CallBackEnd(Box::new(request)));
        ports.act(Action::ReadBackEnd {
            attempt,
            bytes: ANSWER_WINDOW_BYTES,
        });
    }

    fn draw_token(&mut self) -> CallToken {
        let high = u128::from(self.random.next_u64());
        let low = u128::from(self.random.next_u64());
        CallToken(high << 64 | low)
    }

    /// Takes an attempt out of all tables and frees its place at the back end.
    fn finish(
        &mut self,
        now: Now,
        attempt: AttemptId,
        completion: Completion,
    ) -> Option<LocalAttempt> {
        let local = self.attempts.remove(&attempt)?;
        self.deadlines.remove(local.deadline, attempt);
        match local.phase {
            Phase::Running {
                token, started_at, ..
            } => {
                self.tokens.remove(&token);
                self.ended.push(attempt);
                let latency = now.instant.saturating_since(started_at);
                self.admission
                    .finish(now.instant, attempt, latency, completion);
            }
            // The guard refused it after admission had already given it a place.
            Phase::Queued => {
                self.admission
                    .finish(now.instant, attempt, std::time::Duration::ZERO, completion);
            }
        }
        Some(local)
    }

    /// Ends an attempt that was admitted but has provably not run.
    fn end_not_run(
        &mut self,
        now: Now,
        attempt: AttemptId,
        code: ResultCode,
        ports: &mut Ports<'_, '_>,
    ) {
        if let Some(local) = self.finish(now, attempt, Completion::Shed) {
            let refusal = Refusal {
                code,
                retry_after: RetryAfter::DEFAULT,
            };
            self.refuse(now, local.entry, &local.dispatch, refusal, ports);
        }
    }

    /// Ends an attempt that may have run.
    fn end_failed(
        &mut self,
        now: Now,
        attempt: AttemptId,
        code: ResultCode,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(local) = self.finish(now, attempt, Completion::Failed) else {
            return;
        };
        if let (Some(keyed), Phase::Running { .. }) = (local.dispatch.key, &local.phase) {
            self.guard.fail(now, keyed.key);
        }
        let refusal = Refusal {
            code,
            retry_after: RetryAfter::DEFAULT,
        };
        let unspent = local.pool.left();
        let load = self.admission.load();
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

    fn abort(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        ports.act(Action::CancelBackEnd { attempt });
        self.end_failed(now, attempt, ResultCode::AnswerTimeout, ports);
    }

    fn expire(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some(local) = self.attempts.get(&attempt) else {
            return;
        };
        match local.phase {
            Phase::Queued => {
                self.admission.cancel(now.instant, attempt);
                self.refuse_queued(now, attempt, cancelled(ResultCode::DeadlineUnmet), ports);
            }
            Phase::Running { .. } => self.abort(now, attempt, ports),
        }
    }

    /// Refuses an attempt that admission has already taken out of its queue.
    fn refuse_queued(
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
    fn refuse(
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

const fn cancelled(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}
