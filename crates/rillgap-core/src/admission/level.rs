//! Admission levels: the tier of a request, refined by a hash of its root.
//!
//! Because of the hash, every hop ranks a root in the same way (as DAGOR does with its user
//! priority): a root that was admitted at the entry is not shed downstream in favour of another
//! root of the same tier.

use bitcode::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::RootId;
use crate::policy::Class;

/// Admission level of a request; requests with lower levels are shed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Level(pub u32);

impl Level {
    /// Number of levels in one tier.
    pub const PER_TIER: u32 = 8_192;
    /// Part of a tier, from its top, that also holds the requests of refused callers that come back
    /// as told, as a divisor.
    pub const RETURN_PART: u32 = 8;
    /// Number of levels of all classes of a policy; as a threshold, it admits none of them.
    pub const COUNT: u32 = Self::PER_TIER * Class::ALL.len() as u32;

    /// Returns the level of a root request of a class; each class is a tier.
    pub fn of(class: Class, root: RootId) -> Self {
        Self::in_tier(class.index() as u8, &root.0.to_le_bytes())
    }

    /// Returns the level of the root request with this identifier in a tier. Higher tiers are shed
    /// after lower ones.
    pub fn in_tier(tier: u8, root: &[u8]) -> Self {
        let share = xxh3_64(root) % u64::from(Self::PER_TIER);
        Self(Self::tier_floor(tier).0 + share as u32)
    }

    /// Returns the lowest level of a class; as a threshold, it admits the whole class.
    pub const fn floor(class: Class) -> Self {
        Self::tier_floor(class.index() as u8)
    }

    /// Returns the lowest level of a tier; as a threshold, it admits the whole tier.
    pub const fn tier_floor(tier: u8) -> Self {
        Self(tier as u32 * Self::PER_TIER)
    }

    /// Returns the level of a request whose caller was refused and comes back as told: in the highest
    /// part of its tier, so that it precedes newcomers of the tier but no request of a higher one.
    /// The order among such requests is kept.
    pub const fn after_return(self) -> Self {
        let floor = Self::tier_floor(self.tier()).0;
        let position = (self.0 - floor) / Self::RETURN_PART;
        Self(floor + Self::PER_TIER - Self::PER_TIER / Self::RETURN_PART + position)
    }

    /// Returns the tier that the level belongs to.
    pub const fn tier(self) -> u8 {
        (self.0 / Self::PER_TIER) as u8
    }
}
