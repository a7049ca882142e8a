//! One request that has been handed to the node.

use rillgap_core::event::{Event, InboundId};
use rillgap_ring::{RingError, RingSender};
use tokio::sync::mpsc;

use crate::exchange::{AnswerPart, Exchange};

/// Bytes after which the node is told that the caller took in a part of the answer.
///
/// A fraction of the node's window, so that short answers cause no event at all.
const CONSUMED_EVENT_BYTES: u32 = 16 * 1024;

/// A request that has been handed to the node.
///
/// If it is dropped before its answer has ended, the node is told that the caller is gone.
#[derive(Debug)]
pub struct Inbound {
    id: InboundId,
    answers: mpsc::Receiver<AnswerPart>,
    events: RingSender<Event>,
    exchange: Exchange,
    consumed: u32,
    is_ended: bool,
}

impl Inbound {
    /// Registers a request that is not yet handed to the node.
    pub fn register(exchange: &Exchange, events: &RingSender<Event>) -> Self {
        let (id, answers) = exchange.register();
        Self {
            id,
            answers,
            events: events.clone(),
            exchange: exchange.clone(),
            consumed: 0,
            is_ended: false,
        }
    }

    /// Identifies the request.
    pub const fn id(&self) -> InboundId {
        self.id
    }

    /// Waits for the next part of the answer; `None` if it was broken off.
    pub async fn next_part(&mut self) -> Option<AnswerPart> {
        self.answers.recv().await
    }

    /// Polls for the next part of the answer.
    pub fn poll_part(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<AnswerPart>> {
        self.answers.poll_recv(context)
    }

    /// Notes that the answer has ended, so that the node need not be told of its caller.
    pub fn set_ended(&mut self) {
        self.is_ended = true;
    }

    /// Notes that the connection took in a part of the answer.
    pub fn consume(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.consumed = self.consumed.saturating_add(bytes);
        if self.consumed >= CONSUMED_EVENT_BYTES {
            let bytes = std::mem::take(&mut self.consumed);
            self.send_event(Event::InboundConsumed {
                inbound: self.id,
                bytes,
            });
        }
    }

    /// Tells the node something that must not get lost, without waiting here.
    fn send_event(&self, event: Event) {
        let Err(RingError::Full(event)) = self.events.try_send(event) else {
            return;
        };
        let events = self.events.clone();
        tokio::spawn(async move {
            // A closed ring means that the process ends.
            let _ = events.send(event).await;
        });
    }
}

impl Drop for Inbound {
    fn drop(&mut self) {
        self.exchange.forget(self.id);
        if !self.is_ended {
            self.send_event(Event::InboundGone { inbound: self.id });
        }
    }
}
