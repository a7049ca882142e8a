//! Decisions of a node that forwards requests between sidecars, as pure state machines.
//!
//! A node stands beside one back end. Its *outbound* side takes requests of callers and of that
//! back end and chooses where they run; its *inbound* side is the only way to the back end and
//! knows what runs there. [`node::Node`] joins both with the directory of peers, the
//! configuration and the store. There is no I/O, no thread, no clock and no unseeded random
//! number in this crate: the driver feeds [`event::Event`]s with the time and carries out the
//! [`action::Action`]s.

pub mod action;
pub mod balancer;
pub mod configuration;
pub mod configuration_offers;
pub mod crash;
pub mod credential;
pub mod directory;
pub mod event;
pub mod freshness;
pub mod id;
pub mod inbound;
pub mod incarnation;
pub mod log_record;
pub mod message;
pub mod node;
pub mod outbound;
pub mod peer;
pub mod rate_limit;
pub mod retry_budget;
pub mod retry_demand;
pub mod settings;
pub mod store_epoch;
pub mod store_sync;
pub mod subset;
pub mod watch_relay;
pub mod watcher_election;
