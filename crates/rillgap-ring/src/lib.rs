//! Bounded channels ("rings") between the duties (long-running tasks) of the daemon.
//!
//! A ring has many senders and one receiver. Its slots are allocated once; it never grows. The
//! sender chooses what happens when the ring is full: [`RingSender::try_send`] fails immediately,
//! [`RingSender::send`] waits for a free slot. To prevent deadlocks between duties, the task that
//! receives from a ring waits for nothing but that ring. `docs/design/duties.md` lists all rings
//! and which of the two their senders use.

use thingbuf::mpsc;
use thingbuf::mpsc::errors::TrySendError;
use thingbuf::recycling::Recycle;

/// Error of a send; it returns the message that was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RingError<T> {
    /// The ring has no free slot.
    #[error("ring is full")]
    Full(T),
    /// The receiver was dropped.
    #[error("ring is closed")]
    Closed(T),
}

/// Sending half of a ring; clones send to the same ring.
#[derive(Debug)]
pub struct RingSender<T> {
    sender: mpsc::Sender<Option<T>, ClearSlot>,
}

/// Receiving half of a ring.
#[derive(Debug)]
pub struct RingReceiver<T> {
    receiver: mpsc::Receiver<Option<T>, ClearSlot>,
}

/// Creates a ring with a number of slots.
///
/// # Panics
///
/// Panics if `capacity` is zero.
pub fn ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (sender, receiver) = mpsc::with_recycle(capacity, ClearSlot);
    (RingSender { sender }, RingReceiver { receiver })
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<T> RingSender<T> {
    /// Sends a message if there is a free slot; never waits.
    ///
    /// # Errors
    ///
    /// Returns the message if the ring is full or the receiver was dropped.
    pub fn try_send(&self, message: T) -> Result<(), RingError<T>> {
        self.sender
            .try_send(Some(message))
            .map_err(|error| match error {
                TrySendError::Full(message) => RingError::Full(unwrap_message(message)),
                TrySendError::Closed(message) => RingError::Closed(unwrap_message(message)),
                _ => unreachable!("`thingbuf` has no other error"),
            })
    }

    /// Sends a message; waits for a free slot if the ring is full.
    ///
    /// # Errors
    ///
    /// Returns the message if the receiver was dropped.
    pub async fn send(&self, message: T) -> Result<(), RingError<T>> {
        self.sender
            .send(Some(message))
            .await
            .map_err(|closed| RingError::Closed(unwrap_message(closed.into_inner())))
    }

    /// Returns the number of messages in the ring.
    pub fn len(&self) -> usize {
        self.sender.len()
    }

    /// Returns whether the ring holds no message.
    pub fn is_empty(&self) -> bool {
        self.sender.is_empty()
    }
}

impl<T> RingReceiver<T> {
    /// Waits for the next message; returns `None` once the ring is empty and all senders
    /// were dropped.
    pub async fn recv(&self) -> Option<T> {
        loop {
            // A slot is empty if its sender was dropped after reserving and before filling it.
            if let Some(message) = self.receiver.recv().await? {
                return Some(message);
            }
        }
    }

    /// Returns the next message, or `None` if the ring is empty; never waits.
    pub fn try_recv(&self) -> Option<T> {
        loop {
            match self.receiver.try_recv() {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(_) => return None,
            }
        }
    }
}

/// Clears recycled slots, so that the memory of a message is not kept after it is received.
#[derive(Clone, Copy, Debug)]
struct ClearSlot;

impl<T> Recycle<Option<T>> for ClearSlot {
    fn new_element(&self) -> Option<T> {
        None
    }

    fn recycle(&self, slot: &mut Option<T>) {
        *slot = None;
    }
}

fn unwrap_message<T>(message: Option<T>) -> T {
    match message {
        Some(message) => message,
        None => unreachable!("senders fill slots with `Some` only"),
    }
}
