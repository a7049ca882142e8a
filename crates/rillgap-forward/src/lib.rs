//! Decisions of a node that forwards requests between sidecars, as pure state machines.
//!
//! A node runs beside one back end. Its *outbound* side accepts requests from callers and from that
//! back end, and chooses the back ends that they are sent to. Its *inbound* side is the only access
//! to the back end, and tracks the requests that run there. [`node::Node`] combines both with the
//! directory of peers, the configuration and the store. The crate contains no I/O, threads, clocks
//! or unseeded random numbers: the driver passes in [`event::Event`]s with the current time and
//! executes the resulting [`action::Action`]s.

pub mod action;
pub mod answer_pace;
pub mod back_end_notice;
pub mod balancer;
pub mod buffer_account;
pub mod configuration;
pub mod configuration_offers;
pub mod crash;
pub mod credential;
pub mod decaying_share;
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
pub mod request_window;
pub mod retry_after;
pub mod retry_budget;
pub mod retry_demand;
pub mod settings;
pub mod store_epoch;
pub mod store_sync;
pub mod subset;
pub mod watch_relay;
pub mod watcher_election;
