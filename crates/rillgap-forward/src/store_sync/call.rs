//! Requests to the store, its replies, and the events that result from them.

use std::time::Duration;

use rillgap_core::code::ResultCode;

use crate::configuration::Configuration;
use crate::message::NodeRecord;
use crate::store_epoch::{StoreEpoch, StorePosition};
use crate::watcher_election;

/// Identifier of a request to the store; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads the newest configuration; the read is linearizable.
    ReadConfiguration,
    /// Waits until the store holds a newer configuration than at a position (long polling).
    WatchConfiguration {
        /// Position returned by the last read or watch.
        after: StorePosition,
        /// Time after which the store replies even if nothing has changed.
        wait: Duration,
    },
    /// Ensures that the store holds a record of one incarnation of a node.
    Register(Registration),
    /// Reads the records of nodes: those with the lowest name hashes, and the successors of `from`.
    ListNodes {
        /// Name hash after which the successors begin.
        from: u64,
        /// Whether the reply may be some seconds old, which costs the store less.
        allow_stale: bool,
        /// How many records to return.
        extent: ListExtent,
    },
    /// Removes the record of a node if this incarnation has written it. The store may perform a call
    /// without a reply seconds later, when the node may have registered again.
    Unregister {
        /// Name of the node.
        name: String,
        /// Incarnation that leaves.
        incarnation: u64,
    },
}

/// Record of a node, written by one incarnation of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The record.
    pub record: NodeRecord,
    /// Incarnation that writes the record.
    pub incarnation: u64,
    /// Whether the store probably holds a record of an earlier incarnation.
    pub is_restart: bool,
}

impl StoreRequest {
    /// Returns a short name for logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::ReadConfiguration => "read-configuration",
            Self::WatchConfiguration { .. } => "watch-configuration",
            Self::Register(_) => "register",
            Self::ListNodes { .. } => "list-nodes",
            Self::Unregister { .. } => "unregister",
        }
    }
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The result of reading or watching the configuration.
    Configuration {
        /// Position from which to watch next.
        position: StorePosition,
        /// The configuration; `None` if the store holds none, or none newer than the watched
        /// position.
        configuration: Option<Configuration>,
    },
    /// The store holds no history from the position of a watch, or no longer holds it. Contains the
    /// epoch of the reply.
    PositionExpired(StoreEpoch),
    /// The record is stored.
    Registered {
        /// Epoch in which the record is stored.
        epoch: StoreEpoch,
        /// Whether the store held no record of the node before.
        is_new: bool,
    },
    /// The records of nodes.
    Nodes {
        /// Epoch in which the records were read.
        epoch: StoreEpoch,
        /// The records.
        list: NodeList,
    },
    /// The store holds no record of this incarnation any more. Contains the epoch of the reply.
    Unregistered(StoreEpoch),
    /// The request failed: no reply arrived, or an unusable one.
    Failed(StoreFailure),
}

/// How many records a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListExtent {
    /// The records with the lowest name hashes and the successors of one name hash: of each, as
    /// many as the store returns in one reply.
    Part,
    /// The records of all nodes.
    Whole,
}

/// Records of nodes, in ascending order of their name hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeList {
    /// Records with the lowest name hashes.
    pub lowest: Vec<NodeRecord>,
    /// Successors of the requested name hash, continued at the lowest one after the highest; `None`
    /// if `lowest` holds all records.
    pub successors: Option<Vec<NodeRecord>>,
    /// Number of entries in the store that are not node records, left there by another writer.
    pub unreadable: usize,
}

impl NodeList {
    /// Returns whether the list contains exactly this record.
    pub fn contains(&self, record: &NodeRecord) -> bool {
        let successors = self.successors.iter().flatten();
        self.lowest
            .iter()
            .chain(successors)
            .any(|other| other == record)
    }

    /// Estimates the number of nodes from the distances between the name hashes listed after
    /// `from`.
    pub fn estimated_nodes(&self, from: u64) -> usize {
        let Some(successors) = &self.successors else {
            return self.lowest.len();
        };
        let last = successors
            .last()
            .map(|record| watcher_election::name_hash(&record.name));
        let span = last.map_or(0, |last| last.wrapping_sub(from));
        let fraction = watcher_election::hash_fraction(span);
        let estimate = successors.len() as f64 / fraction.max(f64::EPSILON);
        (estimate as usize).max(self.lowest.len())
    }
}

impl StoreReply {
    /// Returns the epoch of the store at the time of the reply; `None` if the request failed.
    pub const fn epoch(&self) -> Option<StoreEpoch> {
        match self {
            Self::Configuration { position, .. } => Some(position.epoch()),
            Self::Registered { epoch, .. }
            | Self::Nodes { epoch, .. }
            | Self::PositionExpired(epoch)
            | Self::Unregistered(epoch) => Some(*epoch),
            Self::Failed(_) => None,
        }
    }
}

/// Why a request to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreFailure {
    /// [`ResultCode::StoreUnavailable`] or [`ResultCode::StoreProtocol`].
    pub code: ResultCode,
    /// What the store replied, or what was missing; for logs.
    pub detail: String,
}

/// Result of a request to the store that the node has to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// The store returned a configuration.
    Configuration(Configuration),
    /// The store returned a list of nodes.
    Nodes {
        /// The records.
        list: NodeList,
        /// Whether the list is recent enough and contains as many records as the node needs.
        is_complete: bool,
    },
    /// A request to the store failed.
    Failed {
        /// Name of the request, see [`StoreRequest::name`].
        call: &'static str,
        /// Reason of the failure.
        failure: StoreFailure,
    },
}
