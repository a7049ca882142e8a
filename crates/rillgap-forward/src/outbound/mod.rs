//! Requests that begin at this node: of its callers and of the back end beside it.
//!
//! A request has one owner from its first byte to its answer: the node that took it in. The owner
//! chooses the node that runs it, keeps its deadline, pays for repeats and answers. It hands a
//! request that may run only once to a second node only with the first one's word that it did not
//! run and never will.

mod admission;
mod answer;
mod attempts;
mod ending;
mod intake;
mod request;
mod results;
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
use crate::message::{ForwardResponse, ForwardResult, ServiceAdmissionLevel, Status};
use crate::rate_limit::entry::EntryLimiter;
use crate::retry_budget::RetryBudget;
use crate::settings::ForwardSettings;

use admission::EntryAdmission;
use request::{Request, RequestKey};
use tenancy::Refusal;
use weights::WeightedChoice;

/// Share of the target latency for which a caller's request may wait in a queue. Those that wait longer are mostly not
/// served in time, and fail after work was done for them.
const QUEUE_SHARE: f64 = 0.2;
/// Share of the target latency for which a back end's own request may wait in a queue: it is one
/// of several that follow each other within the time of one caller's request.
const CALL_QUEUE_SHARE: f64 = 0.33;
/// Most moves of a request to another node while no back end was reached: they cost no budget.
const MOST_FREE_MOVES: u32 = 3;
/// Most moves in all: enough for nearly every call where back ends refuse half of what they get.
const MOST_MOVES: u32 = 6;
/// Time after which to come back when no back end takes requests, in milliseconds.
const NO_BACK_END_MILLIS: u32 = 250;
/// Time between two looks at what the log tells of admission.
const ADMISSION_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which to come back when requests are throttled, in milliseconds.
const THROTTLED_MILLIS: u32 = 300;

/// Node that may run an attempt.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// This node.
    Own,
    /// A peer, over the link in use.
    Peer(PeerIndex, LinkId),
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// The back end beside the node, for a request that it works on.
    BackEnd {
        /// Admission level of the root of the chain.
        level: Level,
        /// Whether a request further up the chain was sent to a back end before.
        is_retry: bool,
    },
}

/// What the outbound side consults.
#[derive(Debug)]
pub struct OutboundContext<'a> {
    /// Configuration in force.
    pub table: Option<&'a RouteTable>,
    /// Peers.
    pub directory: &'a mut Directory,
    /// The back end beside the node.
    pub inbound: &'a Inbound,
    /// Whether the configuration is known to be fresh enough to trust keys.
    pub is_configuration_fresh: bool,
    /// Age of the proof of that, in milliseconds.
    pub proof_age_millis: Option<u64>,
    /// Whether the node is in a planned stop.
    pub is_stopping: bool,
    /// Whether callers' requests are refused: they may still be under way when a planned stop ends.
    pub refuses_callers: bool,
    /// Whether the process is about to end: nothing new can be finished.
    pub is_exiting: bool,
    /// Actions for the driver.
    pub out: &'a mut Actions,
}

/// The outbound side of a node.
#[derive(Debug)]
pub struct Outbound {
    own_name: String,
    own_zone: String,
    own_service: String,
    requests: BTreeMap<RequestKey, Request>,
    deadlines: BTreeSet<(Instant, RequestKey)>,
    by_sequence: BTreeMap<Sequence, RequestKey>,
    next_sequence: u64,
    balancer: Balancer,
    budget: RetryBudget,
    admission: EntryAdmission,
    tokens: EntryLimiter<RequestKey>,
    next_admission_report: Instant,
    weights: WeightedChoice,
    call_updates: Vec<CallUpdate>,
}

impl Outbound {
    /// Creates the outbound side of a fresh node.
    pub fn new(settings: &ForwardSettings) -> Self {
        Self {
            own_name: settings.record.name.clone(),
            own_zone: settings.record.zone.clone(),
            own_service: settings.record.service.clone(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            by_sequence: BTreeMap::new(),
            next_sequence: 0,
            balancer: Balancer::new(settings.random_seed),
            budget: RetryBudget::new(settings.retry_bound, settings.random_seed),
            admission: EntryAdmission::default(),
            tokens: EntryLimiter::default(),
            next_admission_report: Instant::default(),
            weights: WeightedChoice::new(settings.random_seed),
            call_updates: Vec::new(),
        }
    }

    /// Returns the number of requests without an answer.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Takes in a request.
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
                let answer = answer::own(code, retry_after_millis, false, context.is_stopping);
                self.answer_rejected(key, *rejected, code, answer, context);
                return;
            }
        };
        if let Some(parent_id) = &request.parent_id {
            self.call_updates.push(CallUpdate {
                parent_id: parent_id.clone(),
                progress: CallProgress::Started,
                involved: Vec::new(),
            });
        }
        self.deadlines.insert((request.deadline, key));
        self.requests.insert(key, request);
        self.dispatch_within_limit(now, key, context);
    }

    /// Takes in that a caller has gone.
    pub fn on_caller_gone(&mut self, connection: ConnectionId, context: &mut OutboundContext<'_>) {
        let first = RequestKey::first(connection);
        let last = RequestKey::last(connection);
        let keys: Vec<RequestKey> = self
            .requests
            .range(first..=last)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let Some(mut request) = self.take(key) else {
                continue;
            };
            self.cancel_attempt(&mut request, context);
            context.out.push(Action::Log(LogRecord::Cancelled {
                request_id: request.forwarded.request_id.clone(),
            }));
        }
    }

    /// Takes in the answer of the node that was asked.
    pub fn on_response(
        &mut self,
        now: Instant,
        link: LinkId,
        response: ForwardResponse,
        context: &mut OutboundContext<'_>,
    ) {
        let key = self.by_sequence.remove(&response.sequence);
        if let Some(key) = key {
            self.end_attempt(key, context);
        }
        // The load that is told does not hold the answered request any more.
        if let Some(peer) = context.directory.by_link(link) {
            peer.observe_load(response.load);
        }
        let Some(key) = key else {
            return;
        };
        self.observe_levels(now, key, link, &response, context);
        if let Some(request) = self.requests.get_mut(&key) {
            request.timing = response.timing;
            request.has_failed_call = response.has_failed_call;
        }
        self.on_result(now, key, response.result, context);
    }

    /// Takes in that a link has ended: what was sent on it may have run.
    pub fn on_link_closed(
        &mut self,
        now: Instant,
        link: LinkId,
        context: &mut OutboundContext<'_>,
    ) {
        for key in self.requests_at(link) {
            self.end_attempt(key, context);
            let result = ForwardResult::Unknown {
                code: ResultCode::AnswerLost,
            };
            self.on_result(now, key, result, context);
        }
    }

    /// Answers requests whose time is over, and moves the admitted shares.
    pub fn poll(&mut self, now: Instant, context: &mut OutboundContext<'_>) {
        if now >= self.next_admission_report {
            self.next_admission_report = now + ADMISSION_REPORT_INTERVAL;
            self.report_admission(now, context);
        }
        self.refuse_overdue(now, context);
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.give_up(now, key, context);
        }
    }

    /// Takes in the level of a peer's back end.
    pub fn on_status(&mut self, now: Instant, peer: &str, status: &Status) {
        if status.is_serving {
            let level = status.load.level;
            self.admission.observe(now, &status.service, peer, level);
        }
    }

    /// Takes in the levels of the services that an answer involved.
    fn observe_levels(
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
            .map_or(self.own_name.as_str(), |peer| &peer.record.name);
        let service = &request.forwarded.service;
        self.admission
            .observe(now, service, reporter, response.load.level);
        for involved in &response.downstream_levels {
            self.admission.observe_relayed(now, involved, reporter);
        }
        let is_success =
            matches!(&response.result, ForwardResult::Answered(answer) if answer.is_success());
        if is_success {
            self.budget
                .learn_calls(service, !response.downstream_levels.is_empty());
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
            self.admission
                .learn(route, service, &response.downstream_levels, is_success);
        }
    }

    /// Tells the log what has changed in what is let in.
    fn report_admission(&mut self, now: Instant, context: &mut OutboundContext<'_>) {
        for change in self.admission.take_changes(now) {
            context.out.push(Action::Log(LogRecord::Admission {
                service: change.service,
                priority: change.priority,
                admitted_percent: change.admitted_percent,
            }));
        }
    }

    /// Returns what became of the back end's calls since the last look, by the request that each is
    /// made for.
    pub fn take_call_updates(&mut self) -> Vec<CallUpdate> {
        std::mem::take(&mut self.call_updates)
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        deadline.into_iter().chain(self.tokens.next_wake()).min()
    }
}

/// Returns the longest time for which a request may still wait in queues, `elapsed` after its
/// arrival.
fn queue_limit(route: &Route, is_call: bool, elapsed: Duration) -> Duration {
    let share = if is_call {
        CALL_QUEUE_SHARE
    } else {
        QUEUE_SHARE
    };
    let limit = route.target_latency().mul_f64(share);
    limit.saturating_sub(elapsed)
}
