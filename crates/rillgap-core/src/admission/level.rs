//! Admission levels: the tier of a request refined by a share drawn from its root.
//!
//! The share is a hash of the root, so every hop ranks one root alike (as DAGOR does with its
//! user priority): a root that passed the entry is not shed halfway down in favour of another
//! root of the same tier.

use bitcode::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::RootId;
use crate::policy::Class;

/// Position of a request in the order of shedding; lower levels are shed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Level(pub u32);

impl Level {
    /// Levels within one tier.
    pub const PER_TIER: u32 = 8_192;
    /// Number of levels over all classes of a policy; as a threshold it admits none of them.
    pub const COUNT: u32 = Self::PER_TIER * Class::ALL.len() as u32;

    /// Returns the level of a root request of a class; each class is a tier.
    pub fn of(class: Class, root: RootId) -> Self {
        Self::in_tier(class.index() as u8, &root.0.to_le_bytes())
    }

    /// Returns the level of the root request with this identifier in a tier; higher tiers are shed
    /// later.
    pub fn in_tier(tier: u8, root: &[u8]) -> Self {
        let share = xxh3_64(root) % u64::from(Self::PER_TIER);
        Self(Self::tier_floor(tier).0 + share as u32)
    }

    /// Returns the lowest level of a class; as a threshold it admits the class whole.
    pub const fn floor(class: Class) -> Self {
        Self::tier_floor(class.index() as u8)
    }

    /// Returns the lowest level of a tier; as a threshold it admits the tier whole.
    pub const fn tier_floor(tier: u8) -> Self {
        Self(tier as u32 * Self::PER_TIER)
    }

    /// Returns the tier.
    pub const fn tier(self) -> u8 {
        (self.0 / Self::PER_TIER) as u8
    }
}
