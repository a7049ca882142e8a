//! The data path: calls of callers and of the local back end, and attempts at the back end.
//!
//! A call enters through [`entry`], is sent on by [`sender`] to the [`gate`] of the node
//! beside a back end, and its answer comes back the same way. The calls that a back end
//! makes enter its own node and take the same path; they are charged to the request that
//! the back end is serving.

use std::collections::VecDeque;

use crate::admission::LoadReport;
use crate::claim::DispatchGuard;
use crate::event::Event;
use crate::id::NodeId;
use crate::message::CallMessage;
use crate::node::{Context, NodeSettings};
use crate::time::{Instant, Now};

pub mod children;
pub mod deadlines;
pub mod entry;
pub mod gate;
pub mod outgoing;
pub mod pool;
pub mod ports;
pub mod remembered;
pub mod retry;
pub mod sender;

use gate::Gate;
use ports::Ports;
use sender::{AnswerTrailer, Sender};

/// The data path of one node.
#[derive(Debug)]
pub struct CallPath {
    sender: Sender,
    gate: Gate,
    loopback: VecDeque<CallMessage>,
}

impl CallPath {
    /// Creates the data path of a fresh node.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            sender: Sender::new(settings),
            gate: Gate::new(settings),
            loopback: VecDeque::new(),
        }
    }

    /// Handles an event of a caller, of the local back end or of a link.
    pub fn handle(&mut self, now: Now, event: Event, context: &mut Context<'_>) {
        let ports = &mut Ports {
            context,
            loopback: &mut self.loopback,
        };
        let (sender, gate) = (&mut self.sender, &mut self.gate);
        match event {
            Event::Inbound { inbound, request } => {
                entry::accept(now, inbound, request, sender, gate, ports);
            }
            Event::InboundGone { inbound } => sender.on_gone(now, inbound, ports),
            Event::InboundConsumed { inbound, bytes } => sender.on_consumed(inbound, bytes, ports),
            Event::BackEndHead { attempt, head } => gate.on_head(attempt, head, ports),
            Event::BackEndBody { attempt, chunk } => gate.on_body(attempt, chunk, ports),
            Event::BackEndEnd { attempt } => gate.on_end(now, attempt, ports),
            Event::BackEndFailed { attempt, failure } => {
                gate.on_failed(now, attempt, failure, ports);
            }
            Event::BackEndAnnounced { leaving } => gate.announce(leaving),
            Event::PeerLost { peer } => {
                sender.on_peer_lost(now, peer, gate, ports);
                gate.on_peer_lost(now, peer, ports);
            }
            // These belong to other subsystems of the node.
            Event::Peer { .. }
            | Event::Store { .. }
            | Event::Operator { .. }
            | Event::Wake
            | Event::Stop => {}
        }
    }

    /// Handles a message of a peer.
    pub fn on_message(
        &mut self,
        now: Now,
        from: NodeId,
        message: CallMessage,
        context: &mut Context<'_>,
    ) {
        let ports = &mut Ports {
            context,
            loopback: &mut self.loopback,
        };
        let (sender, gate) = (&mut self.sender, &mut self.gate);
        match message {
            CallMessage::Dispatch(dispatch) => gate.on_dispatch(now, from, *dispatch, ports),
            CallMessage::AnswerHead {
                attempt,
                head,
                load,
            } => {
                sender.on_head(now, attempt, head, &load, gate, ports);
            }
            CallMessage::AnswerBody {
                attempt,
                sequence,
                chunk,
            } => {
                sender.on_body(now, attempt, sequence, chunk, ports);
            }
            CallMessage::AnswerEnd {
                attempt,
                parts,
                unspent,
                load,
            } => {
                let trailer = AnswerTrailer { parts, unspent };
                sender.on_end(now, attempt, trailer, &load, gate, ports);
            }
            CallMessage::AnswerFailed {
                attempt,
                refusal,
                unspent,
                load: _,
            } => {
                sender.on_failed(now, attempt, refusal, unspent, gate, ports);
            }
            CallMessage::Refused {
                attempt,
                refusal,
                load,
            } => {
                sender.on_refused(now, attempt, refusal, &load, gate, ports);
            }
            CallMessage::Credit { attempt, bytes } => gate.on_credit(attempt, bytes, ports),
            CallMessage::Cancel { attempt } => gate.on_cancel(now, attempt, ports),
        }
    }

    /// Does what is due: settled claims, deadlines, queue decisions, messages to itself.
    pub fn settle(&mut self, now: Now, context: &mut Context<'_>) {
        loop {
            self.settle_once(now, context);
            let Some(message) = self.loopback.pop_front() else {
                break;
            };
            let own = context.settings.id();
            self.on_message(now, own, message, context);
        }
    }

    fn settle_once(&mut self, now: Now, context: &mut Context<'_>) {
        let ports = &mut Ports {
            context,
            loopback: &mut self.loopback,
        };
        while let Some(event) = ports.context.claims.take_event() {
            self.sender.on_claim(now, event, &mut self.gate, ports);
        }
        self.sender.expire(now, &mut self.gate, ports);
        self.gate.settle(now, ports);
        for attempt in self.gate.take_ended() {
            self.sender.cancel_children(now, attempt, ports);
        }
    }

    /// Stops taking new requests; what is in flight goes on.
    pub fn begin_stop(&mut self, _now: Now, _context: &mut Context<'_>) {
        self.sender.begin_stop();
        self.gate.begin_stop();
    }

    /// Returns whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.sender.is_idle() && self.gate.is_idle()
    }

    /// Returns the number of calls and attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.sender.in_flight() + self.gate.in_flight()
    }

    /// Returns the load of the local back end.
    pub fn load(&self) -> LoadReport {
        self.gate.load()
    }

    /// Returns the guard beside the back end.
    pub fn guard_mut(&mut self) -> &mut DispatchGuard {
        self.gate.guard_mut()
    }

    /// Returns when [`Self::settle`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        [self.sender.next_wake(), self.gate.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
