//! Outbound side of a node: requests of its callers and of its local back end.
//!
//! One node is responsible for a request from its first byte to its answer: the node that received
//! it. This node chooses where the request runs, enforces its deadline, spends retry budget on it
//! and answers it. It sends a request that may run only once to a second node only after the first
//! one has reported that the request did not run there and never will.

mod admission;
mod answer;
mod attempts;
mod completion;
mod intake;
mod overdue_answers;
mod rate_share;
mod request;
mod results;
mod retried_runs;
mod retry_charges;
pub mod retry_report;
mod tenancy;
mod weights;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use crate::action::{Action, Actions};
use crate::balancer::Balancer;
use crate::configuration::{Route, RouteTable};
use crate::directory::{Directory, PeerIndex};
use crate::event::CallerRequest;
use crate::id::{ConnectionId, LinkId, PipelineIndex, Sequence};
use crate::inbound::{CallProgress, CallUpdate, Inbound};
use crate::log_record::LogRecord;
use crate::message::{
    ForwardResponse, ForwardResult, Load, RateLimitReport, ServiceAdmissionLevel, Status,
};
use crate::rate_limit::entry::EntryLimiter;
use crate::retry_budget::RetryBudget;
use crate::settings::ForwardSettings;

use admission::EntryAdmission;
use overdue_answers::OverdueAnswers;
use rate_share::RateShares;
use request::{Request, RequestKey};
use retried_runs::RetriedRuns;
use retry_report::RetryReports;
use tenancy::Refusal;
use weights::WeightedChoice;

/// Fraction of the route's target latency for which a caller's request may wait in queues. Requests
/// that wait longer are mostly not served in time, and fail after work was done for them.
const CALLER_QUEUE_FRACTION: f64 = 0.2;
/// Fraction of the route's target latency for which a back end's call may wait in queues. Several
/// calls follow each other within the time of one caller's request.
const CALL_QUEUE_FRACTION: f64 = 0.33;
/// Maximum number of retries of a request after an attempt that reached no back end. Such a retry
/// spends no budget.
const MAX_TRANSPARENT_RETRIES: u32 = 3;
/// Maximum number of retries of a request in total: enough for nearly every call to succeed where
/// back ends refuse half of the requests.
const MAX_RETRIES: u32 = 6;
/// `Retry-After` of a request for which no back end or no configuration is available, in
/// milliseconds.
const NO_BACK_END_RETRY_AFTER_MILLIS: u32 = 250;
/// Interval at which changes of admission are logged.
const ADMISSION_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// `Retry-After` of a request for which the node has no room, in milliseconds.
const NO_ROOM_RETRY_AFTER_MILLIS: u32 = 300;
/// `Retry-After` of a request that admission control refuses, in milliseconds.
const THROTTLED_RETRY_AFTER_MILLIS: u32 = 300;

/// Node that may run an attempt.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// This node.
    Local,
    /// A peer, over its open link.
    Peer(PeerIndex, LinkId),
}

/// Source of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, or the local back end outside of the requests that it is running.
    Caller,
    /// The local back end, as a call for a request that it is running.
    BackEnd {
        /// Admission level of the root request of the chain.
        level: Level,
        /// Whether a request further up the chain is a retry.
        is_retry: bool,
    },
    /// The local back end, as a call for a retried run that has ended at this node. Such a call is
    /// checked like a caller's request.
    EndedRetry,
    /// Unknown: the identifier is that of a call, and an earlier run of this node may have started
    /// the run that the call is made for. The request is checked like a caller's.
    Unattributed,
}

impl Origin {
    /// Returns whether the request is a call for a request that runs at the local back end.
    pub const fn is_call(self) -> bool {
        matches!(self, Self::BackEnd { .. })
    }
}

/// State of the node that the outbound side uses to handle an event.
#[derive(Debug)]
pub struct OutboundContext<'a> {
    /// Configuration in force; `None` before the first one.
    pub table: Option<&'a RouteTable>,
    /// Peers that are known to this node, with their links and loads.
    pub directory: &'a mut Directory,
    /// Inbound side of this node, with the local back end.
    pub inbound: &'a Inbound,
    /// Whether the configuration is known to be recent enough to check callers' keys by it.
    pub is_configuration_fresh: bool,
    /// Age of the last proof that the configuration is the newest, in milliseconds; `None` without
    /// a proof.
    pub proof_age_millis: Option<u64>,
    /// Whether the node is in a planned stop.
    pub is_stopping: bool,
    /// Whether callers' requests are refused, because they could still be in flight when a planned
    /// stop ends.
    pub refuses_callers: bool,
    /// Whether the process is about to exit. All new requests are refused, as none could be
    /// completed.
    pub is_exiting: bool,
    /// Whether callers' requests are refused because the node has no room for them.
    pub is_short_of_buffers: bool,
    /// Receives the actions that the driver has to carry out.
    pub out: &'a mut Actions,
}

/// Outbound side of a node: its unanswered requests and the state for routing and admission.
#[derive(Debug)]
pub struct Outbound {
    own_name: String,
    own_zone: String,
    own_service: String,
    requests: BTreeMap<RequestKey, Request>,
    deadlines: BTreeSet<(Instant, RequestKey)>,
    /// Requests with an attempt in flight, by the sequence number of the attempt.
    by_sequence: BTreeMap<Sequence, RequestKey>,
    next_sequence: u64,
    balancer: Balancer,
    budget: RetryBudget,
    retried_runs: RetriedRuns,
    retry_reports: RetryReports,
    admission: EntryAdmission,
    tokens: EntryLimiter<RequestKey>,
    next_admission_report: Instant,
    weights: WeightedChoice,
    rate_shares: RateShares,
    overdue_answers: OverdueAnswers,
    /// Updates on calls of the local back end that the inbound side has not received yet.
    call_updates: Vec<CallUpdate>,
}

impl Outbound {
    /// Creates the outbound side of a node that has just started.
    pub fn new(now: Instant, settings: &ForwardSettings) -> Self {
        Self {
            own_name: settings.record.name.clone(),
            own_zone: settings.record.zone.clone(),
            own_service: settings.record.service.clone(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            by_sequence: BTreeMap::new(),
            next_sequence: 0,
            balancer: Balancer::new(settings.random_seed),
            budget: RetryBudget::new(now, settings.retry_bound, !settings.is_first_start),
            retried_runs: RetriedRuns::default(),
            retry_reports: RetryReports::default(),
            admission: EntryAdmission::default(),
            tokens: EntryLimiter::default(),
            next_admission_report: Instant::default(),
            weights: WeightedChoice::new(settings.random_seed),
            rate_shares: RateShares::default(),
            overdue_answers: OverdueAnswers::default(),
            call_updates: Vec::new(),
        }
    }

    /// Returns the number of requests that have not been answered yet.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Handles a new request: checks it, then sends it to a node or refuses it.
    pub fn on_request(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        pipeline_index: PipelineIndex,
        caller: CallerRequest,
        origin: Origin,
        context: &mut OutboundContext<'_>,
    ) {
        let key = RequestKey {
            connection,
            pipeline_index,
        };
        let request = match self.prepare(now, caller, origin, context) {
            Ok(request) => request,
            Err((rejected, refusal)) => {
                let Refusal {
                    code,
                    retry_after_millis,
                } = refusal;
                let answer = answer::for_code(code, retry_after_millis, false, context.is_stopping);
                self.answer_rejected(key, *rejected, code, answer, context);
                return;
            }
        };
        if let Some(parent_id) = &request.parent_id {
            self.call_updates.push(CallUpdate {
                parent_id: parent_id.clone(),
                service: request.forwarded.service.clone(),
                progress: CallProgress::Started,
                involved: Vec::new(),
            });
        }
        self.deadlines.insert((request.deadline, key));
        self.requests.insert(key, request);
        self.dispatch_with_token(now, key, context);
    }

    /// Cancels all requests of a caller's connection that was closed.
    pub fn on_caller_disconnected(
        &mut self,
        connection: ConnectionId,
        context: &mut OutboundContext<'_>,
    ) {
        let first = RequestKey::first(connection);
        let last = RequestKey::last(connection);
        let keys: Vec<RequestKey> = self
            .requests
            .range(first..=last)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let Some(mut request) = self.remove_request(key) else {
                continue;
            };
            self.cancel_attempts(&mut request, context);
            context.out.push(Action::Log(LogRecord::Cancelled {
                request_id: request.forwarded.request_id.clone(),
            }));
        }
    }

    /// Handles the response of a node to an attempt.
    pub fn on_response(
        &mut self,
        now: Instant,
        link: LinkId,
        response: ForwardResponse,
        context: &mut OutboundContext<'_>,
    ) {
        let key = self.by_sequence.get(&response.sequence).copied();
        if let Some(key) = key {
            self.count_answer_in_time(now, key, response.sequence);
            self.end_attempt(key, response.sequence, context);
        }
        // Recorded after the end of the attempt: the load does not include the answered request.
        if let Some(peer) = context.directory.by_link(link) {
            peer.observe_load(response.load);
        }
        self.update_rate_share(now, link, context);
        let Some(key) = key else {
            return;
        };
        self.record_levels(now, key, link, &response, context);
        if let Some(request) = self.requests.get_mut(&key) {
            request.timing = response.timing;
            request.has_failed_call = response.has_failed_call;
        }
        self.on_result(now, key, response.result, context);
    }

    /// Counts an answer that was not overdue.
    fn count_answer_in_time(&mut self, now: Instant, key: RequestKey, sequence: Sequence) {
        let request = self.requests.get(&key);
        if let Some(request) = request.filter(|request| !request.is_overdue(sequence)) {
            let service = &request.forwarded.service;
            self.overdue_answers.record(now, service, false);
        }
    }

    /// Handles the end of a link: attempts that were sent on it may have run.
    pub fn on_link_closed(
        &mut self,
        now: Instant,
        link: LinkId,
        context: &mut OutboundContext<'_>,
    ) {
        for (key, sequence) in self.attempts_on_link(link) {
            self.end_attempt(key, sequence, context);
            let result = ForwardResult::Unknown {
                code: ResultCode::AnswerLost,
            };
            self.on_result(now, key, result, context);
        }
    }

    /// Logs changes of admission, and answers requests that have waited too long for a token or
    /// whose deadline has passed.
    pub fn poll(&mut self, now: Instant, context: &mut OutboundContext<'_>) {
        if let Some(nodes) = context.directory.known_nodes() {
            self.budget.observe_nodes(now, nodes);
        }
        if now >= self.next_admission_report {
            self.next_admission_report = now + ADMISSION_REPORT_INTERVAL;
            self.report_admission(now, context);
        }
        self.report_retries(now, context);
        self.refuse_unanswered_token_waits(now, context);
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.on_deadline(now, key, context);
        }
    }

    /// Records what the last status of a peer says about its back end.
    pub fn on_status(&mut self, now: Instant, link: LinkId, context: &mut OutboundContext<'_>) {
        self.update_rate_share(now, link, context);
        let Some(peer) = context.directory.by_link(link) else {
            return;
        };
        let name = peer.record.name.clone();
        let Status {
            service,
            is_serving,
            load,
            ..
        } = peer.status().clone();
        if is_serving && counts_for_service(&service, load, context) {
            self.admission
                .record_published(now, &service, &name, load.level);
        }
    }

    /// Updates this node's share of the rate limit of the back end that is reached over a link.
    fn update_rate_share(&mut self, now: Instant, link: LinkId, context: &mut OutboundContext<'_>) {
        let nodes = context.directory.estimated_nodes();
        if link == LinkId::LOCAL {
            let limit = context.inbound.rate_limit();
            self.rate_shares.observe(now, &self.own_name, limit, nodes);
        } else if let Some(peer) = context.directory.by_link(link) {
            let limit = peer.rate_limit();
            self.rate_shares
                .observe(now, &peer.record.name, limit, nodes);
        }
    }

    /// Records the levels of the services that an answer involved.
    fn record_levels(
        &mut self,
        now: Instant,
        key: RequestKey,
        link: LinkId,
        response: &ForwardResponse,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let reporter = context
            .directory
            .by_link(link)
            .map_or_else(|| self.own_name.clone(), |peer| peer.record.name.clone());
        let service = &request.forwarded.service;
        if counts_for_service(service, response.load, context) {
            self.admission
                .record_published(now, service, &reporter, response.load.level);
        }
        for involved in &response.downstream_levels {
            self.admission.record_relayed(now, involved, &reporter);
        }
        let is_success =
            matches!(&response.result, ForwardResult::Answered(answer) if answer.is_success());
        if is_success {
            self.budget
                .record_calls(service, !response.downstream_levels.is_empty());
        }
        if request.is_call {
            let mut involved = vec![ServiceAdmissionLevel {
                service: service.clone(),
                level: self.admission.published_level(now, service),
            }];
            involved.extend(response.downstream_levels.iter().cloned());
            request.involved = involved;
        } else {
            let route = &request.route.name;
            self.admission.record_involvement(
                route,
                service,
                &response.downstream_levels,
                is_success,
            );
        }
    }

    /// Logs changes of admission.
    fn report_admission(&mut self, now: Instant, context: &mut OutboundContext<'_>) {
        for change in self.admission.take_changes(now) {
            context.out.push(Action::Log(LogRecord::Admission {
                service: change.service,
                priority: change.priority,
                admitted_percent: change.admitted_percent,
            }));
        }
    }

    /// Returns the updates on calls of the local back end that were queued since the last call of
    /// this function.
    pub fn take_call_updates(&mut self) -> Vec<CallUpdate> {
        std::mem::take(&mut self.call_updates)
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        deadline.into_iter().chain(self.tokens.next_wake()).min()
    }
}

/// Returns whether the admission level of a back end says something about its service. At its stated
/// rate limit a back end is full by design, which matters only if no other one is without a limit.
fn counts_for_service(service: &str, load: Load, context: &OutboundContext<'_>) -> bool {
    let is_limited = |load: Load| matches!(load.rate_limit, RateLimitReport::Limited(_));
    if !is_limited(load) {
        return true;
    }
    let inbound = context.inbound;
    let own = inbound.is_serving() && inbound.service() == service;
    let is_own_unlimited = own && inbound.rate_limit().is_none();
    let mut peers = context.directory.linked(service);
    let has_unlimited_peer =
        peers.any(|(_, peer)| peer.serving_link().is_some() && !is_limited(peer.status().load));
    !is_own_unlimited && !has_unlimited_peer
}

/// Returns how long a request that arrived `elapsed` ago may still wait in queues.
fn queue_limit(route: &Route, is_call: bool, elapsed: Duration) -> Duration {
    let fraction = if is_call {
        CALL_QUEUE_FRACTION
    } else {
        CALLER_QUEUE_FRACTION
    };
    let limit = route.target_latency().mul_f64(fraction);
    limit.saturating_sub(elapsed)
}
