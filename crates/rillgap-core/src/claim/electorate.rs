//! Chooses the replica group of a key and decides which of its members may vote.
//!
//! The safety of claims depends on this module. Two majorities of one group always share a
//! replica. When a view change alters the group, a replica of the new group votes on a key only
//! if it has been in the key's group since the earliest time at which the key can have been used.
//! Every majority in the new view therefore consists of members of the old group, and shares a
//! replica with every majority of that group.

use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::claim::message::AbstainReason;
use crate::claim::settings::MAX_CLOCK_SKEW;
use crate::id::{IdempotencyKey, Incarnation, NodeId, ZoneName};
use crate::membership::{ActivatedView, Membership};
use crate::time::{Now, WallTime};
use crate::view::{Member, View};

/// Maximum number of replicas of a key.
const MAX_REPLICAS: usize = 3;

/// Membership information that the claim protocol needs.
pub trait Electorate {
    /// Returns the view in force.
    fn view(&self) -> &Arc<View>;

    /// Returns whether this node holds the lease on its view.
    fn may_vote(&self, now: Now) -> bool;

    /// Returns the views of the maximum lifetime of a key, latest last, including those that are
    /// not activated yet.
    fn history(&self) -> &[ActivatedView];

    /// Returns the mesh address of a member; `None` if the node is not in the view.
    fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.view().member(node).map(|member| member.mesh_address)
    }

    /// Returns the mesh address of a node that is or was a member, for answers to it: its claims may
    /// be pending when it leaves the view.
    fn answer_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.address(node)
    }
}

impl Electorate for Membership {
    fn view(&self) -> &Arc<View> {
        self.view()
    }

    fn may_vote(&self, now: Now) -> bool {
        self.may_vote(now)
    }

    fn history(&self) -> &[ActivatedView] {
        self.view_history()
    }

    fn answer_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.answer_address(node)
    }
}

/// Returns the replicas of a key, chosen by rendezvous hashing, in the order of choice.
///
/// The group has three members, or one if the view has only one or two, so that its size is odd.
/// Its members are in different zones as long as there are enough zones.
pub fn replica_group(view: &View, key: IdempotencyKey) -> Vec<NodeId> {
    let mut candidates: Vec<Candidate<'_>> = view
        .members
        .iter()
        .map(|member| Candidate::new(member, key))
        .collect();
    let count = candidates.len().min(MAX_REPLICAS);
    let odd_count = count - usize::from(count > 0 && count.is_multiple_of(2));
    let mut group: Vec<Candidate<'_>> = Vec::with_capacity(odd_count);
    while group.len() < odd_count {
        let in_new_zone = highest_ranked(&candidates, |candidate| candidate.is_in_new_zone(&group));
        let Some(position) = in_new_zone.or_else(|| highest_ranked(&candidates, |_| true)) else {
            break;
        };
        group.push(candidates.swap_remove(position));
    }
    group.into_iter().map(|candidate| candidate.node).collect()
}

/// Returns the position of the highest-ranked candidate that `accept` admits.
fn highest_ranked(
    candidates: &[Candidate<'_>],
    accept: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    let mut best: Option<(usize, (u64, NodeId))> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let rank = candidate.rank();
        // Compares the rank first, so that zone names are compared for few candidates only.
        if best.is_none_or(|(_, highest)| highest < rank) && accept(candidate) {
            best = Some((position, rank));
        }
    }
    best.map(|(position, _)| position)
}

/// A member with its score for one key.
struct Candidate<'a> {
    score: u64,
    node: NodeId,
    zone: &'a ZoneName,
}

impl<'a> Candidate<'a> {
    fn new(member: &'a Member, key: IdempotencyKey) -> Self {
        let node = member.id();
        let mut bytes = [0; 24];
        bytes[..16].copy_from_slice(&key.0.to_le_bytes());
        bytes[16..].copy_from_slice(&node.0.to_le_bytes());
        Self {
            score: xxh3_64(&bytes),
            node,
            zone: &member.zone,
        }
    }

    fn is_in_new_zone(&self, group: &[Self]) -> bool {
        group.iter().all(|chosen| chosen.zone != self.zone)
    }

    const fn rank(&self) -> (u64, NodeId) {
        (self.score, self.node)
    }
}

/// One incarnation of a node as a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Node that votes.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
}

impl Voter {
    /// Checks whether this voter may vote on `key`, where `group` is the claimant's replica group.
    ///
    /// # Errors
    ///
    /// Returns the reason why the voter must abstain.
    pub fn check(
        self,
        now: Now,
        key: IdempotencyKey,
        group: &[NodeId],
        electorate: &dyn Electorate,
    ) -> Result<(), AbstainReason> {
        if !electorate.may_vote(now) {
            return Err(AbstainReason::NoLease);
        }
        if key.created_at() > now.wall.plus(MAX_CLOCK_SKEW) {
            return Err(AbstainReason::KeyFromFuture);
        }
        let same_group = group == replica_group(electorate.view(), key);
        if !same_group || !self.is_replica(electorate.view(), group) {
            return Err(AbstainReason::DifferentGroup);
        }
        if !self.is_eligible(key, group, electorate) {
            return Err(AbstainReason::NotEligible);
        }
        Ok(())
    }

    /// Returns whether this voter has been in the key's group since the earliest time at which the
    /// key can have been used.
    ///
    /// The first use is at most [`MAX_CLOCK_SKEW`] before the key's timestamp by the clock of the
    /// node that accepted the key, and that clock differs from this node's by at most
    /// [`MAX_CLOCK_SKEW`].
    fn is_eligible(
        self,
        key: IdempotencyKey,
        group: &[NodeId],
        electorate: &dyn Electorate,
    ) -> bool {
        let first_use = key.created_at().minus(2 * MAX_CLOCK_SKEW);
        let mut later = electorate.view();
        for activated in electorate.history().iter().rev() {
            if !is_same_or_next(later, &activated.view) {
                return false;
            }
            let checked = Arc::ptr_eq(&activated.view, electorate.view());
            if !checked && !self.was_eligible_under(&activated.view, key, group) {
                return false;
            }
            if was_active_at(activated, first_use) {
                return true;
            }
            later = &activated.view;
        }
        false
    }

    /// Returns whether this voter was already a replica in an earlier view, and majorities of the
    /// group in that view overlap with those of the current group.
    fn was_eligible_under(self, earlier: &View, key: IdempotencyKey, group: &[NodeId]) -> bool {
        let earlier_group = replica_group(earlier, key);
        self.is_replica(earlier, &earlier_group) && majorities_overlap(group, &earlier_group)
    }

    fn is_replica(self, view: &View, group: &[NodeId]) -> bool {
        let same_run = view
            .member(self.node)
            .is_some_and(|member| member.incarnation == self.incarnation);
        same_run && group.contains(&self.node)
    }
}

/// Returns whether both views are the same or consecutive, so that no view was missed.
fn is_same_or_next(later: &View, earlier: &View) -> bool {
    later.version.0.saturating_sub(earlier.version.0) <= 1
}

/// Returns whether a majority of `later` whose members are all in `earlier` shares a member with
/// every majority of `earlier`.
///
/// This does not hold in general if a view with fewer members makes the group smaller.
const fn majorities_overlap(later: &[NodeId], earlier: &[NodeId]) -> bool {
    majority(later) + majority(earlier) > earlier.len()
}

/// Returns the size of the smallest majority of a group.
pub const fn majority(group: &[NodeId]) -> usize {
    group.len() / 2 + 1
}

fn was_active_at(activated: &ActivatedView, moment: WallTime) -> bool {
    activated.activated_at <= moment
}
