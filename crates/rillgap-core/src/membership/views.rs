//! Adopts new views and forwards them to other nodes.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::action::Outbox;
use crate::id::{NodeId, ViewVersion};
use crate::time::Instant;
use crate::view::{Member, View};

use super::change::{StoredView, ViewChange, apply};
use super::message::MembershipMessage;
use super::protocol::Protocol;
use super::timing::VIEW_REQUEST_INTERVAL;
use super::topology::{Topology, ZoneId};

impl Protocol {
    /// Applies successive changes. If some are missing in between, requests the view from `from`.
    pub fn on_changes(
        &mut self,
        now: Instant,
        from: NodeId,
        changes: Vec<ViewChange>,
        out: &mut Outbox,
    ) {
        let before = Arc::clone(&self.view);
        let mut latest = self.view.version;
        for change in changes {
            latest = latest.max(change.version);
            if change.version.0 == self.view.version.0 + 1 {
                self.view = Arc::new(apply(&self.view, &change));
                self.log.push(change);
                self.history.push(Arc::clone(&self.view));
            }
        }
        if self.view.version > before.version {
            self.view_changed(now, &before, Some(from), out);
        }
        if latest > self.view.version {
            self.request_view(now, from, out);
        }
    }

    /// Adopts a whole view if it is newer. Applies its changes one by one if they reach back to the
    /// own view, so that the history has no gaps.
    pub fn on_full_view(
        &mut self,
        now: Instant,
        from: Option<NodeId>,
        stored: StoredView,
        out: &mut Outbox,
    ) {
        if stored.view.version <= self.view.version {
            self.record_agreed(now, stored.agreed);
            return;
        }
        let before = Arc::clone(&self.view);
        let mut next: Vec<ViewChange> = Vec::new();
        if before.version > ViewVersion::default() {
            let later = stored.changes.iter();
            next.extend(
                later
                    .filter(|change| change.version > before.version)
                    .cloned(),
            );
        }
        let is_successive = next
            .first()
            .is_some_and(|change| change.version.0 == before.version.0 + 1);
        if is_successive {
            self.on_changes(now, from.unwrap_or(self.identity.id), next, out);
        } else {
            self.view = Arc::new(stored.view);
            self.log.replace(stored.changes);
            self.history.push(Arc::clone(&self.view));
            self.view_changed(now, &before, from, out);
        }
        self.record_agreed(now, stored.agreed);
    }

    /// Returns the message that updates a peer from `version` to the view in force: the changes, or
    /// the whole view if the log does not reach back far enough.
    pub fn updates_since(&self, version: ViewVersion) -> MembershipMessage {
        let changes = Some(version)
            .filter(|version| *version > ViewVersion::default())
            .and_then(|version| self.log.after(version));
        changes.map_or_else(
            || MembershipMessage::FullView(Box::new(self.stored_view())),
            MembershipMessage::Changes,
        )
    }

    /// Returns the view in force in the format of the view object.
    pub fn stored_view(&self) -> StoredView {
        StoredView {
            view: self.view.as_ref().clone(),
            changes: self.log.to_vec(),
            agreed: self.agreed,
        }
    }

    /// Requests a newer view from a peer, at most once per [`VIEW_REQUEST_INTERVAL`].
    pub fn request_view(&mut self, now: Instant, peer: NodeId, out: &mut Outbox) {
        let is_due = self
            .last_view_request
            .is_none_or(|last| now.saturating_since(last) >= VIEW_REQUEST_INTERVAL);
        if is_due {
            self.last_view_request = Some(now);
            let known = self.view.version;
            self.send(peer, MembershipMessage::ViewRequest { known }, out);
        }
    }

    /// Updates everything that depends on the view and forwards it.
    fn view_changed(
        &mut self,
        now: Instant,
        before: &View,
        from: Option<NodeId>,
        out: &mut Outbox,
    ) {
        let was_last_live = self.is_member() && self.is_last_live_of_zone(now);
        self.update_is_member();
        let topology = Topology::of(&self.view);
        let earlier = std::mem::replace(&mut self.topology, topology);
        self.history.mark_agreed(now, self.agreed);
        self.history
            .mark_confirmed_by_all(now, self.confirmed_by_all);
        self.drop_ended_incarnations(before);
        if was_last_live {
            self.keep_serving_by_other_contact();
        }
        self.record_joins(now, before, &earlier);
        self.update_own_membership(now, before);
        self.update_roles(now);
        self.forward_view(now, before, from, out);
    }

    /// Drops the state of nodes whose incarnation is not in both views, and of removed zones.
    fn drop_ended_incarnations(&mut self, before: &View) {
        let view = &self.view;
        let incarnation_of = |view: &View, node| view.member(node).map(|member| member.incarnation);
        let is_member = |node: NodeId| {
            let incarnation = incarnation_of(view, node);
            incarnation.is_some() && incarnation == incarnation_of(before, node)
        };
        self.probes.retain(is_member);
        self.contacts.retain(is_member);
        self.detector.retain(is_member);
        self.statuses.retain(|node, _| is_member(*node));
        self.failure_reports.retain(|node, _| is_member(*node));
        let topology = &self.topology;
        self.digests
            .retain(|zone| topology.zones.contains_key(&zone));
    }

    /// Lets the last contact with another zone count as one with the own zone, of which this node was
    /// the last live member. No message to a member that has just joined can have been answered yet.
    /// That member reports this one as silent after
    /// [`REMOVAL_TIMEOUT`](super::timing::REMOVAL_TIMEOUT) at the earliest.
    fn keep_serving_by_other_contact(&mut self) {
        self.zone_contact = self.zone_contact.max(self.other_contact);
    }

    /// Records the zones that appeared after the view `before`, whose topology is `earlier`, and the
    /// members of the own zone that joined after it.
    fn record_joins(&mut self, now: Instant, before: &View, earlier: &Topology) {
        if before.version == ViewVersion::default() {
            return;
        }
        for &zone in self.topology.zones.keys() {
            if !earlier.zones.contains_key(&zone) {
                self.digests.record_zone(now, zone);
            }
        }
        for &node in self.topology.order(self.identity.zone) {
            let incarnation_in = |view: &View| view.member(node).map(|member| member.incarnation);
            if incarnation_in(before) != incarnation_in(&self.view) {
                self.detector.record_join(now, node);
            }
        }
    }

    /// Restarts the join if this incarnation was removed, and marks it as superseded if the view
    /// contains another one after it was a member.
    fn update_own_membership(&mut self, now: Instant, before: &View) {
        let is_member = self.is_member();
        let own_incarnation = self.identity.member.incarnation;
        let was_member = before
            .member(self.identity.id)
            .is_some_and(|member| member.incarnation == own_incarnation);
        if was_member && !is_member {
            self.joining.restart(now, &mut self.random);
        }
        let has_other_incarnation = self.view.member(self.identity.id).is_some() && !is_member;
        if has_other_incarnation && self.was_ever_member {
            self.superseded = true;
        }
        self.was_ever_member |= is_member;
        if is_member {
            self.joining.adds_itself = false;
        }
    }

    /// Forwards a new view to the exchange partners within the region. Zone relays also forward it
    /// to the members of the zone, including removed ones, so that these detect their removal.
    fn forward_view(&self, now: Instant, before: &View, from: Option<NodeId>, out: &mut Outbox) {
        let partners = self.partners(now);
        if before.version == ViewVersion::default() || partners.is_empty() {
            return;
        }
        let message = self.updates_since(before.version);
        let mut notified: BTreeSet<NodeId> = from.into_iter().collect();
        notified.insert(self.identity.id);
        for partner in partners {
            let member = self.view.member(partner);
            let member = member.filter(|member| member.region == self.identity.member.region);
            if let Some(member) = member.filter(|_| notified.insert(partner)) {
                self.send_to(member, message.clone(), out);
            }
        }
        if self.roles.relay {
            self.forward_to_zone(before, &message, &mut notified, out);
        }
        if self.roles.region_relay {
            self.forward_to_vanished_zones(before, &message, &mut notified, out);
        }
    }

    /// Forwards a new view to the removed members of zones that have no member left to do so.
    fn forward_to_vanished_zones(
        &self,
        before: &View,
        message: &MembershipMessage,
        notified: &mut BTreeSet<NodeId>,
        out: &mut Outbox,
    ) {
        let region = &self.identity.member.region;
        let has_vanished =
            |member: &&Arc<Member>| self.topology.order(ZoneId::from(&member.zone)).is_empty();
        let in_region = before
            .members
            .iter()
            .filter(|member| member.region == *region);
        for member in in_region.filter(has_vanished) {
            if notified.insert(member.id()) {
                self.send_to(member, message.clone(), out);
            }
        }
    }

    fn forward_to_zone(
        &self,
        before: &View,
        message: &MembershipMessage,
        notified: &mut BTreeSet<NodeId>,
        out: &mut Outbox,
    ) {
        let zone = &self.identity.member.zone;
        let in_zone = |member: &&Arc<Member>| member.zone == *zone;
        for member in self.view.members.iter().filter(in_zone) {
            if notified.insert(member.id()) {
                self.send_to(member, message.clone(), out);
            }
        }
        for member in before.members.iter().filter(in_zone) {
            if notified.insert(member.id()) {
                self.send_to(member, message.clone(), out);
            }
        }
    }
}
