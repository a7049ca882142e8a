//! Models the data path: entry nodes claim, dispatch, retry and answer; back ends run requests.

use rillgap_core::action::Outbox;
use rillgap_core::claim::{ClaimEvent, ClaimRequest, ClaimResult, GuardVerdict, RememberedAnswer};
use rillgap_core::code::ResultCode;
use rillgap_core::id::{AttemptId, BackEndName, CallId, Incarnation};
use rillgap_core::message::KeyedAttempt;
use rillgap_core::request::AnswerHead;
use rillgap_core::routing::Target;
use rillgap_core::time::Instant;

use crate::oracle::Execution;
use crate::world::{HostEvent, MILLI, Payload, SECOND, World};

const MAX_ATTEMPTS: u16 = 3;
/// Time after its deadline for which an unanswered attempt is kept, in microseconds.
const ORPHAN_TIMEOUT: u64 = 5 * SECOND;

/// Request at its entry node.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: CallId,
    pub keyed: KeyedAttempt,
    pub deadline: u64,
    pub attempt: AttemptId,
    pub target: usize,
    pub claiming: bool,
    pub answered: bool,
}

/// Dispatch of an attempt to a back end.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub attempt: AttemptId,
    pub keyed: KeyedAttempt,
    pub incarnation: Incarnation,
}

impl World {
    pub fn on_claim_event(&mut self, host: usize, event: ClaimEvent) {
        let Some(call) = self.hosts[host].calls.get(&event.attempt).cloned() else {
            if matches!(event.result, ClaimResult::Granted { .. }) {
                self.release(host, event.attempt);
            }
            return;
        };
        match event.result {
            ClaimResult::Granted { .. } if self.draws.percent(10) => {
                self.refuse_and_release(host, &call);
            }
            ClaimResult::Granted { .. } => self.dispatch(host, call),
            ClaimResult::Completed(answer) => self.answer(host, &call, &answer),
            ClaimResult::Refused(refusal) => {
                self.hosts[host].calls.remove(&event.attempt);
                self.reply(&call, refusal.code);
            }
        }
    }

    pub fn on_data_path(&mut self, host: usize, event: HostEvent) {
        match event {
            HostEvent::Request(keyed) => self.begin(host, keyed),
            HostEvent::Deadline(attempt) => self.expire(host, attempt),
            HostEvent::Deliver(from, Payload::Dispatch(dispatch)) => {
                self.on_dispatch(host, from, dispatch);
            }
            HostEvent::Deliver(_, Payload::Refused(attempt)) => self.on_refused(host, attempt),
            HostEvent::Deliver(_, Payload::Failed(attempt)) => self.on_failed(host, attempt),
            HostEvent::Deliver(_, Payload::Answered(attempt, answer)) => {
                self.on_answered(host, attempt, &answer);
            }
            HostEvent::GuardStart(entry, dispatch) => self.start(host, entry, dispatch),
            HostEvent::GuardEnd(entry, dispatch) => self.end(host, entry, &dispatch),
            _ => {}
        }
    }

    fn begin(&mut self, host: usize, keyed: KeyedAttempt) {
        let node = &mut self.hosts[host];
        node.next_call += 1;
        let id = CallId {
            node: node.name.id(),
            incarnation: node.incarnation,
            sequence: node.next_call,
        };
        let deadline = self.time + self.draws.within(300 * MILLI..2 * SECOND);
        let attempt = AttemptId {
            call: id,
            number: 0,
        };
        let call = Call {
            id,
            keyed,
            deadline,
            attempt,
            target: 0,
            claiming: true,
            answered: false,
        };
        self.claim(host, call, None);
    }

    fn claim(&mut self, host: usize, mut call: Call, refused: Option<AttemptId>) {
        call.target = self.draws.index(self.hosts.len());
        call.claiming = true;
        let now = self.now(host);
        let node = &self.hosts[host];
        let member = node.membership_member(&self.hosts[call.target]);
        let Some((incarnation, address)) = member else {
            self.reply(&call, ResultCode::KeyUnchecked);
            if let Some(refused) = refused {
                self.release(host, refused);
            }
            return;
        };
        let request = ClaimRequest {
            attempt: call.attempt,
            keyed: call.keyed,
            target: Target {
                node: self.hosts[call.target].name.id(),
                incarnation,
                address,
                back_end: BackEndName::new("back-end"),
            },
            deadline: Instant::from_micros(call.deadline),
        };
        self.at_host(
            host,
            call.deadline - self.time,
            HostEvent::Deadline(call.attempt),
        );
        let node = &mut self.hosts[host];
        node.calls.insert(call.attempt, call);
        let mut out = Outbox::new();
        match refused {
            None => node
                .claims
                .acquire(now, request, &node.membership, &mut out),
            Some(refused) => {
                node.claims
                    .reassign(now, refused, request, &node.membership, &mut out);
            }
        }
        self.poll_host(host, out);
    }

    fn dispatch(&mut self, host: usize, mut call: Call) {
        call.claiming = false;
        let incarnation = self.hosts[host]
            .membership_member(&self.hosts[call.target])
            .map_or(Incarnation(u64::MAX), |(incarnation, _)| incarnation);
        let dispatch = Dispatch {
            attempt: call.attempt,
            keyed: call.keyed,
            incarnation,
        };
        let target = call.target;
        self.hosts[host].calls.insert(call.attempt, call);
        let key = dispatch.keyed.key;
        *self.oracle.dispatched.entry(key).or_default() += 1;
        self.send(host, target, Payload::Dispatch(dispatch));
    }

    fn refuse_and_release(&mut self, host: usize, call: &Call) {
        let now = self.now(host);
        let node = &mut self.hosts[host];
        let holds = node.claims.holds(now, call.attempt, &node.membership);
        let code = if holds {
            ResultCode::QueueFull
        } else {
            ResultCode::InProgress
        };
        node.calls.remove(&call.attempt);
        if !call.answered {
            self.reply(call, code);
        }
        self.release(host, call.attempt);
    }

    fn release(&mut self, host: usize, attempt: AttemptId) {
        let now = self.now(host);
        let node = &mut self.hosts[host];
        let mut out = Outbox::new();
        node.claims
            .release(now, attempt, &node.membership, &mut out);
        self.poll_host(host, out);
    }

    fn on_refused(&mut self, host: usize, attempt: AttemptId) {
        let Some(call) = self.hosts[host].calls.get(&attempt).cloned() else {
            return;
        };
        let may_retry = attempt.number + 1 < MAX_ATTEMPTS && self.time < call.deadline;
        if call.answered || !may_retry || self.draws.percent(40) {
            self.refuse_and_release(host, &call);
            return;
        }
        self.hosts[host].calls.remove(&attempt);
        let mut next = call;
        next.attempt.number += 1;
        self.claim(host, next, Some(attempt));
    }

    fn on_failed(&mut self, host: usize, attempt: AttemptId) {
        let now = self.now(host);
        let node = &mut self.hosts[host];
        if let Some(call) = node.calls.remove(&attempt) {
            node.claims.abandon(now, attempt, &mut Outbox::new());
            if !call.answered {
                self.reply(&call, ResultCode::AnswerLost);
            }
        }
    }

    fn on_answered(&mut self, host: usize, attempt: AttemptId, answer: &RememberedAnswer) {
        let Some(call) = self.hosts[host].calls.get(&attempt).cloned() else {
            return;
        };
        let now = self.now(host);
        let node = &mut self.hosts[host];
        let mut out = Outbox::new();
        node.claims
            .complete(now, attempt, &node.membership, &mut out);
        self.answer(host, &call, answer);
        self.poll_host(host, out);
    }

    fn answer(&mut self, host: usize, call: &Call, answer: &RememberedAnswer) {
        self.hosts[host].calls.remove(&call.attempt);
        if *answer != answer_to(call.keyed) {
            self.oracle.wrong_answers += 1;
        }
        if !call.answered {
            self.reply(call, ResultCode::Ok);
        }
    }

    fn expire(&mut self, host: usize, attempt: AttemptId) {
        let Some(call) = self.hosts[host].calls.get_mut(&attempt) else {
            return;
        };
        let previous = call.clone();
        call.answered = true;
        if previous.claiming {
            self.hosts[host].calls.remove(&attempt);
            self.reply(&previous, ResultCode::NoQuorum);
            self.release(host, attempt);
        } else if !previous.answered {
            self.reply(&previous, ResultCode::AnswerTimeout);
            self.at_host(host, ORPHAN_TIMEOUT, HostEvent::Deadline(attempt));
        } else {
            let now = self.now(host);
            let node = &mut self.hosts[host];
            node.calls.remove(&attempt);
            node.claims.abandon(now, attempt, &mut Outbox::new());
        }
    }

    fn on_dispatch(&mut self, host: usize, entry: usize, dispatch: Dispatch) {
        if dispatch.incarnation != self.hosts[host].incarnation {
            self.send(host, entry, Payload::Refused(dispatch.attempt));
        } else if self.draws.percent(15) {
            self.refuse(host, entry, &dispatch);
        } else {
            let max_queued = if self.draws.percent(10) { 1_500 } else { 50 };
            let queued = self.draws.within(0..max_queued * MILLI);
            self.at_host(host, queued, HostEvent::GuardStart(entry, dispatch));
        }
    }

    fn refuse(&mut self, host: usize, entry: usize, dispatch: &Dispatch) {
        let now = self.now(host);
        let guard = &mut self.hosts[host].guard;
        guard.bar(now, dispatch.attempt, dispatch.keyed);
        self.send(host, entry, Payload::Refused(dispatch.attempt));
    }

    fn start(&mut self, host: usize, entry: usize, dispatch: Dispatch) {
        let now = self.now(host);
        let guard = &mut self.hosts[host].guard;
        match guard.start(now, dispatch.attempt, dispatch.keyed) {
            GuardVerdict::Start if self.draws.percent(10) => self.refuse(host, entry, &dispatch),
            GuardVerdict::Start => {
                self.oracle.executions.push(Execution {
                    keyed: dispatch.keyed,
                    attempt: dispatch.attempt,
                    at: self.time,
                });
                let running = self.draws.within(MILLI..300 * MILLI);
                self.at_host(host, running, HostEvent::GuardEnd(entry, dispatch));
            }
            GuardVerdict::Barred | GuardVerdict::Full => {
                self.send(host, entry, Payload::Refused(dispatch.attempt));
            }
            GuardVerdict::AlreadyStarted => {
                self.send(host, entry, Payload::Failed(dispatch.attempt));
            }
        }
    }

    fn end(&mut self, host: usize, entry: usize, dispatch: &Dispatch) {
        let now = self.now(host);
        let guard = &mut self.hosts[host].guard;
        if self.draws.percent(10) {
            guard.fail(now, dispatch.keyed.key);
            self.send(host, entry, Payload::Failed(dispatch.attempt));
            return;
        }
        let answer = answer_to(dispatch.keyed);
        let kept = (!self.draws.percent(10)).then(|| answer.clone());
        guard.complete(now, dispatch.keyed.key, kept);
        self.send(host, entry, Payload::Answered(dispatch.attempt, answer));
    }
}

fn answer_to(keyed: KeyedAttempt) -> RememberedAnswer {
    RememberedAnswer {
        head: AnswerHead {
            status: 200,
            headers: Vec::new(),
        },
        body: format!("{keyed:?}").into_bytes(),
    }
}
