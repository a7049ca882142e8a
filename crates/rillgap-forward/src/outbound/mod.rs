//! Requests that begin at this node: of its callers and of the back end beside it.
//!
//! A request has one owner from its first byte to its answer: the node that took it in. The owner
//! chooses the node that runs it, keeps its deadline, pays for repeats and answers. It hands a
//! request that may run only once to a second node only with the first one's word that it did not
//! run and never will.

mod answer;
mod attempts;
mod ending;
mod pressure;
mod request;
mod results;
mod weights;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use crate::action::{Action, Actions};
use crate::balancer::Balancer;
use crate::configuration::{Route, RouteTable};
use crate::directory::{Directory, PeerIndex};
use crate::event::CallerRequest;
use crate::id::{ConnectionId, LinkId, Sequence, Turn};
use crate::inbound::{CallProgress, Inbound};
use crate::message::{ForwardResponse, ForwardResult, ForwardedRequest};
use crate::note::Note;
use crate::retry_budget::RetryBudget;
use crate::settings::ForwardSettings;
use crate::throttle::Throttle;

use request::{Request, RequestKey};
use weights::WeightedChoice;

/// Share of the target latency for which a caller's request may wait in a queue: a refusal within
/// a quarter is early enough for the caller to come back.
const QUEUE_SHARE: f64 = 0.2;
/// Share of the target latency for which a back end's own request may wait in a queue: it is one
/// of several that follow each other within the time of one caller's request.
const CALL_QUEUE_SHARE: f64 = 0.33;
/// Moves to another node that has not let the request reach its back end.
const MOST_MOVES: u32 = 3;
/// Time after which to come back when no back end takes requests, in milliseconds.
const NO_BACK_END_MILLIS: u32 = 250;
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
        /// Priority of the root of the chain.
        root_priority: u8,
        /// Whether a request further up the chain was sent to a back end before.
        is_repeat: bool,
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
    pub own: &'a Inbound,
    /// Whether the node is in a planned stop.
    pub is_stopping: bool,
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
    throttle: Throttle,
    weights: WeightedChoice,
    call_progress: Vec<(String, CallProgress)>,
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
            budget: RetryBudget::new(settings.retry_bound),
            throttle: Throttle::new(settings.random_seed),
            weights: WeightedChoice::new(settings.random_seed),
            call_progress: Vec::new(),
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
        turn: Turn,
        caller: CallerRequest,
        origin: Origin,
        context: &mut OutboundContext<'_>,
    ) {
        let key = RequestKey { connection, turn };
        let request = match self.prepare(now, caller, origin, context) {
            Ok(request) => request,
            Err((rejected, code, retry_after)) => {
                let answer = answer::own(code, retry_after, false, context.is_stopping);
                self.answer_rejected(key, *rejected, code, answer, context);
                return;
            }
        };
        if let Some(parent_id) = &request.parent_id {
            let begun = (parent_id.clone(), CallProgress::Begun);
            self.call_progress.push(begun);
        }
        self.deadlines.insert((request.deadline, key));
        self.requests.insert(key, request);
        self.dispatch(now, key, context);
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
            context.out.push(Action::Note(Note::Cancelled {
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
        if let Some(peer) = context.directory.by_link(link) {
            peer.observe_load(response.load);
        }
        let Some(key) = self.by_sequence.remove(&response.sequence) else {
            return;
        };
        self.end_attempt(key, context);
        if let Some(request) = self.requests.get_mut(&key) {
            request.timing = response.timing;
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
        if self.throttle.is_due(now) {
            self.step_throttle(now, context);
        }
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.give_up(now, key, context);
        }
    }

    fn step_throttle(&mut self, now: Instant, context: &mut OutboundContext<'_>) {
        let pressure = pressure::pressure(context);
        self.throttle.step(now, pressure.ratio);
        for (route, tenths) in self.throttle.take_reports() {
            context.out.push(Action::Note(Note::Admission {
                route,
                admitted_percent: u32::from(tenths) * 10,
                service: pressure.service.clone(),
                pressure_percent: (pressure.ratio * 100.0) as u32,
            }));
        }
    }

    /// Returns what became of the back end's calls since the last look, by the request that each is
    /// made for.
    pub fn take_call_progress(&mut self) -> Vec<(String, CallProgress)> {
        std::mem::take(&mut self.call_progress)
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Checks a request and finds its route and service.
    fn prepare(
        &mut self,
        now: Instant,
        caller: CallerRequest,
        origin: Origin,
        context: &OutboundContext<'_>,
    ) -> Result<Request, (Box<CallerRequest>, ResultCode, u32)> {
        if context.is_exiting {
            return Err((Box::new(caller), ResultCode::NodeStopping, 0));
        }
        let Some(table) = context.table else {
            return Err((Box::new(caller), ResultCode::NotReady, NO_BACK_END_MILLIS));
        };
        let Some(route) = table.lookup(&caller.host, &caller.target).cloned() else {
            return Err((Box::new(caller), ResultCode::UnknownRoute, 0));
        };
        if caller.request_id.is_empty() {
            return Err((Box::new(caller), ResultCode::MalformedRequest, 0));
        }
        let is_call = origin != Origin::Caller;
        if !is_call && !self.throttle.admit(&route.name, route.priority) {
            return Err((Box::new(caller), ResultCode::Overloaded, THROTTLED_MILLIS));
        }
        let service = self.weights.choose(&route).to_owned();
        self.budget.count_request(now, &service);
        let (root_priority, is_repeat) = match origin {
            Origin::Caller => (route.priority, false),
            Origin::BackEnd {
                root_priority,
                is_repeat,
            } => (root_priority, is_repeat),
        };
        if is_repeat {
            self.budget.spend(now, &service);
        }
        let timeout = caller
            .deadline
            .map_or(route.timeout(), |deadline| deadline.min(route.timeout()));
        let parent_id = caller.parent_id.filter(|_| is_call);
        let forwarded = ForwardedRequest {
            request_id: caller.request_id,
            method: caller.method,
            target: caller.target,
            fields: caller.fields,
            body: caller.body,
            caller_service: self.own_service.clone(),
            service,
            route: route.name.clone(),
            is_idempotent: route.is_idempotent(),
            root_priority,
            is_call,
            is_repeat,
            remaining_micros: 0,
            queue_limit_micros: 0,
        };
        Ok(Request::new(
            now,
            now + timeout,
            route,
            parent_id,
            table.version(),
            Arc::new(forwarded),
        ))
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
