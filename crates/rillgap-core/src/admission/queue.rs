//! Queue beside a back end: by class, within a class by arrival.

use std::collections::{BTreeMap, BTreeSet};

use super::Ticket;
use crate::id::AttemptId;
use crate::policy::Class;
use crate::time::Instant;

/// Position in the order of arrival.
type Arrival = u64;

/// A queued ticket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    /// The ticket.
    pub ticket: Ticket,
    /// When it was queued.
    pub queued_at: Instant,
    /// Latest time at which it may still be started.
    pub cutoff: Instant,
}

/// Queue ordered by class, then by arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueue {
    classes: [BTreeMap<Arrival, Queued>; Class::ALL.len()],
    positions: BTreeMap<AttemptId, (Class, Arrival)>,
    cutoffs: BTreeSet<(Instant, AttemptId)>,
    next_arrival: Arrival,
}

impl ClassQueue {
    /// Returns the number of queued tickets.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of queued tickets of one class.
    pub fn class_len(&self, class: Class) -> usize {
        self.classes[class.index()].len()
    }

    /// Returns the number of tickets that are served before a new one of `class`.
    pub fn ahead_of(&self, class: Class) -> usize {
        self.classes[class.index()..]
            .iter()
            .map(BTreeMap::len)
            .sum()
    }

    /// Appends a ticket.
    pub fn push(&mut self, queued: Queued) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        let attempt = queued.ticket.attempt;
        let class = queued.ticket.class;
        self.classes[class.index()].insert(arrival, queued);
        self.positions.insert(attempt, (class, arrival));
        self.cutoffs.insert((queued.cutoff, attempt));
    }

    /// Takes out a ticket by its attempt.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Queued> {
        let (class, arrival) = self.positions.remove(&attempt)?;
        let queued = self.classes[class.index()].remove(&arrival)?;
        self.cutoffs.remove(&(queued.cutoff, attempt));
        Some(queued)
    }

    /// Takes out the ticket that is to run next: highest class, oldest first.
    pub fn pop(&mut self) -> Option<Queued> {
        let attempt = self
            .classes
            .iter()
            .rev()
            .find_map(|class| class.first_key_value())
            .map(|(_, queued)| queued.ticket.attempt)?;
        self.remove(attempt)
    }

    /// Takes out the lowest ticket if it ranks below `than`, which wants its place.
    pub fn evict_below(&mut self, incoming: &Ticket) -> Option<Queued> {
        let lowest = self
            .classes
            .iter()
            .find(|class| !class.is_empty())?
            .values()
            .min_by_key(|queued| (queued.ticket.level(), queued.ticket.attempt))?;
        if lowest.ticket.level() >= incoming.level() {
            return None;
        }
        let attempt = lowest.ticket.attempt;
        self.remove(attempt)
    }

    /// Takes out one ticket whose cutoff has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Queued> {
        let (cutoff, attempt) = *self.cutoffs.first()?;
        if cutoff > now {
            return None;
        }
        self.remove(attempt)
    }

    /// Returns the earliest cutoff.
    pub fn next_cutoff(&self) -> Option<Instant> {
        self.cutoffs.first().map(|(cutoff, _)| *cutoff)
    }
}
