//! Peer: callers. HTTP server side and the mapping of result codes to responses.
