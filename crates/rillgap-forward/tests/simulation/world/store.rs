//! The store: configuration, records of nodes, watches, refusals.

use rillgap_core::code::ResultCode;
use rillgap_forward::event::Event;
use rillgap_forward::store_sync::{StoreFailure, StoreReply, StoreRequest, StoreRequestId};

use crate::day::Planted;

use super::*;

/// Milliseconds after which a call that the store ignores is given up.
const UNANSWERED: u64 = 2_000;

impl World {
    pub(super) fn store(
        &mut self,
        host: usize,
        run: u32,
        id: StoreRequestId,
        request: StoreRequest,
    ) {
        if let Some((reply, delay)) = self.store_failure(host) {
            self.reply(host, run, id, reply, delay);
            return;
        }
        let reply = match request {
            StoreRequest::ReadConfiguration => self.configuration_reply(0),
            StoreRequest::WatchConfiguration { after, wait } => {
                if self.visible_version() > after {
                    self.configuration_reply(after)
                } else {
                    self.next_connection += 1;
                    let watch = self.next_connection;
                    self.watches.insert(watch, (host, run, id, after));
                    self.at(
                        self.now + wait.as_millis() as u64,
                        Happening::WatchOver(watch),
                    );
                    return;
                }
            }
            StoreRequest::Register(record) => {
                let before = self.records.insert(record.name.clone(), record);
                StoreReply::Registered {
                    is_new: before.is_none(),
                }
            }
            StoreRequest::ListNodes => StoreReply::Nodes(self.records.values().cloned().collect()),
            StoreRequest::Unregister { name } => {
                self.records.remove(&name);
                StoreReply::Unregistered
            }
        };
        if self.store_lossy && self.draw(2) == 0 {
            let reply = failed("answer lost");
            self.reply(host, run, id, reply, 2_000);
            return;
        }
        self.reply(host, run, id, reply, 4);
    }

    pub(super) fn reply(
        &mut self,
        host: usize,
        run: u32,
        id: StoreRequestId,
        reply: StoreReply,
        delay: u64,
    ) {
        let event = Event::Store { request: id, reply };
        self.at(self.now + delay, Happening::Node(host, run, event));
    }

    pub(super) fn visible_version(&self) -> u64 {
        match self.planted {
            Planted::StaleConfiguration => 1,
            _ => self.stored_version,
        }
    }

    /// Returns how a call of a host to the store fails, and after how many milliseconds.
    fn store_failure(&self, host: usize) -> Option<(StoreReply, u64)> {
        if self.store_down || self.cut.contains(&host) {
            return Some((failed("no answer"), 2_000));
        }
        if self.ignored.contains(&host) {
            return Some((failed("no answer"), UNANSWERED));
        }
        let is_refused = self.refused.contains(&host);
        is_refused.then(|| (failed("busy"), 4))
    }

    pub(super) fn configuration_reply(&self, after: u64) -> StoreReply {
        let version = self.visible_version();
        StoreReply::Configuration {
            position: version,
            configuration: (version > after).then(|| configuration(version)),
        }
    }

    pub(super) fn answer_watch(&mut self, host: usize, run: u32, id: StoreRequestId, after: u64) {
        if let Some((reply, delay)) = self.store_failure(host) {
            self.reply(host, run, id, reply, delay);
            return;
        }
        let reply = self.configuration_reply(after);
        self.reply(host, run, id, reply, 4);
    }

    /// Answers the watches; those of hosts that the store ignores wait on.
    pub(super) fn answer_all_watches(&mut self) {
        let ignored = self.ignored.clone();
        let watches = std::mem::take(&mut self.watches);
        let (unheard, heard) = watches
            .into_iter()
            .partition(|(_, (host, ..))| ignored.contains(host));
        self.watches = unheard;
        let heard: BTreeMap<u64, (usize, u32, StoreRequestId, u64)> = heard;
        for (host, run, id, after) in heard.into_values() {
            self.answer_watch(host, run, id, after);
        }
    }
}

fn failed(detail: &str) -> StoreReply {
    StoreReply::Failed(StoreFailure {
        code: ResultCode::StoreUnavailable,
        detail: detail.to_owned(),
    })
}
