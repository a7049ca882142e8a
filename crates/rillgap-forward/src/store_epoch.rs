//! Epochs of the store, and positions within one.
//!
//! A store may be lost and restored from a backup that is some seconds old. Later writes are then
//! lost, and their revisions are assigned again to other changes. All state that relies on replies
//! of the store therefore belongs to one epoch, which rises with each restore: the position to
//! watch from, the proof that a configuration is the newest, and the information that the node's
//! own record is stored. A reply from an earlier epoch than the highest known one proves nothing:
//! it is late, or comes from a store that is no longer in use.

use bitcode::{Decode, Encode};

/// Epoch of the store; rises by one with each restore from a backup. A store that reports no epoch
/// always is in the first one, 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StoreEpoch(pub u64);

/// Position in the history of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorePosition {
    epoch: StoreEpoch,
    revision: u64,
}

impl StorePosition {
    /// Creates the position of a revision that the store has reported in an epoch.
    pub const fn new(epoch: StoreEpoch, revision: u64) -> Self {
        Self { epoch, revision }
    }

    /// Returns the epoch to which the revision belongs.
    pub const fn epoch(self) -> StoreEpoch {
        self.epoch
    }

    /// Returns the revision, which is meaningful only within its epoch.
    pub const fn revision(self) -> u64 {
        self.revision
    }
}
