//! Begins and ends the faults of a scenario.

use rillgap_core::event::Event;
use rillgap_core::id::{BackEndName, NodeName, ZoneName};
use rillgap_core::policy::BackEndState;

use super::event::{BackEndIndex, HostIndex, SimulationEvent};
use super::ledger::HostRecordKind;
use super::operator::Wish;
use super::options::PlantedFault;
use super::world::World;
use crate::model::fault::Fault;
use crate::model::scenario::Bootstrap;
use rillgap_core::time::Instant;

impl World {
    /// Lets an operator apply the first policy where nodes take it from the store.
    pub(super) fn bootstrap(&mut self) {
        if self.scenario.bootstrap == Bootstrap::Store {
            let host = self.entry_nodes[0][0];
            let wish = Wish::FirstPolicy(self.policy.clone());
            self.begin_change(wish, host);
        }
    }

    /// Schedules all faults of the scenario.
    pub(super) fn schedule_faults(&mut self) {
        let scenario = std::sync::Arc::clone(&self.scenario);
        for (index, timed) in scenario.faults.iter().enumerate() {
            let begin = Instant::from_micros(timed.at_millis * 1_000);
            self.schedule_at(begin, SimulationEvent::FaultBegin { index });
            if timed.for_millis > 0 {
                let end = (timed.at_millis + timed.for_millis) * 1_000;
                let event = SimulationEvent::FaultEnd { index };
                self.schedule_at(Instant::from_micros(end), event);
            }
        }
    }

    /// Begins or ends one fault.
    pub(super) fn on_fault(&mut self, index: usize, begins: bool) {
        let scenario = std::sync::Arc::clone(&self.scenario);
        let fault = &scenario.faults[index].fault;
        self.timeline.record(self.time, "fault", || {
            let verb = if begins { "begins" } else { "ends" };
            format!("{verb}: {fault:?}")
        });
        match fault {
            Fault::KillNode { .. }
            | Fault::FreezeNode { .. }
            | Fault::StopNode { .. }
            | Fault::MachineLeaving { .. } => self.on_node_fault(fault, begins),
            Fault::CutZones { .. } | Fault::CutNode { .. } => self.on_cut(fault, begins),
            Fault::StoreDown
            | Fault::StoreSlow { .. }
            | Fault::StoreLosesAnswers
            | Fault::StoreStale
            | Fault::MachineListStuck => self.on_platform_fault(fault, begins),
            Fault::SlowService { .. }
            | Fault::KillBackEnd { .. }
            | Fault::SilenceBackEnd { .. }
            | Fault::AnnounceLeaving { .. } => self.on_back_end_fault(fault, begins),
            Fault::Surge { caller, factor } => self.surge(caller.as_deref(), *factor, begins),
            Fault::DrainBackEnd { back_end, through } => self.drain(back_end, through, begins),
            Fault::ApplyPolicy {
                through,
                queue_millis,
            } => {
                if let (true, Some(host)) = (begins, self.host_index(through)) {
                    self.begin_change(Wish::QueueBound(*queue_millis), host);
                }
            }
        }
    }

    fn host_index(&self, name: &NodeName) -> Option<HostIndex> {
        self.hosts_by_id.get(&name.id()).copied()
    }

    fn on_node_fault(&mut self, fault: &Fault, begins: bool) {
        let (Fault::KillNode { node }
        | Fault::FreezeNode { node }
        | Fault::StopNode { node }
        | Fault::MachineLeaving { node }) = fault
        else {
            return;
        };
        let Some(host) = self.host_index(node) else {
            return;
        };
        match (fault, begins) {
            (Fault::KillNode { .. }, true) => self.kill_node(host),
            (Fault::KillNode { .. } | Fault::StopNode { .. }, false) => self.restart_node(host),
            (Fault::StopNode { .. }, true) => self.stop_node(host),
            (Fault::FreezeNode { .. }, true) => self.freeze_node(host),
            (Fault::FreezeNode { .. }, false) => self.thaw_node(host),
            (_, leaving) => self.on_machine_leaving(host, leaving),
        }
    }

    fn on_machine_leaving(&mut self, host: HostIndex, leaving: bool) {
        let listed = self.hosts[host].node.is_some();
        self.on_machine_list(host, listed, leaving);
        if let Some(back_end) = self.hosts[host].back_end {
            self.change_leaving(back_end, leaving);
        }
    }

    fn change_leaving(&mut self, back_end: BackEndIndex, leaving: bool) {
        if leaving {
            self.begin_leaving(back_end);
        } else {
            self.end_leaving(back_end);
        }
    }

    fn kill_node(&mut self, host: HostIndex) {
        if self.hosts[host].node.take().is_none() {
            return;
        }
        self.hosts[host].backlog.clear();
        self.record_host(host, HostRecordKind::Killed);
        self.drop_links(host);
        self.drop_callers(host);
        if let Some(back_end) = self.hosts[host].back_end {
            self.drop_calls(back_end);
        }
        self.schedule_machine_entry(host, false, false);
    }

    fn restart_node(&mut self, host: HostIndex) {
        if self.hosts[host].node.is_some() {
            // A planned stop that has not come to its end is cut short by the replacement.
            self.kill_node(host);
        }
        self.start_node(host);
    }

    fn stop_node(&mut self, host: HostIndex) {
        if self.hosts[host].node.is_none() {
            return;
        }
        self.record_host(host, HostRecordKind::Stopping);
        self.hosts[host].stopping = true;
        if self.options.planted == Some(PlantedFault::StopAtOnce) {
            self.exit(host);
            return;
        }
        let run = self.hosts[host].run;
        self.node_event(host, run, Event::Stop);
    }

    fn freeze_node(&mut self, host: HostIndex) {
        if self.hosts[host].is_awake() {
            self.hosts[host].frozen = true;
            self.record_host(host, HostRecordKind::Frozen);
        }
    }

    fn thaw_node(&mut self, host: HostIndex) {
        if !self.hosts[host].frozen {
            return;
        }
        self.hosts[host].frozen = false;
        self.record_host(host, HostRecordKind::Thawed);
        let run = self.hosts[host].run;
        for event in std::mem::take(&mut self.hosts[host].backlog) {
            self.node_event(host, run, event);
        }
        self.node_event(host, run, Event::Wake);
    }

    fn on_cut(&mut self, fault: &Fault, begins: bool) {
        for (from, to) in self.cut_pairs(fault) {
            self.network.cut(from, to, begins);
            if !begins {
                self.resume_link(from, to);
            }
        }
    }

    /// Returns the directions between hosts that a fault cuts.
    fn cut_pairs(&self, fault: &Fault) -> Vec<(HostIndex, HostIndex)> {
        let mut pairs = Vec::new();
        for from in 0..self.hosts.len() {
            for to in 0..self.hosts.len() {
                if from != to && self.is_cut_by(fault, from, to) {
                    pairs.push((from, to));
                }
            }
        }
        pairs
    }

    fn is_cut_by(&self, fault: &Fault, from: HostIndex, to: HostIndex) -> bool {
        match fault {
            Fault::CutZones {
                from: sender,
                to: receiver,
                one_way,
            } => {
                let forward = self.crosses(sender, receiver.as_ref(), from, to);
                let backward = self.crosses(sender, receiver.as_ref(), to, from);
                forward || (!one_way && backward)
            }
            Fault::CutNode { node, one_way } => {
                let (sends, receives) =
                    (self.hosts[from].name == *node, self.hosts[to].name == *node);
                receives || (sends && !one_way)
            }
            _ => false,
        }
    }

    fn crosses(
        &self,
        sender: &ZoneName,
        receiver: Option<&ZoneName>,
        from: HostIndex,
        to: HostIndex,
    ) -> bool {
        let zones = &self.scenario.network.zones;
        let (from_zone, to_zone) = (&zones[self.hosts[from].zone], &zones[self.hosts[to].zone]);
        let reaches = receiver.map_or(to_zone != sender, |receiver| to_zone == receiver);
        from_zone == sender && reaches
    }

    fn on_platform_fault(&mut self, fault: &Fault, begins: bool) {
        let count = |value: u16| {
            if begins {
                value + 1
            } else {
                value.saturating_sub(1)
            }
        };
        let platform = &mut self.platform;
        match fault {
            Fault::StoreDown => platform.down = count(platform.down),
            Fault::StoreLosesAnswers => platform.loses_answers = count(platform.loses_answers),
            Fault::StoreStale => platform.set_stale(begins),
            Fault::StoreSlow { extra_millis } => {
                platform.extra_micros = if begins { extra_millis * 1_000 } else { 0 };
            }
            Fault::MachineListStuck => {
                platform.list_stuck = count(platform.list_stuck);
                for (node, entry) in std::mem::take(&mut platform.held_entries) {
                    platform.set_machine(node, entry);
                }
            }
            _ => {}
        }
        self.wake_store_waiters();
    }

    fn on_back_end_fault(&mut self, fault: &Fault, begins: bool) {
        if let Fault::SlowService { service, factor } = fault {
            if let Some(index) = self.scenario.service_index(service) {
                self.slowdowns[index] *= if begins { *factor } else { 1.0 / factor };
            }
            return;
        }
        let (Fault::KillBackEnd { back_end }
        | Fault::SilenceBackEnd { back_end }
        | Fault::AnnounceLeaving { back_end }) = fault
        else {
            return;
        };
        let Some(index) = self.back_end_index(back_end) else {
            return;
        };
        match fault {
            Fault::KillBackEnd { .. } if begins => self.kill_back_end(index),
            Fault::KillBackEnd { .. } => self.start_back_end(index),
            Fault::SilenceBackEnd { .. } if begins => self.back_ends[index].silent += 1,
            Fault::SilenceBackEnd { .. } => self.back_ends[index].silent -= 1,
            _ => self.announce_leaving(index, begins),
        }
    }

    fn announce_leaving(&mut self, back_end: BackEndIndex, leaving: bool) {
        self.change_leaving(back_end, leaving);
        self.back_ends[back_end].leaving = leaving;
        if self.options.planted != Some(PlantedFault::LeavingUnheard) {
            let run = self.hosts[self.host_of(back_end)].run;
            self.tell_node(back_end, run, Event::BackEndAnnounced { leaving });
        }
    }

    fn surge(&mut self, caller: Option<&str>, factor: f64, begins: bool) {
        let factor = if begins { factor } else { 1.0 / factor };
        for group in 0..self.scenario.callers.len() {
            if caller.is_none_or(|name| self.scenario.callers[group].name == name) {
                self.change_rate(group, factor);
            }
        }
    }

    fn drain(&mut self, back_end: &BackEndName, through: &NodeName, begins: bool) {
        let (Some(host), Some(index)) = (self.host_index(through), self.back_end_index(back_end))
        else {
            return;
        };
        let state = if begins {
            BackEndState::Leaving
        } else {
            self.end_leaving(index);
            BackEndState::Serving
        };
        self.begin_change(Wish::BackEndState(back_end.clone(), state), host);
    }
}
