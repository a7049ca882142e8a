//! Tracks which peers answer messages and which are silent.

use std::collections::BTreeMap;

use crate::id::NodeId;
use crate::time::Instant;

use super::timing::{PEER_TIMEOUT, SILENT_PEER_RETRY_INTERVAL};

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    unanswered_since: Option<Instant>,
    last_sent: Option<Instant>,
}

/// Response state of the peers to which this node sends messages.
#[derive(Debug, Default)]
pub struct Contacts {
    peers: BTreeMap<NodeId, Contact>,
}

impl Contacts {
    /// Records that a message which requires an answer was sent to a peer.
    pub fn record_sent(&mut self, now: Instant, peer: NodeId) {
        let contact = self.peers.entry(peer).or_default();
        contact.unanswered_since.get_or_insert(now);
        contact.last_sent = Some(now);
    }

    /// Records an answer of a peer.
    pub fn record_answer(&mut self, peer: NodeId) {
        self.peers.entry(peer).or_default().unanswered_since = None;
    }

    /// Marks a peer as silent because its incarnation in the view has ended.
    pub fn mark_ended(&mut self, now: Instant, peer: NodeId) {
        let contact = self.peers.entry(peer).or_default();
        contact.unanswered_since = Some(now - 2 * PEER_TIMEOUT);
        contact.last_sent = Some(now);
    }

    /// Returns whether a peer has left messages unanswered for longer than [`PEER_TIMEOUT`].
    pub fn is_silent(&self, now: Instant, peer: NodeId) -> bool {
        self.peers
            .get(&peer)
            .and_then(|contact| contact.unanswered_since)
            .is_some_and(|since| now.saturating_since(since) > PEER_TIMEOUT)
    }

    /// Returns whether the next attempt to reach a silent peer is due.
    pub fn is_retry_due(&self, now: Instant, peer: NodeId) -> bool {
        self.peers
            .get(&peer)
            .and_then(|contact| contact.last_sent)
            .is_none_or(|sent| now.saturating_since(sent) >= SILENT_PEER_RETRY_INTERVAL)
    }

    /// Returns the first `count` peers of `order` that are not silent, and the silent peers that
    /// precede the last of them.
    pub fn first_live(&self, now: Instant, order: &[NodeId], count: usize) -> LivePeers {
        let mut peers = LivePeers::default();
        for &peer in order {
            if peers.live.len() == count {
                break;
            }
            if self.is_silent(now, peer) {
                peers.silent.push(peer);
            } else {
                peers.live.push(peer);
            }
        }
        peers
    }

    /// Drops the state of all peers.
    pub fn reset(&mut self) {
        self.peers.clear();
    }

    /// Drops the state of the peers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.peers.retain(|peer, _| keep(*peer));
    }
}

/// Result of [`Contacts::first_live`].
#[derive(Debug, Default)]
pub struct LivePeers {
    /// Peers that are not silent, including those to which nothing was sent yet.
    pub live: Vec<NodeId>,
    /// Silent peers that precede the last live one.
    pub silent: Vec<NodeId>,
}
