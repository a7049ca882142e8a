//! Calls to the store, their answers, and what follows from them.

use std::time::Duration;

use rillgap_core::code::ResultCode;

use crate::configuration::Configuration;
use crate::message::NodeRecord;
use crate::store_epoch::{StoreEpoch, StorePosition};
use crate::watcher_election;

/// Number of a call, used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read the newest configuration, linearizably.
    ReadConfiguration,
    /// Wait for a configuration after this position.
    WatchConfiguration {
        /// Position of the last read or watch.
        after: StorePosition,
        /// Time after which it answers although nothing has changed.
        wait: Duration,
    },
    /// Make sure that the store holds this record.
    Register(NodeRecord),
    /// Read records of nodes: those with the lowest places, and those that follow a place.
    ListNodes {
        /// The place from which on records are wanted.
        from: u64,
        /// Whether the answer may be some seconds old, which is cheaper.
        allow_stale: bool,
        /// How many are wanted.
        extent: ListExtent,
    },
    /// Remove the record of a node.
    Unregister {
        /// Name of the node.
        name: String,
    },
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

/// Answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The configuration, if it was asked for and there is a (newer) one.
    Configuration {
        /// Position to watch from.
        position: StorePosition,
        /// The configuration.
        configuration: Option<Configuration>,
    },
    /// The position of a watch is not known (any more).
    PositionExpired(StoreEpoch),
    /// The record is stored.
    Registered {
        /// Epoch in which it is.
        epoch: StoreEpoch,
        /// Whether the store knew no record of the node before.
        is_new: bool,
    },
    /// Records of nodes.
    Nodes {
        /// Epoch in which they were read.
        epoch: StoreEpoch,
        /// The records.
        list: NodeList,
    },
    /// The record is removed.
    Unregistered(StoreEpoch),
    /// No or an unusable answer.
    Failed(StoreFailure),
}

/// How many records a list is to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListExtent {
    /// Those with the lowest places, and those that follow a place: as many as one answer of the store holds.
    Part,
    /// All.
    Whole,
}

/// Records of nodes, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeList {
    /// Those with the lowest places.
    pub lowest: Vec<NodeRecord>,
    /// Those that follow the place that was asked for, where `lowest` does not hold all.
    pub successors: Option<Vec<NodeRecord>>,
    /// Entries beside them that are no records: another writer has left them.
    pub unreadable: usize,
}

impl NodeList {
    /// Returns whether it holds this record.
    pub fn holds(&self, record: &NodeRecord) -> bool {
        let following = self.successors.iter().flatten();
        self.lowest
            .iter()
            .chain(following)
            .any(|other| other == record)
    }

    /// Returns about how many nodes there are: by how closely the listed ones follow each other.
    pub fn estimated_nodes(&self, from: u64) -> usize {
        let Some(following) = &self.successors else {
            return self.lowest.len();
        };
        let last = following
            .last()
            .map(|record| watcher_election::name_hash(&record.name));
        let span = last.map_or(0, |last| last.wrapping_sub(from));
        let share = span as f64 / u64::MAX as f64;
        let estimate = following.len() as f64 / share.max(f64::EPSILON);
        (estimate as usize).max(self.lowest.len())
    }
}

impl StoreReply {
    /// Returns the epoch in which the store has answered, if it has.
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

/// Why a call to the store has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreFailure {
    /// [`ResultCode::StoreUnavailable`] or [`ResultCode::StoreProtocol`].
    pub code: ResultCode,
    /// What was said or missing.
    pub detail: String,
}

/// What to do after an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// A configuration.
    Configuration(Configuration),
    /// Peers.
    Nodes {
        /// Their records.
        list: NodeList,
        /// Whether the list is young enough to be relied on.
        is_complete: bool,
    },
    /// The store could not be asked.
    Failed {
        /// Name of the call.
        call: &'static str,
        /// Why.
        failure: StoreFailure,
    },
}
