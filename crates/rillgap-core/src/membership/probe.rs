//! Numbered messages and their echoes, which date what a peer says by the own clock.
//!
//! A peer that echoes a message has sent its own message after that one was sent. So the time
//! at which the echoed message was sent, plus the time for which the peer held it, is never
//! later than the time at which the peer spoke. However long the peer's message was under way,
//! what it says is never taken for younger than it is.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::NodeId;
use crate::time::{Instant, micros};

use super::message::Echo;
use super::timing::TICK;

/// Ticks for which numbers are remembered.
const MAX_SENT_PROBES: usize = 80;

/// Numbers outgoing messages and dates their echoes.
///
/// All messages of one tick share a number, dated at the beginning of the tick.
#[derive(Debug)]
pub struct ProbeClock {
    next: u32,
    sent: VecDeque<(u32, Instant)>,
    received: BTreeMap<NodeId, (u32, Instant)>,
}

impl ProbeClock {
    /// Creates a clock whose numbers begin at an arbitrary one.
    pub fn new(first: u32) -> Self {
        Self {
            next: first,
            sent: VecDeque::new(),
            received: BTreeMap::new(),
        }
    }

    /// Returns the number for a message that is sent now.
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

    /// Records the number of a peer's message, to be echoed.
    pub fn received(&mut self, now: Instant, peer: NodeId, probe: u32) {
        self.received.insert(peer, (probe, now));
    }

    /// Returns the echo of a peer's last message.
    pub fn echo(&self, now: Instant, peer: NodeId) -> Option<Echo> {
        let (probe, at) = *self.received.get(&peer)?;
        let held = micros(now.saturating_since(at));
        Some(Echo {
            probe,
            held_micros: u32::try_from(held).ok()?,
        })
    }

    /// Returns a time, by the own clock, at which the sender of `echo` cannot yet have spoken
    /// later; `None` if the echoed message is too old or of another run.
    pub fn date(&self, now: Instant, echo: Echo) -> Option<Instant> {
        let (_, sent) = self
            .sent
            .iter()
            .rev()
            .find(|(probe, _)| *probe == echo.probe)?;
        let sent_after = *sent + Duration::from_micros(u64::from(echo.held_micros));
        Some(sent_after.min(now))
    }

    /// Forgets all messages: nothing sent or received before counts any more.
    pub fn reset(&mut self) {
        self.sent.clear();
        self.received.clear();
    }

    /// Forgets the messages of peers that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.received.retain(|peer, _| keep(*peer));
    }
}
