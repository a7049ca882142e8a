//! Fixed proofs of the conditions: the hard cases of each, by simulation.

mod at_most_once;
mod class_order;
mod leaving;
mod not_run;
mod planned_stop;
mod policy_spread;
mod retry_bound;
mod support;
mod whole_answers;
