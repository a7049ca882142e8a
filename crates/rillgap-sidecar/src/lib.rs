//! Runs a forwarding node: listeners, links, the back end's connections, the store, logs and
//! metrics.
//!
//! Decisions are made by [`rillgap_forward::node::Node`]; this crate feeds it events and carries
//! out its actions. What a deployment's platform calls things comes in through [`dialect`] and
//! [`store::Store`].
//!
//! One thread does all duties: the deployments give a node a part of one core and charge
//! wake-ups, so handing work between threads costs more than it saves (`docs/design/platform.md`).

pub mod back_end;
pub mod caller;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod hub;
pub mod link;
pub mod logging;
pub mod metrics;
mod read;
pub mod settings;
pub mod store;
