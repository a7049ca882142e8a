//! Exchange of digests between the relays of zones and regions.
//!
//! The relays of a zone send their digest to the relays of the region. Each relay of a region
//! collects these digests, exchanges them with one relay of every other region, and sends the
//! digests of all other zones to the relays of its own zones.

use std::collections::BTreeSet;

use crate::action::Outbox;
use crate::id::{Incarnation, NodeId};
use crate::time::{Instant, Now};

use super::contact::LivePeers;
use super::message::{Exchange, MembershipMessage, ZoneDigest};
use super::protocol::{FailureReport, Protocol};
use super::timing::{MAX_LISTED_NODES, REGION_EXCHANGE_INTERVAL};
use super::topology::{RegionId, ZoneId};

impl Protocol {
    /// Sends the exchanges that are due if this node is a relay of its region or a standby.
    pub fn tick_region(&mut self, now: Instant, out: &mut Outbox) {
        let takes_part = self.roles.region_relay || self.roles.region_standby;
        if !takes_part || now < self.next_region_exchange {
            return;
        }
        self.next_region_exchange = self.after(now, REGION_EXCHANGE_INTERVAL);
        for partner in self.region_partners(now) {
            self.send_exchange(now, partner, false, out);
        }
    }

    /// Returns all nodes with which this node exchanges digests.
    pub fn partners(&self, now: Instant) -> BTreeSet<NodeId> {
        let mut partners = self.relay_partners(now);
        partners.extend(self.region_partners(now));
        partners
    }

    /// Returns the exchange partners of a zone relay: the other relay of its zone and the relays of
    /// the region.
    pub fn relay_partners(&self, now: Instant) -> BTreeSet<NodeId> {
        let mut partners = BTreeSet::new();
        if self.roles.relay {
            self.add_partners(now, self.zone_relays(now), &mut partners);
            let region = self.region_relays(now, self.identity.region);
            self.add_partners(now, region, &mut partners);
        }
        partners.remove(&self.identity.id);
        partners
    }

    /// Returns the exchange partners of a region relay: the relays of all zones of the region, the
    /// other relay of the region, and one relay of each other region. The partners of a standby are
    /// the region relays, so that it detects their failure.
    fn region_partners(&self, now: Instant) -> BTreeSet<NodeId> {
        let mut partners = BTreeSet::new();
        if self.roles.region_relay || self.roles.region_standby {
            let region = self.region_relays(now, self.identity.region);
            self.add_partners(now, region, &mut partners);
        }
        if self.roles.region_relay {
            for zone in self.topology.zones_of(self.identity.region) {
                self.add_partners(now, self.relays_of(now, zone), &mut partners);
            }
            for &region in self.topology.regions.keys() {
                if region != self.identity.region {
                    partners.extend(self.counterpart(now, region));
                }
            }
        }
        partners.remove(&self.identity.id);
        partners
    }

    /// Returns the relay of another region with which this region relay exchanges digests. Relays
    /// are paired by position, the first with the first and the second with the second. A silent
    /// relay whose retry is due takes precedence.
    pub fn counterpart(&self, now: Instant, region: RegionId) -> Option<NodeId> {
        let own = self.region_relays(now, self.identity.region).live;
        let position = own.iter().position(|node| *node == self.identity.id)?;
        let others = self.region_relays(now, region);
        let retried = others
            .silent
            .iter()
            .find(|peer| self.contacts.is_retry_due(now, **peer));
        let count = others.live.len().max(1);
        retried
            .or_else(|| others.live.get(position % count))
            .copied()
    }

    fn add_partners(&self, now: Instant, relays: LivePeers, partners: &mut BTreeSet<NodeId>) {
        partners.extend(relays.live);
        let retried = relays.silent.into_iter();
        partners.extend(retried.filter(|peer| self.contacts.is_retry_due(now, *peer)));
    }

    /// Sends an exchange; a zone relay's list of presumed failed members goes to its zone only.
    pub fn send_exchange(&mut self, now: Instant, to: NodeId, is_reply: bool, out: &mut Outbox) {
        let presumed_failed = if self.topology.order(self.identity.zone).contains(&to) {
            self.presumed_failed(now)
        } else {
            Vec::new()
        };
        let exchange = Exchange {
            probe: self.probes.stamp(now),
            echo: self.probes.echo(now, to),
            is_reply,
            view: self.view.version,
            agreed: self.agreed,
            confirmed_by_all: self.confirmed_by_all,
            policy: self.policy,
            digests: self.digests_for(now, to),
            presumed_failed,
            leaving: self.store.leaving().take(MAX_LISTED_NODES).collect(),
        };
        self.contacts.record_sent(now, to);
        self.send(to, MembershipMessage::Exchange(Box::new(exchange)), out);
    }

    /// Returns the digests that this node sends to `to`: the own region's digests to another
    /// region; within the region the own zone's digest, and those of all other zones if this node
    /// is the region relay responsible for `to`.
    fn digests_for(&self, now: Instant, to: NodeId) -> Vec<ZoneDigest> {
        let Some(member) = self.view.member(to) else {
            return Vec::new();
        };
        let zone = ZoneId::from(&member.zone);
        if RegionId::from(&member.region) != self.identity.region {
            return self
                .digests
                .outgoing(now, |zone| self.is_in_own_region(zone));
        }
        let sends_other_zones = self.roles.region_relay && self.is_responsible_for(now, to);
        let is_relay = self.roles.relay;
        self.digests.outgoing(now, |other| {
            let is_own = other == self.identity.zone;
            (is_relay && is_own) || (sends_other_zones && other != zone)
        })
    }

    /// Returns whether this region relay sends the digests of other zones to `to`. Receivers are
    /// divided among the region relays by identifier; another region relay receives them from each.
    fn is_responsible_for(&self, now: Instant, to: NodeId) -> bool {
        let relays = self.region_relays(now, self.identity.region).live;
        let count = relays.len().max(1) as u64;
        let position = (to.0 % count) as usize;
        relays.contains(&to) || relays.get(position) == Some(&self.identity.id)
    }

    fn is_in_own_region(&self, zone: ZoneId) -> bool {
        self.topology
            .zones
            .get(&zone)
            .is_some_and(|zone| zone.region == self.identity.region)
    }

    /// Handles an exchange. Replies to it, unless it is a reply itself or its sender is a partner
    /// that receives the regular exchanges of this node.
    pub fn on_exchange(
        &mut self,
        now: Now,
        from: NodeId,
        incarnation: Incarnation,
        exchange: Exchange,
        out: &mut Outbox,
    ) {
        if !self.accepts_from(now.instant, from, incarnation, out) {
            return;
        }
        let now = now.instant;
        self.probes.record_received(now, from, exchange.probe);
        let sent_after = exchange.echo.and_then(|echo| self.probes.date(now, echo));
        if let Some(sent_after) = sent_after {
            self.contacts.record_answer(from);
            self.record_contact(from, sent_after);
        }
        for digest in exchange.digests {
            self.digests.insert(now, digest, sent_after);
        }
        self.record_policy(now, exchange.policy, from);
        self.record_agreed(now, exchange.agreed);
        self.record_confirmed_by_all(now, exchange.confirmed_by_all);
        if !exchange.leaving.is_empty() {
            self.record_leaving(&exchange.leaving);
        }
        let report = FailureReport {
            nodes: exchange.presumed_failed,
            at: now,
        };
        self.failure_reports.insert(from, report);
        self.compare_views(now, from, exchange.view, out);
        if !exchange.is_reply && !self.partners(now).contains(&from) {
            self.send_exchange(now, from, true, out);
        }
    }

    fn record_contact(&mut self, from: NodeId, sent_after: Instant) {
        let is_own_zone = self
            .view
            .member(from)
            .is_some_and(|member| member.zone == self.identity.member.zone);
        if is_own_zone {
            self.zone_contact = self.zone_contact.max(Some(sent_after));
        } else {
            self.other_contact = self.other_contact.max(Some(sent_after));
        }
    }
}
