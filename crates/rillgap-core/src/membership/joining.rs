//! How a fresh node gets into the view, and a stopping one out of it.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::action::Outbox;
use crate::id::{Incarnation, NodeId, ViewVersion};
use crate::node::NodeSettings;
use crate::time::Instant;
use crate::view::Member;

use super::change::Removal;
use super::message::{MembershipMessage, RemovalCause, RemovalRequest};
use super::protocol::Protocol;
use super::timing::{CONTACT_TIMEOUT, MEMBERSHIP_REQUEST_INTERVAL, STORE_FALLBACK_DELAY};

/// Delay between the seeds in their order, when each of them would create the first view.
const SEED_STAGGER: Duration = Duration::from_millis(500);
/// Random part of the delays.
const MAX_DELAY_JITTER: Duration = Duration::from_secs(2);
/// Time for which members of the view read from the store are asked first.
const SELF_ADD_DELAY: Duration = Duration::from_millis(1_500);
/// Longest interval between two requests to join.
const MAX_JOIN_REQUEST_INTERVAL: Duration = Duration::from_secs(4);
/// Longest time for which peers that are joining too keep a node from the store.
const MAX_STORE_POSTPONEMENT: Duration = Duration::from_secs(30);

/// Progress of a node that is not in the view.
#[derive(Debug)]
pub(super) struct Joining {
    started: Instant,
    next_request: Instant,
    interval: Duration,
    target_index: usize,
    postponed_until: Option<Instant>,
    /// When the node turns to the store itself.
    pub store_fallback_at: Instant,
    /// Whether the node writes itself into the view, having read it from the store.
    pub adds_itself: bool,
}

impl Joining {
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
        let spread = random.random_range(Duration::ZERO..MEMBERSHIP_REQUEST_INTERVAL / 2);
        Self {
            started: now,
            next_request: now + spread / 2,
            interval: MEMBERSHIP_REQUEST_INTERVAL,
            target_index: random.random_range(0..16),
            store_fallback_at: now + store_delay + spread,
            postponed_until: None,
            adds_itself: false,
        }
    }

    /// Makes the next request due.
    pub fn request_now(&mut self, now: Instant) {
        self.next_request = now;
    }

    /// Begins anew: the node was removed from the view.
    pub fn restart(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        self.started = now;
        self.interval = MEMBERSHIP_REQUEST_INTERVAL;
        self.schedule_request(now, random);
        self.postpone_store(now, random);
    }

    fn schedule_request(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        self.next_request = now + self.interval.mul_f64(random.random_range(0.8..1.2));
    }

    /// The view was read from the store: its members are asked first, then the node writes
    /// itself into it.
    pub fn schedule_self_add(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        if !self.adds_itself {
            self.adds_itself = true;
            self.store_fallback_at =
                now + SELF_ADD_DELAY + random.random_range(Duration::ZERO..MAX_DELAY_JITTER / 2);
        }
    }

    /// Returns whether somebody else keeps the node from the store.
    pub fn is_postponed(&self, now: Instant) -> bool {
        self.postponed_until.is_some_and(|until| now < until)
    }

    /// Keeps the node from the store for a while: somebody else takes care.
    fn postpone_store(&mut self, now: Instant, random: &mut ChaCha8Rng) {
        let delay = STORE_FALLBACK_DELAY + random.random_range(Duration::ZERO..MAX_DELAY_JITTER);
        self.store_fallback_at = self.store_fallback_at.max(now + delay);
        self.postponed_until = Some(self.store_fallback_at);
        self.adds_itself = false;
    }
}

impl Protocol {
    /// Returns whether this node wants to be in the view and is not.
    pub fn should_join(&self) -> bool {
        !self.is_member() && !self.superseded && self.leaving_since.is_none()
    }

    /// Asks peers to be added to the view or, having lost touch, for the view in force.
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

    /// Returns the next of the seeds and of the first members of the own zone, in turn.
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

    /// Handles the request of a node that wants to be in the view.
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
        if !self.is_current_run(member.id(), member.incarnation) {
            self.submit(now, vec![member], Vec::new(), out);
        }
    }

    /// Returns whether a message among members counts: this node is a member, and the sender's
    /// run is the one that the view names. A node that is still joining says so in reply.
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
        self.is_current_run(from, incarnation)
    }

    /// Returns the reply to a peer that is joining too.
    pub fn also_joining_reply(&self, now: Instant) -> MembershipMessage {
        let accesses_store = self.is_seed() || !self.joining.is_postponed(now);
        MembershipMessage::AlsoJoining { accesses_store }
    }

    fn is_seed(&self) -> bool {
        self.seeds
            .iter()
            .any(|seed| seed.name == self.identity.member.name)
    }

    /// Takes in that a peer is joining too: a node that is no seed waits for one that goes ahead
    /// and for one with a lower identifier, which may go ahead.
    pub fn on_also_joining(&mut self, now: Instant, from: NodeId, accesses_store: bool) {
        let may_postpone = now.saturating_since(self.joining.started) < MAX_STORE_POSTPONEMENT;
        let is_first = from < self.identity.id;
        if may_postpone && !self.is_seed() && (accesses_store || is_first) {
            let defers = is_first || self.seeds.iter().any(|seed| seed.name.id() == from);
            if defers {
                self.joining.postpone_store(now, &mut self.random);
            }
        }
    }

    /// Takes in that a member answered: it will see to the join, however long that takes.
    pub fn on_join_answered(&mut self, now: Instant) {
        if self.should_join() {
            self.joining.postpone_store(now, &mut self.random);
            self.joining.interval = (self.joining.interval * 2).min(MAX_JOIN_REQUEST_INTERVAL);
        }
    }

    /// Asks a store reader to take this node out of the view.
    pub fn tick_leaving(&mut self, now: Instant, out: &mut Outbox) {
        let is_due = self.leaving_since.is_some() && now >= self.joining.next_request;
        if !is_due || !self.is_member() {
            return;
        }
        self.joining.next_request = now + MEMBERSHIP_REQUEST_INTERVAL;
        let request = RemovalRequest {
            removal: Removal {
                node: self.identity.id,
                incarnation: self.identity.member.incarnation,
                zone: self.identity.zone,
                ended: true,
            },
            cause: RemovalCause::Left,
        };
        self.submit(now, Vec::new(), vec![request], out);
    }
}
