//! Structured logs on standard output: one JSON object a line.

mod output;
mod request_log;

pub use output::start;
pub use request_log::RequestLog;
