//! Requests to the platform's store and machine list, and their replies.

use crate::id::NodeName;

/// Identifier of a request to the platform, assigned by the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// Key of an object in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreKey(pub String);

/// Modify index of an object; zero means that the object does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModifyIndex(pub u64);

/// A request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads an object; with `after`, waits until its index is larger or the wait times out.
    Read {
        /// Object to read.
        key: StoreKey,
        /// Last index seen, for a blocking query.
        after: Option<ModifyIndex>,
    },
    /// Writes an object if its index is still the expected one.
    CompareAndSet {
        /// Object to write.
        key: StoreKey,
        /// Index that the object must still have; zero if it must not exist.
        expected: ModifyIndex,
        /// New value.
        value: Vec<u8>,
    },
    /// Reads the platform's list of machines; with `after`, waits for a change.
    Machines {
        /// Last index seen, for a blocking query.
        after: Option<ModifyIndex>,
    },
}

/// An object as returned by a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreObject {
    /// Index of its last change.
    pub index: ModifyIndex,
    /// Its value, or `None` if it does not exist.
    pub value: Option<Vec<u8>>,
}

/// One entry of the machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the node that runs on it.
    pub node: NodeName,
    /// Whether the platform has announced that the machine will be taken out of service.
    pub leaving: bool,
}

/// A reply of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The object that was read.
    Object(StoreObject),
    /// The write took effect; this is the new index.
    Written(ModifyIndex),
    /// The write did not take effect because the index had changed.
    Conflict,
    /// The machine list.
    Machines {
        /// Index of its last change.
        index: ModifyIndex,
        /// Its entries.
        machines: Vec<Machine>,
    },
    /// No usable reply was received; a write may or may not have taken effect.
    Failed,
}
