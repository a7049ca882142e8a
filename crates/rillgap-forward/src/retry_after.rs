//! Time after which a refused caller is asked to return.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Part of the delay by which the delays of different requests differ.
const SPREAD_FRACTION: f64 = 0.25;
/// Seed of the hash; the admission level of a request is derived from its identifier as well, and
/// the delay must not depend on it.
const HASH_SEED: u64 = 0x7265_7472_7961_6674;

/// Returns the `Retry-After` of a request that was refused during a shortage which has lasted for
/// `shortage`, in milliseconds and within `range_millis`.
///
/// How long a shortage has lasted is the best estimate of how long it will go on. Delays differ by
/// up to a quarter between requests, by their identifiers, so that refused callers do not return
/// all at once.
pub fn spread_retry_after(shortage: Duration, range_millis: (u32, u32), request_id: &str) -> u32 {
    let (min, max) = (f64::from(range_millis.0), f64::from(range_millis.1));
    let max_unspread = (max / (1.0 + SPREAD_FRACTION)).max(min);
    let unspread = (shortage.as_secs_f64() * 1_000.0).clamp(min, max_unspread);
    let spread = unspread * SPREAD_FRACTION * unit_hash(request_id);
    ((unspread + spread) as u32).min(range_millis.1)
}

/// Returns a number from 0 to 1 that depends on the identifier of a request only.
fn unit_hash(request_id: &str) -> f64 {
    xxh3_64_with_seed(request_id.as_bytes(), HASH_SEED) as f64 / u64::MAX as f64
}
