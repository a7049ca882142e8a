//! Operators: changes of policy through chosen nodes, repeated until they are settled.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::event::Event;
use rillgap_core::id::{BackEndName, ChangeId, PolicyVersion};
use rillgap_core::operator::{ChangeState, OperatorReply, OperatorRequest, OperatorRequestId};
use rillgap_core::policy::{BackEndState, Policy};

use super::event::{BackEndIndex, HostIndex, SimulationEvent};
use super::ledger::{Change, Leaving};
use super::world::World;

/// Time between an operator's repeats of a request, and between looks at a pending change.
const STEP: Duration = Duration::from_millis(500);
/// Most steps of one change.
const MAX_STEPS: u32 = 400;
/// Bits of an operator request's identifier that hold the step.
const STEP_BITS: u32 = 16;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// The first policy of the deployment.
    FirstPolicy(Policy),
    /// Another queue bound of all services.
    QueueBound(u32),
    /// Another state of a back end.
    BackEndState(BackEndName, BackEndState),
}

/// A change that an operator works on.
#[derive(Clone, Debug)]
pub struct OperatorTask {
    /// What is wanted.
    pub wish: Wish,
    /// Node through which the operator works.
    pub host: HostIndex,
    /// Identifies the change over all repeats.
    pub change: ChangeId,
    /// Position in the ledger.
    pub record: usize,
    /// Back end that the change drains.
    pub drains: Option<BackEndIndex>,
    /// Policy on which the change is based, once it is known.
    base: Option<Policy>,
    submitted: bool,
    done: bool,
    steps: u32,
}

impl World {
    /// Begins a change.
    pub(super) fn begin_change(&mut self, wish: Wish, host: HostIndex) {
        let drains = match &wish {
            Wish::BackEndState(name, BackEndState::Leaving) => self.back_end_index(name),
            _ => None,
        };
        self.ledger.changes.push(Change {
            host,
            asked: self.time,
            accepted: None,
            reply: None,
        });
        let change = ChangeId((u128::from(self.random.hosts.any()) << 64) | 1);
        let task = self.operator_tasks.len();
        self.operator_tasks.push(OperatorTask {
            wish,
            host,
            change,
            record: self.ledger.changes.len() - 1,
            drains,
            base: None,
            submitted: false,
            done: false,
            steps: 0,
        });
        self.schedule(
            Duration::from_micros(1),
            SimulationEvent::OperatorStep { task },
        );
    }

    /// Returns the position of a back end.
    pub(super) fn back_end_index(&self, name: &BackEndName) -> Option<BackEndIndex> {
        self.back_ends.iter().position(|end| end.name == *name)
    }

    /// Sends the next request of a change and schedules a look at what became of it.
    pub(super) fn on_operator_step(&mut self, task: usize) {
        let state = &mut self.operator_tasks[task];
        if state.done || state.steps >= MAX_STEPS {
            return;
        }
        state.steps += 1;
        let body = state.next_request();
        let request = OperatorRequestId(((task as u64) << STEP_BITS) | u64::from(state.steps));
        let host = state.host;
        let run = self.hosts[host].run;
        let event = Event::Operator { request, body };
        let delay = self.client_latency();
        self.schedule(delay, SimulationEvent::Node { host, run, event });
        self.schedule(STEP, SimulationEvent::OperatorStep { task });
    }

    /// Takes in a node's reply to an operator.
    pub(super) fn reply_to_operator(
        &mut self,
        host: HostIndex,
        request: OperatorRequestId,
        reply: OperatorReply,
    ) {
        let name = self.hosts[host].name.as_str();
        self.timeline
            .record(self.time, name, || format!("operator told {reply:?}"));
        let task = (request.0 >> STEP_BITS) as usize;
        let Some(state) = self.operator_tasks.get_mut(task) else {
            return;
        };
        if state.done {
            return;
        }
        let record = state.record;
        match &reply {
            OperatorReply::Policy(policy) => state.base = Some(policy.clone()),
            OperatorReply::Change { version, state } => {
                let accepted = *state == ChangeState::Accepted;
                self.note_change(task, *version, accepted);
            }
            OperatorReply::Failed { code, .. } => state.on_failure(*code),
            _ => {}
        }
        self.ledger.changes[record].reply = Some(reply);
    }

    fn note_change(&mut self, task: usize, version: PolicyVersion, accepted: bool) {
        let state = &mut self.operator_tasks[task];
        state.submitted = true;
        if !accepted {
            return;
        }
        state.done = true;
        let drains = state.drains;
        self.ledger.changes[state.record].accepted = Some((self.time, version));
        self.highest_accepted = self.highest_accepted.max(version);
        if let Some(back_end) = drains {
            self.begin_leaving(back_end);
        }
    }

    /// Records that a back end is leaving from now on.
    pub(super) fn begin_leaving(&mut self, back_end: BackEndIndex) {
        self.ledger.leavings.push(Leaving {
            back_end,
            from: self.time,
            until: None,
        });
    }

    /// Records that a back end is no longer leaving, or no longer wanted to leave.
    pub(super) fn end_leaving(&mut self, back_end: BackEndIndex) {
        let time = self.time;
        for task in &mut self.operator_tasks {
            task.drains.take_if(|drained| *drained == back_end);
        }
        for leaving in &mut self.ledger.leavings {
            if leaving.back_end == back_end {
                leaving.until.get_or_insert(time);
            }
        }
    }
}

impl OperatorTask {
    fn next_request(&self) -> OperatorRequest {
        let change = self.change;
        if self.submitted {
            return OperatorRequest::GetChange { change };
        }
        match &self.wish {
            Wish::FirstPolicy(policy) => OperatorRequest::ApplyPolicy {
                policy: policy.clone(),
                expected: None,
                change,
            },
            Wish::BackEndState(back_end, state) => OperatorRequest::SetBackEndState {
                back_end: back_end.clone(),
                state: *state,
                change,
            },
            Wish::QueueBound(millis) => match &self.base {
                None => OperatorRequest::GetPolicy,
                Some(base) => OperatorRequest::ApplyPolicy {
                    policy: with_queue_bound(base, *millis),
                    expected: Some(base.version),
                    change,
                },
            },
        }
    }

    /// Begins anew from the newer policy after a conflict; other failures are tried again.
    fn on_failure(&mut self, code: ResultCode) {
        match code {
            ResultCode::VersionConflict => {
                self.base = None;
                self.submitted = false;
            }
            ResultCode::ChangeUnknown => self.submitted = false,
            ResultCode::PolicyInvalid | ResultCode::TargetUnknown => self.done = true,
            _ => {}
        }
    }
}

fn with_queue_bound(base: &Policy, millis: u32) -> Policy {
    let mut policy = base.clone();
    for service in &mut policy.services {
        service.queue_millis = millis;
    }
    policy
}
