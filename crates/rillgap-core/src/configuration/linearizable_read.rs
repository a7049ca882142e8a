//! Confirmation by the store, where no peer is confirmed.
//!
//! A read may return an older object. So the object is written back unchanged by
//! compare-and-set: if that takes effect, the read was the latest.

use std::time::Duration;

use super::context::{StepContext, policy_key};
use super::document::PolicyDocument;
use crate::store::{ModifyIndex, StoreObject, StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Longest wait for a reply of the store.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two tries.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// What a reply led to.
#[derive(Debug)]
pub enum LinearizableReadResult {
    /// The reply belongs to another request.
    OtherRequest,
    /// Nothing is certain yet.
    Pending,
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
pub struct LinearizableRead {
    step: Step,
    due: Instant,
    round: u64,
}

impl LinearizableRead {
    /// Creates the state in which nothing was asked.
    pub fn new(now: Instant) -> Self {
        Self {
            step: Step::Idle,
            due: now,
            round: 0,
        }
    }

    /// Begins an exchange if none is under way.
    pub fn poll(&mut self, context: &mut StepContext<'_>) {
        if context.now < self.due {
            return;
        }
        let request = context.send_store_request(StoreRequest::Read {
            key: policy_key(),
            after: None,
        });
        self.step = Step::Reading(request);
        self.round = context.round;
        self.due = context.now + REPLY_TIMEOUT;
    }

    /// Returns when [`Self::poll`] begins the next exchange.
    pub fn next_wake(&self) -> Instant {
        self.due
    }

    /// Handles a reply of the store.
    pub fn on_reply(
        &mut self,
        context: &mut StepContext<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
    ) -> LinearizableReadResult {
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Reading(expected) if expected == request => self.on_read(context, reply),
            Step::Writing(expected, document) if expected == request => {
                self.on_written(context, document, reply)
            }
            step => {
                self.step = step;
                LinearizableReadResult::OtherRequest
            }
        }
    }

    fn on_read(
        &mut self,
        context: &mut StepContext<'_>,
        reply: &StoreReply,
    ) -> LinearizableReadResult {
        self.due = context.now + RETRY_INTERVAL;
        let StoreReply::Object(StoreObject {
            index,
            value: Some(value),
        }) = reply
        else {
            return LinearizableReadResult::Pending;
        };
        if let Ok(document) = PolicyDocument::decode(Some(value)) {
            self.write_back(context, *index, value.clone(), document);
        }
        LinearizableReadResult::Pending
    }

    fn write_back(
        &mut self,
        context: &mut StepContext<'_>,
        expected: ModifyIndex,
        value: Vec<u8>,
        document: PolicyDocument,
    ) {
        let request = context.send_store_request(StoreRequest::CompareAndSet {
            key: policy_key(),
            expected,
            value,
        });
        self.step = Step::Writing(request, Box::new(document));
        self.due = context.now + REPLY_TIMEOUT;
    }

    fn on_written(
        &mut self,
        context: &StepContext<'_>,
        document: Box<PolicyDocument>,
        reply: &StoreReply,
    ) -> LinearizableReadResult {
        self.due = context.now + RETRY_INTERVAL;
        match reply {
            StoreReply::Written(_) => LinearizableReadResult::Latest {
                document,
                round: self.round,
            },
            _ => LinearizableReadResult::Pending,
        }
    }
}
