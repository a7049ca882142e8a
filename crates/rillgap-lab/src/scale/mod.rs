//! Control cost at size: many real nodes in one process, with no load of callers.
//!
//! Every host runs the real [`rillgap_core::node::Node`] over a virtual network with latencies of
//! zones and regions. Messages are encoded and decoded as the daemon does, so that their bytes and
//! the processor time of the codec are counted. [`crate::sim`] simulates whole deployments with
//! callers and back ends; its links are held for every pair of hosts, which does not fit 1,900
//! hosts, so that this module has a network of its own and shares the platform's stand-in.

pub mod experiment;
pub mod fleet;
pub mod layout;
pub mod measure;
pub mod meter;
pub mod network;
pub mod queue;
pub mod report;
pub mod store;
