//! HTTP client for the local back end, with a connection pool and cancellation.
//!
//! [`client`] executes the node's commands. Each attempt runs in its own task ([`attempt`]) on a
//! connection of the [`pool`]; [`health`] polls whether the back end announces that it is leaving.

pub mod announcement;
pub mod attempt;
pub mod client;
pub mod credit;
pub mod health;
pub mod pool;
pub mod request;
pub mod settings;
