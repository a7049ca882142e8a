//! Events of the virtual time, in their order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rillgap_core::time::Instant;

/// Queue of events; those of the same moment come out in the order in which they went in.
#[derive(Debug)]
pub struct EventQueue<T> {
    order: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    slots: Vec<Option<T>>,
    free: Vec<usize>,
    sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            sequence: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Puts in an event that is due at `at`.
    pub fn push(&mut self, at: Instant, event: T) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.sequence += 1;
        self.order.push(Reverse((at, self.sequence, slot)));
    }

    /// Takes out the next event if it is due by `until`.
    pub fn pop(&mut self, until: Instant) -> Option<(Instant, T)> {
        let Reverse((at, _, slot)) = *self.order.peek()?;
        if at > until {
            return None;
        }
        self.order.pop();
        self.free.push(slot);
        Some((at, self.slots[slot].take()?))
    }
}
