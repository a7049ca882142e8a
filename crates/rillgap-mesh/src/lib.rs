//! Transport of messages between nodes over TCP links.
//!
//! Each node keeps one outgoing link to every peer that it sends to, and reads from the links that
//! peers open to it. All messages from one node to another use the same link and keep their order.
//! A link starts with an exchange of hellos (see [`hello`]); after that, the node that opened it
//! sends length-prefixed `bitcode` frames (see [`frame`]), and the other sends nothing. When a link
//! is lost, both ends report [`rillgap_core::event::Event::PeerLost`] to their node.

pub mod accept;
pub mod budget;
pub mod error;
pub mod frame;
pub mod hello;
pub mod link;
pub mod mesh;
pub mod supervisor;
