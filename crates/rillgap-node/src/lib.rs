//! The rillgapd daemon: settings, logs, duty threads and rings.
//!
//! Everything a node decides is decided by [`rillgap_core::node::Node`]; this package only
//! wires it to sockets and clocks. The work is split into duties ([`duty`]), joined by bounded
//! rings ([`rings`]); `docs/design/duties.md` tells how duties are placed on threads and why.

pub mod actions;
pub mod arguments;
pub mod clock;
pub mod daemon;
pub mod duty;
pub mod identity;
pub mod listeners;
pub mod logging;
pub mod metrics;
pub mod rings;
pub mod settings;
pub mod threads;
pub mod wiring;
