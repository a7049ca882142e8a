//! Validates and creates trace contexts (W3C Trace Context, version 00).
//!
//! A valid `traceparent` is forwarded; otherwise a new one is created.

use uuid::Uuid;

/// Rotation applied to the trace identifier to derive the parent identifier.
const PARENT_ROTATION_BITS: u32 = 29;

/// Returns whether a `traceparent` value is well formed.
pub fn is_valid(value: &str) -> bool {
    let mut fields = value.split('-');
    let version = fields
        .next()
        .is_some_and(|field| is_hex(field, 2) && field != "ff");
    let trace = fields.next().is_some_and(|field| is_identifier(field, 32));
    let parent = fields.next().is_some_and(|field| is_identifier(field, 16));
    let flags = fields.next().is_some_and(|field| is_hex(field, 2));
    version && trace && parent && flags && fields.next().is_none()
}

/// Creates the `traceparent` of a new trace.
pub fn create() -> String {
    let trace = Uuid::new_v4();
    // Random bits are drawn only once per request; the parent identifier is derived from them.
    let (high, low) = trace.as_u64_pair();
    let parent = (high.rotate_left(PARENT_ROTATION_BITS) ^ low) | 1;
    format!("00-{}-{parent:016x}-01", trace.simple())
}

fn is_hex(field: &str, length: usize) -> bool {
    field.len() == length
        && field
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}

fn is_identifier(field: &str, length: usize) -> bool {
    is_hex(field, length) && field.bytes().any(|byte| byte != b'0')
}
