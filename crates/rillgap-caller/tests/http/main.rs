//! Tests the HTTP server for callers over loopback connections.

mod answers;
mod requests;
mod support;
