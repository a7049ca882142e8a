//! Requests of operators that need the store: changes, one at a time, and look-ups.

use std::collections::VecDeque;
use std::time::Duration;

use super::acceptance::Acceptance;
use super::alteration::Alteration;
use super::document::{Held, PolicyDocument};
use super::scope::{Scope, policy_key};
use super::write::{Write, WriteEnd, WriteStep};
use crate::code::ResultCode;
use crate::id::ChangeId;
use crate::operator::{OperatorReply, OperatorRequestId};
use crate::store::{StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Most changes that wait for their turn.
const MAX_WAITING: usize = 16;

/// Most look-ups that wait for the store.
const MAX_LOOKUPS: usize = 64;

/// Unsettled changes that are remembered.
const MAX_UNSETTLED: usize = 64;

/// Longest wait of a look-up for the store.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// A change that waits for its turn or is on its way, with the operators who wait for it.
#[derive(Debug)]
struct Operation<T> {
    work: T,
    requests: Vec<OperatorRequestId>,
}

/// A change that waits for its turn.
#[derive(Debug)]
struct Waiting {
    change: ChangeId,
    alteration: Alteration,
}

/// What a look-up is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// The policy.
    Policy,
    /// How far a change has come.
    Change(ChangeId),
}

/// A read of the store for one operator.
#[derive(Debug)]
struct Lookup {
    store_request: StoreRequestId,
    request: OperatorRequestId,
    wanted: Wanted,
    until: Instant,
}

/// Document that a step brought to light.
#[derive(Debug)]
pub struct Finding {
    /// The document.
    pub document: PolicyDocument,
    /// The alteration that was just written, if this is its document.
    pub written: Option<(ChangeId, Alteration)>,
}

/// The requests under way.
#[derive(Debug, Default)]
pub struct Operations {
    waiting: VecDeque<Operation<Waiting>>,
    active: Option<Operation<Write>>,
    lookups: Vec<Lookup>,
    unsettled: VecDeque<ChangeId>,
}

impl Operations {
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
        self.waiting.push_back(Operation {
            work: Waiting { change, alteration },
            requests: vec![request],
        });
        self.begin_next(scope);
    }

    /// Lets an operator wait for a change that is under way; returns whether it is.
    pub fn join(&mut self, request: OperatorRequestId, change: ChangeId) -> bool {
        if let Some(active) = &mut self.active
            && active.work.change() == change
        {
            active.requests.push(request);
            return true;
        }
        let waiting = self.waiting.iter_mut();
        match waiting
            .filter(|operation| operation.work.change == change)
            .last()
        {
            Some(operation) => {
                operation.requests.push(request);
                true
            }
            None => false,
        }
    }

    /// Reads the store for an operator.
    pub fn look_up(
        &mut self,
        scope: &mut Scope<'_>,
        request: OperatorRequestId,
        wanted: Wanted,
        held: &Held,
    ) {
        if self.lookups.len() >= MAX_LOOKUPS {
            let detail = "too many requests wait at this node";
            scope.fail(request, ResultCode::Overloaded, held.version(), detail);
            return;
        }
        let store_request = scope.store(StoreRequest::Read {
            key: policy_key(),
            after: None,
        });
        self.lookups.push(Lookup {
            store_request,
            request,
            wanted,
            until: scope.now + LOOKUP_TIMEOUT,
        });
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
        if let Some(lookup) = self.take_lookup(request) {
            return self.finish_lookup(scope, &lookup, reply, held, acceptance);
        }
        let active = self.active.as_mut()?;
        let step = active
            .work
            .on_reply(scope, request, reply, held.document())?;
        self.take_step(scope, step, held, acceptance)
    }

    /// Does what is due.
    pub fn poll(&mut self, scope: &mut Scope<'_>, held: &Held, acceptance: &mut Acceptance) {
        self.expire_lookups(scope, held);
        if let Some(active) = &mut self.active {
            let step = active.work.poll(scope);
            self.take_step(scope, step, held, acceptance);
        }
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let lookups = self.lookups.iter().map(|lookup| lookup.until);
        let active = self.active.iter().map(|active| active.work.next_wake());
        lookups.chain(active).min()
    }

    fn begin_next(&mut self, scope: &mut Scope<'_>) {
        if self.active.is_some() {
            return;
        }
        if let Some(Operation { work, requests }) = self.waiting.pop_front() {
            self.active = Some(Operation {
                work: Write::begin(scope, work.change, work.alteration),
                requests,
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
        let written = self.active.as_ref().filter(|_| step.written).map(|active| {
            let alteration = active.work.alteration().clone();
            (active.work.change(), alteration)
        });
        if let Some(end) = step.end {
            self.finish(scope, end, held, acceptance);
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
        held: &Held,
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
                fail_all(scope, active.requests, code, detail, held);
                if code == ResultCode::StoreUnavailable {
                    self.refuse_waiting(scope, held);
                }
            }
            WriteEnd::Unsettled => {
                self.remember_unsettled(active.work.change());
                let detail = "a write was sent and its answer was lost; it may still take effect";
                let code = ResultCode::ChangeUnsettled;
                fail_all(scope, active.requests, code, detail, held);
            }
        }
        self.begin_next(scope);
    }

    /// Refuses what waits while the store is down, so that nobody waits for one timeout each.
    fn refuse_waiting(&mut self, scope: &mut Scope<'_>, held: &Held) {
        for operation in self.waiting.drain(..) {
            let detail = "the store does not answer; nothing was written";
            let code = ResultCode::StoreUnavailable;
            fail_all(scope, operation.requests, code, detail, held);
        }
    }

    fn remember_unsettled(&mut self, change: ChangeId) {
        if self.unsettled.len() >= MAX_UNSETTLED {
            self.unsettled.pop_front();
        }
        self.unsettled.push_back(change);
    }

    fn take_lookup(&mut self, request: StoreRequestId) -> Option<Lookup> {
        let position = self
            .lookups
            .iter()
            .position(|lookup| lookup.store_request == request)?;
        Some(self.lookups.swap_remove(position))
    }

    fn expire_lookups(&mut self, scope: &mut Scope<'_>, held: &Held) {
        let now = scope.now;
        for lookup in self.lookups.extract_if(.., |lookup| now >= lookup.until) {
            fail_lookup(scope, lookup.request, held);
        }
    }

    fn finish_lookup(
        &mut self,
        scope: &mut Scope<'_>,
        lookup: &Lookup,
        reply: &StoreReply,
        held: &Held,
        acceptance: &mut Acceptance,
    ) -> Option<Finding> {
        let StoreReply::Object(object) = reply else {
            fail_lookup(scope, lookup.request, held);
            return None;
        };
        let Ok(document) = PolicyDocument::decode(object.value.as_deref()) else {
            let detail = "the policy object in the store cannot be read";
            let code = ResultCode::StoreProtocol;
            scope.fail(lookup.request, code, held.version(), detail);
            return None;
        };
        match lookup.wanted {
            Wanted::Policy => {
                let latest = document.policy.version.max(held.version());
                let policy = if latest == held.version() {
                    held.document().policy.clone()
                } else {
                    document.policy.clone()
                };
                scope.reply(lookup.request, OperatorReply::Policy(policy));
            }
            Wanted::Change(change) => match document.version_of(change) {
                Some(version) => acceptance.wait(scope.now, lookup.request, version),
                None => self.fail_change(scope, lookup.request, change, held),
            },
        }
        Some(Finding {
            document,
            written: None,
        })
    }

    fn fail_change(
        &self,
        scope: &mut Scope<'_>,
        request: OperatorRequestId,
        change: ChangeId,
        held: &Held,
    ) {
        let (code, detail) = if self.unsettled.contains(&change) {
            let detail = "not stored yet; a write was sent and may still take effect";
            (ResultCode::ChangeUnsettled, detail)
        } else {
            let detail = "no such change is stored; one that another node has sent may still be";
            (ResultCode::ChangeUnknown, detail)
        };
        scope.fail(request, code, held.version(), detail);
    }
}

fn fail_all(
    scope: &mut Scope<'_>,
    requests: Vec<OperatorRequestId>,
    code: ResultCode,
    detail: &str,
    held: &Held,
) {
    for request in requests {
        scope.fail(request, code, held.version(), detail);
    }
}

fn fail_lookup(scope: &mut Scope<'_>, request: OperatorRequestId, held: &Held) {
    let detail = "the store does not answer";
    let code = ResultCode::StoreUnavailable;
    scope.fail(request, code, held.version(), detail);
}
