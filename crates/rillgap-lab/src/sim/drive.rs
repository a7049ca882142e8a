//! Carries out the actions of nodes and moves messages between them.

use std::time::Duration;

use rillgap_core::action::{Action, Observation};
use rillgap_core::event::{Event, InboundId};
use rillgap_core::id::NodeId;
use rillgap_core::message::{CallMessage, PeerMessage};
use rillgap_core::request::Refusal;

use super::event::{AnswerPart, HostIndex, SimulationEvent};
use super::ledger::{GateRefusal, HostRecordKind};
use super::network::Sending;
use super::setup::incarnation;
use super::trace::Trace;
use super::world::{InboundOwner, MACHINE_LATENCY, SeenDispatch, World};

impl World {
    /// Carries out one action of a node.
    pub(super) fn carry_out(&mut self, host: HostIndex, action: Action) {
        match action {
            Action::Refuse { inbound, refusal } => {
                self.close_inbound(host, inbound);
                self.answer(inbound, AnswerPart::Refused(refusal));
            }
            Action::AnswerHead { inbound, head } => self.answer(inbound, AnswerPart::Head(head)),
            Action::AnswerBody { inbound, chunk } => self.answer(inbound, AnswerPart::Body(chunk)),
            Action::AnswerEnd { inbound } => {
                self.close_inbound(host, inbound);
                self.answer(inbound, AnswerPart::End);
            }
            Action::AnswerAbort { inbound } => {
                self.close_inbound(host, inbound);
                self.answer(inbound, AnswerPart::Abort);
            }
            Action::CallBackEnd(request) => self.call_back_end(host, *request),
            Action::CancelBackEnd { attempt } => self.cancel_back_end(host, attempt),
            Action::ReadBackEnd { attempt, bytes } => self.credit_back_end(host, attempt, bytes),
            Action::Send { to, message, .. } => self.send(host, to, message),
            Action::Store { request, body } => self.send_to_store(host, request, body),
            Action::CancelStore { request } => self.cancel_store(host, request),
            Action::Reply { request, reply } => self.reply_to_operator(host, request, reply),
            Action::Observe(observation) => self.observe(host, &observation),
            Action::Exit => self.exit(host),
        }
    }

    fn close_inbound(&mut self, host: HostIndex, inbound: InboundId) {
        self.hosts[host].open_inbounds.remove(&inbound);
    }

    fn answer(&mut self, inbound: InboundId, part: AnswerPart) {
        let Some(owner) = self.inbounds.get(inbound.0 as usize).copied() else {
            return;
        };
        match owner {
            InboundOwner::Submission(submission) => {
                let delay = self.client_latency();
                self.schedule(delay, SimulationEvent::Answer { submission, part });
            }
            InboundOwner::Call { execution, call } => {
                let event = SimulationEvent::CallAnswer {
                    execution,
                    call,
                    part,
                };
                self.schedule(MACHINE_LATENCY, event);
            }
        }
    }

    pub(super) fn client_latency(&self) -> Duration {
        Duration::from_micros(self.scenario.network.client_micros.max(1))
    }

    fn observe(&mut self, host: HostIndex, observation: &Observation) {
        match observation {
            Observation::Serving(serving) => {
                self.record_host(host, HostRecordKind::Serving(*serving));
            }
            Observation::PolicyInForce(version) => {
                self.record_host(host, HostRecordKind::Policy(*version));
            }
            Observation::ViewInForce(transition) => {
                let name = self.hosts[host].name.as_str();
                self.timeline
                    .record(self.time, name, || format!("view {}", transition.to.0));
            }
            _ => {}
        }
    }

    /// Ends the process of a node after a planned stop.
    pub(super) fn exit(&mut self, host: HostIndex) {
        let running = self.running_for(host);
        let state = &mut self.hosts[host];
        let open_inbounds = state.open_inbounds.len();
        state.node = None;
        self.record_host(
            host,
            HostRecordKind::Exited {
                open_inbounds,
                running,
            },
        );
        self.drop_links(host);
        self.drop_callers(host);
        if let Some(back_end) = self.hosts[host].back_end {
            self.drop_calls(back_end);
        }
        self.schedule_machine_entry(host, false, false);
    }

    fn running_for(&self, host: HostIndex) -> usize {
        let run = self.hosts[host].run;
        self.hosts[host].back_end.map_or(0, |back_end| {
            let running = self.back_ends[back_end].running.values();
            running.filter(|work| work.node_run == run).count()
        })
    }

    fn send(&mut self, from: HostIndex, to: NodeId, message: PeerMessage) {
        let Some(to) = self.hosts_by_id.get(&to).copied() else {
            return;
        };
        self.count_message(&message);
        self.note_gate_refusal(from, &message);
        let name = self.hosts[from].name.as_str();
        let (time, receiver) = (self.time, &self.hosts[to].name);
        self.timeline.record(time, name, || {
            format!("to {receiver}: {}", describe(&message))
        });
        self.transmit(from, to, Box::new(message));
    }

    fn transmit(&mut self, from: HostIndex, to: HostIndex, message: Box<PeerMessage>) {
        let run = self.hosts[from].run;
        let sending = self
            .network
            .send(self.time, from, to, &mut self.random.network);
        let event = |connection| SimulationEvent::Peer {
            from,
            run,
            to,
            connection,
            message,
        };
        match sending {
            Sending::Arrives { at, connection } => {
                self.schedule_at(at, event(connection));
                if self.network.lacks_acknowledgement(from, to) {
                    self.begin_link_timeout(to, from, connection);
                }
            }
            Sending::Stalls { connection, first } => {
                let queue = self.stalled.entry((from, to)).or_default();
                queue.push(event(connection));
                if first {
                    self.begin_link_timeout(from, to, connection);
                }
            }
        }
    }

    fn begin_link_timeout(&mut self, from: HostIndex, to: HostIndex, connection: u32) {
        let event = SimulationEvent::LinkTimeout {
            from,
            to,
            connection,
        };
        self.schedule(self.network.link_timeout(), event);
    }

    fn count_message(&mut self, message: &PeerMessage) {
        let traffic = &mut self.ledger.traffic;
        match message {
            PeerMessage::Call(_) => traffic.call_messages += 1,
            PeerMessage::Claim(message) => {
                traffic.claim_messages += 1;
                traffic.claim_bytes += bitcode::encode(message).len() as u64;
            }
            PeerMessage::Membership(_) => traffic.membership_messages += 1,
            PeerMessage::Configuration(_) => traffic.configuration_messages += 1,
        }
    }

    /// Records an attempt that a node refuses beside its back end.
    fn note_gate_refusal(&mut self, host: HostIndex, message: &PeerMessage) {
        let PeerMessage::Call(CallMessage::Refused {
            attempt, refusal, ..
        }) = message
        else {
            return;
        };
        let Refusal { code, .. } = *refusal;
        let Some(back_end) = self.hosts[host].back_end else {
            return;
        };
        if let Some(seen) = self.dispatched.remove(attempt) {
            self.ledger.gate_refusals.push(GateRefusal {
                back_end,
                at: self.time,
                executions: seen.executions..self.ledger.executions.len(),
                attempt: *attempt,
                class: seen.class,
                code,
            });
        }
    }

    /// Records a dispatch that a node is about to handle.
    pub(super) fn note_dispatch(&mut self, event: &Event) {
        if let Event::Peer {
            message: PeerMessage::Call(CallMessage::Dispatch(dispatch)),
            ..
        } = event
            && let Some(trace) = Trace::read(&dispatch.head)
        {
            let seen = SeenDispatch {
                class: self.ledger.roots[trace.root].class,
                executions: self.ledger.executions.len(),
            };
            self.dispatched.insert(dispatch.attempt, seen);
        }
    }

    /// Delivers a message to a node.
    pub(super) fn on_peer_message(
        &mut self,
        from: HostIndex,
        run: u32,
        to: HostIndex,
        connection: u32,
        message: PeerMessage,
    ) {
        if !self.network.accepts(self.time, from, to, connection) {
            return;
        }
        if self.hosts[to].node.is_none() {
            self.refuse_connection(from, run, to);
            return;
        }
        let event = Event::Peer {
            from: self.hosts[from].id,
            incarnation: incarnation(from, run),
            message,
        };
        let receiver_run = self.hosts[to].run;
        self.node_event(to, receiver_run, event);
    }

    fn refuse_connection(&mut self, from: HostIndex, run: u32, to: HostIndex) {
        let (at, _) = self
            .network
            .lose(self.time, from, to, &mut self.random.network);
        let event = SimulationEvent::PeerLost {
            host: from,
            run,
            peer: to,
        };
        self.schedule_at(at, event);
    }

    /// Declares a link lost that still holds up messages.
    pub(super) fn on_link_timeout(&mut self, from: HostIndex, to: HostIndex, connection: u32) {
        if self.network.is_stalled(from, to, connection) {
            self.lose_link(from, to);
        }
    }

    /// Loses the link between two hosts; both ends notice, each in its time.
    pub(super) fn lose_link(&mut self, one: HostIndex, other: HostIndex) {
        self.stalled.remove(&(one, other));
        self.stalled.remove(&(other, one));
        let random = &mut self.random.network;
        let (at_one, at_other) = self.network.lose(self.time, one, other, random);
        for (at, host, peer) in [(at_one, one, other), (at_other, other, one)] {
            let run = self.hosts[host].run;
            self.schedule_at(at, SimulationEvent::PeerLost { host, run, peer });
        }
    }

    /// Loses all links of a host whose process has ended.
    pub(super) fn drop_links(&mut self, host: HostIndex) {
        for peer in 0..self.hosts.len() {
            if peer != host && self.network.is_connected(host, peer) {
                self.lose_link(host, peer);
            }
        }
    }

    /// Sends on what a cut has held up.
    pub(super) fn resume_link(&mut self, from: HostIndex, to: HostIndex) {
        if self.network.is_cut(from, to) || !self.network.resume(from, to) {
            return;
        }
        for event in self.stalled.remove(&(from, to)).unwrap_or_default() {
            if let SimulationEvent::Peer { run, message, .. } = event
                && run == self.hosts[from].run
            {
                self.transmit(from, to, message);
            }
        }
    }
}

fn describe(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Call(CallMessage::Dispatch(dispatch)) => format!(
            "dispatch {:?} {} {} share {} key {:?}",
            dispatch.attempt,
            dispatch.back_end,
            dispatch.head.path,
            dispatch.extra_attempts,
            dispatch.key
        ),
        PeerMessage::Call(CallMessage::AnswerBody {
            attempt, sequence, ..
        }) => format!("answer body {attempt:?} part {sequence}"),
        other => format!("{other:?}"),
    }
}
