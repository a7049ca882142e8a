//! A digest of everything that nodes handle, to tell whether two runs were the same.

use std::fmt;

use rillgap_core::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::event::HostIndex;

/// Digest of a run so far.
#[derive(Default)]
pub struct RunDigest(Xxh3);

impl RunDigest {
    /// Takes in an event that a node handles.
    pub fn node_event(&mut self, at: Instant, host: HostIndex, kind: u8) {
        self.0.update(&at.as_micros().to_le_bytes());
        self.0.update(&(host as u64).to_le_bytes());
        self.0.update(&[kind]);
    }

    /// Takes in the number of actions that an event has caused.
    pub fn actions(&mut self, number: usize) {
        self.0.update(&(number as u64).to_le_bytes());
    }

    /// Returns the digest.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

impl fmt::Debug for RunDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.value())
    }
}
