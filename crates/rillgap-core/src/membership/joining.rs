//! Joining: how a starting node is added to the view.
//!
//! A starting node sends join requests to the seeds and to the first members of its zone. If no
//! member answers, it accesses the store itself after a delay: the seeds one after the other in
//! their order, other nodes later and at random times. A node whose settings name no seeds does so
//! almost at once.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::action::Outbox;
use crate::id::{Incarnation, NodeId, ViewVersion};
use crate::node::NodeSettings;
use crate::time::Instant;
use crate::view::Member;

use super::message::MembershipMessage;
use super::protocol::Protocol;
use super::timing::{CONTACT_TIMEOUT, MEMBERSHIP_REQUEST_INTERVAL, STORE_FALLBACK_DELAY};

/// Delay between successive seeds before each accesses the store to create the first view.
const SEED_STAGGER: Duration = Duration::from_millis(500);
/// Maximum random part of the delays before store access.
const MAX_DELAY_JITTER: Duration = Duration::from_secs(2);
/// Time for which a node that read the view from the store sends join requests to its members,
/// before it adds itself.
const SELF_ADD_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum interval between two join requests.
const MAX_JOIN_REQUEST_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum time for which a node postpones store access in favour of other joining nodes.
const MAX_STORE_POSTPONEMENT: Duration = Duration::from_secs(30);

/// Join state of a node that is not in the view.
#[derive(Debug)]
pub(super) struct Joining {
    started: Instant,
    next_request: Instant,
    interval: Duration,
    target_index: usize,
    postponed_until: Option<Instant>,
    /// Time from which on the node accesses the store itself.
    pub store_fallback_at: Instant,
    /// Whether the node adds itself to the view that it read from the store.
    pub adds_itself: bool,
}

impl Joining {
    /// Creates the state of a starting node and schedules its first request and store access.
    pub fn new(now: Instant, settings: &NodeSettings, random: &mut ChaCha8Rng) -> Self {
        let rank = settings
            .seeds
            .iter()
            .position(|seed| seed.name == settings.name);
        let store_delay = match rank {
            Some(rank) => SEED_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX),
            None if settings.seeds.is_empty() => Duration::ZERO,
            None => STORE_FALLBACK_DELAY + random.random_range(Duration::ZERO..MAX_DELAY_JITTER),
        };
        let jitter = random.random_range(Duration::ZERO..MEMBERSHIP_REQUEST_INTERVAL / 2);
        Self {
            started: now,
            next_request: now + jitter / 2,
            interval: MEMBERSHIP_REQUEST_INTERVAL,
            target_index: random.random_range(0..16),
            store_fallback_at: now + store_delay + jitter,
            postponed_until: None,
            adds_itself: false,
        }
    }

    /// Restarts the join of a node that was removed from the view.
    pub fn restart(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        self.started = now;
        self.interval = MEMBERSHIP_REQUEST_INTERVAL;
        self.schedule_request(now, random);
        self.postpone_store(now, random);
    }

    fn schedule_request(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        self.next_request = now + self.interval.mul_f64(random.random_range(0.8..1.2));
    }

    /// Schedules the write by which the node adds itself to the view that it read from the store.
    /// The delay leaves time for the members of that view to answer join requests.
    pub fn schedule_self_add(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        if !self.adds_itself {
            self.adds_itself = true;
            self.store_fallback_at =
                now + SELF_ADD_DELAY + random.random_range(Duration::ZERO..MAX_DELAY_JITTER / 2);
        }
    }

    /// Returns whether the node postpones store access in favour of another node.
    pub fn is_postponed(&self, now: Instant) -> bool {
        self.postponed_until.is_some_and(|until| now < until)
    }

    /// Postpones store access in favour of other nodes, which can write the view.
    fn postpone_store(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        let delay = STORE_FALLBACK_DELAY + random.random_range(Duration::ZERO..MAX_DELAY_JITTER);
        self.store_fallback_at = self.store_fallback_at.max(now + delay);
        self.postponed_until = Some(self.store_fallback_at);
        self.adds_itself = false;
    }
}

impl Protocol {
    /// Returns whether this node is not in the view, is not leaving, and was not superseded by a
    /// later incarnation.
    pub fn should_join(&self) -> bool {
        !self.is_member() && !self.superseded && self.leave.is_none()
    }

    /// Sends a join request if one is due. A member that has lost contact with its zone sends one,
    /// too, to receive the view in force.
    pub fn tick_joining(&mut self, now: Instant, out: &mut Outbox) {
        let has_lost_contact = self.is_member()
            && !self.has_recent_contact(now)
            && now.saturating_since(self.joining.started) > 2 * CONTACT_TIMEOUT;
        if !(self.should_join() || has_lost_contact) || now < self.joining.next_request {
            return;
        }
        self.joining.schedule_request(now, &mut self.random);
        let Some((peer, address)) = self.next_join_target() else {
            return;
        };
        let message = MembershipMessage::Join {
            member: self.identity.member.clone(),
            known: self.view.version,
        };
        out.push(crate::action::Action::Send {
            to: peer,
            address,
            message: crate::message::PeerMessage::Membership(message),
        });
    }

    /// Returns the next target of a join request, in rotation over the seeds and the first four
    /// members of the own zone.
    fn next_join_target(&mut self) -> Option<(NodeId, std::net::SocketAddr)> {
        let id = self.identity.id;
        let seeds = self
            .seeds
            .iter()
            .map(|seed| (seed.name.id(), seed.mesh_address));
        let order = self.topology.order(self.identity.zone).iter().take(4);
        let members = order
            .filter_map(|node| self.view.member(*node))
            .map(|member| (member.id(), member.mesh_address));
        let mut targets: Vec<_> = seeds
            .chain(members)
            .filter(|target| target.0 != id)
            .collect();
        targets.dedup();
        self.joining.target_index = self.joining.target_index.wrapping_add(1);
        let count = targets.len().max(1);
        targets.get(self.joining.target_index % count).copied()
    }

    /// Handles a join request: replies with the changes of the view and submits the join. A node
    /// that is not a member itself only replies that it is joining, too.
    pub fn on_join(&mut self, now: Instant, member: Member, known: ViewVersion, out: &mut Outbox) {
        if !self.is_member() {
            self.send_to(&member, self.also_joining_reply(now), out);
            return;
        }
        let update = if known == self.view.version {
            MembershipMessage::Changes(Vec::new())
        } else {
            self.updates_since(known)
        };
        self.send_to(&member, update, out);
        let present = self.view.member(member.id());
        if present.is_none_or(|present| present.incarnation < member.incarnation) {
            self.submit(now, vec![member], Vec::new(), out);
        }
    }

    /// Returns whether to process a message between members: this node is a member, and the
    /// sender's incarnation is the one in the view. A node that is not a member replies that it is
    /// joining.
    pub fn accepts_from(
        &mut self,
        now: Instant,
        from: NodeId,
        incarnation: Incarnation,
        out: &mut Outbox,
    ) -> bool {
        if !self.is_member() {
            let message = self.also_joining_reply(now);
            self.send(from, message, out);
            return false;
        }
        self.is_current_incarnation(from, incarnation)
    }

    /// Returns the reply by which this node states that it is joining itself.
    pub fn also_joining_reply(&self, now: Instant) -> MembershipMessage {
        let accesses_store = self.is_seed() || !self.joining.is_postponed(now);
        MembershipMessage::AlsoJoining { accesses_store }
    }

    fn is_seed(&self) -> bool {
        self.seeds
            .iter()
            .any(|seed| seed.name == self.identity.member.name)
    }

    /// Handles the reply of a peer that is joining, too. A node that is not a seed postpones its
    /// store access in favour of a seed that accesses the store and of a peer with a lower
    /// identifier, for [`MAX_STORE_POSTPONEMENT`] since it started to join.
    pub fn on_also_joining(&mut self, now: Instant, from: NodeId, accesses_store: bool) {
        let may_postpone = now.saturating_since(self.joining.started) < MAX_STORE_POSTPONEMENT;
        let has_lower_id = from < self.identity.id;
        if may_postpone && !self.is_seed() && (accesses_store || has_lower_id) {
            let takes_precedence =
                has_lower_id || self.seeds.iter().any(|seed| seed.name.id() == from);
            if takes_precedence {
                self.joining.postpone_store(now, &mut self.random);
            }
        }
    }

    /// Handles a member's answer to a join request. That member submits the join, so this node
    /// postpones its store access and doubles the interval between requests.
    pub fn on_join_answered(&mut self, now: Instant) {
        if self.should_join() {
            self.joining.postpone_store(now, &mut self.random);
            self.joining.interval = (self.joining.interval * 2).min(MAX_JOIN_REQUEST_INTERVAL);
        }
    }
}
