//! A readable record of a run.

use std::fmt::Write;

use rillgap_core::time::Instant;

/// Lines of a timeline, in the order of time.
#[derive(Debug, Default)]
pub struct Timeline {
    text: Option<String>,
}

impl Timeline {
    /// Creates a timeline that records only if `enabled`.
    pub fn new(enabled: bool) -> Self {
        Self {
            text: enabled.then(String::new),
        }
    }

    /// Records a line; the text is only built if the timeline is enabled.
    pub fn record(&mut self, at: Instant, subject: &str, text: impl FnOnce() -> String) {
        if let Some(lines) = &mut self.text {
            let seconds = at.as_micros() / 1_000_000;
            let micros = at.as_micros() % 1_000_000;
            let _ = writeln!(lines, "{seconds:>4}.{micros:06} {subject:<20} {}", text());
        }
    }

    /// Returns whether lines are recorded.
    pub const fn is_enabled(&self) -> bool {
        self.text.is_some()
    }

    /// Returns the recorded text.
    pub fn text(&self) -> &str {
        self.text.as_deref().unwrap_or_default()
    }
}
