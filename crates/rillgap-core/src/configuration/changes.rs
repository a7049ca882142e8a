//! Queues the changes that operators request and writes them to the store one at a time.

use std::collections::VecDeque;

use super::acceptance::Acceptance;
use super::alteration::Alteration;
use super::context::StepContext;
use super::document::{HeldDocument, PolicyDocument};
use super::write::{PolicyWrite, WriteOutcome, WriteStep};
use crate::code::ResultCode;
use crate::id::{ChangeId, PolicyVersion};
use crate::operator::OperatorRequestId;
use crate::store::{StoreReply, StoreRequestId};
use crate::time::Instant;

/// Maximum number of changes in the queue, besides the active one.
const MAX_QUEUED: usize = 16;

/// Maximum number of unsettled changes that are recorded; the oldest is dropped first.
const MAX_UNSETTLED: usize = 64;

/// A change in the queue.
#[derive(Debug)]
struct QueuedChange {
    change: ChangeId,
    alteration: Alteration,
    requests: Vec<OperatorRequestId>,
}

/// The change that is being written to the store.
#[derive(Debug)]
struct ActiveChange {
    write: PolicyWrite,
    round: u64,
    requests: Vec<OperatorRequestId>,
}

/// A document that was read from the store or written to it.
#[derive(Debug)]
pub struct ObservedDocument {
    /// The document.
    pub document: PolicyDocument,
    /// The change that was just written; `None` if the document was read.
    pub written: Option<WrittenChange>,
}

/// A change that was just written.
#[derive(Debug)]
pub struct WrittenChange {
    /// Identifier of the change.
    pub change: ChangeId,
    /// The alteration that it made.
    pub alteration: Alteration,
    /// Query round of the confirmation in which the write began.
    pub round: u64,
}

/// The queued changes, the active change, and the unsettled ones.
#[derive(Debug, Default)]
pub struct Changes {
    queued: VecDeque<QueuedChange>,
    active: Option<ActiveChange>,
    unsettled: VecDeque<ChangeId>,
}

impl Changes {
    /// Queues a change.
    ///
    /// If the same change is already queued or active, its outcome is reported to this request too.
    pub fn submit(
        &mut self,
        context: &mut StepContext<'_>,
        request: OperatorRequestId,
        change: ChangeId,
        alteration: Alteration,
        held: &HeldDocument,
    ) {
        if self.join(request, change) {
            return;
        }
        if self.queued.len() >= MAX_QUEUED {
            let detail = "too many changes are queued at this node";
            context.fail(request, ResultCode::Overloaded, held.version(), detail);
            return;
        }
        self.queued.push_back(QueuedChange {
            change,
            alteration,
            requests: vec![request],
        });
        self.start_next(context);
    }

    /// Adds `request` to those that get the outcome of a queued or active change; returns whether
    /// there is one with this identifier.
    pub fn join(&mut self, request: OperatorRequestId, change: ChangeId) -> bool {
        let active = self.active.iter_mut();
        let active = active.map(|active| (active.write.change(), &mut active.requests));
        let queued = self.queued.iter_mut();
        let queued = queued.map(|queued| (queued.change, &mut queued.requests));
        let matching = active.chain(queued).find(|(other, _)| *other == change);
        matching
            .map(|(_, requests)| requests.push(request))
            .is_some()
    }

    /// Returns whether this node sent a write of the change and has no proof of whether it took
    /// effect.
    pub fn is_unsettled(&self, change: ChangeId) -> bool {
        self.unsettled.contains(&change)
    }

    /// Handles a reply of the store; returns the document that it brought, if any.
    pub fn on_reply(
        &mut self,
        context: &mut StepContext<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
        held: &HeldDocument,
        acceptance: &mut Acceptance,
    ) -> Option<ObservedDocument> {
        let write = &mut self.active.as_mut()?.write;
        let step = write.on_reply(context, request, reply, held.document())?;
        self.handle_step(context, step, held, acceptance)
    }

    /// Handles timeouts and retries of the active change.
    pub fn poll(
        &mut self,
        context: &mut StepContext<'_>,
        held: &HeldDocument,
        acceptance: &mut Acceptance,
    ) {
        if let Some(active) = &mut self.active {
            let step = active.write.poll(context);
            self.handle_step(context, step, held, acceptance);
        }
    }

    /// Returns when [`Self::poll`] must be called next, or `None` if no change is active.
    pub fn next_wake(&self) -> Option<Instant> {
        self.active.as_ref().map(|active| active.write.next_wake())
    }

    fn start_next(&mut self, context: &mut StepContext<'_>) {
        if self.active.is_some() {
            return;
        }
        if let Some(next) = self.queued.pop_front() {
            self.active = Some(ActiveChange {
                write: PolicyWrite::begin(context, next.change, next.alteration),
                round: context.round,
                requests: next.requests,
            });
        }
    }

    fn handle_step(
        &mut self,
        context: &mut StepContext<'_>,
        step: WriteStep,
        held: &HeldDocument,
        acceptance: &mut Acceptance,
    ) -> Option<ObservedDocument> {
        let written = self
            .active
            .as_ref()
            .filter(|_| step.written)
            .map(|active| WrittenChange {
                change: active.write.change(),
                alteration: active.write.alteration().clone(),
                round: active.round,
            });
        if let Some(outcome) = step.outcome {
            let read = step.document.as_ref().map(|read| read.policy.version);
            let latest = read.unwrap_or_default().max(held.version());
            self.finish(context, outcome, latest, acceptance);
        }
        step.document.map(|document| ObservedDocument {
            document: *document,
            written,
        })
    }

    fn finish(
        &mut self,
        context: &mut StepContext<'_>,
        outcome: WriteOutcome,
        latest: PolicyVersion,
        acceptance: &mut Acceptance,
    ) {
        let Some(active) = self.active.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Stored(version) => {
                for request in active.requests {
                    acceptance.wait(context.now, request, version);
                }
            }
            WriteOutcome::Refused { code, detail } => {
                fail_all(context, active.requests, code, detail, latest);
                if code == ResultCode::StoreUnavailable {
                    self.refuse_queued(context, latest);
                }
            }
            WriteOutcome::Unsettled => {
                self.record_unsettled(active.write.change());
                let detail = "a write was sent and its reply was lost; it may still take effect";
                let code = ResultCode::ChangeUnsettled;
                fail_all(context, active.requests, code, detail, latest);
            }
        }
        self.start_next(context);
    }

    /// Fails all queued changes when the store does not answer.
    ///
    /// Otherwise each of them would run into its own timeout, one after the other.
    fn refuse_queued(&mut self, context: &mut StepContext<'_>, latest: PolicyVersion) {
        for queued in self.queued.drain(..) {
            let detail = "the store does not answer; nothing was written";
            let code = ResultCode::StoreUnavailable;
            fail_all(context, queued.requests, code, detail, latest);
        }
    }

    fn record_unsettled(&mut self, change: ChangeId) {
        if self.unsettled.len() >= MAX_UNSETTLED {
            self.unsettled.pop_front();
        }
        self.unsettled.push_back(change);
    }
}

fn fail_all(
    context: &mut StepContext<'_>,
    requests: Vec<OperatorRequestId>,
    code: ResultCode,
    detail: &str,
    latest: PolicyVersion,
) {
    for request in requests {
        context.fail(request, code, latest, detail);
    }
}
