//! The rillgapctl command line.
//!
//! Everything that it does to a deployment is a remote procedure call of the operators' schema.

pub mod arguments;
mod command;
pub mod difference;
pub mod error;
mod output;
pub mod policy_file;
mod session;

pub use command::run;
