//! Routes the node's answers to the pending requests.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use rillgap_core::event::InboundId;
use rillgap_core::request::{AnswerHead, Refusal};
use rillgap_ring::RingReceiver;
use tokio::sync::mpsc;

/// Maximum number of parts of one answer that are queued for the caller's connection.
///
/// The node's flow control limits the queued bytes. This limits the number of parts, since many
/// small ones may make up those bytes.
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
    /// The answer is complete; nothing follows.
    End,
    /// The answer is aborted; nothing follows.
    Abort,
}

impl AnswerPart {
    const fn is_last(&self) -> bool {
        matches!(self, Self::Refusal(_) | Self::End | Self::Abort)
    }
}

/// One part of an answer, with the request that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Request that the part belongs to.
    pub inbound: InboundId,
    /// Part to deliver.
    pub part: AnswerPart,
}

/// Pending requests by identifier, shared by all listeners of a node.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    pending: Arc<Mutex<BTreeMap<InboundId, mpsc::Sender<AnswerPart>>>>,
    next_id: Arc<AtomicU64>,
}

impl Exchange {
    /// Registers a new request and returns its identifier and the receiver of its answer.
    pub fn register(&self) -> (InboundId, mpsc::Receiver<AnswerPart>) {
        let inbound = InboundId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
        self.lock().insert(inbound, sender);
        (inbound, receiver)
    }

    /// Removes a request; later parts of its answer are dropped.
    pub fn forget(&self, inbound: InboundId) {
        self.lock().remove(&inbound);
    }

    /// Returns the number of pending requests.
    pub fn waiting(&self) -> usize {
        self.lock().len()
    }

    /// Delivers one part of an answer without blocking.
    ///
    /// If the queue of the request is full or its receiver is dropped, the request is removed: the
    /// receiver gets the queued parts, then the end of the channel without a last part.
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

    /// Delivers the parts received from a ring until all senders of the ring are dropped.
    pub async fn run(self, answers: RingReceiver<Answer>) {
        while let Some(answer) = answers.recv().await {
            self.deliver(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InboundId, mpsc::Sender<AnswerPart>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
