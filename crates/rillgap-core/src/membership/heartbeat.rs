//! Sends and receives heartbeats and their acknowledgements.

use std::time::Duration;

use crate::action::Outbox;
use crate::id::{Incarnation, NodeId};
use crate::time::{Instant, Now};

use super::detector::HeartbeatRecord;
use super::digest::age_millis;
use super::message::{Acknowledgement, Heartbeat, Lease, MembershipMessage, Status};
use super::protocol::{Protocol, ReceivedStatus};
use super::timing::{
    HEARTBEAT_INTERVAL_PER_MEMBER, MAX_HEARTBEAT_INTERVAL, MIN_HEARTBEAT_INTERVAL,
};

impl Protocol {
    /// Sends the heartbeats that are due: to the live relays of the zone in rotation, or to all of
    /// them when a new policy or view is to be confirmed. Silent nodes that precede the relays in
    /// the zone's order are retried at most every
    /// [`SILENT_PEER_RETRY_INTERVAL`](super::timing::SILENT_PEER_RETRY_INTERVAL).
    pub fn tick_heartbeat(&mut self, now: Instant, out: &mut Outbox) {
        let confirmed = (self.policy, self.view.version);
        let has_unsent_confirmation = confirmed != self.announced;
        if !self.is_member() || (now < self.next_heartbeat && !has_unsent_confirmation) {
            return;
        }
        self.announced = confirmed;
        self.next_heartbeat = self.after(now, self.heartbeat_interval());
        let id = self.identity.id;
        let mut relays = self.zone_relays(now);
        relays.live.retain(|relay| *relay != id);
        if has_unsent_confirmation {
            relays.silent.append(&mut relays.live);
        } else if !relays.live.is_empty() {
            self.next_relay_index = (self.next_relay_index + 1) % relays.live.len();
            let relay = relays.live.get(self.next_relay_index).copied();
            relays.silent.extend(relay);
        }
        for relay in relays.silent {
            let is_due =
                !self.contacts.is_silent(now, relay) || self.contacts.is_retry_due(now, relay);
            if is_due {
                self.send_heartbeat(now, relay, out);
            }
        }
    }

    fn heartbeat_interval(&self) -> Duration {
        let members = self.topology.zone_size(self.identity.zone);
        (HEARTBEAT_INTERVAL_PER_MEMBER * members)
            .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }

    fn send_heartbeat(&mut self, now: Instant, relay: NodeId, out: &mut Outbox) {
        let heartbeat = Heartbeat {
            probe: self.probes.stamp(now),
            echo: self.probes.echo(now, relay),
            view: self.view.version,
            policy: self.policy,
            status_digest: self.statuses.get(&relay).map_or(0, |status| status.digest),
        };
        self.contacts.record_sent(now, relay);
        self.send(relay, MembershipMessage::Heartbeat(heartbeat), out);
    }

    /// Records a heartbeat and acknowledges it.
    pub fn on_heartbeat(
        &mut self,
        now: Now,
        from: NodeId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) {
        if !self.accepts_from(now.instant, from, incarnation, out) {
            return;
        }
        let now = now.instant;
        self.probes.record_received(now, from, heartbeat.probe);
        let record = HeartbeatRecord {
            incarnation,
            at: now,
            sent: heartbeat.echo.and_then(|echo| self.probes.date(now, echo)),
            view: heartbeat.view,
            policy: heartbeat.policy,
        };
        self.detector.record(from, record);
        self.record_policy(now, heartbeat.policy, from);
        self.acknowledge(now, from, heartbeat.status_digest, out);
        self.compare_views(now, from, heartbeat.view, out);
    }

    /// Sends an acknowledgement, with the status unless the member already has it.
    fn acknowledge(&mut self, now: Instant, to: NodeId, status_digest: u32, out: &mut Outbox) {
        let probe = self.probes.stamp(now);
        let Some(echo) = self.probes.echo(now, to) else {
            return;
        };
        let status = self
            .own_status
            .as_ref()
            .filter(|(_, digest)| *digest != status_digest)
            .map(|(status, _)| status.clone());
        let acknowledgement = Acknowledgement {
            probe,
            echo,
            lease: self.lease_for_members(now),
            status,
        };
        let message = MembershipMessage::Acknowledgement(Box::new(acknowledgement));
        self.send(to, message, out);
    }

    fn lease_for_members(&self, now: Instant) -> Option<Lease> {
        let lease = self.lease.filter(|_| self.roles.relay)?;
        Some(Lease {
            view: self.view.version,
            age_millis: age_millis(now, Some(lease)),
        })
    }

    /// Records the contact, lease and status of a relay's acknowledgement.
    pub fn on_acknowledgement(
        &mut self,
        now: Now,
        from: NodeId,
        incarnation: Incarnation,
        acknowledgement: Acknowledgement,
    ) {
        if !self.is_current_incarnation(from, incarnation) {
            return;
        }
        let now = now.instant;
        self.probes
            .record_received(now, from, acknowledgement.probe);
        if let Some(sent_after) = self.probes.date(now, acknowledgement.echo) {
            self.contacts.record_answer(from);
            self.zone_contact = self.zone_contact.max(Some(sent_after));
            self.record_lease(sent_after, acknowledgement.lease);
        }
        if let Some(status) = acknowledgement.status {
            self.record_status(now, from, *status);
        } else if let Some(known) = self.statuses.get_mut(&from) {
            known.confirmed_at = now;
        }
    }

    /// Extends the own lease by a relay's evidence. A lease for an earlier view is valid too:
    /// activating a view later than the own one also requires a majority of that earlier view's
    /// members.
    fn record_lease(&mut self, sent_after: Instant, lease: Option<Lease>) {
        let Some(lease) = lease else {
            return;
        };
        if lease.view <= self.view.version && lease.age_millis != u16::MAX {
            let evidence = sent_after - Duration::from_millis(u64::from(lease.age_millis));
            self.lease = self.lease.max(Some(evidence));
        }
    }

    fn record_status(&mut self, now: Instant, from: NodeId, status: Status) {
        self.record_policy(now, status.policy, status.holder);
        self.record_agreed(now, status.agreed);
        self.record_confirmed_by_all(now, status.confirmed_by_all);
        self.record_leaving(&status.leaving);
        let received = ReceivedStatus {
            digest: status_digest(&status),
            status,
            confirmed_at: now,
        };
        self.statuses.insert(from, received);
    }
}

/// Returns a hash that identifies the content of a status; never 0, which stands for no status.
pub fn status_digest(status: &Status) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(&bitcode::encode(status));
    ((hash & u64::from(u32::MAX)) as u32).max(1)
}
