//! Interface of the store, which a platform implements.

use std::future::Future;
use std::pin::Pin;

use rillgap_forward::store_sync::{StoreReply, StoreRequest};

/// A reply of the store that has not arrived yet.
pub type PendingReply = Pin<Box<dyn Future<Output = StoreReply>>>;

/// Client of the platform's store.
pub trait Store {
    /// Makes one call; every failure is returned as [`StoreReply::Failed`].
    fn call(&self, request: StoreRequest) -> PendingReply;
}
