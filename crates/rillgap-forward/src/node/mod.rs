//! State machine of one node: inbound and outbound side, directory of peers, configuration and
//! store.

mod configuration_distribution;
mod evidence;
mod follow;
mod freshness;
mod leases;
mod links;
mod stop;
mod store;
mod tokens;

use std::sync::Arc;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::action::{Action, Actions};
use crate::configuration::{CallerLimits, RouteTable};
use crate::configuration_offers::ConfigurationOffers;
use crate::credential::Credential;
use crate::directory::Directory;
use crate::event::{CallerRequest, Event, Heartbeat};
use crate::freshness::Freshness;
use crate::id::{AnnouncementId, ConnectionId, LinkId, PipelineIndex, Sequence};
use crate::inbound::Inbound;
use crate::log_record::LogRecord;
use crate::message::{ForwardedRequest, Hello, LinkMessage, Status};
use crate::outbound::{Origin, Outbound, OutboundContext};
use crate::rate_limit::bucket::Buckets;
use crate::rate_limit::lease::{LeaseHolder, LeaseVoter};
use crate::settings::ForwardSettings;
use crate::store_epoch::StoreEpoch;
use crate::store_sync::StoreSync;
use crate::watch_relay::WatchRelay;
use crate::watcher_election::WatcherElection;

/// Version of the protocol between nodes. Links to nodes with another version are closed.
pub const PROTOCOL_VERSION: u32 = 10;

/// Interval at which links are checked, opened and closed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two events after which the node's own process counts as having been paused.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Time after a process pause during which no link times out: the messages that arrived during the
/// pause are read first.
const PROCESS_PAUSE_GRACE: Duration = Duration::from_millis(400);

/// One node. The driver passes it events through [`Node::handle`] and executes the resulting
/// actions.
#[derive(Debug)]
pub struct Node {
    settings: ForwardSettings,
    table: Option<Arc<RouteTable>>,
    /// When the configuration was put in force.
    configured_at: Option<Instant>,
    directory: Directory,
    inbound: Inbound,
    outbound: Outbound,
    store: StoreSync,
    store_is_up: bool,
    watcher_election: WatcherElection,
    /// When the node decides again whether to watch the store, if before the next housekeeping.
    next_watch_check: Option<Instant>,
    watch_relay: WatchRelay,
    /// Number of followed peers with a recent contact with the store when this was last decided.
    recent_contacts: usize,
    freshness: Freshness,
    /// Whether the last log record on freshness said that requests with keys are served.
    logged_as_fresh: bool,
    buckets: Buckets,
    leases: LeaseHolder,
    lease_voter: LeaseVoter,
    /// Whether the records of all nodes have been read.
    has_full_membership: bool,
    /// Since when the node offers to own buckets of tenants' tokens; `None` if it does not.
    can_own_buckets_since: Option<Instant>,
    /// Time before which the node does not offer to own buckets, since it got no votes.
    offers_buckets_from: Instant,
    /// Whether the last periodic report said that the node watches the store.
    reported_watching: bool,
    /// When the last status was sent.
    status_sent_at: Instant,
    offers: ConfigurationOffers,
    /// Link on which the evidence arrived that is to be forwarded next; the peer there is left out.
    evidence_source: Option<LinkId>,
    started_at: Instant,
    next_link: u64,
    next_housekeeping: Instant,
    next_status: Instant,
    last_event_at: Instant,
    /// Until when messages that arrived during a process pause may be read.
    peer_timeouts_after: Instant,
    /// Whether callers are refused because the node has no room for further requests.
    is_short_of_buffers: bool,
    stopping_since: Option<Instant>,
    inbound_stops_at: Option<Instant>,
    /// Whether the connections of callers and peers are being ended.
    ends_connections: bool,
    exited: bool,
}

impl Node {
    /// Creates the state of a newly started node. Nothing is kept from earlier runs.
    pub fn new(now: Instant, settings: ForwardSettings) -> Self {
        Self {
            table: None,
            configured_at: None,
            directory: Directory::new(&settings.record),
            inbound: Inbound::new(&settings),
            outbound: Outbound::new(now, &settings),
            store: StoreSync::new(
                now,
                settings.record.clone(),
                settings.incarnation,
                settings.is_first_start,
                settings.store_writes_per_second,
            ),
            watcher_election: WatcherElection::new(&settings.record.name),
            next_watch_check: None,
            watch_relay: WatchRelay::default(),
            recent_contacts: 0,
            freshness: Freshness::new(settings.revocation),
            logged_as_fresh: true,
            buckets: Buckets::default(),
            leases: LeaseHolder::default(),
            lease_voter: LeaseVoter::new(now, settings.is_first_start),
            has_full_membership: false,
            can_own_buckets_since: None,
            offers_buckets_from: now,
            reported_watching: false,
            status_sent_at: now,
            store_is_up: true,
            offers: ConfigurationOffers::default(),
            evidence_source: None,
            started_at: now,
            next_link: 0,
            next_housekeeping: now,
            next_status: now,
            last_event_at: now,
            peer_timeouts_after: now,
            is_short_of_buffers: false,
            stopping_since: None,
            inbound_stops_at: None,
            ends_connections: false,
            exited: false,
            settings,
        }
    }

    /// Returns an unused link identifier.
    pub fn new_link(&mut self) -> LinkId {
        self.next_link += 1;
        LinkId(self.next_link)
    }

    /// Returns whether the node accepts new callers: it has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.stopping_since.is_none()
    }

    /// Returns the time for which the configuration has been in force; `None` if there is none.
    pub fn configuration_age(&self, now: Instant) -> Option<Duration> {
        let since = self.configured_at?;
        Some(now.saturating_since(since))
    }

    /// Returns the limits on requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.table
            .as_ref()
            .map_or_else(CallerLimits::default, |table| {
                table.configuration().limits.clone()
            })
    }

    /// Returns whether the credentials of callers are checked here and removed before requests
    /// reach back ends: the configuration has tenants, or there is no configuration yet.
    pub fn withholds_credentials(&self) -> bool {
        self.table.as_ref().is_none_or(|table| table.has_tenants())
    }

    /// Returns the age of the proof that the configuration is the newest one; `None` if there is no
    /// proof.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.freshness.proof_age(now)
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// Returns the first message for a new link.
    pub fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            node: self.settings.record.clone(),
            incarnation: self.settings.incarnation,
            status: Status {
                can_own_buckets: self.can_own_buckets_since.is_some(),
                ..self.inbound.status()
            },
            configuration_version: self.configuration_version(),
            store_epoch: self.store.epoch(),
        }
    }

    /// Returns the last known epoch of the store; `None` if none is known yet.
    pub const fn store_epoch(&self) -> Option<StoreEpoch> {
        self.store.epoch()
    }

    /// Returns the inbound side.
    pub const fn inbound(&self) -> &Inbound {
        &self.inbound
    }

    /// Returns the outbound side.
    pub const fn outbound(&self) -> &Outbound {
        &self.outbound
    }

    /// Returns the directory of peers.
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Actions) {
        self.detect_process_pause(now);
        match event {
            Event::Request {
                connection,
                pipeline_index,
                request,
            } => self.on_request(now, connection, pipeline_index, request, out),
            Event::BufferShortage {
                is_short,
                held,
                limit,
            } => {
                self.is_short_of_buffers = is_short;
                out.push(Action::Log(LogRecord::BufferShortage {
                    is_short,
                    held,
                    limit,
                }));
            }
            Event::CallerDisconnected(connection) => {
                let (outbound, mut context) = self.split_outbound(out);
                outbound.on_caller_disconnected(connection, &mut context);
            }
            Event::LinkOpened { link, hello } => self.on_link_opened(now, link, &hello, out),
            Event::LinkAccepted { link, hello } => self.on_link_accepted(now, link, &hello, out),
            Event::Link { link, message } => self.on_link_message(now, link, message, out),
            Event::LinkClosed(link) => self.on_link_closed(now, link, out),
            Event::LinkRefused(link) => self.on_link_refused(now, link, out),
            Event::BackEndNotice { exchange, notice } => {
                self.inbound.on_notice(now, exchange, notice, out);
            }
            Event::AnswerOverdue(exchange) => self.inbound.on_answer_overdue(exchange, out),
            Event::HealthNotice { instance, notice } => {
                self.inbound.on_health_notice(now, &instance, notice);
            }
            Event::ExchangeEnded { exchange, result } => {
                let table = self.table.clone();
                self.inbound
                    .on_exchange(now, exchange, result, table.as_deref(), out);
            }
            Event::Heartbeat {
                announcement,
                heartbeat,
            } => self.on_heartbeat(now, announcement, &heartbeat, out),
            Event::BackEndLeft {
                announcement,
                incarnation,
            } => {
                self.inbound.on_leave(now, &incarnation, out);
                acknowledge(announcement, true, out);
            }
            Event::ProbeEnded { probe, result } => {
                self.inbound.on_probe(now, probe, &result, out);
            }
            Event::Store { request, reply } => self.on_store(now, request, reply, out),
            Event::Stop => self.begin_stop(now, out),
            Event::ConnectionsEnded => self.exit(out),
            Event::Wake => {}
        }
        self.deliver_local(now, out);
        self.run_due_work(now, out);
    }

    /// Returns when [`Event::Wake`] is due next.
    pub fn next_wake(&self) -> Instant {
        [
            self.inbound.next_wake(),
            self.outbound.next_wake(),
            self.store.next_wake(),
            self.offers.next_wake(),
            self.leases.next_wake(),
            self.next_watch_check,
            self.inbound_stops_at,
        ]
        .into_iter()
        .flatten()
        .fold(self.next_housekeeping, Instant::min)
    }

    fn split_outbound<'a>(
        &'a mut self,
        out: &'a mut Actions,
    ) -> (&'a mut Outbound, OutboundContext<'a>) {
        let refuses_callers = self.stop_notice_elapsed(self.last_event_at);
        let now = self.last_event_at;
        let context = OutboundContext {
            table: self.table.as_deref(),
            inbound: &self.inbound,
            directory: &mut self.directory,
            is_configuration_fresh: self.freshness.is_proven(now),
            proof_age_millis: freshness::age_millis(&self.freshness, now),
            is_stopping: self.stopping_since.is_some(),
            refuses_callers,
            is_exiting: self.ends_connections,
            is_short_of_buffers: self.is_short_of_buffers,
            out,
        };
        (&mut self.outbound, context)
    }

    /// Detects that the process was paused. Peers are then not timed out before the messages that
    /// they sent during the pause are read.
    fn detect_process_pause(&mut self, now: Instant) {
        if now.saturating_since(self.last_event_at) >= PROCESS_PAUSE_THRESHOLD {
            self.peer_timeouts_after = now + PROCESS_PAUSE_GRACE;
        }
        self.last_event_at = now;
    }

    fn on_request(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        pipeline_index: PipelineIndex,
        request: CallerRequest,
        out: &mut Actions,
    ) {
        let origin = self.origin(now, &request);
        if !origin.is_call() && request.parent_id.is_some() {
            out.push(Action::Log(LogRecord::UnknownParent {
                request_id: request.request_id.clone(),
            }));
        }
        let (outbound, mut context) = self.split_outbound(out);
        outbound.on_request(
            now,
            connection,
            pipeline_index,
            request,
            origin,
            &mut context,
        );
    }

    fn on_heartbeat(
        &mut self,
        now: Instant,
        announcement: AnnouncementId,
        heartbeat: &Heartbeat,
        out: &mut Actions,
    ) {
        let table = self.table.clone();
        let is_accepted = self
            .inbound
            .on_heartbeat(now, heartbeat, table.as_deref(), out);
        acknowledge(announcement, is_accepted, out);
    }

    /// Distinguishes a call of the back end from a caller's request: a call carries the identifier
    /// of a request that runs at the back end, and no key where the configuration has tenants.
    fn origin(&self, now: Instant, request: &CallerRequest) -> Origin {
        let has_tenants = self.table.as_ref().is_some_and(|table| table.has_tenants());
        let has_key = has_tenants && request.credential != Credential::Absent;
        let Some(parent_id) = request.parent_id.as_deref().filter(|_| !has_key) else {
            return Origin::Caller;
        };
        match self.inbound.running_request(parent_id) {
            Some(parent) => Origin::BackEnd {
                level: parent.level,
                is_retry: parent.is_retry,
            },
            None => self.outbound.origin_without_parent(now, parent_id),
        }
    }

    fn on_link_message(
        &mut self,
        now: Instant,
        link: LinkId,
        message: LinkMessage,
        out: &mut Actions,
    ) {
        self.directory.record_received(now, link);
        self.offers.on_message(now, link);
        match message {
            LinkMessage::Request { sequence, request } => {
                self.on_forwarded_request(now, link, sequence, request, out);
            }
            LinkMessage::Cancel(sequence) => self.inbound.on_cancel(now, link, sequence, out),
            LinkMessage::Response(response) => {
                let (outbound, mut context) = self.split_outbound(out);
                outbound.on_response(now, link, response, &mut context);
            }
            LinkMessage::AnswerOverdue(sequence) => {
                let (outbound, mut context) = self.split_outbound(out);
                outbound.on_answer_overdue(now, sequence, &mut context);
            }
            LinkMessage::Status(status) => self.on_status(now, link, status, out),
            LinkMessage::Ping => out.push(Action::SendOnLink {
                link,
                message: LinkMessage::Pong,
            }),
            LinkMessage::Hello(_) | LinkMessage::Pong => {}
            LinkMessage::ConfigurationOffer(version) => self.on_offer(now, link, version, out),
            LinkMessage::ConfigurationQuery(version) => self.on_query(link, version, out),
            LinkMessage::FreshnessQuery(number) => self.on_freshness_query(now, link, number, out),
            LinkMessage::Follow(follows) => self.on_follow(now, link, follows, out),
            LinkMessage::StoreContact(report) => self.on_store_contact(now, link, report),
            LinkMessage::StoreEpoch(epoch) => self.observe_epoch(now, epoch, Some(link), out),
            LinkMessage::FreshnessAnswer(answer) => {
                self.observe_epoch(now, answer.epoch, Some(link), out);
                self.on_freshness_answer(answer);
                self.observe_version(now, link, answer.version, out);
            }
            LinkMessage::TokenQuery(query) => self.on_token_query(now, link, query, out),
            LinkMessage::TokenAnswer(answer) => self.on_token_answer(now, answer, out),
            LinkMessage::VoteRequest(request) => self.on_vote_request(now, link, &request, out),
            LinkMessage::Vote(vote) => self.on_vote(now, link, &vote),
            LinkMessage::CrashEvidence(evidence) => self.on_evidence(now, link, &evidence),
            LinkMessage::Configuration(configuration) => {
                self.apply_configuration(now, Arc::unwrap_or_clone(configuration), "peer", out);
            }
        }
    }

    /// Passes a request to the inbound side. A retry whose calls the budget does not cover is refused
    /// before the back end works on it.
    fn on_forwarded_request(
        &mut self,
        now: Instant,
        link: LinkId,
        sequence: Sequence,
        request: Arc<ForwardedRequest>,
        out: &mut Actions,
    ) {
        if request.is_retry && !self.admits_retry(now, (link, sequence), &request) {
            self.inbound
                .refuse_uncovered_retry(now, link, sequence, request, out);
            return;
        }
        self.inbound.on_request(now, link, sequence, request, out);
    }

    /// Returns whether a retry may be begun. Retries that have waited while the process was paused
    /// are not: their charges may have left the window in which they would arrive.
    fn admits_retry(
        &mut self,
        now: Instant,
        attempt: (LinkId, Sequence),
        request: &ForwardedRequest,
    ) -> bool {
        if now < self.peer_timeouts_after {
            return false;
        }
        let calls = self.inbound.expected_calls(&request.route);
        self.outbound.reserve_calls(now, attempt, request, calls)
    }

    fn on_status(&mut self, now: Instant, link: LinkId, status: Status, out: &mut Actions) {
        self.observe_offer(now, link, &status);
        self.directory.on_status(now, link, status);
        let (outbound, mut context) = self.split_outbound(out);
        outbound.on_status(now, link, &mut context);
    }

    /// Does the work that is due and passes the results of one component to the others.
    fn run_due_work(&mut self, now: Instant, out: &mut Actions) {
        let table = self.table.clone();
        self.inbound.poll(now, table.as_deref(), out);
        // Evidence of a crash is sent before the results of its requests: peers use it to decide on
        // retries.
        self.send_new_evidence(now, out);
        self.inbound.release_lost_requests(now, out);
        let (outbound, mut context) = self.split_outbound(out);
        outbound.poll(now, &mut context);
        self.deliver_local(now, out);
        self.query_tokens(now, out);
        self.request_votes(now, out);
        self.deliver_local(now, out);
        for call in self.outbound.take_call_updates() {
            self.inbound.on_call(now, call);
        }
        self.outbound.release_ended_runs(now, &self.inbound);
        if self.next_watch_check.is_some_and(|due| due <= now) {
            self.update_watch(now, out);
        }
        for (id, request) in self.store.poll(now) {
            out.push(Action::CallStore { id, request });
        }
        self.query_configuration(now, out);
        self.notify_followers(now, out);
        self.stop_inbound_when_due(now);
        self.report_changes(now, out);
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.maintain_links(now, out);
            self.update_tenant_levels(now, out);
        }
        self.advance_stop(now, out);
    }

    /// Delivers messages between the two sides of this node, which use no link.
    fn deliver_local(&mut self, now: Instant, out: &mut Actions) {
        let is_local = |action: &Action| matches!(action, Action::SendOnLink { link, .. } if *link == LinkId::LOCAL);
        while let Some(position) = out.iter().position(is_local) {
            if let Action::SendOnLink { message, .. } = out.remove(position) {
                self.on_link_message(now, LinkId::LOCAL, message, out);
            }
        }
    }
}

fn acknowledge(announcement: AnnouncementId, is_accepted: bool, out: &mut Actions) {
    out.push(Action::Acknowledge {
        announcement,
        is_accepted,
    });
}
