//! Randomized fault soak: the real program as separate processes on one machine, disturbed from
//! outside, held against the promises of the users' pages by what callers and back ends see.
//!
//! The schedule follows from the seed; what processes make of it does not, so a seed that failed
//! may need several runs to fail again.

pub mod back_end;
pub mod caller;
pub mod checker;
pub mod crashing;
pub mod deployment;
pub mod faults;
pub mod node;
pub mod operator;
pub mod proxy;
pub mod retries;
pub mod soak;
pub mod store;
pub mod wire;
