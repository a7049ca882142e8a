//! Tracks one request from its registration to the end of its answer.

use rillgap_core::event::{Event, InboundId};
use rillgap_ring::{RingError, RingSender};
use tokio::sync::mpsc;

use crate::exchange::{AnswerPart, Exchange};

/// Number of consumed answer bytes after which an event is sent to the node.
///
/// A fraction of the node's flow control window, so that short answers cause no event.
const CONSUMED_EVENT_BYTES: u32 = 16 * 1024;

/// A request that is forwarded to the node.
///
/// If it is dropped before its answer has ended, [`Event::InboundGone`] is sent to the node.
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
    /// Registers a request before it is sent to the node.
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

    /// Returns the identifier under which the node answers the request.
    pub const fn id(&self) -> InboundId {
        self.id
    }

    /// Waits for the next part of the answer; `None` if the exchange has removed the request.
    pub async fn next_part(&mut self) -> Option<AnswerPart> {
        self.answers.recv().await
    }

    /// Polls for the next part of the answer; `None` as in [`Self::next_part`].
    pub fn poll_part(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<AnswerPart>> {
        self.answers.poll_recv(context)
    }

    /// Records that the answer has ended, so that dropping the request sends no event.
    pub fn set_ended(&mut self) {
        self.is_ended = true;
    }

    /// Records answer bytes that the connection has consumed.
    ///
    /// Reports them to the node in steps, not for each part of the answer.
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

    /// Sends an event that must not be lost; if the ring is full, a spawned task waits for space.
    fn send_event(&self, event: Event) {
        let Err(RingError::Full(event)) = self.events.try_send(event) else {
            return;
        };
        let events = self.events.clone();
        tokio::spawn(async move {
            // The ring is closed only when the process exits.
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
