//! Tracks a request that runs on the back end and the calls that the back end makes for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use super::call_profile::CallCounts;
use super::slowdown::OwnTime;
use super::{Arrival, elapsed_micros};
use crate::id::{ExchangeId, LinkId, Sequence};
use crate::incarnation::Incarnation;
use crate::message::{ForwardedRequest, ServiceAdmissionLevel, Timing};

/// Progress of a call that the back end makes while it works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallProgress {
    /// The call is in flight.
    Started,
    /// The call was answered without a failure.
    Succeeded,
    /// The call failed.
    Failed,
}

/// Progress of a call, with the admission levels of the services that it involved.
#[derive(Clone, Debug)]
pub struct CallUpdate {
    /// Identifier of the parent, the request for which the call is made.
    pub parent_id: String,
    /// Service that is called.
    pub service: String,
    /// Progress of the call.
    pub progress: CallProgress,
    /// Admission levels of the services that the call involved.
    pub involved: Vec<ServiceAdmissionLevel>,
}

/// A request that runs on the back end.
#[derive(Clone, Debug)]
pub(super) struct Running {
    /// Link on which the request arrived.
    pub link: LinkId,
    /// Number of the request on that link.
    pub sequence: Sequence,
    /// Exchange with the back end.
    pub exchange: ExchangeId,
    /// Incarnation of the back end that works on the request.
    pub incarnation: Incarnation,
    /// The request.
    pub request: Arc<ForwardedRequest>,
    /// When the request arrived at this node.
    pub arrived: Instant,
    /// When the request was handed to the back end.
    pub started: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Whether the request runs as the only suspect on the back end.
    pub is_isolated: bool,
    /// Whether the sender of the request still waits for the answer.
    pub is_awaited: bool,
    /// Time during which the back end works on the request and waits for no call.
    pub own_time: OwnTime,
    /// Calls that the back end has made for the request.
    pub calls: CallCounts,
    /// Calls that the back end makes for the request and that have no answer yet.
    pending_calls: u32,
    /// Whether a call made for the request has failed.
    pub has_failed_call: bool,
    /// Services that the calls involved, with their last reported admission levels.
    pub downstream_levels: BTreeMap<String, Level>,
}

impl Running {
    /// Creates the state of a request that is handed to the back end.
    pub fn new(
        now: Instant,
        arrival: Arrival,
        exchange: ExchangeId,
        incarnation: Incarnation,
        own_time: OwnTime,
    ) -> Self {
        Self {
            exchange,
            incarnation,
            link: arrival.link,
            sequence: arrival.sequence,
            request: arrival.request,
            arrived: arrival.arrived,
            started: now,
            deadline: arrival.deadline,
            is_isolated: arrival.is_isolated,
            is_awaited: true,
            own_time,
            calls: CallCounts::new(),
            pending_calls: 0,
            has_failed_call: false,
            downstream_levels: BTreeMap::new(),
        }
    }

    /// Records the progress of a call that the back end makes for the request.
    pub fn on_call(&mut self, call: CallUpdate) {
        for involved in call.involved {
            self.downstream_levels
                .insert(involved.service, involved.level);
        }
        match call.progress {
            CallProgress::Started => {
                *self.calls.entry(call.service).or_default() += 1;
                self.pending_calls += 1;
            }
            CallProgress::Succeeded => self.pending_calls = self.pending_calls.saturating_sub(1),
            CallProgress::Failed => {
                self.pending_calls = self.pending_calls.saturating_sub(1);
                self.has_failed_call = true;
            }
        }
    }

    /// Returns the number of calls that have no answer yet.
    pub const fn pending_calls(&self) -> u32 {
        self.pending_calls
    }

    /// Returns whether a failure of the request is caused by the back end itself, not by one of its
    /// calls.
    pub fn is_back_end_fault(&self) -> bool {
        self.pending_calls == 0 && !self.has_failed_call
    }

    /// Returns the times that the request has spent in the queue and on the back end.
    pub fn timing(&self, now: Instant) -> Timing {
        Timing {
            queued_micros: elapsed_micros(self.started, self.arrived),
            back_end_micros: elapsed_micros(now, self.started),
        }
    }
}
