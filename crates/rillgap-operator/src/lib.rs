//! gRPC interface for operators: schema, generated code, service and client.
//!
//! The schema is in `proto/`. The code generated from it is committed in `src/generated/`;
//! `cargo run -p rillgap-operator --example generate` regenerates it.

pub mod client;
mod convert;
pub mod error;
pub mod handle;
pub mod schema;
pub mod service;
mod status;
