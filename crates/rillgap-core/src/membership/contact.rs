//! Which peers answer.

use std::collections::BTreeMap;

use crate::id::NodeId;
use crate::time::Instant;

use super::timing::{PEER_TIMEOUT, SILENT_PEER_RETRY_INTERVAL};

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    unanswered_since: Option<Instant>,
    last_sent: Option<Instant>,
}

/// Record of the peers to which this node speaks.
#[derive(Debug, Default)]
pub struct Contacts {
    peers: BTreeMap<NodeId, Contact>,
}

impl Contacts {
    /// Records that something was sent to a peer which it must answer.
    pub fn sent(&mut self, now: Instant, peer: NodeId) {
        let contact = self.peers.entry(peer).or_default();
        contact.unanswered_since.get_or_insert(now);
        contact.last_sent = Some(now);
    }

    /// Records that a peer answered.
    pub fn answered(&mut self, peer: NodeId) {
        self.peers.entry(peer).or_default().unanswered_since = None;
    }

    /// Records that the run of a peer that the view names has ended.
    pub fn ended(&mut self, now: Instant, peer: NodeId) {
        let contact = self.peers.entry(peer).or_default();
        contact.unanswered_since = Some(now - 2 * PEER_TIMEOUT);
        contact.last_sent = Some(now);
    }

    /// Returns whether a peer has left messages unanswered for long.
    pub fn is_silent(&self, now: Instant, peer: NodeId) -> bool {
        self.peers
            .get(&peer)
            .and_then(|contact| contact.unanswered_since)
            .is_some_and(|since| now.saturating_since(since) > PEER_TIMEOUT)
    }

    /// Returns whether a silent peer is due for another attempt.
    pub fn is_retry_due(&self, now: Instant, peer: NodeId) -> bool {
        self.peers
            .get(&peer)
            .and_then(|contact| contact.last_sent)
            .is_none_or(|sent| now.saturating_since(sent) >= SILENT_PEER_RETRY_INTERVAL)
    }

    /// Returns the first `count` peers of an order that are not silent, and the silent ones
    /// that come before the last of them.
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

    /// Forgets everything.
    pub fn reset(&mut self) {
        self.peers.clear();
    }

    /// Forgets the peers that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.peers.retain(|peer, _| keep(*peer));
    }
}

/// The first peers of an order that answer.
#[derive(Debug, Default)]
pub struct LivePeers {
    /// Peers that answer or were not asked yet.
    pub live: Vec<NodeId>,
    /// Silent peers that rank before the last live one.
    pub silent: Vec<NodeId>,
}
