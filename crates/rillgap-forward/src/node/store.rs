//! Replies of the store, and its restoration from a backup.

use rillgap_core::time::Instant;

use super::Node;
use crate::action::{Action, Actions};
use crate::id::LinkId;
use crate::log_record::LogRecord;
use crate::message::LinkMessage;
use crate::store_epoch::StoreEpoch;
use crate::store_sync::{StoreEvent, StoreReply, StoreRequestId};

impl Node {
    pub(super) fn on_store(
        &mut self,
        now: Instant,
        request: StoreRequestId,
        reply: StoreReply,
        out: &mut Actions,
    ) {
        if let Some(epoch) = reply.epoch() {
            self.observe_epoch(now, epoch, None, out);
        }
        let event = self.store.on_reply(now, request, reply);
        self.log_store(&event, out);
        match event {
            Some(StoreEvent::Configuration(configuration)) => {
                self.apply_configuration(now, configuration, "store", out);
            }
            Some(StoreEvent::Nodes { list, is_complete }) => {
                self.has_full_membership |= is_complete;
                if list.unreadable > 0 {
                    let unreadable = list.unreadable;
                    out.push(Action::Log(LogRecord::UnreadableRecords { unreadable }));
                }
                self.directory.apply_node_list(now, &list);
            }
            _ => {}
        }
        self.apply_store_proof();
    }

    /// Applies the proof of freshness that a reply of the store contains. A store that holds an
    /// older version than the one in force has lost later writes, possibly including a version that
    /// no node has received: its replies prove nothing until it has caught up.
    fn apply_store_proof(&mut self) {
        let Some(proof) = self.store.take_proof() else {
            return;
        };
        let own_version = self.configuration_version();
        if proof.version >= own_version {
            self.freshness
                .record_proof(proof.at, proof.version, own_version);
        }
    }

    /// Records the epoch of the store that the store itself or the peer on link `from` has
    /// reported. A higher epoch means that the store was restored from a backup; it is forwarded to
    /// all peers, since the store may reject calls of some of them.
    pub(super) fn observe_epoch(
        &mut self,
        now: Instant,
        epoch: StoreEpoch,
        from: Option<LinkId>,
        out: &mut Actions,
    ) {
        let before = self.store.epoch();
        if !self.store.observe_epoch(now, epoch) {
            return;
        }
        self.freshness.on_store_restored();
        let peer = from.map(|link| self.peer_name(link));
        out.push(Action::Log(LogRecord::StoreRestored {
            before: before.unwrap_or_default(),
            epoch,
            configuration: self.configuration_version(),
            peer,
        }));
        self.broadcast(&LinkMessage::StoreEpoch(epoch), out);
    }

    /// Logs when the store becomes unavailable or available again.
    fn log_store(&mut self, event: &Option<StoreEvent>, out: &mut Actions) {
        let failure = match event {
            Some(StoreEvent::Failed { call, failure }) => Some((*call, failure.clone())),
            _ => None,
        };
        if failure.is_some() == self.store_is_up {
            self.store_is_up = failure.is_none();
            out.push(Action::Log(LogRecord::Store { failure }));
        }
    }
}
