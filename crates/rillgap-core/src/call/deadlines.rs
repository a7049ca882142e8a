//! Deadlines of calls and attempts, ordered by time.

use std::collections::BTreeSet;

use crate::time::Instant;

/// A set of deadlines ordered by time, each with the identifier of its call or attempt.
#[derive(Debug)]
pub struct Deadlines<T> {
    entries: BTreeSet<(Instant, T)>,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Self {
            entries: BTreeSet::new(),
        }
    }
}

impl<T: Copy + Ord> Deadlines<T> {
    /// Adds a deadline.
    pub fn insert(&mut self, deadline: Instant, item: T) {
        self.entries.insert((deadline, item));
    }

    /// Removes a deadline; does nothing if it is not in the set.
    pub fn remove(&mut self, deadline: Instant, item: T) {
        self.entries.remove(&(deadline, item));
    }

    /// Returns the earliest deadline.
    pub fn next(&self) -> Option<Instant> {
        self.entries.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the earliest item if its deadline has passed.
    pub fn pop_passed(&mut self, now: Instant) -> Option<T> {
        let (deadline, _) = self.entries.first()?;
        if *deadline > now {
            return None;
        }
        self.entries.pop_first().map(|(_, item)| item)
    }
}
