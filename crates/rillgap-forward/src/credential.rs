//! Keys of callers. Only their digests are stored, compared and forwarded.

use std::fmt;

use bitcode::{Decode, Encode};
use sha2::{Digest, Sha256};

/// Digest of a key. The key itself is not kept anywhere, and `Debug` does not reveal the digest.
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

/// Credential that a request presents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// No credential.
    #[default]
    Absent,
    /// One well-formed key.
    Key(KeyDigest),
    /// A credential that does not have the form of a key, or several keys.
    Malformed,
}
