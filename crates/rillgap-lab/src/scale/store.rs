//! The platform as the fleet sees it: the simulation's stand-in behind a latency.

use std::time::Duration;

use rillgap_core::event::Event;
use rillgap_core::store::{StoreReply, StoreRequest, StoreRequestId};

use super::fleet::{Fleet, FleetEvent};
use crate::sim::platform::Handling;

/// One-way latency of the platform, as if it were in another region for everybody.
const LATENCY: Duration = Duration::from_millis(30);
/// Longest wait of a blocking query.
const WAIT: Duration = Duration::from_secs(55);
/// Time after which a request to a platform that is away fails.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the machine list takes in changes.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

impl Fleet {
    /// Sends a request to the platform.
    pub(super) fn send_to_store(
        &mut self,
        host: usize,
        run: u32,
        request: StoreRequestId,
        body: StoreRequest,
    ) {
        let event = FleetEvent::StoreRequest {
            host,
            run,
            request,
            body,
        };
        self.schedule(LATENCY, event);
    }

    /// Gives up a request to the platform.
    pub(super) fn cancel_store(&mut self, host: usize, run: u32, request: StoreRequestId) {
        self.schedule(LATENCY, FleetEvent::StoreCancel { host, run, request });
    }

    pub(super) fn on_store_cancel(&mut self, host: usize, run: u32, request: StoreRequestId) {
        if let Some(waiter) = self.platform.take_waiter_of(host, run, request) {
            self.store_meter.watch_ended(waiter.id);
        }
    }

    pub(super) fn on_store_request(
        &mut self,
        host: usize,
        run: u32,
        request: StoreRequestId,
        body: StoreRequest,
    ) {
        self.store_meter.request(self.time, host);
        if self.platform.down > 0 || self.network.is_cut_from_platform(host) {
            self.reply(host, run, request, StoreReply::Failed, TIMEOUT);
            return;
        }
        let is_write = matches!(body, StoreRequest::CompareAndSet { .. });
        if let StoreRequest::CompareAndSet { value, .. } = &body {
            self.store_meter.writes += 1;
            self.charge_store(host, value.len());
        }
        match self.platform.handle(&body) {
            Handling::Waits => {
                let waiter = self.platform.wait(host, run, request, body);
                let region = self.layout.place(host).region;
                self.store_meter.watch_began(waiter, host, region);
                self.schedule(WAIT, FleetEvent::StoreWaitOver { waiter });
            }
            Handling::Reply(reply) => {
                self.store_meter.conflicts += u64::from(reply == StoreReply::Conflict);
                self.reply(host, run, request, reply, LATENCY);
            }
        }
        if is_write {
            self.wake_store_waiters();
        }
    }

    fn wake_store_waiters(&mut self) {
        for (waiter, reply) in self.platform.take_ready() {
            self.store_meter.watch_ended(waiter.id);
            self.reply(waiter.host, waiter.run, waiter.request, reply, LATENCY);
        }
    }

    fn reply(
        &mut self,
        host: usize,
        run: u32,
        request: StoreRequestId,
        reply: StoreReply,
        delay: Duration,
    ) {
        self.charge_store(host, reply_size(&reply));
        let event = Event::Store { request, reply };
        self.schedule(delay, FleetEvent::Local { host, run, event });
    }

    fn charge_store(&mut self, host: usize, bytes: usize) {
        self.store_meter.bytes += bytes as u64;
        self.hosts[host].meter.store.add(bytes as u64);
    }

    pub(super) fn on_store_wait_over(&mut self, waiter: u64) {
        let Some(waiter) = self.platform.take_waiter(waiter) else {
            return;
        };
        self.store_meter.watch_ended(waiter.id);
        let is_away = self.platform.down > 0 || self.network.is_cut_from_platform(waiter.host);
        let reply = if is_away {
            StoreReply::Failed
        } else {
            self.platform.answer_now(&waiter.body)
        };
        self.reply(waiter.host, waiter.run, waiter.request, reply, LATENCY);
    }

    /// Takes the platform away, or brings it back.
    pub fn set_store_away(&mut self, away: bool) {
        self.platform.down = u16::from(away);
    }

    /// Lets the machine list take in which hosts run; it lags.
    pub(super) fn update_machine_list(&mut self) {
        let pending = std::mem::take(&mut self.list_changes);
        let is_changed = !pending.is_empty();
        for host in pending {
            let listed = self.hosts[host].node.is_some();
            let name = self.layout.name(host);
            self.platform.set_machine(name, listed.then_some(false));
        }
        if is_changed {
            self.wake_store_waiters();
        }
        self.schedule(LIST_INTERVAL, FleetEvent::MachineList);
    }
}

fn reply_size(reply: &StoreReply) -> usize {
    match reply {
        StoreReply::Object(object) => object.value.as_ref().map_or(0, Vec::len),
        StoreReply::Machines { machines, .. } => machines
            .iter()
            .map(|machine| machine.node.as_str().len() + 1)
            .sum(),
        StoreReply::Written(_) | StoreReply::Conflict | StoreReply::Failed => 0,
    }
}
