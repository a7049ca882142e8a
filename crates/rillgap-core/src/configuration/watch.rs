//! Watches the policy in the store by blocking reads.
//!
//! Only the few store readers of a region do this, to bound the load of the store.

use std::time::Duration;

use super::context::{StepContext, policy_key};
use super::document::{DocumentError, PolicyDocument};
use crate::store::{ModifyIndex, StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Time after which a blocking read without a reply is abandoned. The store replies to a blocking
/// read after at most 30 seconds.
const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// Delay after a read, so that a store that replies at once is not read in a tight loop. Also the
/// base of the backoff after failures.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum backoff after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// The blocking read of a store reader, and when the next one is due.
#[derive(Debug)]
pub struct Watch {
    request: Option<StoreRequestId>,
    after: Option<ModifyIndex>,
    failures: u32,
    due: Instant,
}

impl Watch {
    /// Creates the initial state, with the first read due at once.
    pub fn new(now: Instant) -> Self {
        Self {
            request: None,
            after: None,
            failures: 0,
            due: now,
        }
    }

    /// Begins a read if this node is a store reader and a read is due; a read in flight without a
    /// reply has timed out by then. Cancels the read if this node is no store reader.
    pub fn poll(&mut self, context: &mut StepContext<'_>) {
        if !context.membership.is_store_reader() {
            self.stop(context);
            return;
        }
        if context.now < self.due {
            return;
        }
        let request = context.send_store_request(StoreRequest::Read {
            key: policy_key(),
            after: self.after,
        });
        self.request = Some(request);
        self.due = context.now + REPLY_TIMEOUT;
    }

    /// Returns when [`Self::poll`] begins the next read.
    pub fn next_wake(&self) -> Instant {
        self.due
    }

    /// Handles a reply of the store; returns the decoded object, or `None` if the read failed or
    /// the reply belongs to another request.
    pub fn on_reply(
        &mut self,
        context: &StepContext<'_>,
        request: StoreRequestId,
        reply: &StoreReply,
    ) -> Option<Result<PolicyDocument, DocumentError>> {
        if self.request != Some(request) {
            return None;
        }
        self.request = None;
        let StoreReply::Object(object) = reply else {
            self.back_off(context.now);
            return None;
        };
        self.failures = 0;
        self.due = context.now + MIN_READ_INTERVAL;
        self.after = self.after.max(Some(object.index));
        Some(PolicyDocument::decode(object.value.as_deref()))
    }

    /// Cancels the read in flight. Otherwise a node that is no longer a store reader would load the
    /// store until its read is answered, and the store supports only a few readers.
    fn stop(&mut self, context: &mut StepContext<'_>) {
        if let Some(request) = self.request.take() {
            context.cancel_store(request);
            self.due = context.now;
        }
    }

    fn back_off(&mut self, now: Instant) {
        let pause = MIN_READ_INTERVAL * (1 << self.failures.min(6));
        self.due = now + pause.min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
    }
}
