//! What a host and the platform are charged with.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::message::PeerMessage;
use rillgap_core::time::Instant;

/// Bytes of the length field before each frame of the mesh.
pub const FRAME_HEADER: u64 = 4;

/// Parts of the protocol, as far as they are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Membership.
    Membership,
    /// Spread of the policy.
    Configuration,
    /// Claims.
    Claim,
    /// Data path.
    Call,
}

impl Part {
    /// Returns the part to which a message belongs.
    pub const fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Membership(_) => Self::Membership,
            PeerMessage::Configuration(_) => Self::Configuration,
            PeerMessage::Claim(_) => Self::Claim,
            PeerMessage::Call(_) => Self::Call,
        }
    }

    /// Returns whether the part counts as control.
    pub const fn is_control(self) -> bool {
        matches!(self, Self::Membership | Self::Configuration)
    }
}

/// Messages and their bytes, frame headers included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// Meter of one host.
#[derive(Clone, Debug, Default)]
pub struct HostMeter {
    /// What it sent.
    pub sent: BTreeMap<Part, Traffic>,
    /// What it received.
    pub received: BTreeMap<Part, Traffic>,
    /// What went to and came from the platform.
    pub store: Traffic,
    /// Processor time of the state machine and the codec, as measured.
    pub processor: Duration,
}

impl HostMeter {
    /// Returns all control traffic with peers, both ways.
    pub fn control(&self) -> Traffic {
        let mut sum = Traffic::default();
        for (part, traffic) in self.sent.iter().chain(&self.received) {
            if part.is_control() {
                sum.messages += traffic.messages;
                sum.bytes += traffic.bytes;
            }
        }
        sum
    }

    /// Returns the traffic of one part, both ways.
    pub fn part(&self, part: Part) -> Traffic {
        let sent = self.sent.get(&part).copied().unwrap_or_default();
        let received = self.received.get(&part).copied().unwrap_or_default();
        Traffic {
            messages: sent.messages + received.messages,
            bytes: sent.bytes + received.bytes,
        }
    }
}

/// Meter of the platform.
#[derive(Clone, Debug, Default)]
pub struct StoreMeter {
    /// Requests by the second of virtual time.
    requests: BTreeMap<u64, u64>,
    /// Hosts that sent requests, by the second.
    askers: BTreeMap<u64, BTreeSet<usize>>,
    /// Queries that wait at the platform, with the host and its region.
    watches: BTreeMap<u64, (usize, usize)>,
    /// Most hosts of one region with waiting queries at the same time.
    pub peak_readers: usize,
    /// Writes.
    pub writes: u64,
    /// Writes refused because of a conflict.
    pub conflicts: u64,
    /// Bytes of replies and writes.
    pub bytes: u64,
}

impl StoreMeter {
    /// Counts a request.
    pub fn request(&mut self, now: Instant, host: usize) {
        let second = now.as_micros() / 1_000_000;
        *self.requests.entry(second).or_default() += 1;
        self.askers.entry(second).or_default().insert(host);
    }

    /// Records that a query waits for a change.
    pub fn watch_began(&mut self, waiter: u64, host: usize, region: usize) {
        self.watches.insert(waiter, (host, region));
        let in_region = self.watches.values().filter(|watch| watch.1 == region);
        let readers: BTreeSet<usize> = in_region.map(|watch| watch.0).collect();
        self.peak_readers = self.peak_readers.max(readers.len());
    }

    /// Records that a query was answered.
    pub fn watch_ended(&mut self, waiter: u64) {
        self.watches.remove(&waiter);
    }

    /// Records that the process of a host has ended, and its connections with it.
    pub fn host_ended(&mut self, host: usize) {
        self.watches.retain(|_, watch| watch.0 != host);
    }

    /// Sets the meter to zero; queries that wait stay known.
    pub fn reset(&mut self) {
        *self = Self {
            watches: std::mem::take(&mut self.watches),
            ..Self::default()
        };
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.requests.values().sum()
    }

    /// Returns the most requests within one second.
    pub fn peak_requests(&self) -> u64 {
        self.requests.values().copied().max().unwrap_or(0)
    }

    /// Returns the most hosts of one region, as `region` tells it, that asked within one second.
    pub fn peak_askers(&self, region: impl Fn(usize) -> usize) -> usize {
        self.askers
            .values()
            .map(|hosts| {
                let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
                for host in hosts {
                    *counts.entry(region(*host)).or_default() += 1;
                }
                counts.into_values().max().unwrap_or(0)
            })
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of different hosts that asked.
    pub fn askers(&self) -> usize {
        let hosts: BTreeSet<usize> = self.askers.values().flatten().copied().collect();
        hosts.len()
    }
}
