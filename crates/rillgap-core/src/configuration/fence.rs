//! Confirmation by the store, where no peer is confirmed.
//!
//! A read may return an older object. So the object is written back unchanged by
//! compare-and-set: if that takes effect, the read was the latest.

use std::time::Duration;

use super::document::PolicyDocument;
use super::scope::{Scope, policy_key};
use crate::store::{ModifyIndex, StoreObject, StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Longest wait for a reply of the store.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two tries.
const PAUSE: Duration = Duration::from_secs(1);

/// What a reply led to.
#[derive(Debug)]
pub enum FenceResult {
    /// The reply belongs to another request.
    Foreign,
    /// Nothing is certain yet.
    Undecided,
    /// The latest document at some time after the question was asked.
    Latest {
        /// The document.
        document: Box<PolicyDocument>,
        /// Round of questions in which it was asked for.
        round: u64,
    },
}

/// What is on its way to the store.
#[derive(Debug)]
enum Step {
    Idle,
    Reading(StoreRequestId),
    Writing(StoreRequestId, Box<PolicyDocument>),
}

/// The exchange with the store.
#[derive(Debug)]
pub struct Fence {
    step: Step,
    due: Instant,
    round: u64,
}

impl Fence {
    /// Creates the state in which nothing was asked.
    pub fn new(now: Instant) -> Self {
        Self {
            step: Step::Idle,
            due: now,
            round: 0,
        }
    }

    /// Begins an exchange if none is under way.
    pub fn poll(&mut self, scope: &mut Scope<'_>) {
        if scope.now < self.due {
            return;
        }
        let request = scope.store(StoreRequest::Read {
            key: policy_key(),
            after: None,
        });
        self.step = Step::Reading(request);
        self.round = scope.round;
        self.due = scope.now + REPLY_TIMEOUT;
    }

    /// Returns when [`Self::poll`] begins the next exchange.
    pub fn next_wake(&self) -> Instant {
        self.due
    }

    /// Handles a reply of the store.
    pub fn on_reply(
        &mut self,
        scope: &mut Scope<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
    ) -> FenceResult {
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Reading(expected) if expected == request => self.on_read(scope, reply),
            Step::Writing(expected, document) if expected == request => {
                self.on_written(scope, document, reply)
            }
            step => {
                self.step = step;
                FenceResult::Foreign
            }
        }
    }

    fn on_read(&mut self, scope: &mut Scope<'_>, reply: &StoreReply) -> FenceResult {
        self.due = scope.now + PAUSE;
        let StoreReply::Object(StoreObject {
            index,
            value: Some(value),
        }) = reply
        else {
            return FenceResult::Undecided;
        };
        if let Ok(document) = PolicyDocument::decode(Some(value)) {
            self.write_back(scope, *index, value.clone(), document);
        }
        FenceResult::Undecided
    }

    fn write_back(
        &mut self,
        scope: &mut Scope<'_>,
        expected: ModifyIndex,
        value: Vec<u8>,
        document: PolicyDocument,
    ) {
        let request = scope.store(StoreRequest::CompareAndSet {
            key: policy_key(),
            expected,
            value,
        });
        self.step = Step::Writing(request, Box::new(document));
        self.due = scope.now + REPLY_TIMEOUT;
    }

    fn on_written(
        &mut self,
        scope: &Scope<'_>,
        document: Box<PolicyDocument>,
        reply: &StoreReply,
    ) -> FenceResult {
        self.due = scope.now + PAUSE;
        match reply {
            StoreReply::Written(_) => FenceResult::Latest {
                document,
                round: self.round,
            },
            _ => FenceResult::Undecided,
        }
    }
}
