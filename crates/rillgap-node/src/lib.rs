//! Implements the `rillgapd` daemon: settings, logs, duty threads and rings.
//!
//! All decisions of a node are made by the state machine [`rillgap_core::node::Node`]; this
//! package connects it to sockets and clocks. The work is split into duties ([`duty`]), which are
//! long-running tasks connected by bounded rings ([`rings`]). `docs/design/duties.md` describes
//! how duties are assigned to threads and why.

pub mod actions;
pub mod arguments;
pub mod clock;
pub mod daemon;
pub mod duty;
mod event_log;
pub mod identity;
pub mod listeners;
pub mod logging;
pub mod metrics;
pub mod rings;
pub mod settings;
pub mod threads;
pub mod wiring;
