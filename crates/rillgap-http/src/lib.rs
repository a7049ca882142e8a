//! Header names and values that both HTTP sides of a node share.

pub mod h1;
pub mod headers;
pub mod names;
pub mod timeout;
