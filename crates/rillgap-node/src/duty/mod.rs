//! The duties of a node. Each is an endless task with its own rings; none shares state with
//! another except through rings, counters and the process's end.

pub mod back_end;
pub mod caller;
pub mod mesh;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod platform;
