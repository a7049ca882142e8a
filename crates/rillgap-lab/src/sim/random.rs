//! Random numbers of a simulation: independent streams of one seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Independent streams, so that a change in one part leaves the draws of others alone.
#[derive(Debug)]
pub struct RandomStreams {
    /// Latencies and losses.
    pub network: Stream,
    /// Work of back ends.
    pub work: Stream,
    /// Arrivals of callers.
    pub arrivals: Stream,
    /// Everything else of callers: entry nodes, keys.
    pub callers: Stream,
    /// Clocks, seeds of nodes, delays of the platform.
    pub hosts: Stream,
}

impl RandomStreams {
    /// Creates the streams of a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            network: Stream::new(seed, 1),
            work: Stream::new(seed, 2),
            arrivals: Stream::new(seed, 3),
            callers: Stream::new(seed, 4),
            hosts: Stream::new(seed, 5),
        }
    }
}

/// One stream of random numbers.
#[derive(Debug)]
pub struct Stream(ChaCha8Rng);

impl Stream {
    /// Creates a stream of a seed.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(stream);
        Self(generator)
    }

    /// Draws any number.
    pub fn any(&mut self) -> u64 {
        self.0.random()
    }

    /// Draws a number from zero to `bound`, both included.
    pub fn up_to(&mut self, bound: u64) -> u64 {
        self.0.random_range(0..=bound)
    }

    /// Draws a position in a list of `length` entries, which must not be empty.
    pub fn position(&mut self, length: usize) -> usize {
        self.0.random_range(0..length)
    }

    /// Draws `true` with a probability from zero to one.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.0.random_bool(probability.clamp(0.0, 1.0))
    }

    /// Draws from the exponential distribution with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.0.random();
        -mean * (1.0 - uniform).ln()
    }
}
