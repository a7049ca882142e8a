//! Digest of the content of a request.
//!
//! Equal fingerprints mean equal content, although the request identifiers differ. Decisions on
//! the requests of other callers depend on it, so it must be infeasible to construct a request with
//! the fingerprint of another one. Logs and messages contain it in place of the content.

use sha2::{Digest, Sha256};

use crate::id::Fingerprint;

/// Bytes of the digest that are kept. The probability that any two of a million requests have the
/// same fingerprint is about 10^-27.
const FINGERPRINT_BYTES: usize = 16;

/// Returns the fingerprint of the parts of a request; their order matters.
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
