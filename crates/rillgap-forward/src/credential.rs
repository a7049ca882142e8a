//! Keys of callers: only digests are kept, compared and passed on.

use std::fmt;

use bitcode::{Decode, Encode};
use sha2::{Digest, Sha256};

/// Digest of a key. The key itself is not kept anywhere; nothing that is printed tells the digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// What a request shows of its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Absent,
    /// A key.
    Key(KeyDigest),
    /// Something that is no key of the expected form, or several keys.
    Malformed,
}
