//! Writes one change to the store.
//!
//! The object is read, the next document is planned on it and written by compare-and-set. If the
//! reply to a write is lost, the object is read again. There are four cases:
//!
//! - It contains the change: the write took effect.
//! - It does not, and its index is higher than the expected one: the write can never take effect,
//!   and the change is planned again.
//! - Its index is still the expected one: the same write is sent again. Of two writes with the
//!   same expected index at most one takes effect.
//! - Its index is lower: the read returned an older object and is repeated.

use std::time::Duration;

use super::alteration::{Alteration, Plan};
use super::context::{StepContext, policy_key};
use super::document::PolicyDocument;
use crate::code::ResultCode;
use crate::id::{ChangeId, PolicyVersion};
use crate::store::{ModifyIndex, StoreObject, StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Time after which a request counts as lost if the store has not replied.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which the change as a whole is refused, or left unsettled if a write may take effect.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before the object is read again.
const REREAD_DELAY: Duration = Duration::from_millis(100);

/// Outcome of a change.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The change is stored and created this version.
    Stored(PolicyVersion),
    /// The change is not stored and will not be, unless an operator submits it again.
    Refused {
        /// Reason.
        code: ResultCode,
        /// Explanation for the operator.
        detail: &'static str,
    },
    /// A write was sent and may still take effect.
    Unsettled,
}

/// Result of one step of the change.
#[derive(Debug, Default)]
pub struct WriteStep {
    /// Document that was read or written in this step.
    pub document: Option<Box<PolicyDocument>>,
    /// Whether `document` was just written, so that no later version can be in force.
    pub written: bool,
    /// Outcome of the change, or `None` while it is in progress.
    pub outcome: Option<WriteOutcome>,
}

impl WriteStep {
    fn with_outcome(outcome: WriteOutcome) -> Self {
        Self {
            outcome: Some(outcome),
            ..Self::default()
        }
    }

    fn refused(code: ResultCode, detail: &'static str) -> Self {
        Self::with_outcome(WriteOutcome::Refused { code, detail })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading(StoreRequestId),
    Writing(StoreRequestId),
    BackingOff,
}

/// A write that was sent.
#[derive(Debug)]
struct SentWrite {
    expected: ModifyIndex,
    document: Box<PolicyDocument>,
    /// Whether a reply to the write was lost, so that it may still take effect.
    uncertain: bool,
}

/// A change that is being written.
#[derive(Debug)]
pub struct PolicyWrite {
    change: ChangeId,
    alteration: Alteration,
    phase: Phase,
    phase_deadline: Instant,
    deadline: Instant,
    sent: Option<SentWrite>,
    had_conflict: bool,
}

impl PolicyWrite {
    /// Begins a change by reading the object.
    pub fn begin(context: &mut StepContext<'_>, change: ChangeId, alteration: Alteration) -> Self {
        let mut write = Self {
            change,
            alteration,
            phase: Phase::BackingOff,
            phase_deadline: context.now,
            deadline: context.now + WRITE_TIMEOUT,
            sent: None,
            had_conflict: false,
        };
        write.read(context);
        write
    }

    /// Returns the identifier of the change.
    pub fn change(&self) -> ChangeId {
        self.change
    }

    /// Returns the alteration that the change makes.
    pub fn alteration(&self) -> &Alteration {
        &self.alteration
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Instant {
        self.phase_deadline
    }

    /// Reads again after a delay, and handles the timeouts of requests and of the whole change.
    pub fn poll(&mut self, context: &mut StepContext<'_>) -> WriteStep {
        if context.now < self.phase_deadline {
            return WriteStep::default();
        }
        match self.phase {
            Phase::Reading(_) => self.on_read_lost(context),
            Phase::Writing(_) => self.on_write_lost(context),
            Phase::BackingOff if context.now >= self.deadline => self.on_timeout(),
            Phase::BackingOff => {
                self.read(context);
                WriteStep::default()
            }
        }
    }

    /// Handles a reply of the store, or returns `None` if it belongs to another request.
    pub fn on_reply(
        &mut self,
        context: &mut StepContext<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
        held: &PolicyDocument,
    ) -> Option<WriteStep> {
        match self.phase {
            Phase::Reading(expected) if expected == request => {
                Some(self.on_read_reply(context, reply, held))
            }
            Phase::Writing(expected) if expected == request => {
                Some(self.on_write_reply(context, reply))
            }
            _ => None,
        }
    }

    fn on_read_reply(
        &mut self,
        context: &mut StepContext<'_>,
        reply: &StoreReply,
        held: &PolicyDocument,
    ) -> WriteStep {
        match reply {
            StoreReply::Object(object) => self.on_object(context, object, held),
            _ => self.on_read_lost(context),
        }
    }

    fn on_write_reply(&mut self, context: &mut StepContext<'_>, reply: &StoreReply) -> WriteStep {
        match (reply, self.sent.take()) {
            (StoreReply::Written(_), Some(sent)) => WriteStep {
                outcome: Some(WriteOutcome::Stored(sent.document.policy.version)),
                document: Some(sent.document),
                written: true,
            },
            (StoreReply::Conflict, sent) => {
                self.sent = sent.filter(|sent| sent.uncertain);
                self.had_conflict = true;
                self.schedule_reread(context);
                WriteStep::default()
            }
            (_, sent) => {
                self.sent = sent;
                self.on_write_lost(context)
            }
        }
    }

    fn on_object(
        &mut self,
        context: &mut StepContext<'_>,
        object: &StoreObject,
        held: &PolicyDocument,
    ) -> WriteStep {
        let Ok(read) = PolicyDocument::decode(object.value.as_deref()) else {
            return self.on_unreadable();
        };
        let outcome = self.continue_from(context, object.index, &read, held);
        WriteStep {
            document: Some(Box::new(read)),
            written: false,
            outcome,
        }
    }

    fn continue_from(
        &mut self,
        context: &mut StepContext<'_>,
        index: ModifyIndex,
        read: &PolicyDocument,
        held: &PolicyDocument,
    ) -> Option<WriteOutcome> {
        let stored = read.version_of(self.change);
        if let Some(version) = stored.or_else(|| held.version_of(self.change)) {
            return Some(WriteOutcome::Stored(version));
        }
        match self.sent.take() {
            Some(sent) if index > sent.expected => self.plan(context, index, read, held),
            Some(sent) if index == sent.expected => {
                self.send(context, sent);
                None
            }
            Some(sent) => {
                self.sent = Some(sent);
                self.schedule_reread(context);
                None
            }
            None => self.plan(context, index, read, held),
        }
    }

    /// Plans the next document and sends it.
    ///
    /// The base is the newer one of the read and the held document. A read may return an older
    /// object; the write then ends in a conflict, because its expected index is outdated too.
    fn plan(
        &mut self,
        context: &mut StepContext<'_>,
        index: ModifyIndex,
        read: &PolicyDocument,
        held: &PolicyDocument,
    ) -> Option<WriteOutcome> {
        let base = if read.policy.version < held.policy.version {
            held
        } else {
            read
        };
        match self.alteration.plan(base, self.change) {
            Plan::Next(document) => {
                let sent = SentWrite {
                    expected: index,
                    document,
                    uncertain: false,
                };
                self.send(context, sent);
                None
            }
            Plan::BaseOutdated => {
                self.had_conflict = true;
                self.schedule_reread(context);
                None
            }
            Plan::Refused(code) => Some(WriteOutcome::Refused {
                code,
                detail: code.title(),
            }),
        }
    }

    fn on_unreadable(&self) -> WriteStep {
        if self.is_uncertain() {
            return WriteStep::with_outcome(WriteOutcome::Unsettled);
        }
        WriteStep::refused(
            ResultCode::StoreProtocol,
            "the policy object in the store cannot be read",
        )
    }

    fn on_read_lost(&mut self, context: &StepContext<'_>) -> WriteStep {
        if self.is_uncertain() {
            self.schedule_reread(context);
            return WriteStep::default();
        }
        WriteStep::refused(
            ResultCode::StoreUnavailable,
            "the store does not answer; nothing was written",
        )
    }

    fn on_write_lost(&mut self, context: &StepContext<'_>) -> WriteStep {
        if let Some(sent) = &mut self.sent {
            sent.uncertain = true;
        }
        self.schedule_reread(context);
        WriteStep::default()
    }

    fn on_timeout(&self) -> WriteStep {
        if self.is_uncertain() {
            return WriteStep::with_outcome(WriteOutcome::Unsettled);
        }
        if self.had_conflict {
            return WriteStep::refused(
                ResultCode::VersionConflict,
                "the store does not have the expected version, or other writes kept conflicting",
            );
        }
        WriteStep::refused(
            ResultCode::StoreUnavailable,
            "the store answers too slowly; nothing was written",
        )
    }

    fn is_uncertain(&self) -> bool {
        self.sent.as_ref().is_some_and(|sent| sent.uncertain)
    }

    fn read(&mut self, context: &mut StepContext<'_>) {
        let request = context.send_store_request(StoreRequest::Read {
            key: policy_key(),
            after: None,
        });
        self.phase = Phase::Reading(request);
        self.phase_deadline = context.now + REPLY_TIMEOUT;
    }

    fn send(&mut self, context: &mut StepContext<'_>, sent: SentWrite) {
        let request = context.send_store_request(StoreRequest::CompareAndSet {
            key: policy_key(),
            expected: sent.expected,
            value: sent.document.encode(),
        });
        self.sent = Some(sent);
        self.phase = Phase::Writing(request);
        self.phase_deadline = context.now + REPLY_TIMEOUT;
    }

    fn schedule_reread(&mut self, context: &StepContext<'_>) {
        self.phase = Phase::BackingOff;
        self.phase_deadline = context.now + REREAD_DELAY;
    }
}
