//! Periodic work of zone relays: digests, the status for members, and removal of silent members.

use std::collections::BTreeSet;

use crate::action::Outbox;
use crate::id::{NodeId, ViewVersion};
use crate::time::Instant;

use super::agreement::{is_confirmed_by_all, latest_agreed};
use super::change::Removal;
use super::detector::DigestOrigin;
use super::heartbeat::status_digest;
use super::message::{RemovalCause, RemovalRequest, Status, ZoneDigest};
use super::protocol::Protocol;
use super::timing::{
    MAX_DIGEST_AGE, MAX_LISTED_NODES, RELAY_EXCHANGE_INTERVAL, REMOVAL_TIMEOUT, SUSPICION_TIMEOUT,
    UNLISTED_REMOVAL_TIMEOUT,
};
use super::topology::ZoneId;

impl Protocol {
    /// Performs the work that is due if this node is a relay of its zone.
    pub fn tick_relay(&mut self, now: Instant, out: &mut Outbox) {
        if !self.roles.relay || now < self.next_relay_exchange {
            return;
        }
        self.next_relay_exchange = self.after(now, RELAY_EXCHANGE_INTERVAL);
        self.digest_own_zone(now);
        let agreed = latest_agreed(&self.log, &self.digests, &self.view, self.agreed);
        self.record_agreed(now, agreed);
        self.detect_confirmed_by_all(now);
        let majority =
            self.digests
                .majority_evidence(&self.log, self.view.version, self.view.members.len());
        self.lease = self.lease.max(majority);
        self.update_status(now);
        for partner in self.relay_partners(now) {
            self.send_exchange(now, partner, false, out);
        }
        self.propose_removals(now, out);
    }

    fn detect_confirmed_by_all(&mut self, now: Instant) {
        let Some(activated) = self.history.latest_activated() else {
            return;
        };
        if is_confirmed_by_all(&self.log, &self.digests, &self.view, activated) {
            self.record_confirmed_by_all(now, self.view.version);
        }
    }

    fn digest_own_zone(&mut self, now: Instant) {
        let digest = self.own_digest(now);
        self.digests.insert(now, digest, Some(now));
    }

    fn own_digest(&self, now: Instant) -> ZoneDigest {
        let zone = self.identity.zone;
        let members = self.topology.order(zone);
        let rank = members
            .iter()
            .position(|node| *node == self.identity.id)
            .and_then(|rank| u16::try_from(rank).ok())
            .unwrap_or(u16::MAX);
        let origin = DigestOrigin {
            zone,
            rank,
            view: &self.view,
            members,
        };
        self.detector.digest(now, origin, self.own_record(now))
    }

    /// Builds the status that is sent to members.
    fn update_status(&mut self, now: Instant) {
        let (policy, holder) = self
            .best_policy
            .filter(|best| best.version > self.policy)
            .map_or((self.policy, self.identity.id), |best| {
                (best.version, best.holder)
            });
        let unconfirmed = self.count_unconfirmed(now, policy);
        let status = Status {
            view: self.view.version,
            agreed: self.agreed,
            confirmed_by_all: self.confirmed_by_all,
            policy,
            holder,
            unconfirmed: unconfirmed.missing,
            lagging: unconfirmed.nodes,
            suspects: self.suspects(now),
            silent_zones: self.silent_zones(now),
            leaving: self.leaving_hints(),
        };
        let digest = status_digest(&status);
        self.own_status = Some((Box::new(status), digest));
    }

    fn suspects(&self, now: Instant) -> Vec<NodeId> {
        let zones = self.topology.zones.keys();
        let suspects: BTreeSet<NodeId> = zones
            .flat_map(|zone| self.digests.fresh(now, *zone))
            .flat_map(|digest| digest.silent.iter().copied())
            .collect();
        suspects.into_iter().take(2 * MAX_LISTED_NODES).collect()
    }

    fn silent_zones(&self, now: Instant) -> Vec<ZoneId> {
        self.topology
            .zones
            .keys()
            .copied()
            .filter(|zone| *zone != self.identity.zone && !self.digests.is_fresh(now, *zone))
            .collect()
    }

    /// Returns the members of the own zone that have been silent for [`REMOVAL_TIMEOUT`].
    pub fn presumed_failed(&self, now: Instant) -> Vec<NodeId> {
        self.silent_members(now, REMOVAL_TIMEOUT)
            .map(|removal| removal.node)
            .collect()
    }

    fn silent_members(
        &self,
        now: Instant,
        limit: std::time::Duration,
    ) -> impl Iterator<Item = Removal> {
        self.topology
            .order(self.identity.zone)
            .iter()
            .filter(move |node| **node != self.identity.id)
            .filter_map(|node| self.view.member(*node))
            .filter(move |member| {
                self.detector.silence(now, member.id(), member.incarnation) >= limit
            })
            .map(|member| Removal {
                node: member.id(),
                incarnation: member.incarnation,
                zone: self.identity.zone,
                ended: false,
            })
    }

    /// Proposes the removal of members from which neither relay receives heartbeats, unless more
    /// than half of the zone is suspected: then this node may be the one that is partitioned.
    /// Members that are silent for [`UNLISTED_REMOVAL_TIMEOUT`] are proposed in any case, to be
    /// removed if the machine list omits them.
    fn propose_removals(&mut self, now: Instant, out: &mut Outbox) {
        let zone_size = self.topology.order(self.identity.zone).len();
        let suspected = self.silent_members(now, SUSPICION_TIMEOUT).count();
        let most_respond = 2 * (zone_size - suspected) >= zone_size;
        let reported_by_other = self.reported_by_other_relay(now);
        let mut requests: Vec<RemovalRequest> = Vec::new();
        for removal in self.silent_members(now, REMOVAL_TIMEOUT) {
            let is_reported_by_other = reported_by_other
                .as_ref()
                .is_none_or(|nodes| nodes.contains(&removal.node));
            if most_respond && is_reported_by_other {
                requests.push(RemovalRequest {
                    removal,
                    cause: RemovalCause::Silent,
                });
            }
        }
        for removal in self.silent_members(now, UNLISTED_REMOVAL_TIMEOUT) {
            requests.push(RemovalRequest {
                removal,
                cause: RemovalCause::Unlisted,
            });
        }
        self.submit(now, Vec::new(), requests, out);
    }

    /// Returns the members that the other live relay of the zone presumes failed; empty if its last
    /// report is too old, `None` if there is no other live relay.
    fn reported_by_other_relay(&self, now: Instant) -> Option<Vec<NodeId>> {
        let relays = self.zone_relays(now);
        let other = relays
            .live
            .into_iter()
            .find(|relay| *relay != self.identity.id)?;
        let report = self
            .failure_reports
            .get(&other)
            .filter(|report| now.saturating_since(report.at) <= 3 * RELAY_EXCHANGE_INTERVAL);
        Some(report.map_or_else(Vec::new, |report| report.nodes.clone()))
    }

    /// Requests the view from a peer with a later version, or sends the own changes to a peer with
    /// an earlier one.
    pub fn compare_views(
        &mut self,
        now: Instant,
        peer: NodeId,
        version: ViewVersion,
        out: &mut Outbox,
    ) {
        if version > self.view.version {
            self.request_view(now, peer, out);
        } else if version < self.view.version {
            let message = self.updates_since(version);
            self.send(peer, message, out);
        }
    }

    /// Returns the other zones of which no digest was received for [`UNLISTED_REMOVAL_TIMEOUT`].
    /// The time counts from `watching_since` at the earliest.
    pub fn expired_zones(&self, now: Instant, watching_since: Instant) -> Vec<ZoneId> {
        self.topology
            .zones
            .keys()
            .copied()
            .filter(|zone| *zone != self.identity.zone)
            .filter(|zone| {
                let last = self.digests.last_contact(*zone).unwrap_or(watching_since);
                now.saturating_since(last.max(watching_since)) >= UNLISTED_REMOVAL_TIMEOUT
            })
            .collect()
    }

    /// Returns whether a received status is recent enough to be used.
    pub fn is_status_recent(now: Instant, confirmed_at: Instant) -> bool {
        now.saturating_since(confirmed_at) <= MAX_DIGEST_AGE
    }
}
