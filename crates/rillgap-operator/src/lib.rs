//! Peer: operators. Schema, generated code, service and client.
//!
//! The schema is in `proto/`; its code is committed in `src/generated/` and made by
//! `cargo run -p rillgap-operator --example generate`.

pub mod client;
mod convert;
pub mod error;
pub mod handle;
pub mod schema;
pub mod service;
mod status;
