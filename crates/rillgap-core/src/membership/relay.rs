//! What relays do: exchange digests, tell members the status, accuse silent members.

use std::collections::BTreeSet;

use crate::action::Outbox;
use crate::id::{Incarnation, NodeId, ViewVersion};
use crate::time::{Instant, Now};

use super::agreement::latest_agreed;
use super::change::Removal;
use super::detector::DigestOrigin;
use super::heartbeat::status_digest;
use super::message::{
    Exchange, MembershipMessage, RemovalCause, RemovalRequest, Status, ZoneDigest,
};
use super::protocol::{Accusation, Protocol};
use super::timing::{
    EXCHANGE_INTERVAL, FRESH_LIMIT, NAMED_LIMIT, REMOVE_AFTER, REMOVE_UNLISTED_AFTER, SUSPECT_AFTER,
};
use super::topology::{RegionId, ZoneId};

impl Protocol {
    /// Does what is due if this node is a relay.
    pub fn tick_relay(&mut self, now: Instant, out: &mut Outbox) {
        if !self.roles.relay || now < self.next_exchange {
            return;
        }
        self.next_exchange = self.after_exchange(now);
        self.digest_own_zone(now);
        let agreed = latest_agreed(&self.log, &self.digests, &self.view, self.agreed);
        self.note_agreed(now, agreed);
        let majority =
            self.digests
                .majority_not_beyond(&self.log, self.view.version, self.view.members.len());
        self.lease = self.lease.max(majority);
        self.update_status(now);
        for partner in self.exchange_partners(now) {
            self.send_exchange(now, partner, false, out);
        }
        self.propose_removals(now, out);
    }

    fn digest_own_zone(&mut self, now: Instant) {
        let digest = self.own_digest(now);
        self.digests.insert(now, digest, Some(now), false);
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
        self.detector.digest(now, origin, self.own_heard(now))
    }

    /// Returns the relays with which this node exchanges digests now: those of the other zones
    /// of the region, the other one of its own and, for a region relay, those of other regions.
    pub fn exchange_partners(&self, now: Instant) -> Vec<NodeId> {
        let mut partners = BTreeSet::new();
        for zone in self.topology.zones_of(self.identity.region) {
            self.add_partners(now, self.relays_of(now, zone), &mut partners);
        }
        if self.roles.region_relay {
            for &region in self.topology.regions.keys() {
                if region != self.identity.region {
                    self.add_partners(now, self.region_relays(now, region), &mut partners);
                }
            }
        }
        partners.remove(&self.identity.id);
        partners.into_iter().collect()
    }

    fn add_partners(
        &self,
        now: Instant,
        relays: super::contact::LivePeers,
        partners: &mut BTreeSet<NodeId>,
    ) {
        partners.extend(relays.live);
        let retried = relays.silent.into_iter();
        partners.extend(retried.filter(|peer| self.contacts.is_retry_due(now, *peer)));
    }

    fn send_exchange(&mut self, now: Instant, to: NodeId, is_reply: bool, out: &mut Outbox) {
        let region = self.region_of(to);
        let accused = if self.topology.order(self.identity.zone).contains(&to) {
            self.accused(now)
        } else {
            Vec::new()
        };
        let exchange = Exchange {
            probe: self.probes.stamp(now),
            echo: self.probes.echo(now, to),
            is_reply,
            view: self.view.version,
            agreed: self.agreed,
            policy: self.policy,
            digests: self.digests_for(now, region),
            accused,
            leaving: self.store.leaving().take(NAMED_LIMIT).collect(),
        };
        self.contacts.sent(now, to);
        self.send(to, MembershipMessage::Exchange(Box::new(exchange)), out);
    }

    /// Returns the digests for which this node speaks to a region: to its own, its own zone's
    /// and those it had from other regions; to others, those of its whole region.
    fn digests_for(&self, now: Instant, region: Option<RegionId>) -> Vec<ZoneDigest> {
        let is_own_region = region == Some(self.identity.region);
        self.digests.outgoing(now, |zone, from_other_region| {
            if is_own_region {
                zone == self.identity.zone || from_other_region
            } else {
                !from_other_region && self.is_in_own_region(zone)
            }
        })
    }

    fn is_in_own_region(&self, zone: ZoneId) -> bool {
        self.topology
            .zones
            .get(&zone)
            .is_some_and(|zone| zone.region == self.identity.region)
    }

    fn region_of(&self, node: NodeId) -> Option<RegionId> {
        self.view
            .member(node)
            .map(|member| RegionId::from(&member.region))
    }

    pub fn on_exchange(
        &mut self,
        now: Now,
        from: NodeId,
        incarnation: Incarnation,
        exchange: Exchange,
        out: &mut Outbox,
    ) {
        if !self.is_member() {
            self.send(from, MembershipMessage::AlsoJoining, out);
            return;
        }
        if !self.is_current_run(from, incarnation) {
            return;
        }
        let now = now.instant;
        self.probes.received(now, from, exchange.probe);
        let spoken = exchange.echo.and_then(|echo| self.probes.date(now, echo));
        if let Some(spoken) = spoken {
            self.contacts.answered(from);
            self.note_contact(from, spoken);
        }
        let from_other_region = self.region_of(from) != Some(self.identity.region);
        for digest in exchange.digests {
            if digest.zone != self.identity.zone || !from_other_region {
                self.digests.insert(now, digest, spoken, from_other_region);
            }
        }
        self.note_policy(exchange.policy, from);
        self.note_agreed(now, exchange.agreed);
        if !exchange.leaving.is_empty() {
            self.take_leaving(&exchange.leaving);
        }
        let accusation = Accusation {
            nodes: exchange.accused,
            at: now,
        };
        self.accusations.insert(from, accusation);
        self.compare_views(now, from, exchange.view, out);
        if !exchange.is_reply && !self.exchange_partners(now).contains(&from) {
            self.send_exchange(now, from, true, out);
        }
    }

    fn note_contact(&mut self, from: NodeId, spoken: Instant) {
        let is_own_zone = self
            .view
            .member(from)
            .is_some_and(|member| member.zone == self.identity.member.zone);
        if is_own_zone {
            self.zone_contact = self.zone_contact.max(Some(spoken));
        } else {
            self.other_contact = self.other_contact.max(Some(spoken));
        }
    }

    /// Makes the status that members are told.
    fn update_status(&mut self, now: Instant) {
        let (policy, holder) = self
            .best_policy
            .filter(|(policy, _)| *policy > self.policy)
            .unwrap_or((self.policy, self.identity.id));
        let unconfirmed = self.count_unconfirmed(now, policy);
        let status = Status {
            view: self.view.version,
            agreed: self.agreed,
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
        suspects.into_iter().take(2 * NAMED_LIMIT).collect()
    }

    fn silent_zones(&self, now: Instant) -> Vec<ZoneId> {
        self.topology
            .zones
            .keys()
            .copied()
            .filter(|zone| *zone != self.identity.zone && !self.digests.is_fresh(now, *zone))
            .collect()
    }

    /// Returns the members of the own zone that have been silent long enough to be removed.
    fn accused(&self, now: Instant) -> Vec<NodeId> {
        self.silent_members(now, REMOVE_AFTER)
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

    /// Asks for the removal of members whom both relays no longer hear, unless half of the zone
    /// is silent: then this node may well be the one that is cut off.
    fn propose_removals(&mut self, now: Instant, out: &mut Outbox) {
        let zone_size = self.topology.order(self.identity.zone).len();
        let suspected = self.silent_members(now, SUSPECT_AFTER).count();
        let hears_majority = 2 * (zone_size - suspected) >= zone_size;
        let agreed_by_other = self.accused_by_other(now);
        let mut requests: Vec<RemovalRequest> = Vec::new();
        for removal in self.silent_members(now, REMOVE_AFTER) {
            let is_agreed = agreed_by_other
                .as_ref()
                .is_none_or(|nodes| nodes.contains(&removal.node));
            if hears_majority && is_agreed {
                requests.push(RemovalRequest {
                    removal,
                    cause: RemovalCause::Silent,
                });
            }
        }
        for removal in self.silent_members(now, REMOVE_UNLISTED_AFTER) {
            requests.push(RemovalRequest {
                removal,
                cause: RemovalCause::Unlisted,
            });
        }
        self.submit(now, Vec::new(), requests, out);
    }

    /// Returns whom the other live relay of the zone accuses; `None` if there is no such relay.
    fn accused_by_other(&self, now: Instant) -> Option<Vec<NodeId>> {
        let relays = self.zone_relays(now);
        let other = relays
            .live
            .into_iter()
            .find(|relay| *relay != self.identity.id)?;
        let accusation = self
            .accusations
            .get(&other)
            .filter(|accusation| now.saturating_since(accusation.at) <= 3 * EXCHANGE_INTERVAL);
        Some(accusation.map_or_else(Vec::new, |accusation| accusation.nodes.clone()))
    }

    /// Asks the other side for a newer view, or sends it ours.
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
            let message = self.news_since(version);
            self.send(peer, message, out);
        }
    }

    /// Returns the zones of the view that were not heard of for a long time.
    pub fn zones_unheard(&self, now: Instant, watching_since: Instant) -> Vec<ZoneId> {
        self.topology
            .zones
            .keys()
            .copied()
            .filter(|zone| *zone != self.identity.zone)
            .filter(|zone| {
                let last = self.digests.last_received(*zone).unwrap_or(watching_since);
                now.saturating_since(last.max(watching_since)) >= REMOVE_UNLISTED_AFTER
            })
            .collect()
    }

    /// Returns whether a received status is recent enough to go by.
    pub fn is_status_recent(now: Instant, confirmed_at: Instant) -> bool {
        now.saturating_since(confirmed_at) <= FRESH_LIMIT
    }
}
