//! Admission: how much work a back end is given, in which order, and what is shed.
//!
//! [`BackEndAdmission`] stands beside one back end: a learned concurrency limit, a short queue
//! ordered by class, refusal of what cannot meet its deadline, and a published level below
//! which requests would be shed. [`EntryAdmission`] stands where root requests enter and
//! refuses what a service further down would shed. [`RetryBudget`] bounds retries by successes.
//! `docs/design/admission.md` weighs the schemes.

mod back_end;
mod demand;
mod entry;
mod level;
mod limit;
mod mode;
mod queue;
mod report;
mod reported;
mod retry;
mod service_time;
mod threshold;

pub use back_end::BackEndAdmission;
pub use entry::{EntryAdmission, RootRequest, RouteId};
pub use level::Level;
pub use mode::{AdmissionSettings, ControlMode};
pub use report::{LoadReport, MAX_SERVICE_LOADS, ServiceLoad};
pub use reported::{Involvement, ServiceLevels};
pub use retry::RetryBudget;
pub use threshold::{Threshold, Tuning, WindowLoad};

use crate::id::{AttemptId, RootId};
use crate::policy::Class;
use crate::request::Refusal;
use crate::time::Instant;

/// A request that asks to be run at the local back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Attempt that asks.
    pub attempt: AttemptId,
    /// Root request that it serves.
    pub root: RootId,
    /// Class, inherited from the root.
    pub class: Class,
    /// Deadline of the attempt.
    pub deadline: Instant,
}

impl Ticket {
    /// Returns the admission level of the root request.
    pub fn level(&self) -> Level {
        Level::of(self.class, self.root)
    }
}

/// Decision on a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it now.
    Start,
    /// Keep it; a later [`QueueDecision`] settles it.
    Queue,
    /// Refuse it; it has not been started.
    Refuse(Refusal),
}

/// A later decision on a queued ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Run it now.
    Start(AttemptId),
    /// Refuse it; it has not been started.
    Refuse(AttemptId, Refusal),
}

/// How an attempt at the back end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Answered whole.
    Answered,
    /// Shed by the back end itself.
    Shed,
    /// Failed, or cancelled after its start.
    Failed,
}
