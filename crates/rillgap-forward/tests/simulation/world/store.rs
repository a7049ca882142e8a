//! Simulates the store: calls, watches, failures and restores from a backup.

use rillgap_core::code::ResultCode;
use rillgap_forward::event::Event;
use rillgap_forward::store_sync::{
    CALL_TIMEOUT, StoreFailure, StoreReply, StoreRequest, StoreRequestId,
};

use crate::scenario::InjectedBug;

use super::*;

/// Milliseconds after which an unanswered store call times out.
const CALL_TIMEOUT_MILLIS: u64 = CALL_TIMEOUT.as_millis() as u64;

impl World {
    pub(super) fn on_store_call(
        &mut self,
        host: usize,
        incarnation: u32,
        id: StoreRequestId,
        request: StoreRequest,
    ) {
        let name = match &request {
            StoreRequest::ListNodes {
                allow_stale: true, ..
            } => "old-list",
            request => request.name(),
        };
        *self.store_calls.entry(name).or_default() += 1;
        if let Some((reply, delay)) = self.store_failure(host) {
            self.reply(host, incarnation, id, reply, delay);
            return;
        }
        let reply = match request {
            StoreRequest::ReadConfiguration => self.configuration_reply(0),
            StoreRequest::WatchConfiguration { after, wait } => {
                if !self.object_store.has_issued(after.revision()) {
                    StoreReply::PositionExpired(self.object_store.epoch())
                } else if self.has_visible_change_after(after.revision()) {
                    self.configuration_reply(after.revision())
                } else {
                    self.next_connection += 1;
                    let watch = self.next_connection;
                    self.watches.insert(watch, (host, incarnation, id, after));
                    self.schedule(
                        self.now + wait.as_millis() as u64,
                        WorldEvent::WatchTimeout(watch),
                    );
                    return;
                }
            }
            StoreRequest::Register(registration) => {
                let is_new = self.object_store.register(self.now, registration);
                let epoch = self.object_store.epoch();
                StoreReply::Registered { epoch, is_new }
            }
            StoreRequest::ListNodes { from, extent, .. } => StoreReply::Nodes {
                epoch: self.object_store.epoch(),
                list: self.object_store.list(from, extent),
            },
            StoreRequest::Unregister { name, incarnation } => {
                self.object_store.unregister(self.now, &name, incarnation);
                StoreReply::Unregistered(self.object_store.epoch())
            }
        };
        if self.store_loses_answers && self.draw(2) == 0 {
            let reply = failed("answer lost");
            self.reply(host, incarnation, id, reply, CALL_TIMEOUT_MILLIS);
            return;
        }
        self.reply(host, incarnation, id, reply, 4);
    }

    pub(super) fn reply(
        &mut self,
        host: usize,
        incarnation: u32,
        id: StoreRequestId,
        reply: StoreReply,
        delay: u64,
    ) {
        let event = Event::Store { request: id, reply };
        self.schedule(self.now + delay, WorldEvent::Node(host, incarnation, event));
    }

    fn visible_version(&self) -> u64 {
        match self.injected_bug {
            InjectedBug::StaleConfiguration => 1,
            _ => self.object_store.version(),
        }
    }

    fn has_visible_change_after(&self, revision: u64) -> bool {
        let is_stale = self.injected_bug == InjectedBug::StaleConfiguration;
        !is_stale && self.object_store.has_changed_after(revision)
    }

    /// Returns how a call of a host to the store fails, and after how many milliseconds.
    fn store_failure(&self, host: usize) -> Option<(StoreReply, u64)> {
        if self.store_down || self.partitioned.contains(&host) {
            return Some((failed("no answer"), CALL_TIMEOUT_MILLIS));
        }
        if self.ignored_watchers.contains(&host) {
            return Some((failed("no answer"), CALL_TIMEOUT_MILLIS));
        }
        let is_refused = self.refused_by_store.contains(&host);
        is_refused.then(|| (failed("busy"), 4))
    }

    pub(super) fn configuration_reply(&self, after: u64) -> StoreReply {
        let is_new = after == 0 || self.has_visible_change_after(after);
        StoreReply::Configuration {
            position: self.object_store.position(),
            configuration: is_new.then(|| configuration(self.visible_version(), self.tenant_limit)),
        }
    }

    /// Restores the store from a backup.
    ///
    /// About half of the watches time out, the others receive a late answer from before the
    /// restore. The operator writes the newest configuration again 200 to 1,200 ms later.
    pub(super) fn restore_from_backup(&mut self, backup_age: u64) {
        let before = self.object_store.position();
        self.object_store
            .restore_to(self.now.saturating_sub(backup_age));
        for (number, (host, incarnation, id, _)) in std::mem::take(&mut self.watches) {
            let late = StoreReply::Configuration {
                position: before,
                configuration: None,
            };
            let (reply, delay) = match number % 2 {
                0 => (failed("no answer"), CALL_TIMEOUT_MILLIS),
                _ => (late, 4),
            };
            self.reply(host, incarnation, id, reply, delay);
        }
        let rewritten_at = self.now + 200 + self.draw(1_000);
        self.schedule(rewritten_at, WorldEvent::Fault(Fault::RewriteConfiguration));
    }

    pub(super) fn answer_watch(
        &mut self,
        host: usize,
        incarnation: u32,
        id: StoreRequestId,
        after: StorePosition,
    ) {
        if let Some((reply, delay)) = self.store_failure(host) {
            self.reply(host, incarnation, id, reply, delay);
            return;
        }
        let reply = self.configuration_reply(after.revision());
        self.reply(host, incarnation, id, reply, 4);
    }

    /// Answers all watches except those of ignored hosts, which remain open.
    pub(super) fn answer_all_watches(&mut self) {
        let ignored_watchers = self.ignored_watchers.clone();
        let watches = std::mem::take(&mut self.watches);
        let (pending, to_answer) = watches
            .into_iter()
            .partition(|(_, (host, ..))| ignored_watchers.contains(host));
        self.watches = pending;
        let to_answer: BTreeMap<u64, (usize, u32, StoreRequestId, StorePosition)> = to_answer;
        for (host, incarnation, id, after) in to_answer.into_values() {
            self.answer_watch(host, incarnation, id, after);
        }
    }
}

fn failed(detail: &str) -> StoreReply {
    StoreReply::Failed(StoreFailure {
        code: ResultCode::StoreUnavailable,
        detail: detail.to_owned(),
    })
}
