//! Sequence of requests to the store: at most one is in flight, and a failed one is retried with
//! backoff.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::call::{StoreEvent, StoreFailure, StoreRequest, StoreRequestId};

/// Initial and maximum backoff after a failed request.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Fraction of the backoff that every node waits; the rest is multiplied by the node's jitter.
const SHORTEST_PAUSE_SHARE: f64 = 0.5;

/// A sequence of requests to the store, of which at most one is in flight.
#[derive(Clone, Debug)]
pub(super) struct Chain {
    pub next: Option<StoreRequest>,
    due: Instant,
    pub under_way: Option<(StoreRequestId, StoreRequest)>,
    /// When the request in flight, or the last one, was sent.
    pub made_at: Instant,
    pause: Duration,
    /// Jitter of this node, from 0 to 1. Differs from node to node.
    spread: f64,
}

impl Chain {
    pub fn new(first: StoreRequest, due: Instant, spread: f64) -> Self {
        Self {
            next: Some(first),
            due,
            under_way: None,
            made_at: Instant::default(),
            pause: RETRY_PAUSE.0,
            spread,
        }
    }

    pub fn take_due(
        &mut self,
        now: Instant,
        ids: &mut u64,
    ) -> Option<(StoreRequestId, StoreRequest)> {
        if self.due > now {
            return None;
        }
        let request = self.next.take()?;
        *ids += 1;
        let id = StoreRequestId(*ids);
        self.under_way = Some((id, request.clone()));
        self.made_at = now;
        Some((id, request))
    }

    pub fn take_answered(&mut self, id: StoreRequestId) -> Option<StoreRequest> {
        let (under_way, _) = self.under_way.as_ref()?;
        if *under_way != id {
            return None;
        }
        self.under_way.take().map(|(_, request)| request)
    }

    pub fn proceed(&mut self, due: Instant, next: Option<StoreRequest>) {
        self.pause = RETRY_PAUSE.0;
        self.due = due;
        self.next = next;
    }

    /// Schedules a retry. The backoff differs from node to node, so that requests that failed
    /// together are not retried together.
    fn retry(&mut self, now: Instant, next: StoreRequest, spread: f64) {
        self.due = now
            + self
                .pause
                .mul_f64(SHORTEST_PAUSE_SHARE + (1.0 - SHORTEST_PAUSE_SHARE) * spread);
        self.pause = (self.pause * 2).min(RETRY_PAUSE.1);
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
        self.retry(now, request, self.spread);
        Some(StoreEvent::Failed { call, failure })
    }

    /// Schedules a retry of a request whose reply belongs to another kind of request.
    pub fn on_mismatch(&mut self, now: Instant, request: StoreRequest) -> Option<StoreEvent> {
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
        self.next.is_none() && self.under_way.is_none()
    }
}
