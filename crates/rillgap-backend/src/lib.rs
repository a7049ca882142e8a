//! Peer: back ends. HTTP client side, connection pools and cancellation.
//!
//! [`client`] carries out the node's commands. Each attempt runs as a task of its own
//! ([`attempt`]) on a connection of the [`pool`]; [`health`] watches whether the back end says
//! that it is leaving.

pub mod announcement;
pub mod attempt;
pub mod client;
pub mod credit;
pub mod health;
pub mod pool;
pub mod request;
pub mod settings;
