//! The data path: requests of callers and of the local back end, and attempts at that back end.
//!
//! A request enters through [`entry`]. [`sender`] sends it to the [`attempt_runner`] of the node
//! beside a back end, and the answer returns along the same path. Requests that a back end makes
//! (calls) enter through its own node in the same way; their retries are charged to the request
//! that the back end is serving.

use std::collections::VecDeque;

use crate::admission::LoadReport;
use crate::claim::DispatchGuard;
use crate::event::Event;
use crate::id::NodeId;
use crate::message::CallMessage;
use crate::node::{Context, NodeSettings};
use crate::time::{Instant, Now};

pub mod answer_recorder;
pub mod attempt_runner;
pub mod children;
pub mod deadlines;
pub mod entry;
pub mod held_answer;
pub mod outgoing;
pub mod ports;
pub mod retry;
pub mod retry_pool;
pub mod sender;

use attempt_runner::AttemptRunner;
use ports::Ports;
use sender::{AnswerTrailer, Intake, Sender};

/// The data path of one node.
#[derive(Debug)]
pub struct CallPath {
    sender: Sender,
    runner: AttemptRunner,
    loopback: VecDeque<CallMessage>,
}

impl CallPath {
    /// Creates a data path without requests in flight.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            sender: Sender::new(settings),
            runner: AttemptRunner::new(settings),
            loopback: VecDeque::new(),
        }
    }

    /// Handles an event of a caller, of the local back end or of a link.
    pub fn handle(&mut self, now: Now, event: Event, context: &mut Context<'_>) {
        let ports = &mut Ports {
            context,
            loopback: &mut self.loopback,
        };
        let (sender, runner) = (&mut self.sender, &mut self.runner);
        match event {
            Event::Inbound { inbound, request } => {
                entry::accept(now, inbound, request, sender, runner, ports);
            }
            Event::InboundGone { inbound } => sender.on_caller_disconnected(now, inbound, ports),
            Event::InboundConsumed { inbound, bytes } => sender.on_consumed(inbound, bytes, ports),
            Event::BackEndHead { attempt, head } => runner.on_head(attempt, head, ports),
            Event::BackEndBody { attempt, chunk } => runner.on_body(attempt, chunk, ports),
            Event::BackEndEnd { attempt } => runner.on_end(now, attempt, ports),
            Event::BackEndFailed { attempt, failure } => {
                runner.on_failed(now, attempt, failure, ports);
            }
            Event::BackEndAnnounced { leaving } => runner.set_leaving(leaving),
            Event::PeerLost { peer } => {
                sender.on_peer_lost(now, peer, runner, ports);
                runner.on_peer_lost(now, peer, ports);
            }
            // Handled by other subsystems of the node.
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
        let (sender, runner) = (&mut self.sender, &mut self.runner);
        match message {
            CallMessage::Dispatch(dispatch) => runner.on_dispatch(now, from, *dispatch, ports),
            CallMessage::AnswerHead {
                attempt,
                head,
                load,
            } => {
                sender.on_head(now, attempt, head, &load, runner, ports);
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
                sender.on_end(now, attempt, trailer, &load, runner, ports);
            }
            CallMessage::AnswerFailed {
                attempt,
                refusal,
                unspent,
                load: _,
            } => {
                sender.on_failed(now, attempt, refusal, unspent, runner, ports);
            }
            CallMessage::Refused {
                attempt,
                refusal,
                load,
            } => {
                sender.on_refused(now, attempt, refusal, &load, runner, ports);
            }
            CallMessage::Credit { attempt, bytes } => runner.on_credit(attempt, bytes, ports),
            CallMessage::Cancel { attempt } => runner.on_cancel(now, attempt, ports),
        }
    }

    /// Processes claim results, passed deadlines, queue decisions and messages of the node to
    /// itself.
    pub fn poll(&mut self, now: Now, context: &mut Context<'_>) {
        loop {
            self.poll_once(now, context);
            let Some(message) = self.loopback.pop_front() else {
                break;
            };
            let own = context.settings.id();
            self.on_message(now, own, message, context);
        }
    }

    fn poll_once(&mut self, now: Now, context: &mut Context<'_>) {
        let ports = &mut Ports {
            context,
            loopback: &mut self.loopback,
        };
        while let Some(event) = ports.context.claims.take_event() {
            self.sender.on_claim(now, event, &mut self.runner, ports);
        }
        self.sender.expire(now, &mut self.runner, ports);
        self.runner.poll(now, ports);
        for attempt in self.runner.take_ended() {
            self.sender.cancel_children(now, attempt, ports);
        }
    }

    /// Refuses new requests from now on, except keyed ones of callers; those in flight are finished.
    pub fn begin_stop(&mut self) {
        self.sender.set_intake(Intake::Keyed);
        self.runner.begin_stop();
    }

    /// Refuses keyed requests of callers, too.
    pub fn close(&mut self) {
        self.sender.set_intake(Intake::Closed);
    }

    /// Returns whether everything that was in flight when the stop was requested has ended.
    pub fn may_leave(&self) -> bool {
        self.sender.has_only_late_calls() && self.runner.is_idle()
    }

    /// Returns whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.sender.is_idle() && self.runner.is_idle()
    }

    /// Returns the number of calls and attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.sender.in_flight() + self.runner.in_flight()
    }

    /// Returns the load of the local back end.
    pub fn load(&self) -> LoadReport {
        self.runner.load()
    }

    /// Returns the guard that prevents a second start of a keyed request at the local back end.
    pub fn guard_mut(&mut self) -> &mut DispatchGuard {
        self.runner.guard_mut()
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        [self.sender.next_wake(), self.runner.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
