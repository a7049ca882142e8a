//! Moves requests through back ends: slots, work and answers.

use std::time::Duration;

use bytes::Bytes;
use rillgap_core::action::BackEndRequest;
use rillgap_core::event::{BackEndFailure, Event};
use rillgap_core::id::AttemptId;
use rillgap_core::request::AnswerHead;

use super::back_end::{Stage, Work};
use super::body;
use super::event::{BackEndIndex, ExecutionIndex, HostIndex, SimulationEvent};
use super::ledger::{Ending, Execution, HostRecordKind};
use super::options::PlantedFault;
use super::trace::Trace;
use super::world::{MACHINE_LATENCY, World};

/// Longest part of an answer's body.
const CHUNK_BYTES: u64 = 16 * 1024;
/// Length of the body of an answer that reports an error.
const ERROR_BODY_BYTES: usize = 64;
/// Status of success.
const STATUS_OK: u16 = 200;
/// Status of an answer after a call of the back end has failed for good.
pub(super) const STATUS_CALL_FAILED: u16 = 502;

impl World {
    /// Sends a node's request to its back end.
    pub(super) fn call_back_end(&mut self, host: HostIndex, request: BackEndRequest) {
        let Some(back_end) = self.hosts[host].back_end else {
            return;
        };
        let Some(execution) = self.record_execution(host, back_end, &request) else {
            return;
        };
        self.note_stale_dispatch(host);
        let Some(delay) = self.connect(back_end) else {
            self.fail_unstarted(execution, BackEndFailure::NotConnected);
            return;
        };
        let event = SimulationEvent::BackEndReceive {
            back_end,
            execution,
        };
        self.schedule(delay, event);
    }

    fn record_execution(
        &mut self,
        host: HostIndex,
        back_end: BackEndIndex,
        request: &BackEndRequest,
    ) -> Option<ExecutionIndex> {
        let trace = Trace::read(&request.head)?;
        let service = &self.scenario.services[self.back_ends[back_end].service].name;
        let route = self
            .scenario
            .route_index(service, &request.head.method, &request.head.path)?;
        self.dispatched.remove(&request.attempt);
        let execution = self.ledger.executions.len();
        self.ledger.executions.push(Execution {
            root: trace.root,
            asker: trace.asker,
            back_end,
            attempt: request.attempt,
            route,
            arrived: self.time,
            started: None,
            ended: None,
            slot_micros: 0,
        });
        let work = Work::new(request, self.hosts[host].run);
        self.back_ends[back_end].waiting.insert(execution, work);
        self.back_ends[back_end]
            .attempts
            .insert(request.attempt, execution);
        Some(execution)
    }

    fn note_stale_dispatch(&mut self, host: HostIndex) {
        let version = self.hosts[host]
            .node
            .as_ref()
            .map(|node| node.configuration().version());
        if let Some(version) = version
            && version < self.highest_accepted
        {
            self.record_host(host, HostRecordKind::StaleDispatch(version));
        }
    }

    /// Takes a connection; returns the time until the request arrives, or `None` if there is
    /// none to be had.
    fn connect(&mut self, back_end: BackEndIndex) -> Option<Duration> {
        let state = &mut self.back_ends[back_end];
        if !state.alive {
            return None;
        }
        let service = &self.scenario.services[state.service];
        let needed = (state.running.len() + state.waiting.len()) as u32;
        if needed <= state.connections {
            return Some(MACHINE_LATENCY);
        }
        if state.connections >= u32::from(service.connections) {
            return None;
        }
        state.connections += 1;
        Some(MACHINE_LATENCY + Duration::from_micros(service.connect_micros))
    }

    fn fail_unstarted(&mut self, execution: ExecutionIndex, failure: BackEndFailure) {
        let back_end = self.ledger.executions[execution].back_end;
        let state = &mut self.back_ends[back_end];
        let Some(work) = state.waiting.remove(&execution) else {
            return;
        };
        state.attempts.remove(&work.attempt);
        let runs_anyway = self.options.planted == Some(PlantedFault::RefusedRequestsRun);
        let record = &mut self.ledger.executions[execution];
        record.started = runs_anyway.then_some(self.time);
        record.ended = Some((self.time, Ending::NotStarted));
        self.report_failure(back_end, &work, failure);
    }

    fn report_failure(&mut self, back_end: BackEndIndex, work: &Work, failure: BackEndFailure) {
        let event = Event::BackEndFailed {
            attempt: work.attempt,
            failure,
        };
        self.tell_node(back_end, work.node_run, event);
    }

    /// Sends an event from a back end to the node beside it.
    pub(super) fn tell_node(&mut self, back_end: BackEndIndex, run: u32, event: Event) {
        let host = self.host_of(back_end);
        self.schedule(MACHINE_LATENCY, SimulationEvent::Node { host, run, event });
    }

    /// Takes in a request that has reached a back end.
    pub(super) fn on_back_end_receive(
        &mut self,
        back_end: BackEndIndex,
        execution: ExecutionIndex,
    ) {
        let state = &mut self.back_ends[back_end];
        if !state.waiting.contains_key(&execution) {
            return;
        }
        let service = &self.scenario.services[state.service];
        if state.running.len() < usize::from(service.slots) {
            self.begin_work(back_end, execution);
        } else if state.queue.len() < usize::from(service.queue) {
            state.queue.push_back(execution);
        } else {
            self.fail_unstarted(execution, BackEndFailure::Shed);
        }
    }

    fn begin_work(&mut self, back_end: BackEndIndex, execution: ExecutionIndex) {
        let state = &mut self.back_ends[back_end];
        let Some(mut work) = state.waiting.remove(&execution) else {
            return;
        };
        work.stage = Stage::Before;
        state.running.insert(execution, work);
        self.ledger.executions[execution].started = Some(self.time);
        self.timeline.record(self.time, state.name.as_str(), || {
            format!("starts {:?}", self.ledger.executions[execution])
        });
        if self.options.planted == Some(PlantedFault::RequestsRunTwice) {
            let twin = self.ledger.executions[execution].clone();
            self.ledger.executions.push(twin);
        }
        self.schedule_half(back_end, execution);
    }

    /// Schedules the end of one half of the work.
    pub(super) fn schedule_half(&mut self, back_end: BackEndIndex, execution: ExecutionIndex) {
        let state = &self.back_ends[back_end];
        let service = &self.scenario.services[state.service];
        let route = &self.scenario.routes[self.ledger.executions[execution].route];
        let half = route.work_micros as f64 / 2.0;
        let drawn = half / 2.0 + self.random.work.exponential(half / 2.0);
        let cold = state.cold_factor(self.time, service.cold_millis, service.cold_factor);
        let micros = drawn * cold * self.slowdowns[state.service];
        let time = Duration::from_micros(micros as u64 + 1);
        self.schedule(time, SimulationEvent::WorkDone { execution });
    }

    /// Continues after one half of the work.
    pub(super) fn on_work_done(&mut self, execution: ExecutionIndex) {
        let back_end = self.ledger.executions[execution].back_end;
        let stage = self.back_ends[back_end]
            .running
            .get(&execution)
            .map(|work| work.stage);
        match stage {
            Some(Stage::Before) => self.next_call(back_end, execution),
            Some(Stage::After) => self.begin_answer(back_end, execution, STATUS_OK),
            _ => {}
        }
    }

    /// Begins the answer of a request.
    pub(super) fn begin_answer(
        &mut self,
        back_end: BackEndIndex,
        execution: ExecutionIndex,
        status: u16,
    ) {
        let mixed_up = self.options.planted == Some(PlantedFault::AnswersMixedUp);
        let state = &mut self.back_ends[back_end];
        let other_tag = state
            .running
            .iter()
            .find(|(other, _)| **other != execution)
            .map(|(_, work)| work.tag);
        let Some(work) = state.running.get_mut(&execution) else {
            return;
        };
        let route = &self.scenario.routes[self.ledger.executions[execution].route];
        let length = if status == STATUS_OK {
            route.answer_bytes as usize
        } else {
            ERROR_BODY_BYTES
        };
        let tag = if mixed_up { other_tag } else { None }.unwrap_or(work.tag);
        work.stage = Stage::Answering;
        work.status = status;
        work.answer = Bytes::from(body::build(tag, length));
        let (attempt, run) = (work.attempt, work.node_run);
        let head = AnswerHead {
            status,
            headers: Vec::new(),
        };
        self.tell_node(back_end, run, Event::BackEndHead { attempt, head });
        self.send_body(back_end, execution);
    }

    /// Sends as much of an answer's body as the node has room for.
    fn send_body(&mut self, back_end: BackEndIndex, execution: ExecutionIndex) {
        loop {
            let node_run = self.hosts[self.host_of(back_end)].run;
            let state = &mut self.back_ends[back_end];
            let silent = state.silent > 0;
            let Some(work) = state.running.get_mut(&execution) else {
                return;
            };
            if work.stage != Stage::Answering || work.muted {
                return;
            }
            let (attempt, run) = (work.attempt, work.node_run);
            if work.answer.is_empty() || run != node_run {
                self.tell_node(back_end, run, Event::BackEndEnd { attempt });
                self.end_work(back_end, execution, Ending::Answered);
                return;
            }
            let mut length = CHUNK_BYTES.min(work.credit).min(work.answer.len() as u64);
            if silent {
                work.muted = true;
                length = length.min(work.answer.len() as u64 / 2);
            }
            if length == 0 {
                return;
            }
            work.credit -= length;
            let chunk = work.answer.split_to(length as usize);
            self.tell_node(back_end, run, Event::BackEndBody { attempt, chunk });
        }
    }

    /// Ends a request in a slot and starts the next one.
    pub(super) fn end_work(
        &mut self,
        back_end: BackEndIndex,
        execution: ExecutionIndex,
        ending: Ending,
    ) {
        let state = &mut self.back_ends[back_end];
        let Some(work) = state.running.remove(&execution) else {
            return;
        };
        state.attempts.remove(&work.attempt);
        state.stale_token = Some(work.token);
        let record = &mut self.ledger.executions[execution];
        record.ended = Some((self.time, ending));
        let started = record.started.unwrap_or(self.time);
        let slot_time = self.time.saturating_since(started);
        record.slot_micros = rillgap_core::time::micros(slot_time);
        if let Some(next) = self.back_ends[back_end].queue.pop_front() {
            self.begin_work(back_end, next);
        }
    }

    /// Lets a back end send more of an answer.
    pub(super) fn credit_back_end(&mut self, host: HostIndex, attempt: AttemptId, bytes: u32) {
        if let Some(execution) = self.execution_of(host, attempt) {
            let event = SimulationEvent::BackEndCredit { execution, bytes };
            self.schedule(MACHINE_LATENCY, event);
        }
    }

    fn execution_of(&self, host: HostIndex, attempt: AttemptId) -> Option<ExecutionIndex> {
        let back_end = self.hosts[host].back_end?;
        self.back_ends[back_end].attempts.get(&attempt).copied()
    }

    /// Takes in the word that more of an answer may be sent.
    pub(super) fn on_back_end_credit(&mut self, execution: ExecutionIndex, bytes: u32) {
        let back_end = self.ledger.executions[execution].back_end;
        let state = &mut self.back_ends[back_end];
        let work = match state.running.get_mut(&execution) {
            Some(work) => Some(work),
            None => state.waiting.get_mut(&execution),
        };
        if let Some(work) = work {
            work.credit += u64::from(bytes);
            self.send_body(back_end, execution);
        }
    }

    /// Sends a cancellation to a back end.
    pub(super) fn cancel_back_end(&mut self, host: HostIndex, attempt: AttemptId) {
        if let Some(execution) = self.execution_of(host, attempt) {
            self.schedule(
                MACHINE_LATENCY,
                SimulationEvent::BackEndCancel { execution },
            );
        }
    }

    /// Cancels a request at a back end.
    pub(super) fn on_back_end_cancel(&mut self, execution: ExecutionIndex) {
        let back_end = self.ledger.executions[execution].back_end;
        let state = &mut self.back_ends[back_end];
        if let Some(work) = state.waiting.remove(&execution) {
            state.queue.retain(|queued| *queued != execution);
            state.attempts.remove(&work.attempt);
            self.ledger.executions[execution].ended = Some((self.time, Ending::NotStarted));
            return;
        }
        self.abandon_call(back_end, execution);
        self.end_work(back_end, execution, Ending::Cancelled);
    }

    /// Kills a back end with everything that it runs.
    pub(super) fn kill_back_end(&mut self, back_end: BackEndIndex) {
        self.back_ends[back_end].alive = false;
        let running: Vec<ExecutionIndex> =
            self.back_ends[back_end].running.keys().copied().collect();
        for execution in running {
            self.abandon_call(back_end, execution);
        }
        for (execution, work) in self.back_ends[back_end].clear() {
            let record = &mut self.ledger.executions[execution];
            record.ended = Some((self.time, Ending::Killed));
            self.report_failure(back_end, &work, BackEndFailure::Broken);
        }
    }

    /// Starts a killed back end again, cold.
    pub(super) fn start_back_end(&mut self, back_end: BackEndIndex) {
        let state = &mut self.back_ends[back_end];
        state.alive = true;
        state.run += 1;
        state.started = Some(self.time);
    }
}
