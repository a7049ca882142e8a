//! One digest of what a request asks for.
//!
//! It tells whether two requests are the same work although their identifiers differ. Decisions on other
//! callers' requests hang on it, so nobody can make a request that has the fingerprint of another one, and
//! it stands in logs and messages in place of what it is made of.

use sha2::{Digest, Sha256};

use crate::id::Fingerprint;

/// Bytes of the digest that are kept. Two among a million requests are alike with a chance of 10^-27.
const FINGERPRINT_BYTES: usize = 16;

/// Returns the fingerprint of the parts of a request, in this order.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut kept = [0; FINGERPRINT_BYTES];
    kept.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
    Fingerprint(u128::from_be_bytes(kept))
}
