//! Peer: other nodes. Frames and links.
//!
//! Each node keeps one outgoing link to every peer it sends to and reads from the links that
//! peers open to it, so messages from one node to another keep their order. A link starts with
//! a [`hello`]; after that it carries length-prefixed `bitcode` frames in one direction.
//! A lost link is reported as [`rillgap_core::event::Event::PeerLost`] by both ends.

pub mod accept;
pub mod budget;
pub mod error;
pub mod frame;
pub mod hello;
pub mod link;
pub mod mesh;
pub mod supervisor;
