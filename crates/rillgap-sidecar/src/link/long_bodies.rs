//! Long bodies on a link are sent when the receiver has room for them.
//!
//! The sender offers the body, keeps the message and sends it once the receiver has granted the
//! offer. All other messages go on meanwhile, so a receiver that is short of room does not have to stop
//! reading, which its peer would take for a lost link.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use rillgap_core::time::Instant;
use rillgap_forward::buffer_account::Room;
use rillgap_forward::id::Sequence;
use rillgap_forward::message::LinkMessage;

use crate::buffers::Held;

/// Length from which a body is long, in bytes. Shorter ones are sent at once.
pub(super) const LONG_BODY_BYTES: usize = 64 * 1024;

/// An offer of the peer that waits for room.
#[derive(Clone, Copy, Debug)]
struct WaitingOffer {
    number: u64,
    bytes: usize,
    since: Instant,
}

/// Long bodies of one link, in both directions.
#[derive(Debug, Default)]
pub(super) struct LongBodies {
    next_offer: u64,
    /// Messages that were offered to the peer.
    offered: BTreeMap<u64, LinkMessage>,
    /// Offers of the peer, in order.
    waiting: VecDeque<WaitingOffer>,
    /// Number of granted bytes that have not arrived yet.
    granted: usize,
}

impl LongBodies {
    /// Keeps a message with a long body, and returns the number and the length of its offer.
    pub fn offer(&mut self, message: LinkMessage) -> (u64, usize) {
        let bytes = message.body_bytes();
        self.next_offer += 1;
        self.offered.insert(self.next_offer, message);
        (self.next_offer, bytes)
    }

    /// Takes the message whose offer the peer has granted; `None` if it was withdrawn.
    pub fn take_offered(&mut self, number: u64) -> Option<LinkMessage> {
        self.offered.remove(&number)
    }

    /// Withdraws the offer of a request that was cancelled, and returns the length of its body.
    pub fn withdraw(&mut self, cancelled: Sequence) -> Option<usize> {
        let is_cancelled = |message: &LinkMessage| matches!(message, LinkMessage::Request { sequence, .. } if *sequence == cancelled);
        let mut offered = self.offered.iter();
        let (number, _) = offered.find(|(_, message)| is_cancelled(message))?;
        let number = *number;
        let message = self.offered.remove(&number)?;
        Some(message.body_bytes())
    }

    /// Returns whether messages wait for the peer to grant their offers.
    pub fn has_offered(&self) -> bool {
        !self.offered.is_empty()
    }

    /// Records an offer of the peer.
    pub fn on_offer(&mut self, now: Instant, number: u64, bytes: u64) {
        self.waiting.push_back(WaitingOffer {
            number,
            bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            since: now,
        });
    }

    /// Returns since when the first offer of the peer waits for room.
    pub fn waits_since(&self) -> Option<Instant> {
        self.waiting.front().map(|offer| offer.since)
    }

    /// Restarts the wait of the first offer.
    pub fn restart_wait(&mut self, now: Instant) {
        if let Some(offer) = self.waiting.front_mut() {
            offer.since = now;
        }
    }

    /// Returns the number of the next offer for which there is room now, which `held` then counts. An
    /// offer for which there never is room is dropped.
    pub fn grant(&mut self, held: &Rc<Held>) -> Option<u64> {
        loop {
            let offer = self.waiting.front()?;
            match held.request(offer.bytes) {
                Room::Granted => {
                    let offer = self.waiting.pop_front()?;
                    self.granted += offer.bytes;
                    return Some(offer.number);
                }
                Room::Wait => return None,
                Room::Exhausted => {
                    log::warn!(bytes = offer.bytes as u64; "link: a body is longer than the buffers of the node");
                    self.waiting.pop_front();
                }
            }
        }
    }

    /// Returns how many of the bytes that have arrived are not counted yet.
    pub fn uncounted(&mut self, received: usize) -> usize {
        let counted = received.min(self.granted);
        self.granted -= counted;
        received - counted
    }
}
