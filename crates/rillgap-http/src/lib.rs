//! HTTP as both sides of a node use it: a codec for HTTP/1.1, header names, headers that are
//! forwarded and the timeout header.

pub mod h1;
pub mod headers;
pub mod names;
pub mod timeout;
