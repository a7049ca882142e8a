//! Peer: callers. HTTP server side and the mapping of result codes to responses.
//!
//! A request goes from [`listener`] through [`handler`] into the node as an event; the node's
//! answer comes back through the [`exchange`] and is streamed to the caller by [`body`].
//! The same code serves the node's own back end on a listener of its own.

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
