//! Matches the node's answers with the requests that wait for them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use rillgap_core::event::InboundId;
use rillgap_core::request::{AnswerHead, Refusal};
use rillgap_ring::RingReceiver;
use tokio::sync::mpsc;

/// Parts of one answer that may wait for the caller's connection.
///
/// The node bounds the bytes by its credits; this bounds the parts, however small.
const MAX_QUEUED_PARTS: usize = 1_024;

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The request is refused; nothing follows.
    Refusal(Refusal),
    /// Status and headers.
    Head(AnswerHead),
    /// A part of the body.
    Body(Bytes),
    /// The answer is whole; nothing follows.
    End,
    /// The answer is broken off; nothing follows.
    Abort,
}

impl AnswerPart {
    const fn is_last(&self) -> bool {
        matches!(self, Self::Refusal(_) | Self::End | Self::Abort)
    }
}

/// A part of an answer with the request that it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request.
    pub inbound: InboundId,
    /// The part.
    pub part: AnswerPart,
}

/// The requests that wait for an answer, shared by all listeners of a node.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    pending: Arc<Mutex<BTreeMap<InboundId, mpsc::Sender<AnswerPart>>>>,
    next_id: Arc<AtomicU64>,
}

impl Exchange {
    /// Registers a new request.
    pub fn register(&self) -> (InboundId, mpsc::Receiver<AnswerPart>) {
        let inbound = InboundId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
        self.lock().insert(inbound, sender);
        (inbound, receiver)
    }

    /// Forgets a request, whose answer is no longer wanted.
    pub fn forget(&self, inbound: InboundId) {
        self.lock().remove(&inbound);
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.lock().len()
    }

    /// Hands on one part of an answer; never waits.
    ///
    /// If too many parts wait already, the request is forgotten, which breaks its answer off.
    pub fn deliver(&self, answer: Answer) {
        let mut pending = self.lock();
        let Some(sender) = pending.get(&answer.inbound) else {
            return;
        };
        let is_last = answer.part.is_last();
        let delivered = sender.try_send(answer.part).is_ok();
        if is_last || !delivered {
            pending.remove(&answer.inbound);
        }
    }

    /// Hands on every answer of a ring until all its senders are gone.
    pub async fn run(self, answers: RingReceiver<Answer>) {
        while let Some(answer) = answers.recv().await {
            self.deliver(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InboundId, mpsc::Sender<AnswerPart>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
