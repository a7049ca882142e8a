//! Applies faults, and starts and stops processes.

use rillgap_forward::event::Event;
use rillgap_forward::node::Node;
use rillgap_forward::store_sync::StoreReply;

use crate::scenario::InjectedBug;

use super::*;

/// Milliseconds for which a back end serves after it has begun to state that it is leaving.
const LEAVING_MILLIS: u64 = 5_000;

/// Retries per request that nodes with [`InjectedBug::ExcessRetries`] allow.
const EXCESS_RETRY_RATIO: f64 = 10.0;

impl World {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(host) => self.stop_process(host, true),
            Fault::PowerOff(host) => {
                self.stop_process(host, false);
                self.crash_back_end(host);
                self.schedule(self.now + 1_000, WorldEvent::BackEndStarts(host));
            }
            Fault::Start(host) => self.start_process(host),
            Fault::Pause(host, until) => {
                self.hosts[host].paused_until = until;
                self.checker.on_host_frozen(host);
            }
            Fault::Suspend(host, until) => {
                let entry = &mut self.hosts[host];
                let suspended_from = self.now.max(entry.paused_until);
                if self.injected_bug == InjectedBug::ClockStopsInSuspension {
                    entry.clock_lag += until.saturating_sub(suspended_from);
                }
                entry.paused_until = entry.paused_until.max(until);
                self.checker.on_host_frozen(host);
            }
            Fault::Partition(host, true) => {
                self.checker.on_host_cut(host);
                self.partitioned.insert(host);
            }
            Fault::Partition(host, false) => {
                self.partitioned.remove(&host);
                self.checker.on_host_cut(host);
                self.deliver_delayed();
            }
            Fault::Cut(from, to, true) => {
                self.checker.on_host_cut(from);
                self.checker.on_host_cut(to);
                self.cuts.insert((from, to));
            }
            Fault::Cut(from, to, false) => {
                self.cuts.remove(&(from, to));
                self.checker.on_host_cut(from);
                self.checker.on_host_cut(to);
                self.deliver_delayed();
            }
            Fault::StoreDown(down) => {
                self.store_down = down;
                if down {
                    self.answer_all_watches();
                }
            }
            Fault::StoreRefuses(host, true) => {
                self.refused_by_store.insert(host);
            }
            Fault::StoreRefuses(host, false) => {
                self.refused_by_store.remove(&host);
            }
            Fault::StoreLosesAnswers(loses_answers) => self.store_loses_answers = loses_answers,
            Fault::StoreCompacts => {
                for (_, (host, incarnation, id, _)) in std::mem::take(&mut self.watches) {
                    let expired = StoreReply::PositionExpired(self.object_store.epoch());
                    self.reply(host, incarnation, id, expired, 4);
                }
            }
            Fault::StoreRestored(backup_age) => self.restore_from_backup(backup_age),
            Fault::RewriteConfiguration => {
                self.object_store.configure(self.now, self.stored_version);
                self.answer_all_watches();
            }
            Fault::Crash(host) => {
                self.crash_back_end(host);
                self.schedule(self.now + 2_000, WorldEvent::BackEndStarts(host));
            }
            Fault::Drain(host) => {
                let back_end = &mut self.hosts[host].back_end;
                back_end.is_draining |= back_end.is_alive;
            }
            Fault::Stop(host) => {
                let incarnation = self.hosts[host].incarnation;
                self.node_event(host, incarnation, Event::Stop);
            }
            Fault::Configure => {
                if !self.store_down {
                    self.stored_version += 1;
                    self.stored_at = self.now;
                    self.object_store.configure(self.now, self.stored_version);
                    self.checker
                        .on_configuration_stored(self.now, self.stored_version);
                    if self.injected_bug != InjectedBug::StaleConfiguration {
                        self.answer_all_watches();
                    }
                }
            }
            Fault::StoreIgnores(host, true) => {
                self.ignored_watchers.insert(host);
            }
            Fault::StoreIgnores(host, false) => {
                self.ignored_watchers.remove(&host);
            }
            Fault::StoreIgnoresWatchers => {
                let watching = self.watches.values().map(|(host, ..)| *host);
                self.ignored_watchers = watching.collect();
            }
            Fault::LoseAnswers(host, percent) => {
                self.hosts[host].back_end.lost_answer_percent = percent;
            }
            Fault::FailRequests(host, percent) => {
                self.hosts[host].back_end.fail_percent = percent;
            }
            Fault::FailAfterCalls(host, percent) => {
                self.hosts[host].back_end.late_fail_percent = percent;
            }
            Fault::Reject(host, percent) => self.hosts[host].back_end.reject_percent = percent,
            Fault::Slow(host, times) => self.hosts[host].back_end.slowdown = times,
            Fault::StateRateLimit(host, rate_limit) => {
                let back_end = &mut self.hosts[host].back_end;
                back_end.rate_limit = rate_limit;
                let instance = back_end.instance.to_string();
                self.checker
                    .on_rate_limit_changed(self.now, &instance, rate_limit);
            }
            Fault::StateLeaving(host) => {
                let back_end = &mut self.hosts[host].back_end;
                back_end.states_leaving = true;
                let instance = back_end.instance.clone();
                self.schedule(
                    self.now + LEAVING_MILLIS,
                    WorldEvent::BackEndEnds(host, instance),
                );
            }
        }
    }

    pub(super) fn stop_process(&mut self, host: usize, notifies_peers: bool) {
        let entry = &mut self.hosts[host];
        if entry.node.take().is_none() {
            return;
        }
        entry.incarnation += 1;
        self.checker.on_host_frozen(host);
        let entry = &mut self.hosts[host];
        entry.calls.clear();
        entry.callers.clear();
        entry.unread.clear();
        entry.ends_connections = false;
        // The back end drops the executions of connections that the ended process had opened.
        entry.back_end.executions.clear();
        if notifies_peers {
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
            self.close(id, host);
        }
    }

    pub(super) fn start_process(&mut self, host: usize) {
        if self.hosts[host].node.is_some() {
            return;
        }
        // Resets connections that peers still hold to the previous incarnation.
        self.close_links_of(host);
        let seed = self.draw(u64::from(u32::MAX));
        let now = self.clock(host);
        let entry = &mut self.hosts[host];
        entry.incarnation += 1;
        entry.version = 0;
        entry.wakes_at = u64::MAX;
        let mut settings = settings(host, entry.incarnation, seed);
        match self.injected_bug {
            InjectedBug::ExcessRetries => settings.retry_bound.ratio = EXCESS_RETRY_RATIO,
            InjectedBug::ForgottenRetries => settings.is_first_start = true,
            InjectedBug::UndividedSlack => {
                settings.retry_bound.slack *= u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
            }
            _ => {}
        }
        let entry = &mut self.hosts[host];
        entry.node = Some(Node::new(now, settings));
        let incarnation = entry.incarnation;
        self.node_event(host, incarnation, Event::Wake);
    }

    /// Delivers what was held up by partitions and cuts that have ended.
    fn deliver_delayed(&mut self) {
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        for id in ids {
            let Some(connection) = self.connections.get(&id) else {
                continue;
            };
            let (opener, acceptor) = (connection.opener.0, connection.acceptor.0);
            let to_opener_cut = self.is_cut(acceptor, opener);
            let to_acceptor_cut = self.is_cut(opener, acceptor);
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let is_opener_unaware = connection.unaware_end == Some(connection.opener);
            let is_close_held_up = match is_opener_unaware {
                true => to_opener_cut,
                false => to_acceptor_cut,
            };
            if let Some(end) = connection.unaware_end.take_if(|_| !is_close_held_up) {
                self.notify_closed(end);
                continue;
            }
            if !connection.is_open {
                continue;
            }
            let is_held_up = |to_opener: bool| match to_opener {
                true => to_opener_cut,
                false => to_acceptor_cut,
            };
            let delayed = std::mem::take(&mut connection.delayed_messages);
            let (held_up, due): (Vec<_>, Vec<_>) = delayed
                .into_iter()
                .partition(|(to_opener, _)| is_held_up(*to_opener));
            connection.delayed_messages = held_up;
            for (to_opener, message) in due {
                self.transmit(id, to_opener, message);
            }
        }
    }
}
