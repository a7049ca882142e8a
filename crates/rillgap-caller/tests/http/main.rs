//! The HTTP side towards callers, over loopback connections.

mod answers;
mod requests;
mod support;
