//! Structured logs on standard output: one JSON object per line.

mod output;
mod request_log;

pub use output::start;
pub use request_log::RequestLog;
