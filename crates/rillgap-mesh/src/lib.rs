//! Peer: other nodes. Frames and links.
