//! Randomized fault soak: runs the real program as separate processes on one machine, injects
//! faults from outside, and checks from the view of callers and back ends that the documented
//! guarantees hold.
//!
//! The schedule is determined by the seed, but the timing of the processes is not, so a failing
//! seed may need several runs to fail again.

pub mod back_end;
pub mod caller;
pub mod checker;
pub mod crashing;
pub mod deployment;
pub mod endless_answers;
pub mod false_claims;
pub mod faults;
pub mod late_rejections;
pub mod node;
pub mod notices;
pub mod operator;
pub mod proxy;
pub mod retries;
pub mod retry_pressure;
pub mod rough_answers;
pub mod slow_readers;
pub mod soak;
pub mod stated_load;
pub mod store;
pub mod wire;
