//! Calls to the store of which one is under way at a time, made again after a pause when they fail.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::call::{StoreEvent, StoreFailure, StoreRequest, StoreRequestId};

/// First and longest pause after a failed call.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Least share of a pause; the rest differs from node to node.
const SHORTEST_PAUSE_SHARE: f64 = 0.5;

/// One chain of calls, of which one is under way at a time.
#[derive(Clone, Debug)]
pub(super) struct Chain {
    pub next: Option<StoreRequest>,
    due: Instant,
    pub under_way: Option<(StoreRequestId, StoreRequest)>,
    /// When the call under way, or the last one, was made.
    pub made_at: Instant,
    pause: Duration,
    /// Number from 0 to 1 that is the node's own.
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

    /// Plans to make a call again. Pauses differ from node to node, so that calls that failed together do not come
    /// together again.
    fn retry(&mut self, now: Instant, next: StoreRequest, spread: f64) {
        self.due = now
            + self
                .pause
                .mul_f64(SHORTEST_PAUSE_SHARE + (1.0 - SHORTEST_PAUSE_SHARE) * spread);
        self.pause = (self.pause * 2).min(RETRY_PAUSE.1);
        self.next = Some(next);
    }

    /// Makes a call again after a pause: it has failed.
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

    /// Makes a call again after a pause: its answer belongs to another kind of call.
    pub fn on_mismatch(&mut self, now: Instant, request: StoreRequest) -> Option<StoreEvent> {
        let failure = StoreFailure {
            code: ResultCode::StoreProtocol,
            detail: "answer to another kind of call".to_owned(),
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
