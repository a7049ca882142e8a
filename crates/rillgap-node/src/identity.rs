//! Generates the values that distinguish one incarnation of a node from all others.

use rillgap_core::id::Incarnation;
use rillgap_core::time::WallTime;
use uuid::Uuid;

/// Number of low bits of an incarnation that are random; the high bits are the start time in
/// milliseconds.
const RANDOM_BITS: u32 = 16;

/// Generates the incarnation of this process.
///
/// Later starts get larger incarnations; the random bits distinguish processes that start in the
/// same millisecond.
pub fn generate_incarnation(now: WallTime) -> Incarnation {
    let random = generate_seed() & ((1 << RANDOM_BITS) - 1);
    Incarnation((now.as_millis() << RANDOM_BITS) | random)
}

/// Generates a random seed from the operating system's random number generator.
pub fn generate_seed() -> u64 {
    let (high, low) = Uuid::new_v4().as_u64_pair();
    // Each half of a UUID has some fixed bits (version, variant), at different positions. The
    // rotation combines them with random bits of the other half.
    high.rotate_left(32) ^ low
}
