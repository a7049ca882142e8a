//! Queue of a back end: highest class first, first-in, first-out within a class.

use std::collections::{BTreeMap, BTreeSet};

use super::Ticket;
use crate::id::AttemptId;
use crate::policy::Class;
use crate::time::Instant;

/// Sequence number in the order of arrival.
type Arrival = u64;

/// A queued ticket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    /// The ticket.
    pub ticket: Ticket,
    /// Time at which the ticket was queued.
    pub queued_at: Instant,
    /// Time at which the ticket is refused unless it was started.
    pub cutoff: Instant,
}

/// Queue ordered by class, then by arrival, with an index by attempt and by cutoff.
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

    /// Returns the number of queued tickets that precede a new one of `class`.
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

    /// Removes the ticket of an attempt; `None` if it is not queued.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Queued> {
        let (class, arrival) = self.positions.remove(&attempt)?;
        let queued = self.classes[class.index()].remove(&arrival)?;
        self.cutoffs.remove(&(queued.cutoff, attempt));
        Some(queued)
    }

    /// Removes the next ticket to start: the oldest one of the highest class.
    pub fn pop(&mut self) -> Option<Queued> {
        let attempt = self
            .classes
            .iter()
            .rev()
            .find_map(|class| class.first_key_value())
            .map(|(_, queued)| queued.ticket.attempt)?;
        self.remove(attempt)
    }

    /// Removes the ticket with the lowest level if that is below the level of `incoming`.
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

    /// Removes one ticket whose cutoff has passed; `None` if there is none.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Queued> {
        let (cutoff, attempt) = *self.cutoffs.first()?;
        if cutoff > now {
            return None;
        }
        self.remove(attempt)
    }

    /// Returns the earliest cutoff; `None` if the queue is empty.
    pub fn next_cutoff(&self) -> Option<Instant> {
        self.cutoffs.first().map(|(cutoff, _)| *cutoff)
    }
}
