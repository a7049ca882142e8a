//! Watch of the store, kept by the few store readers of a region.

use std::time::Duration;

use super::context::{StepContext, policy_key};
use super::document::{DocumentError, PolicyDocument};
use crate::store::{ModifyIndex, StoreReply, StoreRequest, StoreRequestId};
use crate::time::Instant;

/// Time after which a blocking read without a reply is given up; the store replies to it after
/// half a minute at the latest.
const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause after a read, so that a store that answers at once is not read in a tight loop.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Longest pause while the store fails.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// The blocking read of a store reader.
#[derive(Debug)]
pub struct Watch {
    request: Option<StoreRequestId>,
    after: Option<ModifyIndex>,
    failures: u32,
    due: Instant,
}

impl Watch {
    /// Creates the state in which nothing was read.
    pub fn new(now: Instant) -> Self {
        Self {
            request: None,
            after: None,
            failures: 0,
            due: now,
        }
    }

    /// Reads if this node is a store reader and no read is under way.
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

    /// Returns when [`Self::poll`] reads next.
    pub fn next_wake(&self) -> Instant {
        self.due
    }

    /// Handles a reply of the store; returns the object that was read, or `None` if there is
    /// none or the reply belongs to another request.
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

    /// Gives up the read under way: the store bears only a few readers, and a node that no longer
    /// is one would stay one until its read is answered.
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
