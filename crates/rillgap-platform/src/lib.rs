//! Peer: the platform. Object store client and machine list.
