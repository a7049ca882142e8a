//! Inbound side of a node: admits, queues and runs forwarded requests on the local back end.
//!
//! Every request to the back end passes through this module. It therefore tracks which requests
//! run, reports reliably that a request was not executed, orders the queue, and ensures that a back
//! end that leaves service gets no new requests.

mod admission;
mod announcements;
mod back_end;
pub mod call_profile;
mod completion;
mod failure_rate;
mod isolation;
mod lost_requests;
mod notices;
mod queue;
pub mod refusals;
mod restart;
mod running;
mod service_time;
pub mod slowdown;
mod speed;
mod stated_load;
mod stated_rate;
mod usual_time;
mod wait_pressure;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rillgap_core::admission::{Level, Threshold, Tuning};
use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use crate::action::{Action, Actions, Exchange};
use crate::configuration::RouteTable;
use crate::crash::{CrashRegister, Suspicion};
use crate::event::ExchangeResult;
use crate::id::{ExchangeId, LinkId, Sequence};
use crate::incarnation::Incarnation;
use crate::message::{ForwardedRequest, Load, Status, TIER_COUNT, tier_of};
use crate::settings::ForwardSettings;

use back_end::{BackEnd, Effect};
use call_profile::CallProfile;
use failure_rate::FailureRate;
use lost_requests::LostRequests;
use queue::RankQueue;
use refusals::Refusals;
use running::Running;
use service_time::ServiceTimes;
use slowdown::OwnTime;
use speed::Speed;
use stated_rate::StatedRate;
use wait_pressure::WaitPressure;

pub use call_profile::CallCounts;
pub use running::{CallProgress, CallUpdate};
pub use speed::{SlowdownStatus, combined, percent};

/// Fraction of the back end's slots that may be in use: back ends slow down when almost all are
/// taken.
const MAX_SLOT_UTILIZATION: f64 = 0.95;
/// Fraction of the concurrency limit that is reserved for each rank. A rank that runs fewer
/// requests may start one although requests of higher ranks wait.
const RANK_RESERVE_FRACTION: f64 = 0.2;
/// Minimum time until the deadline for a request to be started, as a fraction of its expected
/// service time.
const MIN_REMAINING_TIME_FRACTION: f64 = 0.7;
/// Fraction of the concurrency limit. While fewer requests run, requests are started even if they
/// are not expected to meet their deadline. Their samples correct an expected service time that has
/// become too long.
const ESTIMATE_PROBE_FRACTION: f64 = 0.1;
/// Time after a request's deadline at which its exchange with the back end is cancelled.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);
/// Delay after a request's deadline beyond which its service time is not recorded: the end was
/// noticed late because the node itself was stalled or had no processor time. Twice the grace after
/// which an overdue request is cancelled.
const MAX_SAMPLE_DELAY: Duration = Duration::from_millis(500);
/// Minimum and maximum time after which a refused request should be retried, in milliseconds.
const RETRY_AFTER_RANGE_MILLIS: (u64, u64) = (50, 2_000);
/// Tuning of the published admission level. The queue target is close to the limit because calls
/// may wait several times as long as they run.
const LEVEL_TUNING: Tuning = Tuning {
    queue_target: 0.8,
    demand_weight: 0.15,
};
/// Minimum change of the published level that triggers a load report to peers: a tenth of a tier.
const MIN_REPORTED_LEVEL_CHANGE: u32 = Level::PER_TIER / 10;
/// Time before a request's deadline within which a cancellation counts as a missing answer.
const CANCELLATION_DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Failure rate from which a back end counts as failing, in thousandths. A request counts as failed
/// only if the back end itself caused the failure.
pub const FAILURE_THRESHOLD_PERMILLE: u32 = 100;
/// Maximum number of requests in the queue.
const MAX_QUEUE_LENGTH: usize = 2_048;
/// Maximum sum of the bodies of the requests in the queues, in bytes.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// A request that has arrived and is not running yet.
#[derive(Clone, Debug)]
struct Arrival {
    link: LinkId,
    sequence: Sequence,
    request: Arc<ForwardedRequest>,
    arrived: Instant,
    deadline: Instant,
    /// Whether the request is to run as the only suspect on the back end.
    is_isolated: bool,
}

/// State of a received request. Queued requests hold the ticket of their queue.
#[derive(Clone, Copy, Debug)]
enum RequestState {
    Queued(u64),
    /// Waits for the running isolated request to end.
    QueuedForIsolation(u64),
    Running(ExchangeId),
}

/// Inbound side of a node: the state of the local back end and the requests that run on it or wait.
#[derive(Debug)]
pub struct Inbound {
    back_end: BackEnd,
    /// Rate limit that the back end states.
    stated_rate: StatedRate,
    queue: RankQueue<Arrival>,
    /// Suspect requests that wait for the running isolated request to end.
    isolated_queue: RankQueue<Arrival>,
    /// The isolated request that is running, if any.
    isolated: Option<ExchangeId>,
    lost_requests: LostRequests,
    crashes: CrashRegister,
    running: BTreeMap<ExchangeId, Running>,
    deadlines: BTreeSet<(Instant, ExchangeId)>,
    request_states: BTreeMap<(LinkId, Sequence), RequestState>,
    by_request_id: BTreeMap<String, ExchangeId>,
    service_times: ServiceTimes,
    call_profile: CallProfile,
    speed: Speed,
    failure_rate: FailureRate,
    failing_permille: u32,
    /// Incarnation from which the service times and the failure rate were measured.
    measured_incarnation: Option<Incarnation>,
    next_exchange: u64,
    is_stopping: bool,
    status_changed: bool,
    load_changed: bool,
    threshold: Threshold,
    wait_pressure: WaitPressure,
    refusals: Refusals,
    /// Whether the last logged change was the begin of refusals.
    is_refusing_logged: bool,
    /// Level at which the last load report was triggered by a level change.
    reported_level: Level,
}

impl Inbound {
    /// Creates the inbound side of a new node. The state of the back end is unknown at first.
    pub fn new(settings: &ForwardSettings) -> Self {
        Self {
            back_end: BackEnd::new(settings.back_end_address, settings.heartbeat_interval),
            stated_rate: StatedRate::default(),
            queue: RankQueue::default(),
            isolated_queue: RankQueue::default(),
            isolated: None,
            lost_requests: LostRequests::default(),
            crashes: CrashRegister::default(),
            running: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            request_states: BTreeMap::new(),
            by_request_id: BTreeMap::new(),
            service_times: ServiceTimes::default(),
            call_profile: CallProfile::default(),
            speed: Speed::default(),
            failure_rate: FailureRate::default(),
            failing_permille: 0,
            measured_incarnation: None,
            next_exchange: 0,
            is_stopping: false,
            status_changed: false,
            load_changed: false,
            threshold: Threshold::new(LEVEL_TUNING),
            wait_pressure: WaitPressure::default(),
            refusals: Refusals::default(),
            is_refusing_logged: false,
            reported_level: Level(0),
        }
    }

    /// Returns the status that is sent to peers.
    pub fn status(&self) -> Status {
        Status {
            service: self.back_end.service().to_owned(),
            instance: self.back_end.incarnation().map(Incarnation::fingerprint),
            is_serving: self.back_end.is_serving(),
            has_left: self.back_end.has_left(),
            is_stopping: self.is_stopping,
            load: self.load(),
            is_watching: false,
            can_own_buckets: false,
        }
    }

    /// Returns the service of the back end; empty if it is unknown.
    pub fn service(&self) -> &str {
        self.back_end.service()
    }

    /// Returns whether the back end accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.back_end.is_serving()
    }

    /// Returns the load of the back end.
    pub fn load(&self) -> Load {
        Load {
            limit: self.limit(),
            running: count(self.running.len()),
            queued: self.queued_by_tier(),
            mean_micros: self.current_mean_micros(),
            level: self.threshold.level(),
            failing_permille: self.failing_permille,
            rate_limit: self.stated_rate.report(self.back_end.incarnation()),
        }
    }

    /// Returns the share of attempts that the back end refuses itself, from 0 to 1.
    pub fn refused_share(&self, now: Instant) -> f64 {
        self.refusals.share(now)
    }

    fn queued_by_tier(&self) -> [u16; TIER_COUNT] {
        let mut queued = [0_u16; TIER_COUNT];
        for (rank, length) in self.queue.lengths() {
            let length = u16::try_from(length).unwrap_or(u16::MAX);
            let of_tier = &mut queued[usize::from(tier_of(rank))];
            *of_tier = of_tier.saturating_add(length);
        }
        queued
    }

    /// Returns whether the load has changed enough for an early report to peers, and resets the
    /// flag.
    pub fn take_load_change(&mut self) -> bool {
        std::mem::take(&mut self.load_changed)
    }

    /// Returns whether a status change must be sent to peers at once, and resets the flag.
    pub fn take_status_change(&mut self) -> bool {
        std::mem::take(&mut self.status_changed)
    }

    /// Returns the number of requests that run, wait in a queue or are held after a lost answer.
    pub fn in_flight(&self) -> usize {
        let queued = self.queue.len() + self.isolated_queue.len();
        self.running.len() + queued + self.lost_requests.held()
    }

    /// Returns the evidence about requests that crash back ends.
    pub const fn crashes(&self) -> &CrashRegister {
        &self.crashes
    }

    /// Returns the evidence about requests that crash back ends, for modification.
    pub const fn crashes_mut(&mut self) -> &mut CrashRegister {
        &mut self.crashes
    }

    /// Returns the running request with this identifier.
    pub fn running_request(&self, request_id: &str) -> Option<&ForwardedRequest> {
        let exchange = self.by_request_id.get(request_id)?;
        let running = self.running.get(exchange)?;
        Some(&running.request)
    }

    /// Records the progress of a call that the back end makes while it works on a request.
    pub fn on_call(&mut self, now: Instant, call: CallUpdate) {
        let exchange = self.by_request_id.get(&call.parent_id);
        let Some(running) = exchange.and_then(|exchange| self.running.get_mut(exchange)) else {
            return;
        };
        running.on_call(call);
        let is_working = running.pending_calls() == 0;
        let own_time = &mut running.own_time;
        self.speed.slowdown.set_working(now, own_time, is_working);
    }

    /// Returns whether the back end has announced that it leaves service, or has left.
    pub fn has_left(&self) -> bool {
        self.back_end.has_left()
    }

    /// Begins a planned stop. After the next status report, peers send no more requests.
    pub fn stop(&mut self) {
        self.is_stopping = true;
        self.status_changed = true;
    }

    /// Starts, queues or refuses a forwarded request.
    pub fn on_request(
        &mut self,
        now: Instant,
        link: LinkId,
        sequence: Sequence,
        request: Arc<ForwardedRequest>,
        out: &mut Actions,
    ) {
        let deadline = now + Duration::from_micros(request.remaining_micros);
        let suspicion = self.suspicion(now, &request);
        let arrival = Arrival {
            link,
            sequence,
            request,
            arrived: now,
            deadline,
            is_isolated: suspicion.is_isolated(),
        };
        if let Some(code) = self.service_refusal(&arrival.request) {
            self.refuse(now, &arrival, code, out);
            return;
        }
        if suspicion == Suspicion::Quarantined {
            self.refuse(now, &arrival, ResultCode::Quarantined, out);
            return;
        }
        if self.cannot_meet_deadline(now, &arrival) {
            self.refuse(now, &arrival, ResultCode::DeadlineUnmet, out);
            return;
        }
        self.adopt_rate_limit(now, &arrival.request, out);
        self.record_demand(&arrival.request);
        if arrival.is_isolated && self.isolated.is_some() {
            self.enqueue(now, arrival, out);
            return;
        }
        let rank = arrival.request.rank();
        let position_in_rank = arrival.request.position_in_rank();
        let none_ahead = self.queue.ahead_of(rank, position_in_rank) == 0;
        if self.has_capacity(now) && (none_ahead || self.is_within_reserve(rank)) {
            self.start(now, arrival, out);
            return;
        }
        self.enqueue(now, arrival, out);
    }

    /// Returns the calls that the back end is expected to make for a request of this route.
    pub fn expected_calls(&self, route: &str) -> CallCounts {
        self.call_profile.expected(route)
    }

    /// Returns whether a received request runs or waits.
    pub fn is_unfinished(&self, link: LinkId, sequence: Sequence) -> bool {
        self.request_states.contains_key(&(link, sequence))
    }

    /// Refuses a retry whose calls the retry budget does not cover.
    pub fn refuse_uncovered_retry(
        &mut self,
        now: Instant,
        link: LinkId,
        sequence: Sequence,
        request: Arc<ForwardedRequest>,
        out: &mut Actions,
    ) {
        let arrival = Arrival {
            link,
            sequence,
            request,
            arrived: now,
            deadline: now,
            is_isolated: false,
        };
        self.refuse(now, &arrival, ResultCode::RetryNotCovered, out);
    }

    /// Cancels a request for which nobody waits any more.
    pub fn on_cancel(&mut self, now: Instant, link: LinkId, sequence: Sequence, out: &mut Actions) {
        match self.request_states.remove(&(link, sequence)) {
            Some(RequestState::Queued(ticket)) => {
                self.queue.remove(ticket);
            }
            Some(RequestState::QueuedForIsolation(ticket)) => {
                self.isolated_queue.remove(ticket);
            }
            Some(RequestState::Running(exchange)) => self.cancel_running(now, exchange, out),
            None => {}
        }
        self.start_queued(now, out);
    }

    /// Cancels all requests that arrived on a closed link, since nobody waits for them any more.
    pub fn on_link_closed(&mut self, now: Instant, link: LinkId, out: &mut Actions) {
        let sequences: Vec<Sequence> = self.requests_of(link).collect();
        for sequence in sequences {
            self.on_cancel(now, link, sequence, out);
        }
    }

    /// Returns whether requests that arrived on a link run or wait.
    pub fn has_requests_of(&self, link: LinkId) -> bool {
        self.requests_of(link).next().is_some()
    }

    fn requests_of(&self, link: LinkId) -> impl Iterator<Item = Sequence> {
        let first = (link, Sequence(0));
        let last = (link, Sequence(u64::MAX));
        let request_states = self.request_states.range(first..=last);
        request_states.map(|((_, sequence), _)| *sequence)
    }

    /// Processes the end of an exchange with the back end.
    pub fn on_exchange(
        &mut self,
        now: Instant,
        exchange: ExchangeId,
        result: ExchangeResult,
        table: Option<&RouteTable>,
        out: &mut Actions,
    ) {
        let Some(mut running) = self.take_running(exchange) else {
            return;
        };
        if matches!(result, ExchangeResult::Answered(_)) {
            self.record_answer_time(now, &mut running);
        }
        self.record_outcome(now, &running, &result);
        let effect = self.back_end.on_exchange(&result);
        match result {
            ExchangeResult::Lost => self.hold_lost_request(now, running),
            result => self.answer_completed(now, running, result, out),
        }
        self.apply_effect(now, effect, table, out);
        self.start_queued(now, out);
    }

    /// Performs all work that is due at `now`.
    pub fn poll(&mut self, now: Instant, table: Option<&RouteTable>, out: &mut Actions) {
        self.back_end.poll(now);
        self.stated_rate.poll(now);
        self.update_level(now);
        self.log_refusals(now, out);
        self.update_failure_rate(now);
        self.poll_lost_requests(now);
        self.crashes.evict_expired(now);
        self.apply_effect(now, Effect::default(), table, out);
        self.refuse_expired(now, out);
        self.time_out_overdue(now, out);
        self.poll_speed(now, out);
        self.start_queued(now, out);
    }

    /// Returns when [`Self::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let overdue = self.deadlines.first().map(|(at, _)| *at + DEADLINE_GRACE);
        let cutoff = self.queue.next_cutoff();
        let isolated_cutoff = self.isolated_queue.next_cutoff();
        let back_end = self.back_end.next_wake();
        let lost_requests = self.lost_requests.next_wake();
        let has_queued = self.queue.len() + self.isolated_queue.len() > 0;
        let next_permit = self.stated_rate.next_permit(self.back_end.incarnation());
        let permit = next_permit.filter(|_| has_queued);
        [
            overdue,
            cutoff,
            isolated_cutoff,
            permit,
            back_end,
            lost_requests,
            self.next_speed_wake(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn start(&mut self, now: Instant, arrival: Arrival, out: &mut Actions) {
        let Some(incarnation) = self.back_end.incarnation().cloned() else {
            self.refuse(now, &arrival, ResultCode::BackEndLeaving, out);
            return;
        };
        self.stated_rate.take(now, &incarnation);
        self.next_exchange += 1;
        let id = ExchangeId(self.next_exchange);
        self.request_states
            .insert((arrival.link, arrival.sequence), RequestState::Running(id));
        self.deadlines.insert((arrival.deadline, id));
        self.by_request_id
            .insert(arrival.request.request_id.clone(), id);
        if arrival.is_isolated {
            self.isolated = Some(id);
        }
        out.push(Action::StartExchange(Exchange {
            id,
            request: arrival.request.clone(),
            incarnation: incarnation.clone(),
            remaining: arrival.deadline.saturating_since(now),
        }));
        let usual_micros = self.speed.usual.own_micros_of(&arrival.request.route);
        let own_time = OwnTime::start(now, usual_micros);
        let running = Running::new(now, arrival, id, incarnation, own_time);
        self.running.insert(id, running);
    }

    /// Removes a running request with all that refers to it, and returns it.
    fn take_running(&mut self, exchange: ExchangeId) -> Option<Running> {
        let running = self.running.remove(&exchange)?;
        self.deadlines.remove(&(running.deadline, exchange));
        self.request_states
            .remove(&(running.link, running.sequence));
        self.isolated.take_if(|isolated| *isolated == exchange);
        let id = &running.request.request_id;
        if self.by_request_id.get(id) == Some(&exchange) {
            self.by_request_id.remove(id);
        }
        Some(running)
    }

    fn start_queued(&mut self, now: Instant, out: &mut Actions) {
        self.start_isolated(now, out);
        while self.has_capacity(now) {
            let reserve = self
                .queue
                .ranks()
                .rev()
                .find(|rank| self.is_within_reserve(*rank));
            let next = match reserve {
                Some(rank) => self.queue.pop_rank(rank),
                None => self.queue.pop(),
            };
            let Some(arrival) = next else {
                return;
            };
            self.start_or_refuse(now, arrival, out);
        }
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn elapsed_micros(now: Instant, since: Instant) -> u64 {
    u64::try_from(now.saturating_since(since).as_micros()).unwrap_or(u64::MAX)
}
