//! What distinguishes one run of a node from every other run.

use rillgap_core::id::Incarnation;
use rillgap_core::time::WallTime;
use uuid::Uuid;

/// Bits of an incarnation that are random; the others are the time of the start.
const RANDOM_BITS: u32 = 16;

/// Draws the incarnation of a run: later runs get larger ones, and two runs that started in the
/// same millisecond still differ.
pub fn generate_incarnation(now: WallTime) -> Incarnation {
    let random = generate_seed() & ((1 << RANDOM_BITS) - 1);
    Incarnation((now.as_millis() << RANDOM_BITS) | random)
}

/// Draws a seed from the operating system's random numbers.
pub fn generate_seed() -> u64 {
    let (high, low) = Uuid::new_v4().as_u64_pair();
    // Both halves have bits that are fixed in every UUID, in different places.
    high.rotate_left(32) ^ low
}
