//! Model, stand-ins, experiments, replay and reports.

pub mod command;
