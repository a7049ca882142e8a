//! Numbers outgoing messages and uses their echoes to date a peer's messages by the local clock.
//!
//! A peer sends an echo after it has received the echoed message. The time at which the echoed
//! message was sent, plus the time for which the peer held it, is therefore a lower bound on the
//! time at which the peer sent its own message. With this bound, information from a peer is never
//! considered more recent than it is, no matter how long its message was in flight.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::NodeId;
use crate::time::{Instant, micros};

use super::message::Echo;
use super::timing::TICK;

/// Number of sent probes that are kept, one per tick; echoes of earlier ones cannot be dated.
const MAX_SENT_PROBES: usize = 80;

/// Probe numbers of outgoing messages and the last number received from each peer.
///
/// All messages of one tick share a number and its time, that of the first of them.
#[derive(Debug)]
pub struct ProbeClock {
    next: u32,
    sent: VecDeque<(u32, Instant)>,
    received: BTreeMap<NodeId, (u32, Instant)>,
}

impl ProbeClock {
    /// Creates a clock whose first number is `first`. A random one keeps the numbers of two
    /// incarnations of a node distinct.
    pub fn new(first: u32) -> Self {
        Self {
            next: first,
            sent: VecDeque::new(),
            received: BTreeMap::new(),
        }
    }

    /// Returns the probe number for a message that is sent now.
    pub fn stamp(&mut self, now: Instant) -> u32 {
        if let Some(&(probe, at)) = self.sent.back()
            && now.saturating_since(at) < TICK / 2
        {
            return probe;
        }
        let probe = self.next;
        self.next = self.next.wrapping_add(1);
        self.sent.push_back((probe, now));
        if self.sent.len() > MAX_SENT_PROBES {
            self.sent.pop_front();
        }
        probe
    }

    /// Records the probe number of a peer's message for the next echo.
    pub fn record_received(&mut self, now: Instant, peer: NodeId, probe: u32) {
        self.received.insert(peer, (probe, now));
    }

    /// Returns the echo of a peer's last message; `None` if none was received.
    pub fn echo(&self, now: Instant, peer: NodeId) -> Option<Echo> {
        let (probe, at) = *self.received.get(&peer)?;
        let held = micros(now.saturating_since(at));
        Some(Echo {
            probe,
            held_micros: u32::try_from(held).ok()?,
        })
    }

    /// Returns a lower bound, by the local clock, on the time at which `echo` was sent; `None` if
    /// the echoed message is no longer kept or belongs to another incarnation.
    pub fn date(&self, now: Instant, echo: Echo) -> Option<Instant> {
        let (_, sent) = self
            .sent
            .iter()
            .rev()
            .find(|(probe, _)| *probe == echo.probe)?;
        let sent_after = *sent + Duration::from_micros(u64::from(echo.held_micros));
        Some(sent_after.min(now))
    }

    /// Drops all sent and received numbers, so that earlier messages can no longer be dated.
    pub fn reset(&mut self) {
        self.sent.clear();
        self.received.clear();
    }

    /// Drops the received numbers of the peers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.received.retain(|peer, _| keep(*peer));
    }
}
