//! Changes between successive views, the log of recent changes, and the view object in the store.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::id::{Incarnation, NodeId, ViewVersion};
use crate::view::{Member, View};

use super::timing::MAX_LOGGED_CHANGES;
use super::topology::ZoneId;

/// Format version of the object in the store; its first byte.
const FORMAT: u8 = 1;

/// Removal of one incarnation of a member from the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Removal {
    /// Node that is removed.
    pub node: NodeId,
    /// Incarnation that is removed.
    pub incarnation: Incarnation,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Whether the incarnation is known to have ended: it left, a later incarnation replaced it, or
    /// the machine list no longer contains its machine.
    pub ended: bool,
}

/// Difference between a view and its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ViewChange {
    /// Version of the view that results from the change.
    pub version: ViewVersion,
    /// Removed members.
    pub removed: Vec<Removal>,
    /// Added members.
    pub added: Vec<Member>,
}

/// Content of the view object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoredView {
    /// Latest view.
    pub view: View,
    /// Recent successive changes; the last one results in `view`.
    pub changes: Vec<ViewChange>,
    /// Latest view that joint majorities have confirmed, as known to the writer.
    pub agreed: ViewVersion,
}

impl StoredView {
    /// Encodes the object, preceded by the format version.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        bytes.extend(bitcode::encode(self));
        bytes
    }

    /// Decodes the object; returns `None` if it is malformed or has an unknown format version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => bitcode::decode(rest).ok(),
            _ => None,
        }
    }
}

/// Returns the view that results from applying a change to its predecessor.
pub fn apply(view: &View, change: &ViewChange) -> View {
    let removed: BTreeSet<NodeId> = change.removed.iter().map(|removal| removal.node).collect();
    let mut members: Vec<Arc<Member>> = view
        .members
        .iter()
        .filter(|member| !removed.contains(&member.id()))
        .cloned()
        .collect();
    members.extend(change.added.iter().cloned().map(Arc::new));
    members.sort_by_cached_key(|member| member.id());
    View {
        version: change.version,
        members,
    }
}

/// Log of the latest successive changes, up to the one that resulted in the view in force.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Arc<ViewChange>>,
}

impl ChangeLog {
    /// Replaces all entries, keeping the latest [`MAX_LOGGED_CHANGES`].
    pub fn replace(&mut self, changes: Vec<ViewChange>) {
        self.changes = changes.into_iter().map(Arc::new).collect();
        self.trim();
    }

    /// Appends a change and drops the oldest entries beyond [`MAX_LOGGED_CHANGES`].
    pub fn push(&mut self, change: ViewChange) {
        self.changes.push_back(Arc::new(change));
        self.trim();
    }

    fn trim(&mut self) {
        while self.changes.len() > MAX_LOGGED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns all changes in the log, the oldest first.
    pub fn to_vec(&self) -> Vec<ViewChange> {
        self.changes
            .iter()
            .map(|change| change.as_ref().clone())
            .collect()
    }

    /// Returns the changes after a version, or `None` if the log no longer has all of them.
    pub fn after(&self, version: ViewVersion) -> Option<Vec<ViewChange>> {
        if !self.covers(version) {
            return None;
        }
        Some(
            self.between(version, ViewVersion(u64::MAX))
                .cloned()
                .collect(),
        )
    }

    /// Returns whether the log reaches back to the change that follows `version`.
    pub fn covers(&self, version: ViewVersion) -> bool {
        self.changes
            .front()
            .is_some_and(|change| change.version.0 <= version.0 + 1)
    }

    /// Returns the changes after `from` up to and including `to`.
    pub fn between(
        &self,
        from: ViewVersion,
        to: ViewVersion,
    ) -> impl DoubleEndedIterator<Item = &ViewChange> {
        self.changes
            .iter()
            .map(Arc::as_ref)
            .filter(move |change| change.version > from && change.version <= to)
    }

    /// Returns an upper bound on the number of members that a zone has in view `counted` but not
    /// in view `wanted`, or `None` if the log does not reach back far enough.
    pub fn max_nonmembers(
        &self,
        zone: ZoneId,
        counted: ViewVersion,
        wanted: ViewVersion,
    ) -> Option<u32> {
        if counted == wanted {
            return Some(0);
        }
        if !self.covers(counted.min(wanted)) {
            return None;
        }
        let members: usize = if counted < wanted {
            self.between(counted, wanted)
                .map(|change| removed_in(change, zone))
                .sum()
        } else {
            self.between(wanted, counted)
                .map(|change| added_in(change, zone))
                .sum()
        };
        u32::try_from(members).ok()
    }

    /// Returns the number of members of view `from` whose incarnations are known to have ended by
    /// view `to`.
    pub fn ended(&self, from: ViewVersion, to: ViewVersion) -> usize {
        let mut added: BTreeSet<(NodeId, Incarnation)> = BTreeSet::new();
        let mut ended = 0;
        for change in self.between(from, to) {
            ended += change
                .removed
                .iter()
                .filter(|removal| removal.ended)
                .filter(|removal| !added.contains(&(removal.node, removal.incarnation)))
                .count();
            added.extend(
                change
                    .added
                    .iter()
                    .map(|member| (member.id(), member.incarnation)),
            );
        }
        ended
    }

    /// Returns the number of members of an earlier view, computed from that of the view in force.
    pub fn size_at(&self, version: ViewVersion, size_now: usize) -> usize {
        let later = self.between(version, ViewVersion(u64::MAX));
        let (added, removed) = later.fold((0, 0), |(added, removed), change| {
            (added + change.added.len(), removed + change.removed.len())
        });
        (size_now + removed).saturating_sub(added)
    }
}

fn removed_in(change: &ViewChange, zone: ZoneId) -> usize {
    change
        .removed
        .iter()
        .filter(|removal| removal.zone == zone)
        .count()
}

fn added_in(change: &ViewChange, zone: ZoneId) -> usize {
    change
        .added
        .iter()
        .filter(|member| ZoneId::from(&member.zone) == zone)
        .count()
}
