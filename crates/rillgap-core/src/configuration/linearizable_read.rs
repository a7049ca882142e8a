//! Reads the latest policy from the store, to confirm it where no peer is confirmed.
//!
//! A read may return an older object. The object is therefore written back unchanged by
//! compare-and-set: if the write takes effect, the read returned the latest object.

use std::time::Duration;

use super::context::{StepContext, policy_key};
use super::document::PolicyDocument;
use crate::store::{ModifyIndex, StoreObject, StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Time after which a request without a reply of the store is abandoned and the read starts again.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between the end of a read and the next one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Result of a reply of the store.
#[derive(Debug)]
pub enum LinearizableReadResult {
    /// The reply belongs to another request.
    OtherRequest,
    /// The read is not complete, or failed and is retried.
    Pending,
    /// The read returned what was the latest document at some time after it began.
    Latest {
        /// The document that was read.
        document: Box<PolicyDocument>,
        /// Query round of the confirmation in which the read began.
        round: u64,
    },
}

/// The request that is in flight.
#[derive(Debug)]
enum Step {
    Idle,
    Reading(StoreRequestId),
    Writing(StoreRequestId, Box<PolicyDocument>),
}

/// A read followed by a compare-and-set of the same value.
#[derive(Debug)]
pub struct LinearizableRead {
    step: Step,
    due: Instant,
    round: u64,
}

impl LinearizableRead {
    /// Creates the initial state, with no request in flight and the first read due at once.
    pub fn new(now: Instant) -> Self {
        Self {
            step: Step::Idle,
            due: now,
            round: 0,
        }
    }

    /// Begins a read if one is due; a request in flight without a reply has timed out by then.
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

    /// Returns when [`Self::poll`] begins the next read.
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
