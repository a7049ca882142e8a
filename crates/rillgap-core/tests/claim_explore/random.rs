//! Random numbers from a seeded generator.

use std::ops::Range;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// Seeded generator; the order and number of draws determine a run.
#[derive(Debug)]
pub struct Draws(ChaCha8Rng);

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    pub fn within(&mut self, range: Range<u64>) -> u64 {
        range.start + self.0.next_u64() % (range.end - range.start)
    }

    pub fn index(&mut self, length: usize) -> usize {
        self.within(0..length as u64) as usize
    }

    pub fn percent(&mut self, chance: u64) -> bool {
        self.within(0..100) < chance
    }
}
