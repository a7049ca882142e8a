//! Faults, and what processes do at them.

use rillgap_forward::event::Event;
use rillgap_forward::node::Node;
use rillgap_forward::store_sync::StoreReply;

use crate::day::Planted;

use super::*;

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(host) => self.stop_process(host, true),
            Fault::PowerOff(host) => {
                self.stop_process(host, false);
                self.crash_back_end(host);
                self.at(self.now + 1_000, Happening::BackEndStarts(host));
            }
            Fault::Start(host) => self.start_process(host),
            Fault::Freeze(host, until) => self.hosts[host].frozen_until = until,
            Fault::Suspend(host, until) => {
                let entry = &mut self.hosts[host];
                let suspended_from = self.now.max(entry.frozen_until);
                if self.planted == Planted::StandingClock {
                    entry.clock_lag += until.saturating_sub(suspended_from);
                }
                entry.frozen_until = entry.frozen_until.max(until);
            }
            Fault::Cut(host, true) => {
                self.cut.insert(host);
            }
            Fault::Cut(host, false) => self.heal(host),
            Fault::StoreDown(down) => {
                self.store_down = down;
                if down {
                    self.answer_all_watches();
                }
            }
            Fault::StoreRefuses(host, true) => {
                self.refused.insert(host);
            }
            Fault::StoreRefuses(host, false) => {
                self.refused.remove(&host);
            }
            Fault::StoreLossy(lossy) => self.store_lossy = lossy,
            Fault::Compact => {
                for (_, (host, run, id, _)) in std::mem::take(&mut self.watches) {
                    let gone = StoreReply::PositionExpired(self.object_store.epoch());
                    self.reply(host, run, id, gone, 4);
                }
            }
            Fault::StoreReturns(copy_age) => self.return_from_copy(copy_age),
            Fault::WriteAgain => {
                self.object_store.configure(self.now, self.stored_version);
                self.answer_all_watches();
            }
            Fault::Crash(host) => {
                self.crash_back_end(host);
                self.at(self.now + 2_000, Happening::BackEndStarts(host));
            }
            Fault::Drain(host) => {
                let back_end = &mut self.hosts[host].back_end;
                back_end.is_draining |= back_end.is_alive;
            }
            Fault::Stop(host) => {
                let run = self.hosts[host].run;
                self.node_event(host, run, Event::Stop);
            }
            Fault::Configure => {
                if !self.store_down {
                    self.stored_version += 1;
                    self.stored_at = self.now;
                    self.object_store.configure(self.now, self.stored_version);
                    self.judge.stored(self.now, self.stored_version);
                    if self.planted != Planted::StaleConfiguration {
                        self.answer_all_watches();
                    }
                }
            }
            Fault::StoreIgnoresWatchers => {
                let watching = self.watches.values().map(|(host, ..)| *host);
                self.ignored = watching.collect();
            }
            Fault::LoseAnswers(host, percent) => {
                self.hosts[host].back_end.lose_percent = percent;
            }
            Fault::FailRequests(host, percent) => {
                self.hosts[host].back_end.fail_percent = percent;
            }
            Fault::Slow(host, times) => self.hosts[host].back_end.slowness = times,
        }
    }

    pub(super) fn stop_process(&mut self, host: usize, is_told: bool) {
        let entry = &mut self.hosts[host];
        if entry.node.take().is_none() {
            return;
        }
        entry.run += 1;
        entry.calls.clear();
        entry.callers.clear();
        // Its connections to the back end are closed, and work on them is dropped.
        entry.back_end.works.clear();
        if is_told {
            self.close_links_of(host);
        }
    }

    pub(super) fn close_links_of(&mut self, host: usize) {
        let open: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, known)| known.is_open)
            .filter(|(_, known)| known.opener.0 == host || known.acceptor.0 == host)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.close(id);
        }
    }

    pub(super) fn start_process(&mut self, host: usize) {
        if self.hosts[host].node.is_some() {
            return;
        }
        // What peers still hold of an earlier run is reset.
        self.close_links_of(host);
        let seed = self.draw(u64::from(u32::MAX));
        let now = self.clock(host);
        let entry = &mut self.hosts[host];
        entry.run += 1;
        entry.version = 0;
        entry.waking_at = u64::MAX;
        entry.node = Some(Node::new(now, settings(host, entry.run, seed)));
        let run = entry.run;
        self.node_event(host, run, Event::Wake);
    }

    pub(super) fn heal(&mut self, host: usize) {
        self.cut.remove(&host);
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        for id in ids {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let (opener, acceptor) = (connection.opener.0, connection.acceptor.0);
            if !connection.is_open || connection.held.is_empty() {
                continue;
            }
            if self.cut.contains(&opener) || self.cut.contains(&acceptor) {
                continue;
            }
            for (to_opener, message) in std::mem::take(&mut connection.held) {
                self.transmit(id, to_opener, message);
            }
        }
    }
}
