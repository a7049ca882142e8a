//! Admission levels: the class of a request refined by a share drawn from its root.
//!
//! The share is a hash of the root, so every hop ranks one root alike (as DAGOR does with its
//! user priority): a root that passed the entry is not shed halfway down in favour of another
//! root of the same class.

use bitcode::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::RootId;
use crate::policy::Class;

/// Position of a request in the order of shedding; lower levels are shed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Level(pub u16);

impl Level {
    /// Levels within one class.
    pub const PER_CLASS: u16 = 8_192;
    /// Number of levels over all classes; as a threshold it admits nothing.
    pub const COUNT: u16 = Self::PER_CLASS * Class::ALL.len() as u16;

    /// Returns the level of a root request.
    pub fn of(class: Class, root: RootId) -> Self {
        let share = xxh3_64(&root.0.to_le_bytes()) % u64::from(Self::PER_CLASS);
        Self(Self::floor(class).0 + share as u16)
    }

    /// Returns the lowest level of a class; as a threshold it admits the class whole.
    pub const fn floor(class: Class) -> Self {
        Self(class.index() as u16 * Self::PER_CLASS)
    }
}
