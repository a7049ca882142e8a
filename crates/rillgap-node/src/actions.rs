//! Dispatches the node's actions to the duties that execute them.

use rillgap_backend::client::BackEndCommand;
use rillgap_caller::exchange::{Answer, AnswerPart};
use rillgap_core::action::{Action, Observation};
use rillgap_core::event::InboundId;
use rillgap_mesh::mesh::OutgoingMessage;
use rillgap_ring::{RingError, RingSender};
use tokio_util::sync::CancellationToken;

use crate::event_log::EventLog;
use crate::metrics::{Metrics, RingName};
use crate::rings::{NodeOutputs, OperatorAnswer, StoreCommand};

/// Dispatches the node's actions to the rings of the duties, to logs and to metrics.
#[derive(Debug)]
pub struct ActionPorts {
    outputs: NodeOutputs,
    metrics: Metrics,
    log: EventLog,
    exit: CancellationToken,
}

impl ActionPorts {
    /// Creates the ports; `exit` is cancelled when nothing is in flight after a requested stop.
    pub fn new(outputs: NodeOutputs, metrics: Metrics, exit: CancellationToken) -> Self {
        Self {
            outputs,
            metrics,
            log: EventLog::start(),
            exit,
        }
    }

    /// Executes one action or sends it to its duty.
    pub async fn execute(&mut self, action: Action) {
        match action {
            Action::Refuse { inbound, refusal } => {
                self.answer(inbound, AnswerPart::Refusal(refusal)).await;
            }
            Action::AnswerHead { inbound, head } => {
                self.answer(inbound, AnswerPart::Head(head)).await;
            }
            Action::AnswerBody { inbound, chunk } => {
                self.answer(inbound, AnswerPart::Body(chunk)).await;
            }
            Action::AnswerEnd { inbound } => self.answer(inbound, AnswerPart::End).await,
            Action::AnswerAbort { inbound } => self.answer(inbound, AnswerPart::Abort).await,
            Action::CallBackEnd(request) => self.back_end(BackEndCommand::Call(request)).await,
            Action::CancelBackEnd { attempt } => {
                self.back_end(BackEndCommand::Cancel { attempt }).await;
            }
            Action::ReadBackEnd { attempt, bytes } => {
                self.back_end(BackEndCommand::Read { attempt, bytes }).await;
            }
            Action::Send {
                to,
                address,
                message,
            } => {
                let message = OutgoingMessage {
                    to,
                    address,
                    message,
                };
                self.send(&self.outputs.mesh, RingName::Mesh, message).await;
            }
            Action::Store { request, body } => {
                let command = StoreCommand::Request { request, body };
                self.send(&self.outputs.store, RingName::Store, command)
                    .await;
            }
            Action::CancelStore { request } => {
                let command = StoreCommand::Cancel(request);
                self.send(&self.outputs.store, RingName::Store, command)
                    .await;
            }
            Action::Reply { request, reply } => {
                let answer = OperatorAnswer { request, reply };
                self.send(&self.outputs.operator, RingName::Operator, answer)
                    .await;
            }
            Action::Observe(observation) => self.observe(&observation),
            Action::Exit => self.exit.cancel(),
        }
    }

    async fn answer(&self, inbound: InboundId, part: AnswerPart) {
        let answer = Answer { inbound, part };
        self.send(&self.outputs.answers, RingName::Answers, answer)
            .await;
    }

    async fn back_end(&self, command: BackEndCommand) {
        self.send(&self.outputs.back_end, RingName::BackEnd, command)
            .await;
    }

    /// Sends a message; counts a full ring and then waits for a free slot.
    ///
    /// The wait cannot deadlock, because the receiver never waits for the node.
    async fn send<T>(&self, ring: &RingSender<T>, name: RingName, message: T) {
        if let Err(RingError::Full(message)) = ring.try_send(message) {
            self.metrics.count_full_ring(name);
            // The ring is closed only while the process ends; the message can be dropped.
            let _ = ring.send(message).await;
        }
    }

    fn observe(&mut self, observation: &Observation) {
        self.metrics.observe(observation);
        self.log.record(observation);
    }
}
