//! Moves requests to the platform and its replies back.

use std::time::Duration;

use rillgap_core::event::Event;
use rillgap_core::store::{StoreReply, StoreRequest, StoreRequestId};

use super::event::{HostIndex, SimulationEvent};
use super::platform::{Handling, describe};
use super::world::World;

impl World {
    /// Sends a node's request to the platform.
    pub(super) fn send_to_store(
        &mut self,
        host: HostIndex,
        request: StoreRequestId,
        body: StoreRequest,
    ) {
        let name = self.hosts[host].name.as_str();
        self.timeline
            .record(self.time, name, || format!("store: {}", describe(&body)));
        let run = self.hosts[host].run;
        let event = SimulationEvent::Store {
            host,
            run,
            request,
            body,
        };
        let delay = self.store_latency();
        self.schedule(delay, event);
    }

    /// Closes the connection of a request that a node has given up.
    pub(super) fn cancel_store(&mut self, host: HostIndex, request: StoreRequestId) {
        let run = self.hosts[host].run;
        self.platform.take_waiter_of(host, run, request);
    }

    fn store_latency(&mut self) -> Duration {
        let base = self.scenario.platform.round_trip_millis * 500;
        let jitter = self.random.hosts.up_to(base);
        let extra = self.platform.extra_micros / 2;
        Duration::from_micros((base + jitter + extra).max(1))
    }

    /// Handles a request that has reached the platform.
    pub(super) fn on_store(
        &mut self,
        host: HostIndex,
        run: u32,
        request: StoreRequestId,
        body: StoreRequest,
    ) {
        if self.platform.down > 0 {
            let timeout = Duration::from_millis(self.scenario.platform.timeout_millis);
            self.reply_from_store(host, run, request, StoreReply::Failed, timeout);
            return;
        }
        let is_write = matches!(body, StoreRequest::CompareAndSet { .. });
        match self.platform.handle(&body) {
            Handling::Waits => {
                let waiter = self.platform.wait(host, run, request, body);
                let wait = Duration::from_millis(self.scenario.platform.wait_millis);
                self.schedule(wait, SimulationEvent::StoreWaitOver { waiter });
            }
            Handling::Reply(reply) => {
                let lost = is_write && self.platform.loses_answers > 0;
                let (reply, delay) = if lost {
                    let timeout = self.scenario.platform.timeout_millis;
                    (StoreReply::Failed, Duration::from_millis(timeout))
                } else {
                    (reply, self.store_latency())
                };
                self.reply_from_store(host, run, request, reply, delay);
            }
        }
        if is_write {
            self.wake_store_waiters();
        }
    }

    pub(super) fn wake_store_waiters(&mut self) {
        for (waiter, reply) in self.platform.take_ready() {
            let delay = self.store_latency();
            self.reply_from_store(waiter.host, waiter.run, waiter.request, reply, delay);
        }
    }

    fn reply_from_store(
        &mut self,
        host: HostIndex,
        run: u32,
        request: StoreRequestId,
        reply: StoreReply,
        delay: Duration,
    ) {
        let event = Event::Store { request, reply };
        self.schedule(delay, SimulationEvent::Node { host, run, event });
    }

    /// Ends the wait of a blocking query.
    pub(super) fn on_store_wait_over(&mut self, waiter: u64) {
        let Some(waiter) = self.platform.take_waiter(waiter) else {
            return;
        };
        let reply = if self.platform.down > 0 {
            StoreReply::Failed
        } else {
            self.platform.answer_now(&waiter.body)
        };
        let delay = self.store_latency();
        self.reply_from_store(waiter.host, waiter.run, waiter.request, reply, delay);
    }

    /// Schedules a change of a host's entry in the machine list, which lags.
    pub(super) fn schedule_machine_entry(&mut self, host: HostIndex, listed: bool, leaving: bool) {
        let lag_millis = self.scenario.platform.list_lag_millis;
        let lag = Duration::from_micros(self.random.hosts.up_to(lag_millis * 1_000) + 1);
        let event = SimulationEvent::MachineList {
            host,
            listed,
            leaving,
        };
        self.schedule(lag, event);
    }

    /// Takes a change into the machine list.
    pub(super) fn on_machine_list(&mut self, host: HostIndex, listed: bool, leaving: bool) {
        let name = self.hosts[host].name.clone();
        self.platform.set_machine(name, listed.then_some(leaving));
        self.wake_store_waiters();
    }
}
