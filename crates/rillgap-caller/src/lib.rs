//! HTTP server for callers, and the mapping of result codes to responses.
//!
//! A request passes from [`listener`] through [`handler`] to the node as an event; the node's
//! answer returns through the [`exchange`] and is streamed to the caller by [`body`].
//! The calls of the node's local back end are served by the same code on a separate listener.

pub mod body;
pub mod exchange;
pub mod handler;
pub mod inbound;
pub mod key;
pub mod listener;
pub mod problem;
pub mod request;
pub mod settings;
pub mod trace;
