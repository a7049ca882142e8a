//! Failure detection: records the heartbeats that a relay receives from its own zone and
//! summarizes them in a digest.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Incarnation, NodeId, PolicyVersion, ViewVersion};
use crate::time::Instant;
use crate::view::View;

use super::digest::age_millis;
use super::message::{VersionCount, ZoneDigest};
use super::timing::{MAX_HEARTBEAT_AGE, MAX_LISTED_NODES, SUSPICION_TIMEOUT};
use super::topology::ZoneId;

/// Maximum number of different versions in a digest; members at less frequent versions are not
/// counted.
const MAX_VERSION_COUNTS: usize = 8;

/// Last heartbeat received from a member.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatRecord {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Time of receipt.
    pub at: Instant,
    /// Lower bound on the time of sending, by the local clock; `None` if the heartbeat had no echo
    /// that could be dated.
    pub sent: Option<Instant>,
    /// View that the sender has confirmed.
    pub view: ViewVersion,
    /// Policy version that the sender has confirmed.
    pub policy: PolicyVersion,
}

/// Relay and zone for which a digest is made.
#[derive(Clone, Copy, Debug)]
pub struct DigestOrigin<'a> {
    /// Zone of the relay.
    pub zone: ZoneId,
    /// Position of the relay in the rendezvous order of the zone.
    pub rank: u16,
    /// View whose members are counted.
    pub view: &'a View,
    /// Members of the zone.
    pub members: &'a [NodeId],
}

/// Heartbeat-based failure detector of a relay for its own zone.
#[derive(Debug, Default)]
pub struct Detector {
    heartbeats: BTreeMap<NodeId, HeartbeatRecord>,
    /// When members joined the view; no entry for those that this node found in its first view.
    joined: BTreeMap<NodeId, Instant>,
    /// Time since when this node has been a relay; `None` if it is not one.
    relay_since: Option<Instant>,
    last_dated: Option<Instant>,
}

impl Detector {
    /// Records whether this node is a relay. Silence counts from the moment when the node became
    /// one, so that members have time to send a first heartbeat.
    pub fn set_relay(&mut self, now: Instant, is_relay: bool) {
        if is_relay {
            self.relay_since.get_or_insert(now);
        } else {
            self.relay_since = None;
        }
    }

    /// Records that an incarnation of a node joined the view. Its silence counts from then, so that
    /// a restarted node is not presumed failed before its first heartbeat.
    pub fn record_join(&mut self, now: Instant, node: NodeId) {
        self.joined.insert(node, now);
    }

    /// Records a heartbeat.
    pub fn record(&mut self, node: NodeId, heartbeat: HeartbeatRecord) {
        self.last_dated = self.last_dated.max(heartbeat.sent);
        self.heartbeats.insert(node, heartbeat);
    }

    /// Returns the time since the last heartbeat of a member, or since it joined or this node became
    /// a relay if that was later; zero if this node is not a relay.
    pub fn silence(&self, now: Instant, node: NodeId, incarnation: Incarnation) -> Duration {
        let Some(relay_since) = self.relay_since else {
            return Duration::ZERO;
        };
        let joined = self.joined.get(&node).copied();
        let last = self
            .record_of(node, incarnation)
            .map(|heartbeat| heartbeat.at);
        let latest = joined.max(last).max(Some(relay_since));
        now.saturating_since(latest.unwrap_or(relay_since))
    }

    /// Returns the latest lower bound on the time of sending of any heartbeat. A dated heartbeat
    /// echoes a message of this node and so shows that a member has received it.
    pub fn last_dated(&self) -> Option<Instant> {
        self.last_dated
    }

    /// Makes the digest of the zone; `own` is this node's entry.
    pub fn digest(
        &self,
        now: Instant,
        origin: DigestOrigin<'_>,
        own: (NodeId, HeartbeatRecord),
    ) -> ZoneDigest {
        let mut counter = DigestCounter::default();
        for &node in origin.members {
            let Some(member) = origin.view.member(node) else {
                continue;
            };
            let heartbeat = if node == own.0 {
                Some(&own.1)
            } else {
                self.record_of(node, member.incarnation)
            };
            let is_silent =
                node != own.0 && self.silence(now, node, member.incarnation) > SUSPICION_TIMEOUT;
            counter.add(now, node, heartbeat, is_silent);
        }
        counter.finish(now, origin)
    }

    /// Drops all heartbeats after a process pause and restarts the measurement of silence, so that
    /// no member is presumed failed because of the pause.
    pub fn reset(&mut self, now: Instant) {
        self.heartbeats.clear();
        self.last_dated = None;
        if self.relay_since.is_some() {
            self.relay_since = Some(now);
        }
    }

    /// Drops the heartbeats and joins of the nodes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.heartbeats.retain(|node, _| keep(*node));
        self.joined.retain(|node, _| keep(*node));
    }

    fn record_of(&self, node: NodeId, incarnation: Incarnation) -> Option<&HeartbeatRecord> {
        self.heartbeats
            .get(&node)
            .filter(|heartbeat| heartbeat.incarnation == incarnation)
    }
}

#[derive(Debug, Default)]
struct DigestCounter {
    oldest: Option<Instant>,
    views: BTreeMap<u64, u16>,
    policies: BTreeMap<u64, u16>,
    policy_of: Vec<(NodeId, PolicyVersion)>,
    silent: Vec<NodeId>,
}

impl DigestCounter {
    fn add(
        &mut self,
        now: Instant,
        node: NodeId,
        heartbeat: Option<&HeartbeatRecord>,
        is_silent: bool,
    ) {
        if is_silent && self.silent.len() < MAX_LISTED_NODES {
            self.silent.push(node);
        }
        let Some(heartbeat) = heartbeat else {
            return;
        };
        *self.policies.entry(heartbeat.policy.0).or_default() += 1;
        self.policy_of.push((node, heartbeat.policy));
        let Some(sent) = heartbeat
            .sent
            .filter(|sent| now.saturating_since(*sent) <= MAX_HEARTBEAT_AGE)
        else {
            return;
        };
        *self.views.entry(heartbeat.view.0).or_default() += 1;
        self.oldest = Some(self.oldest.map_or(sent, |oldest| oldest.min(sent)));
    }

    fn finish(self, now: Instant, origin: DigestOrigin<'_>) -> ZoneDigest {
        let highest = self.policies.keys().next_back().copied().unwrap_or(0);
        let lagging = self
            .policy_of
            .iter()
            .filter(|(_, policy)| policy.0 < highest)
            .map(|(node, _)| *node)
            .take(MAX_LISTED_NODES)
            .collect();
        ZoneDigest {
            zone: origin.zone,
            rank: origin.rank,
            view: origin.view.version,
            age_millis: age_millis(now, self.oldest),
            views: most_frequent(self.views),
            policies: most_frequent(self.policies),
            silent: self.silent,
            lagging,
        }
    }
}

fn most_frequent(counts: BTreeMap<u64, u16>) -> Vec<VersionCount> {
    let mut counts: Vec<_> = counts
        .into_iter()
        .map(|(version, members)| VersionCount { version, members })
        .collect();
    counts.sort_by_key(|count| std::cmp::Reverse(count.members));
    counts.truncate(MAX_VERSION_COUNTS);
    counts
}
