//! Queries of other modules: confirmed policies, reachability, member status, update targets.

use std::collections::BTreeSet;

use crate::id::{NodeId, NodeName, PolicyVersion};
use crate::operator::{MAX_NAMED_NODES, MemberStatus};
use crate::time::Instant;
use crate::view::Member;

use super::Unconfirmed;
use super::message::Status;
use super::protocol::Protocol;
use super::timing::MAX_LISTED_NODES;
use super::topology::ZoneId;

/// Members that are not known to have confirmed a policy version, by identifier.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedNodes {
    /// Number of these members.
    pub missing: u32,
    /// Some of these members.
    pub nodes: Vec<NodeId>,
}

impl Protocol {
    /// Counts, by digests, the members that are not known to have confirmed a policy version.
    pub fn count_unconfirmed(&self, now: Instant, version: PolicyVersion) -> UnconfirmedNodes {
        let mut unconfirmed = UnconfirmedNodes::default();
        for &zone in self.topology.zones.keys() {
            let confirmed =
                self.digests
                    .confirmed_policies(now, &self.log, zone, self.view.version, version);
            let missing = self.topology.zone_size(zone).saturating_sub(confirmed);
            if missing > 0 {
                unconfirmed.missing += missing;
                self.name_unconfirmed(now, zone, &mut unconfirmed.nodes);
            }
        }
        unconfirmed.nodes.truncate(MAX_LISTED_NODES);
        unconfirmed
    }

    /// Adds members of a zone that may not have confirmed the policy: the silent and lagging ones
    /// of its digests, or the first ones of the zone if there is no recent digest.
    fn name_unconfirmed(&self, now: Instant, zone: ZoneId, nodes: &mut Vec<NodeId>) {
        let is_silent = !self.digests.is_fresh(now, zone);
        if is_silent {
            nodes.extend(self.topology.order(zone).iter().take(MAX_LISTED_NODES));
        }
        for digest in self.digests.fresh(now, zone) {
            let named = digest.silent.iter().chain(&digest.lagging);
            for node in named {
                if !nodes.contains(node) {
                    nodes.push(*node);
                }
            }
        }
    }

    /// Returns the status of the deployment: a relay's own status, or else the recently received
    /// one with the highest policy, the fewest unconfirmed members and the latest view, in this
    /// order of priority.
    pub fn status(&self) -> Option<&Status> {
        if let Some((status, _)) = &self.own_status {
            return Some(status);
        }
        self.statuses
            .values()
            .filter(|received| Self::is_status_recent(self.last_poll, received.confirmed_at))
            .max_by_key(|received| {
                let status = &received.status;
                (
                    status.policy,
                    std::cmp::Reverse(status.unconfirmed),
                    status.view,
                )
            })
            .map(|received| &received.status)
    }

    /// Returns the members that are not known to have confirmed a policy version.
    pub fn unconfirmed(&self, version: PolicyVersion) -> Unconfirmed {
        if self.roles.relay {
            let unconfirmed = self.count_unconfirmed(self.last_poll, version);
            return self.with_names(unconfirmed.missing, &unconfirmed.nodes);
        }
        match self.status() {
            Some(status) if status.policy >= version && status.view >= self.view.version => {
                self.with_names(status.unconfirmed, &status.lagging)
            }
            _ => self.all_unconfirmed(),
        }
    }

    fn with_names(&self, missing: u32, nodes: &[NodeId]) -> Unconfirmed {
        Unconfirmed {
            missing,
            nodes: self.names(nodes.iter().copied()),
        }
    }

    /// Returns all members as unconfirmed: without a usable status it is unknown whether relays
    /// have received any confirmation, even that of this node.
    fn all_unconfirmed(&self) -> Unconfirmed {
        Unconfirmed {
            missing: u32::try_from(self.view.members.len()).unwrap_or(u32::MAX),
            nodes: self.names(self.view.members.iter().map(|member| member.id())),
        }
    }

    fn names(&self, nodes: impl Iterator<Item = NodeId>) -> Vec<NodeName> {
        nodes
            .filter_map(|node| self.view.member(node))
            .map(|member| member.name.clone())
            .take(MAX_NAMED_NODES)
            .collect()
    }

    /// Returns whether a node is a member that is not suspected and whose zone is not silent.
    pub fn is_reachable(&self, node: NodeId) -> bool {
        self.view
            .member(node)
            .is_some_and(|member| self.is_member_reachable(member, node))
    }

    fn is_member_reachable(&self, member: &Member, node: NodeId) -> bool {
        if node == self.identity.id {
            return true;
        }
        self.status().is_none_or(|status| {
            let zone = ZoneId::from(&member.zone);
            !status.suspects.contains(&node) && !status.silent_zones.contains(&zone)
        })
    }

    /// Returns the status of every member; its policy is the default version if it is unknown.
    pub fn member_status(&self) -> Vec<MemberStatus> {
        let status = self.status();
        let lagging: BTreeSet<NodeId> = status
            .iter()
            .flat_map(|status| status.lagging.iter().copied())
            .collect();
        let confirmed = status.map_or(PolicyVersion::default(), |status| status.policy);
        self.view
            .members
            .iter()
            .map(|member| {
                let node = member.id();
                let reachable = self.is_member_reachable(member, node);
                let policy = if node == self.identity.id {
                    self.policy
                } else if reachable && !lagging.contains(&node) {
                    confirmed
                } else {
                    PolicyVersion::default()
                };
                MemberStatus {
                    node: member.name.clone(),
                    zone: member.zone.clone(),
                    reachable,
                    policy,
                }
            })
            .collect()
    }

    /// Returns the nodes to which this node forwards updates.
    pub fn spread_targets(&self) -> Vec<NodeId> {
        let now = self.last_poll;
        let mut targets: BTreeSet<NodeId> = BTreeSet::new();
        if self.roles.relay {
            targets.extend(self.topology.order(self.identity.zone));
        } else {
            targets.extend(self.zone_relays(now).live);
        }
        targets.extend(self.partners(now));
        targets.remove(&self.identity.id);
        targets.into_iter().collect()
    }
}
