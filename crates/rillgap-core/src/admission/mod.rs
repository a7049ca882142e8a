//! Admission: how much work a back end is given, in which order, and what is shed.

use std::collections::BTreeMap;
use std::time::Duration;

use bitcode::{Decode, Encode};

use crate::id::{AttemptId, RootId, ServiceName};
use crate::policy::{Class, ServicePolicy};
use crate::request::Refusal;
use crate::time::Instant;

/// Load of a node's back end, carried on every answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Requests running at the back end.
    pub running: u32,
    /// Requests queued beside it.
    pub queued: u32,
    /// Concurrency limit now in force.
    pub limit: u32,
}

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

/// Admission beside one back end. (Admits up to the policy's slots; no queue yet.)
#[derive(Debug, Default)]
pub struct BackEndAdmission {
    slots: u32,
    running: BTreeMap<AttemptId, Instant>,
}

impl BackEndAdmission {
    /// Takes over the service's policy.
    pub fn configure(&mut self, service: &ServicePolicy) {
        self.slots = u32::from(service.slots);
    }

    /// Decides on a new ticket.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Verdict {
        self.running.insert(ticket.attempt, now);
        Verdict::Start
    }

    /// Tells that a started attempt has ended after `latency`.
    pub fn finish(
        &mut self,
        _now: Instant,
        attempt: AttemptId,
        _latency: Duration,
        _completion: Completion,
    ) {
        self.running.remove(&attempt);
    }

    /// Takes a ticket out of the queue; returns whether it was queued.
    pub fn cancel(&mut self, _now: Instant, _attempt: AttemptId) -> bool {
        false
    }

    /// Settles queued tickets; to be called after every other call and on wake-up.
    pub fn poll(&mut self, _now: Instant) -> Vec<QueueDecision> {
        Vec::new()
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        None
    }

    /// Returns the load to carry on answers.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: 0,
            limit: self.slots,
        }
    }
}

/// Admission at the entry, from load that answers carry. (Admits everything yet.)
#[derive(Debug, Default)]
pub struct EntryAdmission {}

impl EntryAdmission {
    /// Decides whether a root request may begin.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a request of this class would be shed further down.
    pub fn admit(
        &mut self,
        _now: Instant,
        _service: &ServiceName,
        _class: Class,
        _root: RootId,
    ) -> Result<(), Refusal> {
        Ok(())
    }

    /// Takes in the load that an answer of a service carried.
    pub fn observe(&mut self, _now: Instant, _service: &ServiceName, _load: &LoadReport) {}
}

/// Retries as a share of successes, per service. (Grants everything yet.)
#[derive(Debug, Default)]
pub struct RetryBudget {}

impl RetryBudget {
    /// Sets the share of successes that may be retried, in percent.
    pub fn configure(&mut self, _percent: u8) {}

    /// Counts a success.
    pub fn success(&mut self, _service: &ServiceName) {}

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn try_spend(&mut self, _service: &ServiceName) -> bool {
        true
    }
}
