//! Back ends: slots, an own queue, connections, cold start and answers in parts.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use rillgap_core::action::BackEndRequest;
use rillgap_core::event::InboundId;
use rillgap_core::id::{AttemptId, BackEndName, CallToken};
use rillgap_core::time::Instant;

use super::event::{ExecutionIndex, HostIndex};
use super::ledger::CallIndex;

/// One back end.
#[derive(Debug)]
pub struct BackEnd {
    /// Name.
    pub name: BackEndName,
    /// Service, by position in the scenario.
    pub service: usize,
    /// Host of the node beside it.
    pub host: HostIndex,
    /// Whether it runs.
    pub alive: bool,
    /// Number of starts so far.
    pub run: u32,
    /// Time of its start, for the cold start.
    pub started: Option<Instant>,
    /// Connections that the node has opened to it.
    pub connections: u32,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Number of faults that keep it from sending anything.
    pub silent: u16,
    /// Requests that wait for a slot.
    pub queue: VecDeque<ExecutionIndex>,
    /// Requests in slots.
    pub running: BTreeMap<ExecutionIndex, Work>,
    /// Executions by attempt, while they last.
    pub attempts: BTreeMap<AttemptId, ExecutionIndex>,
    /// What queued requests will need.
    pub waiting: BTreeMap<ExecutionIndex, Work>,
    /// Token of a call that has ended, which it may send by mistake.
    pub stale_token: Option<CallToken>,
}

/// Progress of one request at a back end.
#[derive(Clone, Debug)]
pub struct Work {
    /// Attempt that it serves.
    pub attempt: AttemptId,
    /// Run of the node that sent it.
    pub node_run: u32,
    /// Token for its own calls.
    pub token: CallToken,
    /// Tag of the requester, which the answer's body must carry.
    pub tag: u64,
    /// Stage that it has reached.
    pub stage: Stage,
    /// Number of calls made so far, repeats included.
    pub calls_made: u32,
    /// Position of the present call in the route.
    pub call_position: usize,
    /// Earlier tries of the present call.
    pub call_repeat: u8,
    /// The present call in the ledger.
    pub call: Option<CallIndex>,
    /// The present call at the node.
    pub inbound: Option<InboundId>,
    /// Body of the present call's answer so far.
    pub received: Vec<u8>,
    /// Status of the present call's answer.
    pub received_status: u16,
    /// Rest of the answer's body.
    pub answer: Bytes,
    /// Status of the answer.
    pub status: u16,
    /// Bytes that may be sent.
    pub credit: u64,
    /// Whether nothing more of the answer will ever be sent.
    pub muted: bool,
}

impl Work {
    /// Begins the record of a request from a run of the node.
    pub fn new(request: &BackEndRequest, node_run: u32) -> Self {
        Self {
            attempt: request.attempt,
            node_run,
            token: request.token,
            tag: super::body::tag(&request.body).unwrap_or_default(),
            stage: Stage::Queued,
            calls_made: 0,
            call_position: 0,
            call_repeat: 0,
            call: None,
            inbound: None,
            received: Vec::new(),
            received_status: 0,
            answer: Bytes::new(),
            status: 0,
            credit: 0,
            muted: false,
        }
    }
}

/// Stages of a request in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// In the back end's own queue.
    Queued,
    /// First half of the work.
    Before,
    /// Waiting for the answer to a call.
    Calling,
    /// Second half of the work.
    After,
    /// Sending the answer.
    Answering,
}

impl BackEnd {
    /// Forgets everything, as a restart does; returns the work that is lost.
    pub fn clear(&mut self) -> Vec<(ExecutionIndex, Work)> {
        self.queue.clear();
        self.attempts.clear();
        self.connections = 0;
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running.into_iter().chain(waiting).collect()
    }

    /// Returns the factor by which the back end is slower just after its start.
    pub fn cold_factor(&self, now: Instant, cold_millis: u64, factor: f64) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age_micros = now.saturating_since(started).as_micros() as f64;
        let cold_micros = cold_millis as f64 * 1_000.0;
        if cold_micros <= age_micros {
            return 1.0;
        }
        1.0 + (factor - 1.0) * (1.0 - age_micros / cold_micros)
    }
}
