//! Header names and values that both HTTP sides of a node share.

pub mod headers;
pub mod names;
pub mod timeout;
