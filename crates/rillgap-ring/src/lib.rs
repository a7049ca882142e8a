//! Bounded rings that join the duties of the daemon.
//!
//! A ring has many senders and one receiver. It is allocated once and never grows. What
//! happens when it is full is the sender's choice: [`RingSender::try_send`] fails at once,
//! [`RingSender::send`] waits. To keep two duties from waiting for each other, the task that
//! receives from a ring never waits for anything but that ring; `docs/design/duties.md` lists
//! every ring with its choice.

use thingbuf::mpsc;
use thingbuf::mpsc::errors::TrySendError;
use thingbuf::recycling::Recycle;

/// Why a message was not sent; the message comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RingError<T> {
    /// The ring has no free slot.
    #[error("ring is full")]
    Full(T),
    /// The receiver is gone.
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
    /// Sends a message if there is a free slot.
    ///
    /// # Errors
    ///
    /// Returns the message if the ring is full or its receiver is gone.
    pub fn try_send(&self, message: T) -> Result<(), RingError<T>> {
        self.sender
            .try_send(Some(message))
            .map_err(|error| match error {
                TrySendError::Full(message) => RingError::Full(unwrap_message(message)),
                TrySendError::Closed(message) => RingError::Closed(unwrap_message(message)),
                _ => unreachable!("thingbuf knows no other error"),
            })
    }

    /// Sends a message, waiting for a free slot.
    ///
    /// # Errors
    ///
    /// Returns the message if the receiver is gone.
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
    /// Waits for the next message; `None` once all senders are gone and the ring is empty.
    pub async fn recv(&self) -> Option<T> {
        loop {
            // A sender that was dropped between reserving and filling a slot leaves it vacant.
            if let Some(message) = self.receiver.recv().await? {
                return Some(message);
            }
        }
    }

    /// Returns the next message if there is one now.
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

/// Empties a slot, so that a message's memory is freed as soon as it is received.
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
        None => unreachable!("the ring sends whole messages only"),
    }
}
