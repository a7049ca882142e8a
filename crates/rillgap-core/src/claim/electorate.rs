//! Who may vote on a key: the replica group and the standing of its members.
//!
//! The safety of claims rests on this module. Two majorities of one group always share a
//! replica. When the view changes and with it the group, a replica of the new group votes on a
//! key only if it was in the key's group ever since the key can have been used, so that every
//! majority under the new view lies within the old group too.

use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::claim::message::AbstainReason;
use crate::claim::settings::CLOCK_SKEW;
use crate::id::{IdempotencyKey, Incarnation, NodeId, ZoneName};
use crate::membership::{ActivatedView, Membership};
use crate::time::{Now, WallTime};
use crate::view::{Member, View};

/// Most replicas of a key.
const MOST_REPLICAS: usize = 3;

/// What claims need to know of the membership.
pub trait Electorate {
    /// Returns the view in force.
    fn view(&self) -> &Arc<View>;

    /// Returns whether this node holds the lease on its view.
    fn may_vote(&self, now: Now) -> bool;

    /// Returns the activated views of the longest key life, the latest last.
    fn history(&self) -> &[ActivatedView];

    /// Returns the mesh address of a member.
    fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.view().member(node).map(|member| member.mesh_address)
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
}

/// Returns the replicas of a key, the best first: by rendezvous hashing three members in three
/// zones; with fewer zones as many as there are, but an odd number.
pub fn replica_group(view: &View, key: IdempotencyKey) -> Vec<NodeId> {
    let mut best_of_zones: Vec<Candidate<'_>> = Vec::new();
    for member in &view.members {
        let candidate = Candidate::new(member, key);
        let same_zone = best_of_zones
            .iter_mut()
            .find(|best| best.zone == candidate.zone);
        match same_zone {
            Some(best) if best.rank() < candidate.rank() => *best = candidate,
            Some(_) => {}
            None => best_of_zones.push(candidate),
        }
    }
    best_of_zones.sort_by_key(|candidate| std::cmp::Reverse(candidate.rank()));
    let count = best_of_zones.len().min(MOST_REPLICAS);
    let odd_count = count - usize::from(count > 0 && count.is_multiple_of(2));
    best_of_zones.truncate(odd_count);
    best_of_zones
        .into_iter()
        .map(|candidate| candidate.node)
        .collect()
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

    const fn rank(&self) -> (u64, NodeId) {
        (self.score, self.node)
    }
}

/// One run of a node as a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voter {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
}

impl Voter {
    /// Returns whether this voter may vote on `key` for a claimant that sees `group`.
    ///
    /// # Errors
    ///
    /// The reason why it must abstain.
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
        if key.created_at() > now.wall.plus(CLOCK_SKEW) {
            return Err(AbstainReason::KeyFromFuture);
        }
        if group != replica_group(electorate.view(), key) {
            return Err(AbstainReason::DifferentGroup);
        }
        if !self.is_replica(electorate.view(), key) {
            return Err(AbstainReason::DifferentGroup);
        }
        if !self.has_standing(key, electorate) {
            return Err(AbstainReason::NoStanding);
        }
        Ok(())
    }

    /// Returns whether this voter was in the key's group ever since the key can have been used.
    ///
    /// The first use is no earlier than [`CLOCK_SKEW`] before the key's own time, by the clock of
    /// the node that took it, and that clock is within [`CLOCK_SKEW`] of this one.
    fn has_standing(self, key: IdempotencyKey, electorate: &dyn Electorate) -> bool {
        let first_use = key.created_at().minus(2 * CLOCK_SKEW);
        let mut later = electorate.view();
        for activated in electorate.history().iter().rev() {
            if !follows(later, &activated.view) {
                return false;
            }
            let checked = Arc::ptr_eq(later, &activated.view);
            if !checked && !self.is_replica(&activated.view, key) {
                return false;
            }
            if covers(activated, first_use) {
                return true;
            }
            later = &activated.view;
        }
        false
    }

    fn is_replica(self, view: &View, key: IdempotencyKey) -> bool {
        let same_run = view
            .member(self.node)
            .is_some_and(|member| member.incarnation == self.incarnation);
        same_run && replica_group(view, key).contains(&self.node)
    }
}

/// Returns whether no view lies between two views, so that none was missed.
fn follows(later: &View, earlier: &View) -> bool {
    later.version.0.saturating_sub(earlier.version.0) <= 1
}

fn covers(activated: &ActivatedView, moment: WallTime) -> bool {
    activated.activated_at <= moment
}
