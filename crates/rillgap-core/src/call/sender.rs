//! Sends calls on to back ends: attempts, claims, answers, retries and deadlines.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::action::{Action, Observation};
use crate::admission::{EntryAdmission, LoadReport, RetryBudget};
use crate::call::deadlines::Deadlines;
use crate::call::entry;
use crate::call::gate::Gate;
use crate::call::outgoing::{CurrentAttempt, OutgoingCall, Phase};
use crate::call::pool::RetryPool;
use crate::call::ports::Ports;
use crate::call::retry::{self, Retry};
use crate::claim::{ClaimEvent, ClaimRequest, ClaimResult, RememberedAnswer};
use crate::code::ResultCode;
use crate::event::InboundId;
use crate::id::{AttemptId, CallId, NodeId};
use crate::message::{CallMessage, Dispatch};
use crate::node::NodeSettings;
use crate::request::{AnswerHead, Refusal, RetryAfter};
use crate::routing::{Candidates, Router, Target, TargetResult};
use crate::time::{Instant, Now, micros};

/// Mixed into the node's seed, so that identifiers share no random numbers with other parts.
const IDENTIFIER_SEED_SALT: u64 = 0x726f_6f74_7321;

/// How long the fate of a keyed attempt is awaited after its caller was answered.
const ORPHAN_WAIT: std::time::Duration = std::time::Duration::from_secs(10);

/// What the end of an answer states about the whole of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTrailer {
    /// Number of parts of the body.
    pub parts: u32,
    /// Extra attempts that were not spent.
    pub unspent: u8,
}

/// Calls that this node sends on.
#[derive(Debug)]
pub struct Sender {
    /// Admission of root requests.
    pub entry_admission: EntryAdmission,
    calls: BTreeMap<CallId, OutgoingCall>,
    pools: BTreeMap<CallId, RetryPool>,
    by_inbound: BTreeMap<InboundId, CallId>,
    deadlines: Deadlines<CallId>,
    router: Router,
    retry_budget: RetryBudget,
    random: ChaCha8Rng,
    next_sequence: u64,
    stopping: bool,
}

impl Sender {
    /// Creates the sender of a fresh node.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            entry_admission: EntryAdmission::default(),
            calls: BTreeMap::new(),
            pools: BTreeMap::new(),
            by_inbound: BTreeMap::new(),
            deadlines: Deadlines::default(),
            router: Router::default(),
            retry_budget: RetryBudget::default(),
            random: ChaCha8Rng::seed_from_u64(settings.random_seed ^ IDENTIFIER_SEED_SALT),
            next_sequence: 0,
            stopping: false,
        }
    }

    /// Returns whether no call is under way.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of calls under way.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the node is stopping.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Takes no new root requests from now on.
    pub const fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Returns when [`Self::expire`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.deadlines.next()
    }

    /// Draws a random identifier.
    pub fn draw_identifier(&mut self) -> u128 {
        u128::from(self.random.next_u64()) << 64 | u128::from(self.random.next_u64())
    }

    /// Draws the identifier of a new call.
    pub fn next_call_id(&mut self, settings: &NodeSettings) -> CallId {
        self.next_sequence += 1;
        CallId {
            node: settings.id(),
            incarnation: settings.incarnation,
            sequence: self.next_sequence,
        }
    }

    /// Gives a root call its extra attempts.
    pub fn open_pool(&mut self, call: CallId, pool: RetryPool) {
        self.pools.insert(call, pool);
    }

    /// Begins a call that was admitted.
    pub fn begin(
        &mut self,
        now: Now,
        call: OutgoingCall,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let id = call.id;
        self.retry_budget.configure(retry_percent(ports));
        self.by_inbound.insert(call.inbound, id);
        self.deadlines.insert(call.deadline, id);
        self.calls.insert(id, call);
        self.begin_attempt(now, id, None, ResultCode::NoBackEnd, gate, ports);
    }

    /// Handles what became of a claim.
    pub fn on_claim(
        &mut self,
        now: Now,
        event: ClaimEvent,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let id = event.attempt.call;
        let waiting = self.calls.get(&id).is_some_and(|call| {
            call.is_current(event.attempt) && call.phase() == Some(Phase::Claiming)
        });
        if !waiting {
            // The caller is gone or was answered while the claim was being asked for.
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
            ClaimResult::Granted { budget: _ } => self.on_granted(now, event.attempt, gate, ports),
            ClaimResult::Completed(answer) => self.answer_remembered(now, id, answer, ports),
            ClaimResult::Refused(refusal) => self.refuse(id, refusal, gate, ports),
        }
    }

    /// Passes on the head of an answer.
    pub fn on_head(
        &mut self,
        now: Now,
        attempt: AttemptId,
        head: AnswerHead,
        load: &LoadReport,
        ports: &mut Ports<'_, '_>,
    ) {
        self.observe_load(now, attempt, load);
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
        ports.act(Action::AnswerHead { inbound, head });
    }

    /// Passes on a part of an answer; a gap breaks the answer off.
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
                ports.act(Action::AnswerBody {
                    inbound,
                    chunk: Bytes::from(chunk),
                });
            }
            Some(Phase::Answering { .. }) => self.break_off(now, attempt, ports),
            _ => {}
        }
    }

    /// Ends an answer that is whole; one with a part missing is broken off.
    pub fn on_end(
        &mut self,
        now: Now,
        attempt: AttemptId,
        end: AnswerTrailer,
        load: &LoadReport,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let AnswerTrailer { parts, unspent } = end;
        self.observe_load(now, attempt, load);
        let Some(phase) = self.current(attempt).and_then(|call| call.phase()) else {
            return;
        };
        if phase != (Phase::Answering { parts }) && phase != Phase::Orphaned {
            self.break_off(now, attempt, ports);
            return;
        }
        self.restore(attempt, unspent, gate);
        let Some(call) = self.remove(attempt.call) else {
            return;
        };
        self.settle_target(now, &call, TargetResult::Answered);
        self.retry_budget.success(&call.service);
        if call.keyed.is_some() {
            let context = &mut *ports.context;
            context
                .claims
                .complete(now, attempt, context.membership, context.out);
        }
        if phase != Phase::Orphaned {
            let latency = now.instant.saturating_since(call.arrived);
            ports.act(Action::AnswerEnd {
                inbound: call.inbound,
            });
            ports.act(Action::Observe(Observation::Answered { latency }));
        }
    }

    /// Handles an attempt that may have run and brought no whole answer.
    pub fn on_failed(
        &mut self,
        now: Now,
        attempt: AttemptId,
        refusal: Refusal,
        unspent: u8,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(call) = self.current(attempt) else {
            return;
        };
        let (phase, repeatable) = (call.phase(), call.repeatable);
        self.restore(attempt, unspent, gate);
        self.end_target(now, attempt, TargetResult::Failed);
        match phase {
            Some(Phase::Waiting) if repeatable => {
                self.retry(now, attempt, refusal, gate, ports);
            }
            Some(Phase::Waiting) => {
                self.abandon_claim(now, attempt, ports);
                self.refuse(attempt.call, refusal, gate, ports);
            }
            Some(Phase::Answering { .. }) => self.break_off(now, attempt, ports),
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
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        self.observe_load(now, attempt, load);
        let Some(call) = self.current(attempt) else {
            return;
        };
        let phase = call.phase();
        self.restore(attempt, u8::MAX, gate);
        self.end_target(now, attempt, TargetResult::Refused);
        if phase == Some(Phase::Orphaned) {
            self.release_claim(now, attempt, ports);
            self.remove(attempt.call);
            return;
        }
        self.mark_child_not_run(attempt.call, gate);
        self.retry(now, attempt, refusal, gate, ports);
    }

    /// Tells the node beside the back end that the caller took in a part of the answer.
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

    /// Cancels a call whose caller went away.
    pub fn on_gone(&mut self, now: Now, inbound: InboundId, ports: &mut Ports<'_, '_>) {
        if let Some(id) = self.by_inbound.get(&inbound).copied() {
            self.cancel(now, id, ports);
        }
    }

    /// Cancels the calls that a local attempt had made, because it has ended.
    pub fn cancel_children(&mut self, now: Now, parent: AttemptId, ports: &mut Ports<'_, '_>) {
        let children: Vec<(CallId, InboundId)> = self
            .calls
            .values()
            .filter(|call| call.parent.is_some_and(|link| link.attempt == parent))
            .map(|call| (call.id, call.inbound))
            .collect();
        for (id, inbound) in children {
            self.cancel(now, id, ports);
            ports.act(Action::AnswerAbort { inbound });
        }
    }

    /// Fails the attempts whose answers were lost with a link.
    pub fn on_peer_lost(
        &mut self,
        now: Now,
        peer: NodeId,
        gate: &mut Gate,
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
            let refusal = plain(ResultCode::AnswerLost);
            self.on_failed(now, attempt, refusal, 0, gate, ports);
        }
    }

    /// Answers the calls whose deadline has passed.
    pub fn expire(&mut self, now: Now, gate: &mut Gate, ports: &mut Ports<'_, '_>) {
        while let Some(id) = self.deadlines.pop_passed(now.instant) {
            self.expire_call(now, id, gate, ports);
        }
    }

    fn expire_call(&mut self, now: Now, id: CallId, gate: &mut Gate, ports: &mut Ports<'_, '_>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let inbound = call.inbound;
        match call.phase() {
            Some(Phase::Orphaned) => {
                if let Some(attempt) = call.attempt.as_ref().map(|attempt| attempt.id) {
                    self.abandon_claim(now, attempt, ports);
                }
                self.remove(id);
            }
            Some(Phase::Answering { .. }) => {
                ports.act(Action::AnswerAbort { inbound });
                self.cancel(now, id, ports);
            }
            Some(Phase::Waiting) => {
                entry::refuse(inbound, plain(ResultCode::AnswerTimeout), ports);
                self.cancel(now, id, ports);
            }
            Some(Phase::Claiming) => {
                entry::refuse(inbound, plain(ResultCode::NoQuorum), ports);
                self.cancel(now, id, ports);
            }
            None => self.refuse(id, plain(ResultCode::DeadlineUnmet), gate, ports),
        }
    }

    /// Begins the next attempt, as a retry of `refused` if that is given.
    fn begin_attempt(
        &mut self,
        now: Now,
        id: CallId,
        refused: Option<AttemptId>,
        otherwise: ResultCode,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(target) = self.pick(now, id, ports) else {
            self.refuse_untargeted(now, id, refused, otherwise, gate, ports);
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
            begun_at: now.instant,
            lent: 0,
            phase,
        });
        let Some(keyed) = call.keyed else {
            self.dispatch(now, attempt, gate, ports);
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

    /// Refuses a call for which no back end is left.
    ///
    /// A keyed call that never held a claim does not know what became of its key.
    fn refuse_untargeted(
        &mut self,
        now: Now,
        id: CallId,
        refused: Option<AttemptId>,
        otherwise: ResultCode,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let keyed = self.calls.get(&id).is_some_and(|call| call.keyed.is_some());
        if let Some(attempt) = refused.filter(|_| keyed) {
            self.release_claim(now, attempt, ports);
        }
        let code = if keyed && refused.is_none() {
            ResultCode::KeyUnchecked
        } else {
            otherwise
        };
        self.refuse(id, plain(code), gate, ports);
    }

    fn pick(&mut self, now: Now, id: CallId, ports: &Ports<'_, '_>) -> Option<Target> {
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

    /// Admits a keyed call that now holds its claim, and dispatches it.
    fn on_granted(
        &mut self,
        now: Now,
        attempt: AttemptId,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        let admitted =
            self.entry_admission
                .admit(now.instant, &call.service, call.class, call.root);
        match admitted {
            Ok(()) => self.dispatch(now, attempt, gate, ports),
            Err(refusal) => {
                self.release_claim(now, attempt, ports);
                self.refuse(attempt.call, refusal, gate, ports);
            }
        }
    }

    fn dispatch(
        &mut self,
        now: Now,
        attempt: AttemptId,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let lent = self
            .with_pool(attempt.call, gate, RetryPool::lend)
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
            share: lent,
            head: call.head.clone(),
            body: call.body.to_vec(),
        };
        if let Some(link) = call.parent
            && let Some(parent) = gate.parent_by_attempt(link.attempt)
        {
            parent.children.sent(link.content);
        }
        self.router.started(now.instant, &target);
        ports.send(target.node, CallMessage::Dispatch(Box::new(dispatch)));
    }

    /// Tries another back end if bounds, budgets and deadline allow, or refuses the call.
    fn retry(
        &mut self,
        now: Now,
        failed: AttemptId,
        refusal: Refusal,
        gate: &mut Gate,
        ports: &mut Ports<'_, '_>,
    ) {
        let allowed = match retry::kind(refusal.code) {
            Retry::Never => false,
            Retry::Reroute => self.take_reroute(failed.call) || self.spend(failed.call, gate),
            Retry::Budgeted => self.spend(failed.call, gate),
        };
        if allowed {
            ports.act(Action::Observe(Observation::Retried));
            let keyed = self
                .calls
                .get(&failed.call)
                .is_some_and(|call| call.keyed.is_some());
            let refused = Some(failed).filter(|_| keyed);
            self.begin_attempt(now, failed.call, refused, refusal.code, gate, ports);
            return;
        }
        self.release_claim(now, failed, ports);
        self.refuse(failed.call, refusal, gate, ports);
    }

    fn take_reroute(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        if call.reroutes >= retry::MOST_REROUTES {
            return false;
        }
        call.reroutes += 1;
        true
    }

    fn spend(&mut self, id: CallId, gate: &mut Gate) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let service = call.service.clone();
        self.retry_budget.try_spend(&service)
            && self.with_pool(id, gate, RetryPool::spend).unwrap_or(false)
    }

    /// Works on the pool of a call: its own for a root, its parent's for others.
    fn with_pool<T>(
        &mut self,
        id: CallId,
        gate: &mut Gate,
        work: impl FnOnce(&mut RetryPool) -> T,
    ) -> Option<T> {
        match self.calls.get(&id)?.parent {
            None => self.pools.get_mut(&id).map(work),
            Some(link) => gate
                .parent_by_attempt(link.attempt)
                .map(|parent| work(parent.pool)),
        }
    }

    fn restore(&mut self, attempt: AttemptId, unspent: u8, gate: &mut Gate) {
        let current = self
            .calls
            .get_mut(&attempt.call)
            .and_then(|call| call.attempt.as_mut());
        let lent = current.map_or(0, |current| std::mem::take(&mut current.lent));
        self.with_pool(attempt.call, gate, |pool| pool.restore(lent, unspent));
    }

    fn mark_child_not_run(&mut self, id: CallId, gate: &mut Gate) {
        let link = self.calls.get(&id).and_then(|call| call.parent);
        if let Some(link) = link
            && let Some(parent) = gate.parent_by_attempt(link.attempt)
        {
            parent.children.not_run(link.content);
        }
    }

    fn current(&mut self, attempt: AttemptId) -> Option<&mut OutgoingCall> {
        self.calls
            .get_mut(&attempt.call)
            .filter(|call| call.is_current(attempt))
    }

    fn observe_load(&mut self, now: Now, attempt: AttemptId, load: &LoadReport) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        self.entry_admission
            .observe(now.instant, &call.service, load);
        if let Some(current) = &call.attempt {
            self.router
                .observe(now.instant, &current.target.back_end, load);
        }
    }

    fn end_target(&mut self, now: Now, attempt: AttemptId, result: TargetResult) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        if let Some(current) = &call.attempt {
            let latency = now.instant.saturating_since(current.begun_at);
            self.router
                .finished(now.instant, &current.target, latency, result);
        }
    }

    fn settle_target(&mut self, now: Now, call: &OutgoingCall, result: TargetResult) {
        if let Some(current) = &call.attempt {
            let latency = now.instant.saturating_since(current.begun_at);
            self.router
                .finished(now.instant, &current.target, latency, result);
        }
    }

    /// Breaks the transfer to the caller off; it must not look whole.
    fn break_off(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        let inbound = call.inbound;
        ports.act(Action::AnswerAbort { inbound });
        self.abandon_claim(now, attempt, ports);
        self.remove(attempt.call);
    }

    fn answer_remembered(
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
        ports.act(Action::AnswerHead {
            inbound,
            head: answer.head,
        });
        ports.act(Action::AnswerBody {
            inbound,
            chunk: Bytes::from(answer.body),
        });
        ports.act(Action::AnswerEnd { inbound });
        ports.act(Action::Observe(Observation::Answered { latency }));
    }

    fn refuse(&mut self, id: CallId, refusal: Refusal, gate: &mut Gate, ports: &mut Ports<'_, '_>) {
        self.mark_unsent_child(id, gate);
        if let Some(call) = self.remove(id) {
            entry::refuse(call.inbound, refusal, ports);
        }
    }

    fn mark_unsent_child(&mut self, id: CallId, gate: &mut Gate) {
        let unsent = self
            .calls
            .get(&id)
            .is_some_and(|call| call.attempt.is_none());
        if unsent {
            self.mark_child_not_run(id, gate);
        }
    }

    /// Cancels the attempt under way. The caller has been answered or is gone.
    ///
    /// A keyed attempt is kept until its fate is known, because a claim may be given back
    /// only with proof that it has not run.
    fn cancel(&mut self, now: Now, id: CallId, ports: &mut Ports<'_, '_>) {
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
            current.phase = Phase::Orphaned;
        }
        if !holds_claim {
            if let Some(call) = self.remove(id) {
                self.settle_target(now, &call, TargetResult::Failed);
            }
            return;
        }
        self.await_fate(now, id);
    }

    fn await_fate(&mut self, now: Now, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.deadlines.remove(call.deadline, id);
        self.by_inbound.remove(&call.inbound);
        call.deadline = now.instant + ORPHAN_WAIT;
        self.deadlines.insert(call.deadline, id);
    }

    fn remove(&mut self, id: CallId) -> Option<OutgoingCall> {
        let call = self.calls.remove(&id)?;
        self.pools.remove(&id);
        self.by_inbound.remove(&call.inbound);
        self.deadlines.remove(call.deadline, id);
        Some(call)
    }

    fn release_claim(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        if self.is_keyed(attempt) {
            let context = &mut *ports.context;
            context
                .claims
                .release(now, attempt, context.membership, context.out);
        }
    }

    fn abandon_claim(&mut self, now: Now, attempt: AttemptId, ports: &mut Ports<'_, '_>) {
        if self.is_keyed(attempt) {
            let context = &mut *ports.context;
            context.claims.abandon(now, attempt, context.out);
        }
    }

    fn is_keyed(&self, attempt: AttemptId) -> bool {
        self.calls
            .get(&attempt.call)
            .is_some_and(|call| call.keyed.is_some())
    }
}

fn retry_percent(ports: &Ports<'_, '_>) -> u8 {
    let policy = ports.context.configuration.policy();
    policy.map_or(0, |policy| policy.bounds.retry_percent)
}

const fn plain(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}
