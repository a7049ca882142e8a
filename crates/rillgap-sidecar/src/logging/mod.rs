//! Structured logs on standard output: one JSON object a line.

mod notes;
mod output;

pub use notes::RequestLog;
pub use output::start;
