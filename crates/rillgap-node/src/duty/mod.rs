//! Implements the duties of a node.
//!
//! Each duty is a task with its own rings that runs until the process ends. Duties share no state
//! except rings, metrics and the tokens that signal a shutdown.

pub mod back_end;
pub mod caller;
pub mod mesh;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod platform;
