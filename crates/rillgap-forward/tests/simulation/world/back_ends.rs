//! Simulates back ends: executions, calls to other services, heartbeats, draining and crashes.

use rillgap_forward::action::{Action, Exchange};
use rillgap_forward::back_end_notice::{BackEndNotice, RateLimitNotice, RequestRate};
use rillgap_forward::event::{AnnouncedState, Event, ExchangeResult, Heartbeat, ProbeResult};
use rillgap_forward::id::{AnnouncementId, ProbeId};
use rillgap_forward::message::ForwardedAnswer;

use crate::scenario::InjectedBug;

use super::*;

/// Milliseconds after which a back end that a request has crashed restarts.
const CRASH_RESTART_MILLIS: u64 = 3_000;

/// Milliseconds after which a back end sends the second copy of an answer.
const LATE_ANSWER_MILLIS: u64 = 3;

/// Returns the header fields of an answer, which contain its notices for the checker.
fn notice_fields(back_end: &BackEnd) -> Vec<u8> {
    let fields = AnswerNotice {
        instance: back_end.instance.to_string(),
        rate_limit: back_end.rate_limit,
        is_leaving: back_end.states_leaving,
    };
    fields.encode()
}

fn last_part(target: &str) -> &str {
    target.rsplit('/').next().unwrap_or_default()
}

impl World {
    pub(super) fn start_exchange(&mut self, host: usize, incarnation: u32, exchange: &Exchange) {
        let key = ExecutionKey {
            incarnation,
            exchange: exchange.id,
        };
        let result = self.rejection(host, exchange);
        let request = &exchange.request;
        let id = request.request_id.clone();
        if let Some(result) = result {
            if result != ExchangeResult::NotSent {
                self.checker.on_rejected(self.now, &id, service(host));
                self.rejections.insert((host, id));
            }
            let result = match self.injected_bug {
                InjectedBug::FreeRejections => ExchangeResult::NotSent,
                _ => result,
            };
            self.end_exchange(host, &key, result, 1);
            return;
        }
        if self.injected_bug == InjectedBug::StaleRejections
            && self.rejections.contains(&(host, id.clone()))
        {
            let result = ExchangeResult::NotExecuted;
            self.end_exchange(host, &key, result, LATE_ANSWER_MILLIS);
        }
        let back_end = &self.hosts[host].back_end;
        if back_end.executions.len() >= SLOTS as usize {
            self.checker.violations.push(format!(
                "SLOTS {id} exceeds the slots of {}",
                back_end.instance
            ));
        }
        let instance = back_end.instance.clone();
        let label = instance.to_string();
        let run = self
            .checker
            .on_execution_started(self.now, &id, &label, service(host));
        let has_calls = request.target.contains("calls");
        let calls_per_run = if has_calls {
            self.calls_per_run(service(host))
        } else {
            0
        };
        let execution = Execution {
            id,
            instance,
            run,
            calls_made: 0,
            calls_per_run,
            crashes: request.target.contains("crash"),
            item: last_part(&request.target).to_owned(),
        };
        let millis = (5 + self.draw(25)) * self.hosts[host].back_end.slowdown;
        self.hosts[host]
            .back_end
            .executions
            .insert(key.clone(), execution);
        self.schedule(self.now + millis, WorldEvent::WorkDone(host, key));
    }

    /// Returns how an exchange ends that the back end does not begin to execute.
    fn rejection(&mut self, host: usize, exchange: &Exchange) -> Option<ExchangeResult> {
        let back_end = &self.hosts[host].back_end;
        let percent = back_end.reject_percent;
        if !back_end.is_alive {
            Some(ExchangeResult::NotSent)
        } else if back_end.instance.id != exchange.incarnation.id {
            Some(ExchangeResult::WrongInstance)
        } else if percent > 0 && self.draw(100) < percent {
            Some(ExchangeResult::NotExecuted)
        } else {
            None
        }
    }

    /// Continues an execution: crashes the back end, sends the call of the request if it is still
    /// to be made, or answers.
    pub(super) fn on_work_done(&mut self, host: usize, key: &ExecutionKey) {
        let instance = self.hosts[host].back_end.instance.clone();
        let Some(execution) = self.hosts[host].back_end.executions.get_mut(key) else {
            return;
        };
        if execution.instance != instance {
            return;
        }
        if execution.crashes {
            let id = execution.id.clone();
            self.checker.on_crash(self.now, &id);
            self.crash_back_end(host);
            self.schedule(
                self.now + CRASH_RESTART_MILLIS,
                WorldEvent::BackEndStarts(host),
            );
            return;
        }
        if execution.calls_made == execution.calls_per_run {
            let fails = self.draw(100) < self.hosts[host].back_end.fail_percent;
            self.finish_execution(host, key, if fails { 500 } else { 200 });
            return;
        }
        self.send_call(host, key);
    }

    /// Sends the next call of an execution. Each run of a request makes calls of its own.
    fn send_call(&mut self, host: usize, key: &ExecutionKey) {
        let Some(execution) = self.hosts[host].back_end.executions.get_mut(key) else {
            return;
        };
        execution.calls_made += 1;
        let number = execution.run.number * execution.calls_per_run + execution.calls_made;
        let separator = match self.injected_bug {
            InjectedBug::AnonymousCalls => '-',
            _ => '.',
        };
        let id = format!("{}{separator}{number}", execution.id);
        let next = next_service(service(host));
        let target = format!("/{next}/calls/{}", execution.item);
        let caller_run = Some(execution.run);
        let connection = self.send_request(&Sent {
            host,
            id: &id,
            target: &target,
            is_idempotent: true,
            caller_run,
        });
        self.hosts[host].calls.insert(connection, key.clone());
    }

    /// Returns the number of calls that a run of a service makes.
    fn calls_per_run(&self, service: &str) -> u32 {
        match service {
            "front" => 1,
            "middle" => self.middle_calls,
            _ => 0,
        }
    }

    /// Continues an execution whose call was answered: sends the next one, or answers.
    pub(super) fn on_call_answered(&mut self, host: usize, key: &ExecutionKey, status: u16) {
        let executions = &self.hosts[host].back_end.executions;
        let has_more = executions
            .get(key)
            .is_some_and(|execution| execution.calls_made < execution.calls_per_run);
        if status == 200 && has_more {
            self.send_call(host, key);
        } else {
            let percent = self.hosts[host].back_end.late_fail_percent;
            let fails = status != 200 || percent > 0 && self.draw(100) < percent;
            self.finish_execution(host, key, if fails { 500 } else { 200 });
        }
    }

    pub(super) fn finish_execution(&mut self, host: usize, key: &ExecutionKey, status: u16) {
        let lost = self.draw(100) < self.hosts[host].back_end.lost_answer_percent;
        let swapped = self.injected_bug == InjectedBug::SwappedAnswer && self.draw(50) == 0;
        let reports_falsely = self.draw(20) == 0;
        let Some(execution) = self.hosts[host].back_end.executions.remove(key) else {
            return;
        };
        let body = if swapped {
            "another"
        } else {
            execution.id.as_str()
        };
        let result = match self.injected_bug {
            InjectedBug::FalseNotSent if reports_falsely => ExchangeResult::NotSent,
            InjectedBug::FalseNotExecuted if reports_falsely => ExchangeResult::NotExecuted,
            InjectedBug::FalseMisdirected if reports_falsely => ExchangeResult::WrongInstance,
            _ if lost => ExchangeResult::Lost,
            _ => ExchangeResult::Answered(ForwardedAnswer {
                status,
                fields: notice_fields(&self.hosts[host].back_end),
                body: body.as_bytes().to_vec(),
            }),
        };
        self.end_exchange(host, key, result, 1);
    }

    pub(super) fn end_exchange(
        &mut self,
        host: usize,
        key: &ExecutionKey,
        result: ExchangeResult,
        delay: u64,
    ) {
        if matches!(result, ExchangeResult::Answered(_)) {
            self.send_notice(host, key, delay);
        }
        let event = Event::ExchangeEnded {
            exchange: key.exchange,
            result,
        };
        self.schedule(
            self.now + delay,
            WorldEvent::Node(host, key.incarnation, event),
        );
    }

    /// Passes the notices in an answer of the back end to its node.
    fn send_notice(&mut self, host: usize, key: &ExecutionKey, delay: u64) {
        if self.injected_bug == InjectedBug::LostNotices {
            return;
        }
        let back_end = &self.hosts[host].back_end;
        let rate = back_end.rate_limit.map(f64::from);
        let rate = rate.and_then(RequestRate::from_per_second);
        let notice = BackEndNotice {
            rate_limit: rate.map_or(RateLimitNotice::Unlimited, RateLimitNotice::Limited),
            is_leaving: back_end.states_leaving,
            ..BackEndNotice::default()
        };
        let event = Event::BackEndNotice {
            exchange: key.exchange,
            notice,
        };
        let event = WorldEvent::Node(host, key.incarnation, event);
        self.schedule(self.now + delay, event);
    }

    pub(super) fn probe(&mut self, host: usize, incarnation: u32, probe: ProbeId) {
        let back_end = &self.hosts[host].back_end;
        let (result, delay) = if !back_end.is_alive {
            (ProbeResult::Refused, 2)
        } else if back_end.is_draining {
            (ProbeResult::Unhealthy, 2)
        } else {
            let instance = back_end.instance.id.clone();
            (ProbeResult::Healthy { instance }, 2)
        };
        let event = Event::ProbeEnded { probe, result };
        self.schedule(self.now + delay, WorldEvent::Node(host, incarnation, event));
    }

    pub(super) fn start_back_end(&mut self, host: usize) {
        let has_run = self.hosts[host].back_end.start_count > 0;
        if has_run && self.injected_bug == InjectedBug::NoRestarts {
            return;
        }
        let reuses_identifier = self.reuses_identifiers;
        let started_at_millis = reuses_identifier.then_some(self.now);
        let back_end = &mut self.hosts[host].back_end;
        back_end.start_count += 1;
        let generation = back_end.start_count / if reuses_identifier { 2 } else { 1 };
        back_end.instance = Incarnation {
            id: format!("i-{host}-{generation}"),
            started_at_millis,
        };
        back_end.is_alive = true;
        back_end.is_draining = false;
        back_end.is_acknowledged = false;
        back_end.sequence = 0;
        back_end.rate_limit = None;
        back_end.states_leaving = false;
        back_end.executions.clear();
        let instance = back_end.instance.clone();
        self.schedule(self.now, WorldEvent::Heartbeat(host, instance));
    }

    pub(super) fn send_heartbeat(&mut self, host: usize, instance: &Incarnation) {
        // One in ten heartbeats arrives up to 4 s late.
        let delay = if self.draw(10) == 0 {
            self.draw(4_000)
        } else {
            1
        };
        let slots = self.announced_slots();
        let back_end = &mut self.hosts[host].back_end;
        if !back_end.is_alive || back_end.instance != *instance {
            return;
        }
        back_end.sequence += 1;
        let state = if back_end.is_draining {
            AnnouncedState::Draining
        } else {
            AnnouncedState::Ready
        };
        let heartbeat = Heartbeat {
            incarnation: instance.clone(),
            service: service(host).to_owned(),
            address: back_end_address(host).to_string(),
            slots,
            state,
            sequence: back_end.sequence,
        };
        let wait = if back_end.is_draining && !back_end.is_acknowledged {
            300
        } else {
            HEARTBEAT_MILLIS
        };
        self.schedule(
            self.now + delay,
            WorldEvent::HeartbeatArrives(host, heartbeat),
        );
        let instance = instance.clone();
        self.schedule(self.now + wait, WorldEvent::Heartbeat(host, instance));
    }

    /// Returns the number of slots that back ends announce.
    const fn announced_slots(&self) -> u32 {
        match self.injected_bug {
            InjectedBug::ExcessSlots => SLOTS * 4,
            _ => SLOTS,
        }
    }

    pub(super) fn on_heartbeat(&mut self, host: usize, heartbeat: &Heartbeat) {
        let is_draining = heartbeat.state == AnnouncedState::Draining;
        let now = self.clock(host);
        let Some(node) = &mut self.hosts[host].node else {
            return;
        };
        let mut actions = Vec::new();
        let drops_announcement =
            is_draining && self.injected_bug == InjectedBug::LostDrainAnnouncement;
        if !drops_announcement {
            let event = Event::Heartbeat {
                announcement: AnnouncementId(heartbeat.sequence),
                heartbeat: heartbeat.clone(),
            };
            node.handle(now, event, &mut actions);
        }
        let is_accepted = |action: &Action| matches!(action, Action::Acknowledge { is_accepted, .. } if *is_accepted);
        let acknowledged = drops_announcement || actions.iter().any(is_accepted);
        if acknowledged && is_draining {
            let label = heartbeat.incarnation.to_string();
            self.checker.on_drain_acknowledged(self.now, &label);
            let back_end = &mut self.hosts[host].back_end;
            let is_current = back_end.instance == heartbeat.incarnation;
            if is_current && !std::mem::replace(&mut back_end.is_acknowledged, true) {
                let instance = heartbeat.incarnation.clone();
                let end = self.now + DRAINED_SERVING_MILLIS;
                self.schedule(end, WorldEvent::BackEndEnds(host, instance));
            }
        }
        self.after_step(host, actions);
    }

    pub(super) fn end_back_end(&mut self, host: usize, instance: &Incarnation) {
        if self.hosts[host].back_end.instance != *instance {
            return;
        }
        self.crash_back_end(host);
        self.schedule(self.now + 500, WorldEvent::BackEndStarts(host));
    }

    pub(super) fn crash_back_end(&mut self, host: usize) {
        let back_end = &mut self.hosts[host].back_end;
        back_end.is_alive = false;
        let executions: Vec<ExecutionKey> = back_end.executions.keys().cloned().collect();
        back_end.executions.clear();
        for key in executions {
            self.end_exchange(host, &key, ExchangeResult::Lost, 1);
        }
    }
}
