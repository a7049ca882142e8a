//! Model, stand-ins, experiments, replay and reports.
