//! Sequence of requests to the store: at most one is in flight, and a failed one is retried with
//! backoff.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::call::{StoreEvent, StoreFailure, StoreRequest, StoreRequestId};

/// Initial and maximum backoff after a failed request.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Fraction of the backoff that every node waits; the rest is multiplied by the node's jitter.
const MIN_BACKOFF_FRACTION: f64 = 0.5;

/// A sequence of requests to the store, of which at most one is in flight.
#[derive(Clone, Debug)]
pub(super) struct CallSequence {
    pub next: Option<StoreRequest>,
    due: Instant,
    pub in_flight: Option<(StoreRequestId, StoreRequest)>,
    /// When the request in flight, or the last one, was sent.
    pub sent_at: Instant,
    backoff: Duration,
    /// Jitter of this node, from 0 to 1. Differs from node to node.
    jitter: f64,
}

impl CallSequence {
    pub fn new(first: StoreRequest, due: Instant, jitter: f64) -> Self {
        Self {
            next: Some(first),
            due,
            in_flight: None,
            sent_at: Instant::default(),
            backoff: RETRY_BACKOFF.0,
            jitter,
        }
    }

    pub fn take_due(
        &mut self,
        now: Instant,
        last_id: &mut u64,
    ) -> Option<(StoreRequestId, StoreRequest)> {
        if self.due > now {
            return None;
        }
        let request = self.next.take()?;
        *last_id += 1;
        let id = StoreRequestId(*last_id);
        self.in_flight = Some((id, request.clone()));
        self.sent_at = now;
        Some((id, request))
    }

    pub fn take_in_flight(&mut self, id: StoreRequestId) -> Option<StoreRequest> {
        let (in_flight, _) = self.in_flight.as_ref()?;
        if *in_flight != id {
            return None;
        }
        self.in_flight.take().map(|(_, request)| request)
    }

    pub fn schedule(&mut self, due: Instant, next: Option<StoreRequest>) {
        self.backoff = RETRY_BACKOFF.0;
        self.due = due;
        self.next = next;
    }

    /// Schedules a retry. The backoff differs from node to node, so that requests that failed
    /// together are not retried together.
    fn retry(&mut self, now: Instant, next: StoreRequest, jitter: f64) {
        self.due = now
            + self
                .backoff
                .mul_f64(MIN_BACKOFF_FRACTION + (1.0 - MIN_BACKOFF_FRACTION) * jitter);
        self.backoff = (self.backoff * 2).min(RETRY_BACKOFF.1);
        self.next = Some(next);
    }

    /// Schedules a retry of a failed request.
    pub fn on_failure(
        &mut self,
        now: Instant,
        request: StoreRequest,
        failure: StoreFailure,
    ) -> Option<StoreEvent> {
        let call = request.name();
        self.retry(now, request, self.jitter);
        Some(StoreEvent::Failed { call, failure })
    }

    /// Schedules a retry of a request whose reply belongs to another kind of request.
    pub fn on_unexpected_reply(
        &mut self,
        now: Instant,
        request: StoreRequest,
    ) -> Option<StoreEvent> {
        let failure = StoreFailure {
            code: ResultCode::StoreProtocol,
            detail: "reply belongs to another kind of request".to_owned(),
        };
        self.on_failure(now, request, failure)
    }

    pub fn next_wake(&self) -> Option<Instant> {
        self.next.as_ref().map(|_| self.due)
    }

    pub const fn is_idle(&self) -> bool {
        self.next.is_none() && self.in_flight.is_none()
    }
}
