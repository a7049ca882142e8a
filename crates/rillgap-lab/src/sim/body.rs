//! Bodies that prove to whom they belong and whether they are whole.
//!
//! A body begins with a tag, its whole length and a digest of the rest (8 bytes each, little
//! endian). The rest repeats the tag.

use xxhash_rust::xxh3::xxh3_64;

/// Length of tag, length and digest.
pub const PREFIX_LENGTH: usize = 24;

/// Builds a body of about `length` bytes for the owner of a tag.
pub fn build(tag: u64, length: usize) -> Vec<u8> {
    let filler_words = length.saturating_sub(PREFIX_LENGTH).div_ceil(8);
    let filler = tag.to_le_bytes().repeat(filler_words);
    let total = (PREFIX_LENGTH + filler.len()) as u64;
    let mut body = Vec::with_capacity(PREFIX_LENGTH + filler.len());
    body.extend_from_slice(&tag.to_le_bytes());
    body.extend_from_slice(&total.to_le_bytes());
    body.extend_from_slice(&xxh3_64(&filler).to_le_bytes());
    body.extend_from_slice(&filler);
    body
}

/// What is wrong with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It belongs to another request.
    Foreign,
    /// It is shorter or longer than it was sent.
    Length,
    /// Its bytes were changed.
    Damaged,
}

/// Checks that a body is whole and belongs to the owner of a tag.
///
/// # Errors
///
/// Returns what is wrong.
pub fn verify(tag: u64, body: &[u8]) -> Result<(), BodyFault> {
    let found = word(body, 0).ok_or(BodyFault::Length)?;
    if found != tag {
        return Err(BodyFault::Foreign);
    }
    if word(body, 1) != Some(body.len() as u64) {
        return Err(BodyFault::Length);
    }
    let digest = word(body, 2).ok_or(BodyFault::Length)?;
    if digest != xxh3_64(&body[PREFIX_LENGTH..]) {
        return Err(BodyFault::Damaged);
    }
    Ok(())
}

/// Returns the tag at the start of a body.
pub fn tag(body: &[u8]) -> Option<u64> {
    word(body, 0)
}

/// Returns the word at a position, counted in words of eight bytes.
pub fn word(bytes: &[u8], position: usize) -> Option<u64> {
    let start = position * 8;
    let slice = bytes.get(start..start + 8)?;
    Some(u64::from_le_bytes(slice.try_into().ok()?))
}
