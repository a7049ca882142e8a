//! Parses the `Idempotency-Key` header.

use rillgap_core::code::ResultCode;
use rillgap_core::id::IdempotencyKey;
use uuid::Uuid;

/// Required UUID version: version 7 contains its creation time.
const KEY_UUID_VERSION: usize = 7;

/// Parses a key: a UUID of version 7, bare or quoted as in the IETF draft of the header.
///
/// # Errors
///
/// Returns [`ResultCode::KeyMalformed`] for any other value.
pub fn parse(value: &str) -> Result<IdempotencyKey, ResultCode> {
    let trimmed = value.trim();
    let bare = trimmed
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(trimmed);
    let key = Uuid::try_parse(bare).map_err(|_| ResultCode::KeyMalformed)?;
    if key.get_version_num() != KEY_UUID_VERSION {
        return Err(ResultCode::KeyMalformed);
    }
    Ok(IdempotencyKey(key.as_u128()))
}
