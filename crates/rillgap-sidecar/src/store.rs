//! The store, as a platform provides it.

use std::future::Future;
use std::pin::Pin;

use rillgap_forward::store_sync::{StoreReply, StoreRequest};

/// An answer that is under way.
pub type PendingReply = Pin<Box<dyn Future<Output = StoreReply>>>;

/// The store, as a platform provides it.
pub trait Store {
    /// Carries out one call; every failure is a [`StoreReply::Failed`].
    fn call(&self, request: StoreRequest) -> PendingReply;
}
