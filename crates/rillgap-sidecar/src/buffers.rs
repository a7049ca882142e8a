//! Connects the tasks that hold bytes for others to the account of these bytes.

use std::cell::RefCell;
use std::rc::Rc;

use rillgap_core::time::Instant;
use rillgap_forward::buffer_account::{BufferAccount, BufferLimits, HolderId, HolderKind, Room};
use tokio::sync::Notify;

/// Account of the bytes that the tasks of a node hold for others.
pub struct Buffers {
    account: RefCell<BufferAccount>,
    freed: Notify,
}

impl Buffers {
    /// Creates an empty account.
    pub fn new(limits: BufferLimits) -> Rc<Self> {
        Rc::new(Self {
            account: RefCell::new(BufferAccount::new(limits)),
            freed: Notify::new(),
        })
    }

    /// Adds a holder without bytes, which is removed when the returned value is dropped.
    pub fn open(self: &Rc<Self>, kind: HolderKind) -> Held {
        Held {
            buffers: self.clone(),
            id: self.account.borrow_mut().open(kind),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> BufferLimits {
        self.account.borrow().limits()
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.account.borrow().held()
    }

    /// Returns whether callers that have not read their answers are not read any further.
    pub fn slows_callers(&self) -> bool {
        self.account.borrow().slows_callers()
    }

    /// Returns whether nothing more may be held.
    pub fn is_full(&self) -> bool {
        self.account.borrow().is_full()
    }

    /// Returns whether new requests of callers are to be refused from now on, or accepted again;
    /// `None` if nothing has changed since the last call.
    pub fn take_shortage_change(&self) -> Option<bool> {
        self.account.borrow_mut().take_shortage_change()
    }

    /// Returns the caller that reads most slowly.
    pub fn slowest_reader(&self, now: Instant) -> Option<HolderId> {
        self.account.borrow().slowest_reader(now)
    }

    /// Waits until bytes are not held any more.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

/// Bytes of one holder.
pub struct Held {
    buffers: Rc<Buffers>,
    id: HolderId,
}

impl Held {
    /// Returns the identifier of the holder.
    pub const fn id(&self) -> HolderId {
        self.id
    }

    /// Asks for room for further bytes, which are counted if it is granted.
    pub fn request(&self, bytes: usize) -> Room {
        self.buffers.account.borrow_mut().request(self.id, bytes)
    }

    /// Counts bytes that are held already.
    pub fn add(&self, bytes: usize) {
        self.buffers.account.borrow_mut().add(self.id, bytes);
    }

    /// Counts answers that a caller has not read yet.
    pub fn add_unread(&self, now: Instant, bytes: usize) {
        let mut account = self.buffers.account.borrow_mut();
        account.add_unread(now, self.id, bytes);
    }

    /// Counts bytes that a caller has read.
    pub fn remove_read(&self, now: Instant, bytes: usize) {
        let mut account = self.buffers.account.borrow_mut();
        account.remove_read(now, self.id, bytes);
        drop(account);
        self.buffers.freed.notify_waiters();
    }

    /// Counts bytes that are not held any more.
    pub fn remove(&self, bytes: usize) {
        self.buffers.account.borrow_mut().remove(self.id, bytes);
        self.buffers.freed.notify_waiters();
    }

    /// Sets the number of bytes.
    pub fn set(&self, bytes: usize) {
        self.buffers.account.borrow_mut().set(self.id, bytes);
        self.buffers.freed.notify_waiters();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.buffers.account.borrow_mut().close(self.id);
        self.buffers.freed.notify_waiters();
    }
}
