//! Requests that begin at this node: of its callers and of the back end beside it.
//!
//! A request has one owner from its first byte to its answer: the node that took it in. The owner
//! chooses the node that runs it, keeps its deadline, pays for repeats and answers. It hands a
//! request that may run only once to a second node only with the first one's word that it did not
//! run and never will.

mod answer;
mod request;
mod weights;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use crate::action::{Action, Actions, CallerAnswer};
use crate::balancer::{Balancer, Candidate};
use crate::configuration::{Route, RouteTable};
use crate::directory::Directory;
use crate::event::CallerRequest;
use crate::id::{ConnectionId, LinkId, Sequence, Turn};
use crate::inbound::PRESSURE_MICROS;
use crate::message::{
    ForwardResponse, ForwardResult, ForwardedAnswer, ForwardedRequest, LinkMessage, Status,
};
use crate::note::Note;
use crate::retry_budget::RetryBudget;
use crate::settings::ForwardSettings;
use crate::throttle::{Outcome, Throttle};

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

/// Node that runs an attempt.
#[derive(Clone, Debug)]
struct Target {
    link: LinkId,
    name: String,
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
    pub own_status: Status,
    /// Whether the node is in a planned stop.
    pub is_stopping: bool,
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
    own_in_flight: u32,
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
            own_in_flight: 0,
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
            self.throttle.step(now, pressure(context));
        }
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.give_up(now, key, context);
        }
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
            is_call,
            table.version(),
            Arc::new(forwarded),
        ))
    }

    /// Sends a request to a node that it has not been sent to, or answers it.
    fn dispatch(&mut self, now: Instant, key: RequestKey, context: &mut OutboundContext<'_>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let candidates = self.candidates(request, context);
        let Some(target) = self.balancer.choose(candidates) else {
            self.answer_without_target(now, key, context);
            return;
        };
        self.next_sequence += 1;
        let sequence = Sequence(self.next_sequence);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let forwarded = request.begin_attempt(now, target.link, &target.name, sequence);
        self.by_sequence.insert(sequence, key);
        if target.link == LinkId::LOCAL {
            self.own_in_flight += 1;
        } else if let Some(peer) = context.directory.by_link(target.link) {
            peer.in_flight += 1;
            peer.unreported += 1;
        }
        context.out.push(Action::SendOnLink {
            link: target.link,
            message: LinkMessage::Request {
                sequence,
                request: forwarded,
            },
        });
    }

    fn candidates(
        &self,
        request: &Request,
        context: &OutboundContext<'_>,
    ) -> Vec<Candidate<Target>> {
        let service = &request.forwarded.service;
        let mut candidates = Vec::new();
        let own = &context.own_status;
        let serves = own.is_serving && own.service == *service && !context.is_stopping;
        if serves && !request.was_tried(&self.own_name) {
            let load = own.load;
            let in_use = load.running + load.queued;
            candidates.push(Candidate {
                target: Target {
                    link: LinkId::LOCAL,
                    name: self.own_name.clone(),
                },
                is_local: true,
                utilization: f64::from(in_use) / f64::from(load.limit.max(1)),
                limit: load.limit,
                mean_micros: load.mean_micros,
            });
        }
        for peer in context.directory.peers() {
            let Some(link) = peer.serving_link() else {
                continue;
            };
            if peer.status.service != *service || request.was_tried(&peer.record.name) {
                continue;
            }
            candidates.push(Candidate {
                target: Target {
                    link,
                    name: peer.record.name.clone(),
                },
                is_local: peer.record.zone == self.own_zone,
                utilization: peer.utilization(),
                limit: peer.status.load.limit,
                mean_micros: peer.status.load.mean_micros,
            });
        }
        candidates
    }

    fn on_result(
        &mut self,
        now: Instant,
        key: RequestKey,
        result: ForwardResult,
        context: &mut OutboundContext<'_>,
    ) {
        match result {
            ForwardResult::Answered(answer) => self.on_answer(now, key, answer, context),
            ForwardResult::NotRun {
                code,
                arrived,
                retry_after_millis,
            } => self.on_not_run(now, key, code, arrived, retry_after_millis, context),
            ForwardResult::Unknown { code } => self.on_unknown(now, key, code, context),
        }
    }

    fn on_answer(
        &mut self,
        now: Instant,
        key: RequestKey,
        forwarded: ForwardedAnswer,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.may_have_run = true;
        let is_failure = forwarded.status >= 500;
        if is_failure && self.has_other_target(key, context) && self.may_repeat(now, key) {
            if let Some(request) = self.requests.get_mut(&key) {
                request.failed_answer = Some(forwarded);
            }
            self.repeat(now, key, ResultCode::AnswerBroken, true, context);
            return;
        }
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        // A promise that the request did not run is only the system's to give.
        let breaks_promise = matches!(forwarded.status, 408 | 421 | 429 | 503);
        if breaks_promise && !request.route.is_idempotent() {
            self.answer_own(now, key, ResultCode::AnswerLost, 0, context);
            return;
        }
        self.finish_forwarded(now, key, forwarded, context);
    }

    /// Answers with what a back end has answered.
    fn finish_forwarded(
        &mut self,
        now: Instant,
        key: RequestKey,
        forwarded: ForwardedAnswer,
        context: &mut OutboundContext<'_>,
    ) {
        let answer = CallerAnswer {
            status: forwarded.status,
            fields: forwarded.fields,
            body: forwarded.body,
            close: context.is_stopping,
        };
        self.finish(now, key, answer, None, context);
    }

    fn on_not_run(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        arrived: bool,
        retry_after_millis: u32,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.not_run(arrived, retry_after_millis);
        let moves_left = request.moves < MOST_MOVES;
        // A queue that is full here is likely to be short elsewhere; a deadline that cannot be
        // met is not.
        let worth_moving = code != ResultCode::DeadlineUnmet || request.is_call;
        let may_move = moves_left
            && worth_moving
            && self.has_other_target(key, context)
            && (!arrived || self.may_repeat(now, key));
        if may_move {
            self.repeat(now, key, code, arrived, context);
            return;
        }
        self.answer_own(now, key, code, retry_after_millis, context);
    }

    fn on_unknown(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.may_have_run = true;
        if self.has_other_target(key, context) && self.may_repeat(now, key) {
            self.repeat(now, key, code, true, context);
            return;
        }
        self.answer_own(now, key, code, 0, context);
    }

    /// Returns whether a request that has reached a back end may be sent to another one, and pays
    /// for it.
    fn may_repeat(&mut self, now: Instant, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        let has_time = request.deadline > now;
        // An attempt that is under way may be running: only the other node's word ends that.
        let has_not_run = !request.may_have_run && request.current().is_none();
        let may_run_again = request.route.is_idempotent() || has_not_run;
        let attempts_left = request.arrivals < request.route.max_attempts;
        if !has_time || !may_run_again || !attempts_left {
            return false;
        }
        let service = request.forwarded.service.clone();
        self.budget.try_spend(now, &service)
    }

    fn has_other_target(&self, key: RequestKey, context: &OutboundContext<'_>) -> bool {
        self.requests
            .get(&key)
            .is_some_and(|request| !self.candidates(request, context).is_empty())
    }

    fn repeat(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        paid: bool,
        context: &mut OutboundContext<'_>,
    ) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.moves += 1;
            context.out.push(Action::Note(Note::Moved {
                request_id: request.forwarded.request_id.clone(),
                from: request.last_target().to_owned(),
                code,
                paid,
            }));
        }
        self.dispatch(now, key, context);
    }

    fn answer_without_target(
        &mut self,
        now: Instant,
        key: RequestKey,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let retry_after = request.retry_after_millis.unwrap_or(NO_BACK_END_MILLIS);
        self.answer_own(now, key, ResultCode::NoBackEnd, retry_after, context);
    }

    /// Answers a request whose time is over.
    fn give_up(&mut self, now: Instant, key: RequestKey, context: &mut OutboundContext<'_>) {
        let Some(request) = self.requests.get(&key) else {
            self.deadlines.retain(|(_, other)| *other != key);
            return;
        };
        let was_sent = request.current().is_some();
        self.withdraw_attempt(key, context);
        let code = if was_sent {
            ResultCode::AnswerTimeout
        } else {
            ResultCode::DeadlineUnmet
        };
        self.answer_own(now, key, code, 0, context);
    }

    /// Answers with a result of the node's own.
    fn answer_own(
        &mut self,
        now: Instant,
        key: RequestKey,
        code: ResultCode,
        retry_after_millis: u32,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        // A back end's own failure says more than that a second try came to nothing.
        if let Some(forwarded) = request.failed_answer.take() {
            self.finish_forwarded(now, key, forwarded, context);
            return;
        }
        let answer = answer::own(
            code,
            retry_after_millis,
            request.may_have_run,
            context.is_stopping,
        );
        self.finish(now, key, answer, Some(code), context);
    }

    fn finish(
        &mut self,
        now: Instant,
        key: RequestKey,
        answer: CallerAnswer,
        code: Option<ResultCode>,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.take(key) else {
            return;
        };
        self.count_outcome(&request, answer.status);
        let elapsed = now.saturating_since(request.arrived).as_micros();
        context.out.push(Action::Note(Note::Answered {
            request_id: request.forwarded.request_id.clone(),
            route: request.route.name.clone(),
            status: answer.status,
            code,
            peer: request.last_target().to_owned(),
            attempts: request.attempts(),
            elapsed_micros: u64::try_from(elapsed).unwrap_or(u64::MAX),
            configuration: request.configuration,
        }));
        context.out.push(Action::Answer {
            connection: key.connection,
            turn: key.turn,
            answer,
        });
    }

    /// Tells the throttle how a caller's request has ended.
    fn count_outcome(&mut self, request: &Request, status: u16) {
        if request.is_call {
            return;
        }
        let outcome = if status >= 500 {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        let route = &request.route;
        self.throttle.ended(&route.name, route.priority, outcome);
    }

    fn answer_rejected(
        &self,
        key: RequestKey,
        caller: CallerRequest,
        code: ResultCode,
        answer: CallerAnswer,
        context: &mut OutboundContext<'_>,
    ) {
        context.out.push(Action::Note(Note::Answered {
            request_id: caller.request_id,
            route: String::new(),
            status: answer.status,
            code: Some(code),
            peer: String::new(),
            attempts: 0,
            elapsed_micros: 0,
            configuration: context.table.map_or(0, RouteTable::version),
        }));
        context.out.push(Action::Answer {
            connection: key.connection,
            turn: key.turn,
            answer,
        });
    }

    /// Forgets a request.
    fn take(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(&key)?;
        self.deadlines.remove(&(request.deadline, key));
        Some(request)
    }

    fn requests_at(&self, link: LinkId) -> Vec<RequestKey> {
        self.requests
            .iter()
            .filter(|(_, request)| request.is_at(link))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Ends the attempt of a request that goes on.
    fn withdraw_attempt(&mut self, key: RequestKey, context: &mut OutboundContext<'_>) {
        if let Some(mut request) = self.requests.remove(&key) {
            self.cancel_attempt(&mut request, context);
            self.requests.insert(key, request);
        }
    }

    /// Tells the node that works on a request that nobody waits for it.
    fn cancel_attempt(&mut self, request: &mut Request, context: &mut OutboundContext<'_>) {
        let Some((link, sequence)) = request.current() else {
            return;
        };
        request.end_attempt();
        request.may_have_run = true;
        self.by_sequence.remove(&sequence);
        self.release(link, context);
        context.out.push(Action::SendOnLink {
            link,
            message: LinkMessage::Cancel(sequence),
        });
    }

    fn end_attempt(&mut self, key: RequestKey, context: &mut OutboundContext<'_>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let Some((link, sequence)) = request.current() else {
            return;
        };
        request.end_attempt();
        self.by_sequence.remove(&sequence);
        self.release(link, context);
    }

    fn release(&mut self, link: LinkId, context: &mut OutboundContext<'_>) {
        if link == LinkId::LOCAL {
            self.own_in_flight = self.own_in_flight.saturating_sub(1);
        } else if let Some(peer) = context.directory.by_link(link) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
            peer.unreported -= 1;
        }
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

/// Returns the longest mean wait at any service, relative to the one from which a service counts
/// as under pressure.
fn pressure(context: &OutboundContext<'_>) -> f64 {
    let mut waits = BTreeMap::new();
    context.directory.collect_waits(&mut waits);
    let own = &context.own_status;
    if own.is_serving {
        let (sum, count) = waits.entry(own.service.clone()).or_default();
        *sum += u64::from(own.load.wait_micros);
        *count += 1;
    }
    waits
        .values()
        .map(|(sum, count)| *sum as f64 / (*count as f64 * f64::from(PRESSURE_MICROS)))
        .fold(0.0, f64::max)
}
