//! The time until the deadline, as a header states it.

use std::time::Duration;

use http::HeaderMap;

use crate::answer::TIMEOUT_HEADER;

/// Most digits that the header's number may have.
const MAX_DIGITS: usize = 8;

/// Reads the time until the deadline, such as `250m` for 250 milliseconds.
///
/// Units are `H`, `M`, `S`, `m`, `u` and `n`, as gRPC states them.
pub(super) fn time_to_deadline(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(TIMEOUT_HEADER)?.to_str().ok()?;
    let unit = text.chars().next_back().filter(char::is_ascii)?;
    let digits = &text[..text.len() - 1];
    if digits.len() > MAX_DIGITS {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    match unit {
        'H' => Some(Duration::from_secs(number * 3600)),
        'M' => Some(Duration::from_secs(number * 60)),
        'S' => Some(Duration::from_secs(number)),
        'm' => Some(Duration::from_millis(number)),
        'u' => Some(Duration::from_micros(number)),
        'n' => Some(Duration::from_nanos(number)),
        _ => None,
    }
}
