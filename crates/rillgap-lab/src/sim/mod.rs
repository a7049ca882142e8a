//! Deterministic simulation: the nodes' real state machines on a virtual clock.
//!
//! A [`world::World`] owns nodes, links, platform, back ends and callers. `nexosim` keeps the
//! clock and the queue of scheduled events ([`engine`]). All random numbers come from one
//! seed, so the same scenario and seed give the same run, byte for byte.

pub mod back_end;
mod back_end_drive;
pub mod body;
mod call_drive;
mod caller;
pub mod digest;
mod drive;
pub mod engine;
pub mod event;
mod fault;
pub mod host;
pub mod ledger;
pub mod network;
pub mod operator;
pub mod options;
pub mod outcome;
pub mod platform;
mod platform_drive;
pub mod random;
mod setup;
pub mod timeline;
pub mod trace;
pub mod world;
