//! Admission control: how many requests a back end receives, in which order, and which are shed.
//!
//! - [`BackEndAdmission`] controls one back end: it holds an adaptive concurrency limit and a short
//!   queue ordered by class, refuses requests that cannot meet their deadline, and reports the
//!   [`Level`] below which it sheds requests.
//! - [`EntryAdmission`] runs where root requests (of external callers, not of back ends) enter and
//!   refuses those that a downstream service would shed.
//! - [`RetryBudget`] limits retries to a fraction of the successful requests.
//!
//! `docs/design/admission.md` compares this with other admission schemes.

mod back_end;
mod demand;
mod entry;
mod level;
mod limit;
mod mode;
mod queue;
mod record;
mod report;
mod reported;
mod retry;
mod service_time;
mod threshold;

pub use back_end::BackEndAdmission;
pub use entry::{EntryAdmission, RootRequest, RouteId};
pub use level::Level;
pub use mode::{AdmissionSettings, ControlMode};
pub use record::{LevelChange, ReportRecord, ShedRequest};
pub use report::{LoadReport, MAX_SERVICE_LOADS, ServiceLoad};
pub use reported::{Involvement, ServiceLevels};
pub use retry::RetryBudget;
pub use threshold::{Threshold, Tuning, WindowLoad};

use crate::id::{AttemptId, RootId};
use crate::policy::Class;
use crate::request::Refusal;
use crate::time::Instant;

/// An attempt that asks to be started at the local back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Attempt that the ticket belongs to.
    pub attempt: AttemptId,
    /// Root request that the attempt serves.
    pub root: RootId,
    /// Class of the root request.
    pub class: Class,
    /// Time by which the attempt must be answered.
    pub deadline: Instant,
}

impl Ticket {
    /// Returns the admission level of the root request.
    pub fn level(&self) -> Level {
        Level::of(self.class, self.root)
    }
}

/// Immediate decision on a new ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start the attempt now.
    Start,
    /// The ticket is queued; a [`QueueDecision`] follows unless the attempt is cancelled
    /// first.
    Queue,
    /// Refuse the attempt, which was not started.
    Refuse(Refusal),
}

/// Final decision on a queued ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Start the attempt now.
    Start(AttemptId),
    /// Refuse the attempt, which was not started.
    Refuse(AttemptId, Refusal),
}

/// How an attempt at the back end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Answered completely.
    Answered,
    /// Shed by the back end without running it.
    Shed,
    /// Failed, or cancelled after it was started.
    Failed,
}
