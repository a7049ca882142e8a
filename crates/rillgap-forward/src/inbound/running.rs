//! A request that runs at the back end, and the calls that are made for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use super::{Arrival, elapsed_micros};
use crate::id::{LinkId, Sequence};
use crate::incarnation::Incarnation;
use crate::message::{ForwardedRequest, ServiceAdmissionLevel, Timing};

/// What became of a call that the back end makes while it works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallProgress {
    /// It is under way.
    Started,
    /// It was answered without a failure.
    Succeeded,
    /// It came to nothing.
    Failed,
}

/// What became of a call, with the levels of the services that it went to.
#[derive(Clone, Debug)]
pub struct CallUpdate {
    /// Identifier of the request that the call is made for.
    pub parent_id: String,
    /// What became of it.
    pub progress: CallProgress,
    /// Levels of the services that it involved.
    pub involved: Vec<ServiceAdmissionLevel>,
}

/// A request that runs.
#[derive(Clone, Debug)]
pub(super) struct Running {
    /// Link that the request came on.
    pub link: LinkId,
    /// Its number on that link.
    pub sequence: Sequence,
    /// Incarnation of the back end that works on it.
    pub incarnation: Incarnation,
    /// The request.
    pub request: Arc<ForwardedRequest>,
    /// When it arrived at this node.
    pub arrived: Instant,
    /// When it was handed to the back end.
    pub started: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Whether it runs beside no other request that back ends have ended under.
    pub is_isolated: bool,
    /// Whether somebody still waits for the answer.
    pub is_awaited: bool,
    /// The back end's own calls for the request that have no answer yet.
    open_calls: u32,
    /// Whether one of those calls has failed.
    pub has_failed_call: bool,
    /// Services that its calls went to, with their levels as last heard.
    pub involved: BTreeMap<String, Level>,
}

impl Running {
    /// Takes over a request that is handed to the back end.
    pub fn new(now: Instant, arrival: Arrival, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            link: arrival.link,
            sequence: arrival.sequence,
            request: arrival.request,
            arrived: arrival.arrived,
            started: now,
            deadline: arrival.deadline,
            is_isolated: arrival.is_isolated,
            is_awaited: true,
            open_calls: 0,
            has_failed_call: false,
            involved: BTreeMap::new(),
        }
    }

    /// Takes in what became of a call that the back end makes for the request.
    pub fn on_call(&mut self, call: CallUpdate) {
        for involved in call.involved {
            self.involved.insert(involved.service, involved.level);
        }
        match call.progress {
            CallProgress::Started => self.open_calls += 1,
            CallProgress::Succeeded => self.open_calls = self.open_calls.saturating_sub(1),
            CallProgress::Failed => {
                self.open_calls = self.open_calls.saturating_sub(1);
                self.has_failed_call = true;
            }
        }
    }

    /// Returns whether the back end alone is to blame if the request fails.
    pub fn is_own_fault(&self) -> bool {
        self.open_calls == 0 && !self.has_failed_call
    }

    /// Returns where the time of the request has gone.
    pub fn timing(&self, now: Instant) -> Timing {
        Timing {
            queued_micros: elapsed_micros(self.started, self.arrived),
            back_end_micros: elapsed_micros(now, self.started),
        }
    }
}
