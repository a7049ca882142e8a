//! Callers: arrivals, repeats, giving up, and checks of what they receive.

use std::time::Duration;

use bytes::Bytes;
use rillgap_core::event::{Event, InboundId};
use rillgap_core::id::IdempotencyKey;
use rillgap_core::request::{InboundRequest, Origin, RequestHead};

use super::body;
use super::event::{AnswerPart, HostIndex, RootIndex, SimulationEvent, SubmissionIndex};
use super::host::{SKEW_BASE_MILLIS, wall_time};
use super::ledger::{Asker, Root, Submission, Told};
use super::trace::Trace;
use super::world::{InboundOwner, World};

/// Length of the body of a request.
const REQUEST_BODY_BYTES: usize = 64;

impl World {
    /// Schedules the next arrival of a group.
    pub(super) fn schedule_arrival(&mut self, group: usize) {
        let process = self.arrivals[group];
        let rate = self.scenario.callers[group].rate_per_second * process.factor;
        if rate <= 0.0 {
            return;
        }
        let micros = self.random.arrivals.exponential(1_000_000.0 / rate);
        let event = SimulationEvent::Arrival {
            group,
            generation: process.generation,
        };
        self.schedule(Duration::from_micros(micros as u64), event);
    }

    /// Changes the rate of a group.
    pub(super) fn change_rate(&mut self, group: usize, factor: f64) {
        let process = &mut self.arrivals[group];
        process.factor *= factor;
        process.generation += 1;
        let start = self.scenario.callers_start_millis * 1_000;
        if self.time.as_micros() > start {
            self.schedule_arrival(group);
        }
    }

    /// Begins a new request of a group.
    pub(super) fn on_arrival(&mut self, group: usize, generation: u32) {
        let over = self.time.as_micros() > self.scenario.duration_millis * 1_000;
        if over || self.arrivals[group].generation != generation {
            return;
        }
        let model = &self.scenario.callers[group];
        let route = self
            .scenario
            .route_index(&model.service, &model.method, &model.path);
        let Some(route) = route else {
            return;
        };
        let caller = self.random.callers.up_to(u64::from(model.population) - 1);
        let key = (!self.scenario.routes[route].repeatable).then(|| self.draw_key());
        let root = self.ledger.roots.len();
        self.ledger.roots.push(Root {
            group,
            caller: u32::try_from(caller).unwrap_or(0),
            class: self.scenario.routes[route].class,
            route,
            key,
            created: self.time,
            submissions: Vec::new(),
            completed: None,
        });
        self.submit(root);
        self.schedule_arrival(group);
    }

    /// Draws a UUID of version 7 for the present time.
    fn draw_key(&mut self) -> IdempotencyKey {
        const VERSION: u128 = 7 << 76;
        const VARIANT: u128 = 2 << 62;
        let millis = u128::from(wall_time(self.time, SKEW_BASE_MILLIS).as_millis());
        let random_a = u128::from(self.random.callers.any() & 0xfff) << 64;
        let random_b = u128::from(self.random.callers.any() >> 2);
        IdempotencyKey((millis << 80) | VERSION | random_a | VARIANT | random_b)
    }

    /// Sends a request, for the first time or again.
    pub(super) fn submit(&mut self, root: RootIndex) {
        let host = self.choose_entry(root);
        let submission = self.ledger.submissions.len();
        let record = &mut self.ledger.roots[root];
        record.submissions.push(submission);
        let model = &self.scenario.callers[record.group];
        let patience = Duration::from_millis(model.patience_millis);
        let trace = Trace {
            root,
            asker: Asker::Caller(submission),
        };
        let request = InboundRequest {
            origin: Origin::Caller,
            service: model.service.clone(),
            head: RequestHead {
                method: model.method.clone(),
                path: model.path.clone(),
                headers: vec![trace.header()],
            },
            body: Bytes::from(body::build(root as u64, REQUEST_BODY_BYTES)),
            key: record.key,
            timeout: Some(patience),
        };
        self.ledger.submissions.push(Submission {
            root,
            host,
            run: None,
            inbound: None,
            sent: self.time,
            told: Told::Nothing,
            told_at: self.time,
            received: Vec::new(),
            status: 0,
        });
        let event = SimulationEvent::Submit {
            host,
            submission,
            request: Box::new(request),
        };
        self.schedule(self.client_latency(), event);
        self.schedule(patience, SimulationEvent::Patience { submission });
    }

    fn choose_entry(&mut self, root: RootIndex) -> HostIndex {
        let record = &self.ledger.roots[root];
        let model = &self.scenario.callers[record.group];
        let zones = self.entry_nodes.len();
        let fixed = model.zone.as_ref().and_then(|name| {
            let zones = &self.scenario.network.zones;
            zones.iter().position(|zone| zone == name)
        });
        let last = record.submissions.last().copied();
        let last_zone = last.map(|index| self.hosts[self.ledger.submissions[index].host].zone);
        let zone = match (last_zone, fixed) {
            (Some(zone), _) if model.switch_zone => (zone + 1) % zones,
            (Some(zone), _) => zone,
            (None, Some(zone)) => zone,
            (None, None) => self.random.callers.position(zones),
        };
        let nodes = &self.entry_nodes[zone];
        nodes[self.random.callers.position(nodes.len())]
    }

    /// Hands a request to the node that it has reached.
    pub(super) fn on_submit(
        &mut self,
        host: HostIndex,
        submission: SubmissionIndex,
        request: InboundRequest,
    ) {
        if self.hosts[host].node.is_none() {
            let part = AnswerPart::Lost;
            let delay = self.client_latency();
            self.schedule(delay, SimulationEvent::Answer { submission, part });
            return;
        }
        let inbound = self.draw_inbound(InboundOwner::Submission(submission));
        let run = self.hosts[host].run;
        self.hosts[host].open_inbounds.insert(inbound);
        let record = &mut self.ledger.submissions[submission];
        record.inbound = Some(inbound);
        record.run = Some(run);
        let gone = record.told != Told::Nothing;
        let name = self.hosts[host].name.as_str();
        let root = record.root;
        self.timeline.record(self.time, name, || {
            let path = &request.head.path;
            let service = &request.service;
            format!("submission {submission} of root {root}: {service}{path}")
        });
        self.node_event(host, run, Event::Inbound { inbound, request });
        if gone {
            self.node_event(host, run, Event::InboundGone { inbound });
        }
    }

    /// Takes in a part of an answer.
    pub(super) fn on_answer(&mut self, submission: SubmissionIndex, part: AnswerPart) {
        let record = &mut self.ledger.submissions[submission];
        if record.told != Told::Nothing {
            return;
        }
        match part {
            AnswerPart::Head(head) => record.status = head.status,
            AnswerPart::Body(chunk) => {
                record.received.extend_from_slice(&chunk);
                let bytes = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
                let inbound = record.inbound;
                self.tell_entry(submission, inbound, |inbound| Event::InboundConsumed {
                    inbound,
                    bytes,
                });
            }
            AnswerPart::End => {
                let received = std::mem::take(&mut record.received);
                let told = Told::Answer {
                    status: record.status,
                    fault: body::verify(record.root as u64, &received).err(),
                };
                self.settle_submission(submission, told);
            }
            AnswerPart::Abort => self.settle_submission(submission, Told::Broken),
            AnswerPart::Refused(refusal) => {
                self.settle_submission(submission, Told::Refused(refusal.code));
            }
            AnswerPart::Lost => self.settle_submission(submission, Told::Lost),
        }
    }

    fn tell_entry(
        &mut self,
        submission: SubmissionIndex,
        inbound: Option<InboundId>,
        event: impl FnOnce(InboundId) -> Event,
    ) {
        let record = &self.ledger.submissions[submission];
        if let (Some(inbound), Some(run)) = (inbound, record.run) {
            let host = record.host;
            let event = event(inbound);
            let delay = self.client_latency();
            self.schedule(delay, SimulationEvent::Node { host, run, event });
        }
    }

    fn settle_submission(&mut self, submission: SubmissionIndex, told: Told) {
        let record = &mut self.ledger.submissions[submission];
        record.told = told;
        record.told_at = self.time;
        record.received = Vec::new();
        let root = record.root;
        self.timeline.record(self.time, "caller", || {
            format!("submission {submission} of root {root}: told {told:?}")
        });
        if told.succeeded() {
            self.ledger.roots[root].completed = Some(self.time);
            return;
        }
        let sent = self.ledger.roots[root].submissions.len();
        let model = &self.scenario.callers[self.ledger.roots[root].group];
        if sent <= usize::from(model.repeats) {
            let delay = Duration::from_millis(model.repeat_delay_millis);
            self.schedule(delay, SimulationEvent::Attempt { root });
        }
    }

    /// Gives up on an answer that has not come in time.
    pub(super) fn on_patience(&mut self, submission: SubmissionIndex) {
        let record = &self.ledger.submissions[submission];
        if record.told != Told::Nothing {
            return;
        }
        let inbound = record.inbound;
        self.close_abandoned(submission);
        self.tell_entry(submission, inbound, |inbound| Event::InboundGone {
            inbound,
        });
        self.settle_submission(submission, Told::GaveUp);
    }

    fn close_abandoned(&mut self, submission: SubmissionIndex) {
        let record = &self.ledger.submissions[submission];
        if let Some(inbound) = record.inbound {
            self.hosts[record.host].open_inbounds.remove(&inbound);
        }
    }

    /// Breaks off the requests that callers have open at a host whose process has ended.
    pub(super) fn drop_callers(&mut self, host: HostIndex) {
        for inbound in std::mem::take(&mut self.hosts[host].open_inbounds) {
            if let Some(InboundOwner::Submission(submission)) =
                self.inbounds.get(inbound.0 as usize).copied()
            {
                let part = AnswerPart::Lost;
                let delay = self.client_latency();
                self.schedule(delay, SimulationEvent::Answer { submission, part });
            }
        }
    }
}
