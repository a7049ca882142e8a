//! Bound on the returns that precede newcomers.
//!
//! Returns that precede newcomers are admitted whatever the level is. If they were most of what is
//! admitted, the level could no longer control the load, and nearly every caller would be refused
//! once before it is served. In each tier, at most a part of the admitted requests precedes.

use std::collections::BTreeMap;

/// Part of the admitted requests of a tier that may be returns that precede newcomers.
const RETURN_FRACTION: f64 = 0.125;
/// Maximum number of returns that may precede newcomers at one time.
const MAX_CREDIT: f64 = 8.0;

/// Returns that may precede newcomers, by tier.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturnShare {
    credits: BTreeMap<u8, f64>,
}

impl ReturnShare {
    /// Records that a caller's request of a tier was admitted.
    pub fn record_admitted(&mut self, tier: u8) {
        let credit = self.credits.entry(tier).or_insert(MAX_CREDIT);
        *credit = (*credit + RETURN_FRACTION).min(MAX_CREDIT);
    }

    /// Returns whether a return of a tier may precede newcomers, and counts it.
    pub fn try_spend(&mut self, tier: u8) -> bool {
        let credit = self.credits.entry(tier).or_insert(MAX_CREDIT);
        if *credit < 1.0 {
            return false;
        }
        *credit -= 1.0;
        true
    }
}
