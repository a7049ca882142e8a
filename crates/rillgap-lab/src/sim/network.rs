//! Links between hosts: latency, order, cuts and lost connections.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::event::HostIndex;
use super::random::Stream;
use crate::model::scenario::NetworkModel;

/// Longest difference between the two ends' notice of a lost connection.
const NOTICE_SPREAD_MICROS: u64 = 500_000;

/// One connection between two hosts.
#[derive(Clone, Debug, Default)]
struct Link {
    /// Number of the connection; a message of an earlier one is dropped.
    connection: u32,
    /// Until when messages of the previous connection are still delivered.
    grace_until: Instant,
    /// Earliest arrival of the next message, for each direction.
    not_before: [Instant; 2],
    /// Whether messages wait for the end of a cut, for each direction.
    stalled: [bool; 2],
    /// Whether anything was sent over this connection.
    used: bool,
}

/// What becomes of a message that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// It arrives.
    Arrives {
        /// When.
        at: Instant,
        /// Over which connection.
        connection: u32,
    },
    /// It waits for the end of a cut; the connection is lost if that takes too long.
    Stalls {
        /// Over which connection.
        connection: u32,
        /// Whether the link's timeout begins with it.
        first: bool,
    },
}

/// All links of a simulation.
#[derive(Debug)]
pub struct Network {
    model: NetworkModel,
    zones: Vec<usize>,
    links: Vec<Link>,
    cuts: Vec<u16>,
}

impl Network {
    /// Creates the links between hosts in the given zones.
    pub fn new(model: NetworkModel, zones: Vec<usize>) -> Self {
        let pairs = zones.len() * zones.len();
        Self {
            model,
            zones,
            links: vec![Link::default(); pairs],
            cuts: vec![0; pairs],
        }
    }

    /// Returns the zone of a host.
    pub fn zone(&self, host: HostIndex) -> usize {
        self.zones[host]
    }

    /// Returns the time after which a stalled link is declared lost.
    pub fn link_timeout(&self) -> Duration {
        Duration::from_millis(self.model.link_timeout_millis)
    }

    fn pair(&self, from: HostIndex, to: HostIndex) -> usize {
        from * self.zones.len() + to
    }

    fn link(&mut self, from: HostIndex, to: HostIndex) -> (&mut Link, usize) {
        let index = self.pair(from.min(to), from.max(to));
        (&mut self.links[index], usize::from(from > to))
    }

    /// Adds or removes a cut in one direction; cuts of several faults add up.
    pub fn cut(&mut self, from: HostIndex, to: HostIndex, begins: bool) {
        let pair = self.pair(from, to);
        self.cuts[pair] = if begins {
            self.cuts[pair] + 1
        } else {
            self.cuts[pair].saturating_sub(1)
        };
    }

    /// Returns whether messages in one direction are held up.
    ///
    /// A stream needs acknowledgements, so a cut of one direction soon stalls the other.
    pub fn is_cut(&self, from: HostIndex, to: HostIndex) -> bool {
        self.cuts[self.pair(from, to)] > 0
    }

    /// Draws the latency of one message.
    pub fn latency(&self, from: HostIndex, to: HostIndex, random: &mut Stream) -> Duration {
        let base = if self.zones[from] == self.zones[to] {
            self.model.local_micros
        } else {
            self.model.zone_micros
        };
        let jitter = random.up_to(self.model.jitter_micros);
        Duration::from_micros((base + jitter).max(1))
    }

    /// Sends a message.
    pub fn send(
        &mut self,
        now: Instant,
        from: HostIndex,
        to: HostIndex,
        random: &mut Stream,
    ) -> Sending {
        let cut = self.is_cut(from, to);
        let arrival = now + self.latency(from, to, random);
        let (link, direction) = self.link(from, to);
        let connection = link.connection;
        link.used = true;
        if cut || link.stalled[direction] {
            let first = !link.stalled[direction];
            link.stalled[direction] = true;
            return Sending::Stalls { connection, first };
        }
        let at = arrival.max(link.not_before[direction]);
        link.not_before[direction] = at;
        Sending::Arrives { at, connection }
    }

    /// Returns whether a message just sent starts to wait for an acknowledgement that a cut of
    /// the other direction holds up.
    pub fn lacks_acknowledgement(&mut self, from: HostIndex, to: HostIndex) -> bool {
        if !self.is_cut(to, from) {
            return false;
        }
        let (link, direction) = self.link(to, from);
        !std::mem::replace(&mut link.stalled[direction], true)
    }

    /// Returns whether the present connection of two hosts was used.
    pub fn is_connected(&mut self, one: HostIndex, other: HostIndex) -> bool {
        self.link(one, other).0.used
    }

    /// Lets the messages of a stalled direction go on; returns whether it was stalled.
    pub fn resume(&mut self, from: HostIndex, to: HostIndex) -> bool {
        let (link, direction) = self.link(from, to);
        std::mem::take(&mut link.stalled[direction])
    }

    /// Returns whether a message of a connection is still delivered.
    pub fn accepts(
        &mut self,
        now: Instant,
        from: HostIndex,
        to: HostIndex,
        connection: u32,
    ) -> bool {
        let (link, _) = self.link(from, to);
        connection == link.connection
            || (connection + 1 == link.connection && now <= link.grace_until)
    }

    /// Returns whether a connection is the present one and holds up messages.
    pub fn is_stalled(&mut self, from: HostIndex, to: HostIndex, connection: u32) -> bool {
        let (link, direction) = self.link(from, to);
        link.connection == connection && link.stalled[direction]
    }

    /// Loses the connection; returns when each end notices.
    ///
    /// Messages in flight are lost with it, or still delivered before the loss is noticed.
    pub fn lose(
        &mut self,
        now: Instant,
        one: HostIndex,
        other: HostIndex,
        random: &mut Stream,
    ) -> (Instant, Instant) {
        let drops = random.chance(0.5);
        let latency = self.latency(one, other, random);
        let spread = [
            Duration::from_micros(random.up_to(NOTICE_SPREAD_MICROS)),
            Duration::from_micros(random.up_to(NOTICE_SPREAD_MICROS)),
        ];
        let (link, direction) = self.link(one, other);
        link.connection += 1;
        link.stalled = [false; 2];
        link.used = false;
        link.grace_until = if drops { now } else { now + latency };
        let at_one = now + latency + spread[0];
        let at_other = now + latency + spread[1];
        // The next connection begins at each end only after that end has noticed the loss.
        link.not_before[1 - direction] = link.not_before[1 - direction].max(at_one);
        link.not_before[direction] = link.not_before[direction].max(at_other);
        (at_one, at_other)
    }
}
