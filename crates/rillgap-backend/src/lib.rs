//! Peer: back ends. HTTP client side, connection pools and cancellation.
