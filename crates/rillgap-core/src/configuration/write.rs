//! One change on its way into the store.
//!
//! The object is read, the next document is planned on it and written by compare-and-set. If the
//! answer of a write is lost, the object is read back: it holds the change, or its index has
//! moved on without it (then the write can never take effect), or its index is still the old one
//! (then the same write is repeated: of two writes with one index at most one takes effect).

use std::time::Duration;

use super::alteration::{Alteration, Planned};
use super::document::PolicyDocument;
use super::scope::{Scope, policy_key};
use crate::code::ResultCode;
use crate::id::{ChangeId, PolicyVersion};
use crate::store::{ModifyIndex, StoreObject, StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Longest wait for one reply of the store.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for the whole change; then it is given up, or left unsettled.
const LONGEST_WRITE: Duration = Duration::from_secs(3);

/// Pause before the object is read again.
const PAUSE: Duration = Duration::from_millis(100);

/// How a change ended.
#[derive(Debug)]
pub enum WriteEnd {
    /// It is stored and made this version.
    Stored(PolicyVersion),
    /// It is not stored and never will be, unless it is sent again.
    Refused {
        /// Numbered reason.
        code: ResultCode,
        /// For people.
        detail: &'static str,
    },
    /// A write was sent and may still take effect.
    Unsettled,
}

/// What a step of the change brought to light.
#[derive(Debug, Default)]
pub struct WriteStep {
    /// Document that was read or written.
    pub document: Option<Box<PolicyDocument>>,
    /// Whether `document` was just written, so that nothing later can be in force.
    pub written: bool,
    /// How the change ended, if it did.
    pub end: Option<WriteEnd>,
}

impl WriteStep {
    fn ended(end: WriteEnd) -> Self {
        Self {
            end: Some(end),
            ..Self::default()
        }
    }

    fn refused(code: ResultCode, detail: &'static str) -> Self {
        Self::ended(WriteEnd::Refused { code, detail })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading(StoreRequestId),
    Writing(StoreRequestId),
    Pausing,
}

/// A write that was sent.
#[derive(Debug)]
struct Sent {
    expected: ModifyIndex,
    document: Box<PolicyDocument>,
    /// Whether an answer of it was lost.
    uncertain: bool,
}

/// A change on its way.
#[derive(Debug)]
pub struct Write {
    change: ChangeId,
    alteration: Alteration,
    phase: Phase,
    phase_ends: Instant,
    deadline: Instant,
    sent: Option<Sent>,
    conflicting: bool,
}

impl Write {
    /// Begins a change.
    pub fn begin(scope: &mut Scope<'_>, change: ChangeId, alteration: Alteration) -> Self {
        let mut write = Self {
            change,
            alteration,
            phase: Phase::Pausing,
            phase_ends: scope.now,
            deadline: scope.now + LONGEST_WRITE,
            sent: None,
            conflicting: false,
        };
        write.read(scope);
        write
    }

    /// Returns the change.
    pub fn change(&self) -> ChangeId {
        self.change
    }

    /// Returns what is to be changed.
    pub fn alteration(&self) -> &Alteration {
        &self.alteration
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Instant {
        self.phase_ends
    }

    /// Does what is due: a read after a pause, or the end of a wait.
    pub fn poll(&mut self, scope: &mut Scope<'_>) -> WriteStep {
        if scope.now < self.phase_ends {
            return WriteStep::default();
        }
        match self.phase {
            Phase::Reading(_) => self.on_read_lost(scope),
            Phase::Writing(_) => self.on_write_lost(scope),
            Phase::Pausing if scope.now >= self.deadline => self.give_up(),
            Phase::Pausing => {
                self.read(scope);
                WriteStep::default()
            }
        }
    }

    /// Handles a reply of the store, or returns `None` if it belongs to another request.
    pub fn on_reply(
        &mut self,
        scope: &mut Scope<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
        held: &PolicyDocument,
    ) -> Option<WriteStep> {
        match self.phase {
            Phase::Reading(expected) if expected == request => {
                Some(self.on_read_reply(scope, reply, held))
            }
            Phase::Writing(expected) if expected == request => {
                Some(self.on_write_reply(scope, reply))
            }
            _ => None,
        }
    }

    fn on_read_reply(
        &mut self,
        scope: &mut Scope<'_>,
        reply: &StoreReply,
        held: &PolicyDocument,
    ) -> WriteStep {
        match reply {
            StoreReply::Object(object) => self.on_object(scope, object, held),
            _ => self.on_read_lost(scope),
        }
    }

    fn on_write_reply(&mut self, scope: &mut Scope<'_>, reply: &StoreReply) -> WriteStep {
        match (reply, self.sent.take()) {
            (StoreReply::Written(_), Some(sent)) => WriteStep {
                end: Some(WriteEnd::Stored(sent.document.policy.version)),
                document: Some(sent.document),
                written: true,
            },
            (StoreReply::Conflict, sent) => {
                self.sent = sent.filter(|sent| sent.uncertain);
                self.conflicting = true;
                self.pause(scope);
                WriteStep::default()
            }
            (_, sent) => {
                self.sent = sent;
                self.on_write_lost(scope)
            }
        }
    }

    fn on_object(
        &mut self,
        scope: &mut Scope<'_>,
        object: &StoreObject,
        held: &PolicyDocument,
    ) -> WriteStep {
        let Ok(read) = PolicyDocument::decode(object.value.as_deref()) else {
            return self.on_unreadable();
        };
        let end = self.continue_from(scope, object.index, &read, held);
        WriteStep {
            document: Some(Box::new(read)),
            written: false,
            end,
        }
    }

    fn continue_from(
        &mut self,
        scope: &mut Scope<'_>,
        index: ModifyIndex,
        read: &PolicyDocument,
        held: &PolicyDocument,
    ) -> Option<WriteEnd> {
        let stored = read.version_of(self.change);
        if let Some(version) = stored.or_else(|| held.version_of(self.change)) {
            return Some(WriteEnd::Stored(version));
        }
        match self.sent.take() {
            Some(sent) if index > sent.expected => self.plan(scope, index, read, held),
            Some(sent) if index == sent.expected => {
                self.send(scope, sent);
                None
            }
            Some(sent) => {
                self.sent = Some(sent);
                self.pause(scope);
                None
            }
            None => self.plan(scope, index, read, held),
        }
    }

    /// Plans the next document on the later one of what was read and what is held: a read may
    /// return an older object, and then the write meets a conflict.
    fn plan(
        &mut self,
        scope: &mut Scope<'_>,
        index: ModifyIndex,
        read: &PolicyDocument,
        held: &PolicyDocument,
    ) -> Option<WriteEnd> {
        let base = if read.policy.version < held.policy.version {
            held
        } else {
            read
        };
        match self.alteration.plan(base, self.change) {
            Planned::Next(document) => {
                let sent = Sent {
                    expected: index,
                    document,
                    uncertain: false,
                };
                self.send(scope, sent);
                None
            }
            Planned::NotYet => {
                self.conflicting = true;
                self.pause(scope);
                None
            }
            Planned::Refused(code) => Some(WriteEnd::Refused {
                code,
                detail: code.title(),
            }),
        }
    }

    fn on_unreadable(&self) -> WriteStep {
        if self.is_uncertain() {
            return WriteStep::ended(WriteEnd::Unsettled);
        }
        WriteStep::refused(
            ResultCode::StoreProtocol,
            "the policy object in the store cannot be read",
        )
    }

    fn on_read_lost(&mut self, scope: &Scope<'_>) -> WriteStep {
        if self.is_uncertain() {
            self.pause(scope);
            return WriteStep::default();
        }
        WriteStep::refused(
            ResultCode::StoreUnavailable,
            "the store does not answer; nothing was written",
        )
    }

    fn on_write_lost(&mut self, scope: &Scope<'_>) -> WriteStep {
        if let Some(sent) = &mut self.sent {
            sent.uncertain = true;
        }
        self.pause(scope);
        WriteStep::default()
    }

    fn give_up(&self) -> WriteStep {
        if self.is_uncertain() {
            return WriteStep::ended(WriteEnd::Unsettled);
        }
        if self.conflicting {
            return WriteStep::refused(
                ResultCode::VersionConflict,
                "the expected version is not in the store, or others write all the time",
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

    fn read(&mut self, scope: &mut Scope<'_>) {
        let request = scope.store(StoreRequest::Read {
            key: policy_key(),
            after: None,
        });
        self.phase = Phase::Reading(request);
        self.phase_ends = scope.now + REPLY_TIMEOUT;
    }

    fn send(&mut self, scope: &mut Scope<'_>, sent: Sent) {
        let request = scope.store(StoreRequest::CompareAndSet {
            key: policy_key(),
            expected: sent.expected,
            value: sent.document.encode(),
        });
        self.sent = Some(sent);
        self.phase = Phase::Writing(request);
        self.phase_ends = scope.now + REPLY_TIMEOUT;
    }

    fn pause(&mut self, scope: &Scope<'_>) {
        self.phase = Phase::Pausing;
        self.phase_ends = scope.now + PAUSE;
    }
}
