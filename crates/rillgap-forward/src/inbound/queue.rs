//! Queue ordered by rank, then by position within the rank, then by arrival.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::time::Instant;

/// A queued item.
#[derive(Clone, Debug)]
pub(super) struct Queued<T> {
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Position within the rank; 0 is served first.
    pub position_in_rank: u8,
    /// Latest time at which the item may be started.
    pub cutoff: Instant,
    /// Number of bytes that the item holds.
    pub bytes: usize,
    /// The item.
    pub item: T,
}

/// Queue ordered by rank, then by position within the rank, then by arrival.
#[derive(Clone, Debug)]
pub(super) struct RankQueue<T> {
    ranks: BTreeMap<u8, BTreeMap<(u8, u64), Queued<T>>>,
    positions: BTreeMap<u64, (u8, u8)>,
    cutoffs: BTreeSet<(Instant, u64)>,
    next_ticket: u64,
    /// Sum of the bytes that the items hold.
    bytes: usize,
}

impl<T> Default for RankQueue<T> {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
            positions: BTreeMap::new(),
            cutoffs: BTreeSet::new(),
            next_ticket: 0,
            bytes: 0,
        }
    }
}

impl<T> RankQueue<T> {
    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the sum of the bytes that the items hold.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of items that are served before a new one of this rank and position.
    pub fn ahead_of(&self, rank: u8, position: u8) -> usize {
        let higher = self.ranks.range(..rank);
        let higher: usize = higher.map(|(_, queue)| queue.len()).sum();
        let same = self.ranks.get(&rank);
        higher + same.map_or(0, |queue| queue.range(..=(position, u64::MAX)).count())
    }

    /// Returns the ranks with queued items, in the order of service.
    pub fn ranks(&self) -> impl DoubleEndedIterator<Item = u8> {
        self.ranks.keys().copied()
    }

    /// Returns the queued items of a rank, in no particular order of arrival.
    pub fn items(&self, rank: u8) -> impl Iterator<Item = &T> {
        let queue = self.ranks.get(&rank);
        queue
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|queued| &queued.item)
    }

    /// Returns the number of queued items of each rank.
    pub fn lengths(&self) -> impl Iterator<Item = (u8, usize)> {
        self.ranks.iter().map(|(rank, queue)| (*rank, queue.len()))
    }

    /// Appends an item and returns its ticket.
    pub fn push(&mut self, queued: Queued<T>) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.bytes += queued.bytes;
        self.positions
            .insert(ticket, (queued.rank, queued.position_in_rank));
        self.cutoffs.insert((queued.cutoff, ticket));
        self.ranks
            .entry(queued.rank)
            .or_default()
            .insert((queued.position_in_rank, ticket), queued);
        ticket
    }

    /// Removes the item of a ticket.
    pub fn remove(&mut self, ticket: u64) -> Option<T> {
        let (rank, position_in_rank) = self.positions.remove(&ticket)?;
        let queue = self.ranks.get_mut(&rank)?;
        let queued = queue.remove(&(position_in_rank, ticket))?;
        if queue.is_empty() {
            self.ranks.remove(&rank);
        }
        self.cutoffs.remove(&(queued.cutoff, ticket));
        self.bytes -= queued.bytes;
        Some(queued.item)
    }

    /// Removes the item that is served next.
    pub fn pop(&mut self) -> Option<T> {
        let rank = self.ranks().next()?;
        self.pop_rank(rank)
    }

    /// Removes the item of a rank that is served next.
    pub fn pop_rank(&mut self, rank: u8) -> Option<T> {
        let (_, ticket) = *self.ranks.get(&rank)?.first_key_value()?.0;
        self.remove(ticket)
    }

    /// Removes an item whose cutoff has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<T> {
        let (cutoff, ticket) = *self.cutoffs.first()?;
        if cutoff > now {
            return None;
        }
        self.remove(ticket)
    }

    /// Returns the tickets of items, at most `most`, that cannot be started before their cutoffs if one item
    /// is started in each `interval` in the order of service and these items are removed.
    pub fn late(&self, now: Instant, interval: Duration, most: usize) -> Vec<u64> {
        let mut tickets = Vec::new();
        let mut starts = now;
        for ((_, ticket), queued) in self.ranks.values().flatten() {
            let next = starts + interval;
            if queued.cutoff >= next {
                starts = next;
            } else if tickets.len() < most {
                tickets.push(*ticket);
            }
        }
        tickets
    }

    /// Returns the earliest cutoff.
    pub fn next_cutoff(&self) -> Option<Instant> {
        self.cutoffs.first().map(|(cutoff, _)| *cutoff)
    }
}
