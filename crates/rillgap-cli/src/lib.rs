//! The rillgapctl command line.
//!
//! Everything that it does to a deployment is a remote procedure call of the operators' schema;
//! `explain` reads logs and asks nobody.

pub mod arguments;
mod command;
pub mod difference;
pub mod error;
pub mod explain;
mod output;
pub mod policy_file;
mod session;

pub use command::run;
