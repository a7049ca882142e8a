//! Changes of operators, one at a time.

use std::collections::VecDeque;

use super::acceptance::Acceptance;
use super::alteration::Alteration;
use super::document::{Held, PolicyDocument};
use super::scope::Scope;
use super::write::{Write, WriteEnd, WriteStep};
use crate::code::ResultCode;
use crate::id::{ChangeId, PolicyVersion};
use crate::operator::OperatorRequestId;
use crate::store::{StoreReply, StoreRequestId};
use crate::time::Instant;

/// Most changes that wait for their turn.
const MAX_WAITING: usize = 16;

/// Unsettled changes that are remembered.
const MAX_UNSETTLED: usize = 64;

/// A change that waits for its turn.
#[derive(Debug)]
struct Waiting {
    change: ChangeId,
    alteration: Alteration,
    requests: Vec<OperatorRequestId>,
}

/// The change that is on its way into the store.
#[derive(Debug)]
struct Active {
    write: Write,
    round: u64,
    requests: Vec<OperatorRequestId>,
}

/// Document that a step brought to light.
#[derive(Debug)]
pub struct Finding {
    /// The document.
    pub document: PolicyDocument,
    /// The change that was just written, if this is its document.
    pub written: Option<WrittenChange>,
}

/// A change that was just written.
#[derive(Debug)]
pub struct WrittenChange {
    /// The change.
    pub change: ChangeId,
    /// What it changed.
    pub alteration: Alteration,
    /// Round of questions in which the change was begun.
    pub round: u64,
}

/// The changes under way.
#[derive(Debug, Default)]
pub struct Changes {
    waiting: VecDeque<Waiting>,
    active: Option<Active>,
    unsettled: VecDeque<ChangeId>,
}

impl Changes {
    /// Takes a change; one that is already under way is joined.
    pub fn submit(
        &mut self,
        scope: &mut Scope<'_>,
        request: OperatorRequestId,
        change: ChangeId,
        alteration: Alteration,
        held: &Held,
    ) {
        if self.join(request, change) {
            return;
        }
        if self.waiting.len() >= MAX_WAITING {
            let detail = "too many changes wait at this node";
            scope.fail(request, ResultCode::Overloaded, held.version(), detail);
            return;
        }
        self.waiting.push_back(Waiting {
            change,
            alteration,
            requests: vec![request],
        });
        self.begin_next(scope);
    }

    /// Lets an operator wait for a change that is under way; returns whether it is.
    pub fn join(&mut self, request: OperatorRequestId, change: ChangeId) -> bool {
        let active = self.active.iter_mut();
        let active = active.map(|active| (active.write.change(), &mut active.requests));
        let waiting = self.waiting.iter_mut();
        let waiting = waiting.map(|waiting| (waiting.change, &mut waiting.requests));
        let same = active.chain(waiting).find(|(other, _)| *other == change);
        same.map(|(_, requests)| requests.push(request)).is_some()
    }

    /// Returns whether a write of a change was sent and its effect is not known.
    pub fn is_unsettled(&self, change: ChangeId) -> bool {
        self.unsettled.contains(&change)
    }

    /// Handles a reply of the store.
    pub fn on_reply(
        &mut self,
        scope: &mut Scope<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
        held: &Held,
        acceptance: &mut Acceptance,
    ) -> Option<Finding> {
        let write = &mut self.active.as_mut()?.write;
        let step = write.on_reply(scope, request, reply, held.document())?;
        self.take_step(scope, step, held, acceptance)
    }

    /// Does what is due.
    pub fn poll(&mut self, scope: &mut Scope<'_>, held: &Held, acceptance: &mut Acceptance) {
        if let Some(active) = &mut self.active {
            let step = active.write.poll(scope);
            self.take_step(scope, step, held, acceptance);
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.active.as_ref().map(|active| active.write.next_wake())
    }

    fn begin_next(&mut self, scope: &mut Scope<'_>) {
        if self.active.is_some() {
            return;
        }
        if let Some(next) = self.waiting.pop_front() {
            self.active = Some(Active {
                write: Write::begin(scope, next.change, next.alteration),
                round: scope.round,
                requests: next.requests,
            });
        }
    }

    fn take_step(
        &mut self,
        scope: &mut Scope<'_>,
        step: WriteStep,
        held: &Held,
        acceptance: &mut Acceptance,
    ) -> Option<Finding> {
        let written = self
            .active
            .as_ref()
            .filter(|_| step.written)
            .map(|active| WrittenChange {
                change: active.write.change(),
                alteration: active.write.alteration().clone(),
                round: active.round,
            });
        if let Some(end) = step.end {
            let read = step.document.as_ref().map(|read| read.policy.version);
            let latest = read.unwrap_or_default().max(held.version());
            self.finish(scope, end, latest, acceptance);
        }
        step.document.map(|document| Finding {
            document: *document,
            written,
        })
    }

    fn finish(
        &mut self,
        scope: &mut Scope<'_>,
        end: WriteEnd,
        latest: PolicyVersion,
        acceptance: &mut Acceptance,
    ) {
        let Some(active) = self.active.take() else {
            return;
        };
        match end {
            WriteEnd::Stored(version) => {
                for request in active.requests {
                    acceptance.wait(scope.now, request, version);
                }
            }
            WriteEnd::Refused { code, detail } => {
                fail_all(scope, active.requests, code, detail, latest);
                if code == ResultCode::StoreUnavailable {
                    self.refuse_waiting(scope, latest);
                }
            }
            WriteEnd::Unsettled => {
                self.remember_unsettled(active.write.change());
                let detail = "a write was sent and its answer was lost; it may still take effect";
                let code = ResultCode::ChangeUnsettled;
                fail_all(scope, active.requests, code, detail, latest);
            }
        }
        self.begin_next(scope);
    }

    /// Refuses what waits while the store is down, so that nobody waits for one timeout each.
    fn refuse_waiting(&mut self, scope: &mut Scope<'_>, latest: PolicyVersion) {
        for waiting in self.waiting.drain(..) {
            let detail = "the store does not answer; nothing was written";
            let code = ResultCode::StoreUnavailable;
            fail_all(scope, waiting.requests, code, detail, latest);
        }
    }

    fn remember_unsettled(&mut self, change: ChangeId) {
        if self.unsettled.len() >= MAX_UNSETTLED {
            self.unsettled.pop_front();
        }
        self.unsettled.push_back(change);
    }
}

fn fail_all(
    scope: &mut Scope<'_>,
    requests: Vec<OperatorRequestId>,
    code: ResultCode,
    detail: &str,
    latest: PolicyVersion,
) {
    for request in requests {
        scope.fail(request, code, latest, detail);
    }
}
