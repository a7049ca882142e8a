//! The `grpc-timeout` header: at most eight digits and a unit.

use std::time::Duration;

/// Maximum number of digits.
const MAX_DIGITS: usize = 8;

/// Largest number with `MAX_DIGITS` digits.
const MAX_VALUE: u128 = 99_999_999;

/// Parses the value of a timeout header; `None` if it is malformed.
pub fn parse(value: &str) -> Option<Duration> {
    let unit_at = value.len().checked_sub(1)?;
    if !value.is_char_boundary(unit_at) {
        return None;
    }
    let (digits, unit) = value.split_at(unit_at);
    let is_number = !digits.is_empty()
        && digits.len() <= MAX_DIGITS
        && digits.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    match unit {
        "H" => Some(Duration::from_secs(number * 3_600)),
        "M" => Some(Duration::from_secs(number * 60)),
        "S" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_millis(number)),
        "u" => Some(Duration::from_micros(number)),
        "n" => Some(Duration::from_nanos(number)),
        _ => None,
    }
}

/// Formats a timeout in the finest unit that fits, rounded down.
pub fn format(timeout: Duration) -> String {
    let micros = timeout.as_micros();
    if micros <= MAX_VALUE {
        return format!("{micros}u");
    }
    let millis = timeout.as_millis();
    if millis <= MAX_VALUE {
        return format!("{millis}m");
    }
    let seconds = u128::from(timeout.as_secs()).min(MAX_VALUE);
    format!("{seconds}S")
}
