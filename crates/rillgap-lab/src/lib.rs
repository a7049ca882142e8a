//! Model, stand-ins, experiments, replay and reports.

pub mod answer;
pub mod bench;
pub mod command;
pub mod compare;
pub mod load;
pub mod model;
pub mod observe;
pub mod serve;
pub mod sim;
