//! Decision logic of rillgap as pure state machines, without I/O, threads or clock reads.
//!
//! All decisions of a node are made in this crate. A driver (the daemon, the simulation or a
//! replay) passes [`event::Event`]s and the current time to [`node::Node::handle`] and executes
//! the [`action::Action`]s that it returns. The same inputs always produce the same outputs: the
//! crate uses no clock, no threads and no unseeded random numbers.

pub mod action;
pub mod admission;
pub mod call;
pub mod claim;
pub mod code;
pub mod configuration;
pub mod event;
pub mod fingerprint;
pub mod id;
pub mod membership;
pub mod message;
pub mod node;
pub mod operator;
pub mod policy;
pub mod request;
pub mod routing;
pub mod store;
pub mod time;
pub mod view;
