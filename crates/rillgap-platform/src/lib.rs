//! Client of the platform's object store and machine list.
//!
//! The platform implements the published HTTP interface of a common key-value store:
//! `GET /v1/kv/KEY?index=N&wait=30s` is a blocking query, `PUT /v1/kv/KEY?cas=N` is a
//! conditional put, and `GET /v1/catalog/nodes` lists the machines.

mod client;
mod error;
mod transport;
mod wire;

pub use client::{BLOCKING_WAIT, NON_BLOCKING_TIMEOUT, PlatformClient};
pub use error::PlatformError;
