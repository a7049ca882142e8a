//! State of the membership protocol at one node, its periodic work and the dispatch of messages.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::action::{Action, Outbox};
use crate::id::{Incarnation, NodeId, PolicyVersion, ViewVersion};
use crate::message::PeerMessage;
use crate::node::{NodeSettings, SeedPeer};
use crate::time::{Instant, Now};
use crate::view::{Member, View};

use super::change::ChangeLog;
use super::contact::{Contacts, LivePeers};
use super::detector::{Detector, HeartbeatRecord};
use super::digest::DigestTable;
use super::history::ViewHistory;
use super::joining::Joining;
use super::leaving::Leave;
use super::message::{MembershipMessage, Status};
use super::probe::ProbeClock;
use super::proposal::Proposals;
use super::store_client::StoreClient;
use super::timing::{
    CONTACT_TIMEOUT, POLICY_PROPAGATION_TIME, PROCESS_PAUSE_THRESHOLD, REGION_RELAYS_AND_STANDBYS,
    RELAYS_PER_GROUP, TICK, VOTE_LEASE,
};
use super::topology::{RegionId, Topology, ZoneId};

/// Identity of this node.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub id: NodeId,
    pub member: Member,
    pub zone: ZoneId,
    pub region: RegionId,
}

/// Present roles of this node, derived from the view and from which peers answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Roles {
    /// Among the first live members of its zone: receives the heartbeats of the zone.
    pub relay: bool,
    /// Among the first live members of its region's order: collects the digests of its zones,
    /// exchanges them with other regions, and reads and writes the store.
    pub region_relay: bool,
    /// Near the head of the region's order but not a region relay: detects the failure of the
    /// region relays in order to replace them.
    pub region_standby: bool,
}

/// Highest known policy version, a node that has it, and when it became known.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownPolicy {
    pub version: PolicyVersion,
    pub holder: NodeId,
    pub since: Instant,
}

/// Status received from a relay.
#[derive(Clone, Debug)]
pub(super) struct ReceivedStatus {
    pub status: Status,
    /// Hash of the status. Heartbeats carry it, so that the relay omits an unchanged status.
    pub digest: u32,
    /// Last time at which the relay sent or confirmed this status.
    pub confirmed_at: Instant,
}

/// Members that another relay of the zone presumes failed.
#[derive(Clone, Debug)]
pub(super) struct FailureReport {
    pub nodes: Vec<NodeId>,
    pub at: Instant,
}

/// State of the membership protocol at one node.
#[derive(Debug)]
pub(super) struct Protocol {
    pub identity: Identity,
    pub seeds: Vec<SeedPeer>,
    pub random: ChaCha8Rng,
    pub view: Arc<View>,
    pub topology: Topology,
    pub log: ChangeLog,
    pub history: ViewHistory,
    /// Latest view that joint majorities have confirmed.
    pub agreed: ViewVersion,
    /// Latest view that all members that have not ended have confirmed.
    pub confirmed_by_all: ViewVersion,
    /// Policy version in force at this node.
    pub policy: PolicyVersion,
    /// Highest known policy version; `None` if no node has reported any.
    pub best_policy: Option<KnownPolicy>,
    pub roles: Roles,
    pub probes: ProbeClock,
    pub contacts: Contacts,
    pub detector: Detector,
    pub digests: DigestTable,
    /// Status that this relay sends to members, with its hash; `None` at other nodes.
    pub own_status: Option<(Box<Status>, u32)>,
    /// Last status received from each relay.
    pub statuses: BTreeMap<NodeId, ReceivedStatus>,
    /// Last failure report of each exchange partner.
    pub failure_reports: BTreeMap<NodeId, FailureReport>,
    /// Lower bound on the time of the evidence on which this node votes.
    pub lease: Option<Instant>,
    /// Lower bound on the time of the last message from the own zone that echoes one of this node,
    /// which proves that the zone receives this node's messages. When other members join a zone of
    /// which this node was the last live member, it starts from `other_contact`.
    pub zone_contact: Option<Instant>,
    /// Counterpart of `zone_contact` for relays of other zones.
    pub other_contact: Option<Instant>,
    pub joining: Joining,
    pub proposals: Proposals,
    pub store: StoreClient,
    /// State of the planned leave; `None` if the node is not leaving.
    pub leave: Option<Leave>,
    /// Whether the view has contained a later incarnation of this node, after which this one must
    /// not join again.
    pub superseded: bool,
    /// Whether any view has contained this incarnation.
    pub was_ever_member: bool,
    /// Whether the view contains this incarnation; cached because every step needs it.
    is_member: bool,
    pub last_poll: Instant,
    pub next_tick: Instant,
    pub next_heartbeat: Instant,
    pub next_relay_exchange: Instant,
    pub next_region_exchange: Instant,
    pub last_view_request: Option<Instant>,
    pub next_relay_index: usize,
    /// Policy and view that were confirmed in the last heartbeats.
    pub announced: (PolicyVersion, ViewVersion),
}

impl Protocol {
    /// Creates the state of a starting node.
    pub fn new(now: Now, settings: &NodeSettings) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.random_seed ^ settings.incarnation.0);
        let identity = Identity {
            id: settings.id(),
            zone: ZoneId::from(&settings.zone),
            region: RegionId::from(&settings.region),
            member: Member {
                name: settings.name.clone(),
                zone: settings.zone.clone(),
                region: settings.region.clone(),
                incarnation: settings.incarnation,
                mesh_address: settings.mesh_address,
            },
        };
        let first_probe = random.random();
        let joining = Joining::new(now.instant, settings, &mut random);
        let view = Arc::new(settings.initial_view.clone().unwrap_or_default());
        let mut protocol = Self {
            identity,
            seeds: settings.seeds.clone(),
            topology: Topology::of(&view),
            view,
            log: ChangeLog::default(),
            history: ViewHistory::default(),
            agreed: ViewVersion::default(),
            confirmed_by_all: ViewVersion::default(),
            policy: PolicyVersion::default(),
            best_policy: None,
            roles: Roles::default(),
            probes: ProbeClock::new(first_probe),
            contacts: Contacts::default(),
            detector: Detector::default(),
            digests: DigestTable::default(),
            own_status: None,
            statuses: BTreeMap::new(),
            failure_reports: BTreeMap::new(),
            lease: None,
            zone_contact: None,
            other_contact: None,
            joining,
            proposals: Proposals::default(),
            store: StoreClient::default(),
            leave: None,
            superseded: false,
            was_ever_member: false,
            is_member: false,
            last_poll: now.instant,
            next_tick: now.instant,
            next_heartbeat: now.instant,
            next_relay_exchange: now.instant,
            next_region_exchange: now.instant,
            announced: (PolicyVersion::default(), ViewVersion::default()),
            last_view_request: None,
            next_relay_index: 0,
            random,
        };
        protocol.update_is_member();
        protocol
    }

    /// Returns whether the view contains this incarnation of this node.
    pub fn is_member(&self) -> bool {
        self.is_member
    }

    /// Updates the cached result of [`Self::is_member`]; called after each change of the view.
    pub fn update_is_member(&mut self) {
        self.is_member =
            self.is_current_incarnation(self.identity.id, self.identity.member.incarnation);
    }

    /// Returns whether the view contains the given incarnation of a node.
    pub fn is_current_incarnation(&self, node: NodeId, incarnation: Incarnation) -> bool {
        self.view
            .member(node)
            .is_some_and(|member| member.incarnation == incarnation)
    }

    /// Performs the periodic work once per [`TICK`].
    pub fn poll(&mut self, now: Now, out: &mut Outbox) {
        self.detect_process_pause(now.instant);
        self.last_poll = now.instant;
        if now.instant < self.next_tick {
            return;
        }
        self.next_tick = now.instant + TICK;
        self.update_roles(now.instant);
        self.tick_joining(now.instant, out);
        self.tick_heartbeat(now.instant, out);
        self.tick_relay(now.instant, out);
        self.tick_region(now.instant, out);
        self.tick_store(now.instant, out);
        self.tick_leaving(now.instant, out);
        self.history.poll(now);
    }

    /// Drops all evidence after a process pause. It may be outdated, and members must not be
    /// presumed failed because their heartbeats were not processed during the pause.
    fn detect_process_pause(&mut self, now: Instant) {
        if now.saturating_since(self.last_poll) <= PROCESS_PAUSE_THRESHOLD {
            return;
        }
        self.probes.reset();
        self.contacts.reset();
        self.detector.reset(now);
        self.digests.reset();
        self.statuses.clear();
        self.failure_reports.clear();
        self.lease = None;
        self.zone_contact = None;
        self.other_contact = None;
        self.next_heartbeat = now;
        self.next_relay_exchange = now;
        self.next_region_exchange = now;
    }

    /// Derives the roles from the view and from which peers answer.
    pub fn update_roles(&mut self, now: Instant) {
        let id = self.identity.id;
        let is_member = self.is_member();
        let region = self.identity.region;
        let relay = is_member && self.zone_relays(now).live.contains(&id);
        let region_relay = is_member && self.region_relays(now, region).live.contains(&id);
        let first = self.topology.region_order(region).iter();
        let is_near_head = first
            .take(REGION_RELAYS_AND_STANDBYS)
            .any(|node| *node == id);
        self.roles = Roles {
            relay,
            region_relay,
            region_standby: is_member && is_near_head && !region_relay,
        };
        self.detector.set_relay(now, relay);
        if !relay {
            self.own_status = None;
        }
    }

    /// Returns the relays of the own zone, possibly including this node.
    pub fn zone_relays(&self, now: Instant) -> LivePeers {
        self.relays_of(now, self.identity.zone)
    }

    /// Returns the relays of a zone.
    pub fn relays_of(&self, now: Instant, zone: ZoneId) -> LivePeers {
        self.contacts
            .first_live(now, self.topology.order(zone), RELAYS_PER_GROUP)
    }

    /// Returns the relays of a region.
    pub fn region_relays(&self, now: Instant, region: RegionId) -> LivePeers {
        self.contacts
            .first_live(now, self.topology.region_order(region), RELAYS_PER_GROUP)
    }

    pub fn may_serve(&self, now: Now) -> bool {
        self.leave.is_none() && self.may_claim(now)
    }

    pub fn may_claim(&self, now: Now) -> bool {
        let now = now.instant;
        let not_paused = now.saturating_since(self.last_poll) <= PROCESS_PAUSE_THRESHOLD;
        not_paused
            && self.is_in_service()
            && !self.is_removal_requested()
            && self.has_recent_contact(now)
    }

    /// Returns whether this node has requested its removal from the view in force, so that it may
    /// have been removed without its knowledge. A request for an earlier view is void.
    fn is_removal_requested(&self) -> bool {
        let view = self.view.version;
        let leave = self.leave.as_ref();
        leave.is_some_and(|leave| leave.is_requested_from(view))
    }

    pub fn may_vote(&self, now: Now) -> bool {
        let now = now.instant;
        let not_paused = now.saturating_since(self.last_poll) <= PROCESS_PAUSE_THRESHOLD;
        let has_lease = self
            .lease
            .is_some_and(|lease| now.saturating_since(lease) <= VOTE_LEASE);
        not_paused && has_lease && self.is_in_service() && !self.is_removal_requested()
    }

    fn is_in_service(&self) -> bool {
        self.is_member() && !self.superseded
    }

    /// Returns whether the own zone has recently received messages of this node. For the last live
    /// member of a zone, contact with another zone suffices; the only member of a zone needs none.
    pub fn has_recent_contact(&self, now: Instant) -> bool {
        let is_recent = |contact: Option<Instant>| {
            contact.is_some_and(|at| now.saturating_since(at) <= CONTACT_TIMEOUT)
        };
        if self.topology.zone_size(self.identity.zone) <= 1 {
            return true;
        }
        if is_recent(self.zone_contact.max(self.detector.last_dated())) {
            return true;
        }
        self.is_last_live_of_zone(now) && is_recent(self.other_contact)
    }

    /// Returns whether all other members of the own zone are silent, or there are none.
    pub fn is_last_live_of_zone(&self, now: Instant) -> bool {
        let order = self.topology.order(self.identity.zone);
        let mut others = order.iter().filter(|node| **node != self.identity.id);
        others.all(|node| self.contacts.is_silent(now, *node))
    }

    pub fn leave(&mut self, now: Instant) {
        self.leave.get_or_insert_with(|| Leave::new(now));
    }

    pub fn has_left(&self) -> bool {
        self.leave
            .as_ref()
            .is_some_and(|leave| !self.is_member() || leave.has_timed_out(self.last_poll))
    }

    /// Returns the entry of this node itself for the digest of its zone.
    pub fn own_record(&self, now: Instant) -> (NodeId, HeartbeatRecord) {
        let record = HeartbeatRecord {
            incarnation: self.identity.member.incarnation,
            at: now,
            sent: Some(now),
            view: self.view.version,
            policy: self.policy,
        };
        (self.identity.id, record)
    }

    /// Records the policy version of a node if it is the highest known one.
    pub fn record_policy(&mut self, now: Instant, version: PolicyVersion, holder: NodeId) {
        let is_newer = version > PolicyVersion::default()
            && self.best_policy.is_none_or(|best| version > best.version);
        if is_newer {
            self.best_policy = Some(KnownPolicy {
                version,
                holder,
                since: now,
            });
        }
    }

    /// Returns the highest known policy version and a node that has it, once the version has been
    /// known for [`POLICY_PROPAGATION_TIME`]. A heartbeat may arrive before the policy itself.
    pub fn best_known_policy(&self) -> Option<(PolicyVersion, NodeId)> {
        self.best_policy
            .filter(|best| self.last_poll.saturating_since(best.since) >= POLICY_PROPAGATION_TIME)
            .map(|best| (best.version, best.holder))
    }

    /// Records the latest view that joint majorities have confirmed.
    pub fn record_agreed(&mut self, now: Instant, agreed: ViewVersion) {
        if agreed > self.agreed {
            self.agreed = agreed;
            self.history.mark_agreed(now, agreed);
        }
    }

    /// Records the latest view that all members have confirmed.
    pub fn record_confirmed_by_all(&mut self, now: Instant, confirmed: ViewVersion) {
        if confirmed > self.confirmed_by_all {
            self.confirmed_by_all = confirmed;
            self.history.mark_confirmed_by_all(now, confirmed);
        }
    }

    /// Returns the time one interval after `now`, with a jitter of 10 %.
    pub fn after(&mut self, now: Instant, interval: Duration) -> Instant {
        now + interval.mul_f64(self.random.random_range(0.9..1.1))
    }

    /// Sends a message to a member of the view or to a seed; drops it for any other node.
    pub fn send(&self, to: NodeId, message: MembershipMessage, out: &mut Outbox) {
        let member = self.view.member(to).map(|member| member.mesh_address);
        let address = member.or_else(|| {
            self.seeds
                .iter()
                .find(|seed| seed.name.id() == to)
                .map(|seed| seed.mesh_address)
        });
        if let Some(address) = address {
            out.push(Action::Send {
                to,
                address,
                message: PeerMessage::Membership(message),
            });
        }
    }

    /// Sends a message to a node that may be outside the view.
    pub fn send_to(&self, member: &Member, message: MembershipMessage, out: &mut Outbox) {
        out.push(Action::Send {
            to: member.id(),
            address: member.mesh_address,
            message: PeerMessage::Membership(message),
        });
    }
}

impl Protocol {
    /// Handles a membership message of a peer.
    pub fn on_message(
        &mut self,
        now: Now,
        from: NodeId,
        incarnation: Incarnation,
        message: MembershipMessage,
        out: &mut Outbox,
    ) {
        self.detect_process_pause(now.instant);
        match message {
            MembershipMessage::Heartbeat(heartbeat) => {
                self.on_heartbeat(now, from, incarnation, &heartbeat, out);
            }
            MembershipMessage::Acknowledgement(acknowledgement) => {
                self.on_acknowledgement(now, from, incarnation, *acknowledgement);
            }
            MembershipMessage::Exchange(exchange) => {
                self.on_exchange(now, from, incarnation, *exchange, out);
            }
            MembershipMessage::ViewRequest { known } => {
                let update = self.updates_since(known);
                self.send(from, update, out);
            }
            MembershipMessage::Changes(changes) => {
                self.on_join_answered(now.instant);
                self.on_changes(now.instant, from, changes, out);
            }
            MembershipMessage::FullView(stored) => {
                self.on_join_answered(now.instant);
                self.on_full_view(now.instant, Some(from), *stored, out);
            }
            MembershipMessage::Join { member, known } => {
                self.detect_restart(now.instant, from, incarnation);
                self.on_join(now.instant, member, known, out);
            }
            MembershipMessage::AlsoJoining { accesses_store } => {
                self.detect_restart(now.instant, from, incarnation);
                self.on_also_joining(now.instant, from, accesses_store);
            }
            MembershipMessage::Propose(proposal) => {
                self.on_propose(now.instant, from, proposal, out);
            }
            MembershipMessage::MayLeave { view } => {
                self.on_may_leave(now.instant, from, view, out);
            }
        }
    }

    /// Marks a member as silent when a later incarnation of it is joining, as the one in the view
    /// has ended.
    fn detect_restart(&mut self, now: Instant, node: NodeId, incarnation: Incarnation) {
        let member = self.view.member(node);
        if member.is_some_and(|member| member.incarnation < incarnation) {
            self.contacts.mark_ended(now, node);
        }
    }
}
