//! Calls that back ends make through their nodes.

use std::time::Duration;

use bytes::Bytes;
use rillgap_core::event::Event;
use rillgap_core::id::CallToken;
use rillgap_core::request::{InboundRequest, Origin, RequestHead};

use super::back_end::Stage;
use super::back_end_drive::STATUS_CALL_FAILED;
use super::body;
use super::event::{AnswerPart, BackEndIndex, ExecutionIndex, SimulationEvent};
use super::ledger::{Asker, Call, CallIndex, Told};
use super::trace::Trace;
use super::world::{InboundOwner, MACHINE_LATENCY, World};
use crate::model::scenario::TokenUse;

/// Length of the body of a call.
const CALL_BODY_BYTES: usize = 64;
/// Bits of a call's tag that hold its position in the route.
const POSITION_BITS: u32 = 8;
/// Marks tags of calls, so that they differ from those of callers.
const CALL_TAG: u64 = 1 << 63;

impl World {
    /// Makes the next call of a route, or goes on with the work if there is none.
    pub(super) fn next_call(&mut self, back_end: BackEndIndex, execution: ExecutionIndex) {
        let Some(work) = self.back_ends[back_end].running.get_mut(&execution) else {
            return;
        };
        let route = &self.scenario.routes[self.ledger.executions[execution].route];
        if work.call_position < route.calls.len() {
            work.stage = Stage::Calling;
            self.make_call(back_end, execution);
        } else {
            work.stage = Stage::After;
            self.schedule_half(back_end, execution);
        }
    }

    fn make_call(&mut self, back_end: BackEndIndex, execution: ExecutionIndex) {
        let scenario = std::sync::Arc::clone(&self.scenario);
        let route = &scenario.routes[self.ledger.executions[execution].route];
        let call = self.ledger.calls.len();
        let stale_token = self.back_ends[back_end].stale_token;
        let Some(work) = self.back_ends[back_end].running.get_mut(&execution) else {
            return;
        };
        let model = &route.calls[work.call_position];
        work.calls_made += 1;
        work.call = Some(call);
        work.received.clear();
        work.received_status = 0;
        let number = work.calls_made;
        let token = match model.token {
            TokenUse::Valid => Some(work.token),
            TokenUse::Missing => None,
            TokenUse::Stale => Some(stale_token.unwrap_or(CallToken(0))),
        };
        self.ledger.calls.push(Call {
            execution,
            position: work.call_position,
            repeat: work.call_repeat,
            token_valid: model.token == TokenUse::Valid,
            sent: self.time,
            told: Told::Nothing,
        });
        let tag = call_tag(execution, work.call_position);
        let request = self.call_request(execution, call, tag, token, model);
        self.send_call(back_end, execution, number, request);
        if model.timeout_millis > 0 {
            let event = SimulationEvent::CallTimeout {
                execution,
                call: number,
            };
            self.schedule(Duration::from_millis(model.timeout_millis), event);
        }
    }

    fn call_request(
        &self,
        execution: ExecutionIndex,
        call: CallIndex,
        tag: u64,
        token: Option<CallToken>,
        model: &crate::model::scenario::CallModel,
    ) -> InboundRequest {
        let trace = Trace {
            root: self.ledger.executions[execution].root,
            asker: Asker::BackEnd(call),
        };
        InboundRequest {
            origin: Origin::LocalBackEnd { token },
            service: model.service.clone(),
            head: RequestHead {
                method: model.method.clone(),
                path: model.path.clone(),
                headers: vec![trace.header()],
            },
            body: Bytes::from(body::build(tag, CALL_BODY_BYTES)),
            key: None,
            timeout: None,
        }
    }

    fn send_call(
        &mut self,
        back_end: BackEndIndex,
        execution: ExecutionIndex,
        call: u32,
        request: InboundRequest,
    ) {
        let host = self.host_of(back_end);
        if self.hosts[host].node.is_none() {
            let part = AnswerPart::Lost;
            let event = SimulationEvent::CallAnswer {
                execution,
                call,
                part,
            };
            self.schedule(MACHINE_LATENCY, event);
            return;
        }
        let inbound = self.draw_inbound(InboundOwner::Call { execution, call });
        if let Some(work) = self.back_ends[back_end].running.get_mut(&execution) {
            work.inbound = Some(inbound);
        }
        let run = self.hosts[host].run;
        self.tell_node(back_end, run, Event::Inbound { inbound, request });
    }

    /// Takes in a part of the answer to a call.
    pub(super) fn on_call_answer(
        &mut self,
        execution: ExecutionIndex,
        call: u32,
        part: AnswerPart,
    ) {
        let back_end = self.ledger.executions[execution].back_end;
        let Some(work) = self.back_ends[back_end].running.get_mut(&execution) else {
            return;
        };
        if work.stage != Stage::Calling || work.calls_made != call {
            return;
        }
        match part {
            AnswerPart::Head(head) => work.received_status = head.status,
            AnswerPart::Body(chunk) => {
                work.received.extend_from_slice(&chunk);
                let bytes = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
                if let Some(inbound) = work.inbound {
                    let run = self.hosts[self.host_of(back_end)].run;
                    self.tell_node(back_end, run, Event::InboundConsumed { inbound, bytes });
                }
            }
            AnswerPart::End => {
                let tag = call_tag(execution, work.call_position);
                let fault = body::verify(tag, &work.received).err();
                let status = work.received_status;
                self.end_call(back_end, execution, Told::Answer { status, fault });
            }
            AnswerPart::Abort => self.end_call(back_end, execution, Told::Broken),
            AnswerPart::Refused(refusal) => {
                self.end_call(back_end, execution, Told::Refused(refusal.code));
            }
            AnswerPart::Lost => self.end_call(back_end, execution, Told::Lost),
        }
    }

    fn end_call(&mut self, back_end: BackEndIndex, execution: ExecutionIndex, told: Told) {
        let Some(work) = self.back_ends[back_end].running.get_mut(&execution) else {
            return;
        };
        work.inbound = None;
        if let Some(call) = work.call.take() {
            self.ledger.calls[call].told = told;
        }
        if told.succeeded() {
            work.call_position += 1;
            work.call_repeat = 0;
            self.next_call(back_end, execution);
            return;
        }
        let route = &self.scenario.routes[self.ledger.executions[execution].route];
        if work.call_repeat < route.calls[work.call_position].repeats {
            work.call_repeat += 1;
            self.make_call(back_end, execution);
        } else {
            self.begin_answer(back_end, execution, STATUS_CALL_FAILED);
        }
    }

    /// Gives up on a call that was not answered in time.
    pub(super) fn on_call_timeout(&mut self, execution: ExecutionIndex, call: u32) {
        let back_end = self.ledger.executions[execution].back_end;
        let waits = self.back_ends[back_end]
            .running
            .get(&execution)
            .is_some_and(|work| work.stage == Stage::Calling && work.calls_made == call);
        if waits {
            self.abandon_call(back_end, execution);
            self.end_call(back_end, execution, Told::GaveUp);
        }
    }

    /// Tells the node that the back end no longer waits for its present call.
    pub(super) fn abandon_call(&mut self, back_end: BackEndIndex, execution: ExecutionIndex) {
        let work = self.back_ends[back_end].running.get_mut(&execution);
        if let Some(inbound) = work.and_then(|work| work.inbound.take()) {
            let run = self.hosts[self.host_of(back_end)].run;
            self.tell_node(back_end, run, Event::InboundGone { inbound });
        }
    }

    /// Breaks off the calls that back ends have open at a node whose process has ended.
    pub(super) fn drop_calls(&mut self, back_end: BackEndIndex) {
        let open: Vec<(ExecutionIndex, u32)> = self.back_ends[back_end]
            .running
            .iter()
            .filter(|(_, work)| work.stage == Stage::Calling)
            .map(|(execution, work)| (*execution, work.calls_made))
            .collect();
        for (execution, call) in open {
            let part = AnswerPart::Lost;
            let event = SimulationEvent::CallAnswer {
                execution,
                call,
                part,
            };
            self.schedule(MACHINE_LATENCY, event);
        }
    }
}

/// Returns the tag of a call, which repeats of the same call share.
fn call_tag(execution: ExecutionIndex, position: usize) -> u64 {
    CALL_TAG | ((execution as u64) << POSITION_BITS) | position as u64
}
