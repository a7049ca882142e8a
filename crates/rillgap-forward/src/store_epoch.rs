//! Epochs of the store, and positions within one.
//!
//! A store may be lost and come back from a copy that is some seconds old. What was written since is gone, and
//! its revisions are given out again for other changes. Everything that rests on what the store has said
//! therefore belongs to one epoch, which rises with each such return: a position to watch from, a proof that
//! a configuration is the newest, the belief that the own record is stored. An answer of an earlier epoch
//! than one that is known proves nothing: it was late, or came from a store that is not in charge any more.

use bitcode::{Decode, Encode};

/// Epoch of the store; rises by one with each return from a copy. A store that tells none is in the first one
/// for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StoreEpoch(pub u64);

/// Place in the history of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorePosition {
    epoch: StoreEpoch,
    revision: u64,
}

impl StorePosition {
    /// Creates the position of a revision that the store has named in an epoch.
    pub const fn new(epoch: StoreEpoch, revision: u64) -> Self {
        Self { epoch, revision }
    }

    /// Returns the epoch.
    pub const fn epoch(self) -> StoreEpoch {
        self.epoch
    }

    /// Returns the revision, which means something in this epoch alone.
    pub const fn revision(self) -> u64 {
        self.revision
    }
}
