//! Runs a forwarding node: listeners, links, the back end's connections, the store, logs and
//! metrics.
//!
//! Decisions are made by [`rillgap_forward::node::Node`]; this crate passes events to it and
//! executes its actions. A platform implements [`dialect::Dialect`] and [`store::Store`].
//!
//! All tasks run on one thread, except for the writer of the log. Deployments give a node a
//! fraction of one core and charge for wake-ups, so passing work between threads costs more than
//! it saves (`docs/design/platform.md`).

pub mod back_end;
pub mod buffers;
pub mod caller;
pub mod control;
pub mod daemon;
pub mod dialect;
mod ending;
pub mod hub;
pub mod link;
pub mod logging;
pub mod metrics;
mod read;
pub mod settings;
pub mod store;
