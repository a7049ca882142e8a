//! The `rillgapctl` command line.
//!
//! Commands that read or change a deployment are remote procedure calls of the operator schema.
//! `explain` and `policy check` contact no node.

pub mod arguments;
mod command;
pub mod difference;
pub mod error;
pub mod explain;
mod output;
pub mod policy_file;
pub mod retries;
mod session;

pub use command::run;
