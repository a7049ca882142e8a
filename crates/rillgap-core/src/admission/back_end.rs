//! Admission of requests at one back end: concurrency limit, queue by class, deadlines.

use std::collections::BTreeMap;
use std::time::Duration;

use super::level::Level;
use super::limit::ConcurrencyLimit;
use super::mode::{AdmissionSettings, ControlMode};
use super::queue::{ClassQueue, Queued};
use super::record::LevelChange;
use super::report::{LoadReport, ServiceLoad, merge_service_loads};
use super::service_time::ServiceTimes;
use super::threshold::{Threshold, WindowLoad};
use super::{Completion, QueueDecision, Ticket, Verdict};
use crate::code::ResultCode;
use crate::id::{AttemptId, NodeId, ServiceName};
use crate::policy::{Class, ServicePolicy};
use crate::request::{Refusal, RetryAfter};
use crate::time::{Instant, micros};

/// Maximum number of queued requests per slot.
const MAX_QUEUED_PER_SLOT: usize = 8;
/// Smallest and largest queue capacity, in requests.
const QUEUE_CAPACITY_RANGE: (usize, usize) = (32, 1_024);
/// Bounds of the `Retry-After` time of a refusal, in milliseconds.
const RETRY_AFTER_RANGE_MILLIS: (u64, u64) = (50, 5_000);
/// Time for which a queue must stay non-empty to count as a standing queue.
const STANDING_QUEUE_DELAY: Duration = Duration::from_millis(100);
/// Maximum wait in a standing queue, as a fraction of the mean request latency.
const MAX_STANDING_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the limit open to requests that are expected to miss their deadline. Without
/// these probes, a latency estimate that is too high would never be corrected.
const PROBE_FRACTION: f64 = 0.1;

/// A request running at the back end.
#[derive(Clone, Debug)]
struct Running {
    class: Class,
    /// Levels of the downstream services that the request called.
    involved: Vec<ServiceLoad>,
    /// Time spent in this back end's queue.
    waited: Duration,
    /// Total time that the request's nested calls spent in queues of other back ends.
    nested_wait: Duration,
}

/// Admission controller of one back end.
#[derive(Clone, Debug, Default)]
pub struct BackEndAdmission {
    settings: AdmissionSettings,
    node: NodeId,
    service: Option<ServiceName>,
    slots: u16,
    queue_timeout: Duration,
    limit: ConcurrencyLimit,
    times: ServiceTimes,
    threshold: Threshold,
    queue: ClassQueue,
    /// Since when the queue has not been empty; `None` while it is empty.
    queued_since: Option<Instant>,
    running: BTreeMap<AttemptId, Running>,
    /// Decisions to return from the next [`BackEndAdmission::poll`].
    decisions: Vec<QueueDecision>,
    /// Start or end of shedding that was not taken yet.
    level_change: Option<LevelChange>,
}

impl BackEndAdmission {
    /// Creates the controller of a node that has just started.
    pub fn new(settings: AdmissionSettings, node: NodeId) -> Self {
        Self {
            settings,
            node,
            ..Self::default()
        }
    }

    /// Applies the policy of the back end's service.
    pub fn configure(&mut self, service: &ServicePolicy) {
        if self.service.as_ref() != Some(&service.name) {
            self.service = Some(service.name.clone());
        }
        self.slots = service.slots;
        self.queue_timeout = Duration::from_millis(u64::from(service.queue_millis));
        self.limit.configure(service.slots);
    }

    /// Starts, queues or refuses a new ticket.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Verdict {
        match self.settings.mode {
            ControlMode::None => self.start(&ticket, Duration::ZERO),
            ControlMode::Fixed => self.offer_fixed(now, ticket),
            ControlMode::Full => self.offer_full(now, ticket),
        }
    }

    /// Records that a started attempt ended after `latency`. Returns the load report for its
    /// answer, which includes the services that the attempt called.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        latency: Duration,
        completion: Completion,
    ) -> LoadReport {
        let running = self.running.len();
        let Some(ended) = self.running.remove(&attempt) else {
            return self.load();
        };
        self.limit.finish(now, completion, latency, running);
        match completion {
            Completion::Answered => {
                self.times
                    .record_answered(ended.class, latency, ended.nested_wait)
            }
            Completion::Failed => self
                .times
                .record_failed(ended.class, latency, ended.nested_wait),
            Completion::Shed => {}
        }
        let mut load = self.load();
        let waited = micros(ended.waited + ended.nested_wait);
        load.waited_micros = u32::try_from(waited).unwrap_or(u32::MAX);
        merge_service_loads(&mut load.services, &ended.involved);
        load
    }

    /// Records the load report from the answer to a nested call of a running attempt.
    pub fn record_nested_load(&mut self, attempt: AttemptId, load: &LoadReport) {
        if let Some(running) = self.running.get_mut(&attempt) {
            merge_service_loads(&mut running.involved, &load.services);
            running.nested_wait += Duration::from_micros(u64::from(load.waited_micros));
        }
    }

    /// Removes a ticket from the queue; returns whether it was queued.
    pub fn cancel(&mut self, _now: Instant, attempt: AttemptId) -> bool {
        self.queue.remove(attempt).is_some()
    }

    /// Starts or refuses queued tickets where possible. Must be called after every call that
    /// changes the state, and at [`Self::next_wake`].
    pub fn poll(&mut self, now: Instant) -> Vec<QueueDecision> {
        self.update_threshold(now);
        self.refuse_expired(now);
        self.start_queued(now);
        self.track_standing_queue(now);
        std::mem::take(&mut self.decisions)
    }

    /// Removes and returns the last start or end of shedding.
    pub fn take_level_change(&mut self) -> Option<LevelChange> {
        self.level_change.take()
    }

    /// Returns the time at which [`Self::poll`] must be called next; `None` if no ticket is queued.
    pub fn next_wake(&self) -> Option<Instant> {
        self.queue.next_cutoff()
    }

    /// Returns the load report that answers and refusals carry.
    pub fn load(&self) -> LoadReport {
        let service = self.service.as_ref().map(|name| ServiceLoad {
            service: name.clone(),
            reporter: self.node,
            level: self.threshold.level(),
        });
        LoadReport {
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            limit: self.current_limit(),
            waited_micros: 0,
            services: service.into_iter().collect(),
        }
    }

    fn current_limit(&self) -> u32 {
        match self.settings.mode {
            ControlMode::Full => self.limit.get(),
            ControlMode::None | ControlMode::Fixed => u32::from(self.slots.max(1)),
        }
    }

    fn has_free_slot(&self) -> bool {
        count(self.running.len()) < self.current_limit()
    }

    fn start(&mut self, ticket: &Ticket, waited: Duration) -> Verdict {
        let running = Running {
            class: ticket.class,
            involved: Vec::new(),
            waited,
            nested_wait: Duration::ZERO,
        };
        self.running.insert(ticket.attempt, running);
        Verdict::Start
    }

    fn offer_fixed(&mut self, now: Instant, ticket: Ticket) -> Verdict {
        if self.has_free_slot() {
            return self.start(&ticket, Duration::ZERO);
        }
        if self.queue.len() >= self.max_queue_len() {
            return Verdict::Refuse(self.refusal(ResultCode::QueueFull));
        }
        // A single class makes the queue first-in, first-out.
        let ticket = Ticket {
            class: Class::Standard,
            ..ticket
        };
        let cutoff = now + self.queue_timeout;
        self.queue.push(Queued {
            ticket,
            queued_at: now,
            cutoff,
        });
        Verdict::Queue
    }

    fn offer_full(&mut self, now: Instant, ticket: Ticket) -> Verdict {
        let work_micros = self.times.class_occupancy_micros(ticket.class);
        self.threshold.record_arrival(ticket.level(), work_micros);
        let expected = self.times.expected(ticket.class);
        let remaining = ticket.deadline.saturating_since(now);
        if remaining < expected && !self.may_probe() {
            return Verdict::Refuse(self.refusal(ResultCode::DeadlineUnmet));
        }
        let ahead = self.queue.ahead_of(ticket.class);
        if ahead == 0 && self.has_free_slot() {
            return self.start(&ticket, Duration::ZERO);
        }
        let wait = self.drain_time(ahead + 1);
        if remaining < wait + expected {
            return Verdict::Refuse(self.refusal(ResultCode::DeadlineUnmet));
        }
        let timeout = self.class_queue_timeout(now, ticket.class);
        if wait > timeout || !self.make_queue_space(&ticket) {
            return Verdict::Refuse(self.refusal(ResultCode::QueueFull));
        }
        let cutoff = (ticket.deadline - expected).min(now + timeout);
        self.queue.push(Queued {
            ticket,
            queued_at: now,
            cutoff,
        });
        Verdict::Queue
    }

    /// Returns whether a request may start although it is expected to miss its deadline.
    fn may_probe(&self) -> bool {
        let probes = (f64::from(self.current_limit()) * PROBE_FRACTION).max(1.0);
        self.queue.len() == 0 && (self.running.len() as f64) < probes
    }

    /// Ensures that the queue has space, by evicting a ticket of lower level if it is full; returns
    /// whether it has.
    fn make_queue_space(&mut self, ticket: &Ticket) -> bool {
        if self.queue.len() < self.max_queue_len() {
            return true;
        }
        let Some(evicted) = self.queue.evict_below(ticket) else {
            return false;
        };
        let refusal = self.refusal(ResultCode::QueueFull);
        self.decisions
            .push(QueueDecision::Refuse(evicted.ticket.attempt, refusal));
        true
    }

    fn max_queue_len(&self) -> usize {
        let (shortest, longest) = QUEUE_CAPACITY_RANGE;
        (usize::from(self.slots) * MAX_QUEUED_PER_SLOT).clamp(shortest, longest)
    }

    /// Returns the maximum time that a request of a class may spend in the queue: the policy's
    /// bound for the highest class, a quarter of it less for each class below.
    ///
    /// A standing queue is lasting overload rather than a burst, so all classes but the highest
    /// then get a shorter bound, as in CoDel.
    fn class_queue_timeout(&self, now: Instant, class: Class) -> Duration {
        let classes = Class::ALL.len() as u32;
        let standing = self
            .queued_since
            .is_some_and(|since| now.saturating_since(since) >= STANDING_QUEUE_DELAY);
        let timeout = if standing && class != Class::Critical {
            let standing_timeout = Duration::from_micros(
                (MAX_STANDING_WAIT_FRACTION * self.times.mean_micros()) as u64,
            );
            standing_timeout.min(self.queue_timeout)
        } else {
            self.queue_timeout
        };
        timeout * (class.index() as u32 + 1) / classes
    }

    /// Returns the estimated time until `count` queued requests have been started.
    fn drain_time(&self, count: usize) -> Duration {
        let slots = f64::from(self.current_limit().max(1));
        Duration::from_micros((count as f64 * self.times.mean_micros() / slots) as u64)
    }

    fn refusal(&self, code: ResultCode) -> Refusal {
        let (shortest, longest) = RETRY_AFTER_RANGE_MILLIS;
        let drain_millis = micros(self.drain_time(self.queue.len() + 1)) / 1_000;
        let level = u64::from(self.threshold.level().0);
        let level_millis = longest * level / u64::from(Level::COUNT);
        let wait_millis = drain_millis.max(level_millis).clamp(shortest, longest);
        Refusal {
            code,
            retry_after: RetryAfter {
                millis: u32::try_from(wait_millis).unwrap_or(u32::MAX),
            },
        }
    }

    fn track_standing_queue(&mut self, now: Instant) {
        if self.queue.len() == 0 {
            self.queued_since = None;
        } else {
            self.queued_since.get_or_insert(now);
        }
    }

    fn update_threshold(&mut self, now: Instant) {
        if self.settings.mode != ControlMode::Full || !self.threshold.is_due(now) {
            return;
        }
        let load = WindowLoad {
            limit: f64::from(self.current_limit().max(1)),
            mean_service_micros: self.times.mean_occupancy_micros(),
            queued: Class::ALL
                .map(|class| (class.index() as u8, self.queue.class_len(class)))
                .into(),
        };
        let before = self.threshold.level();
        self.threshold.update(now, &load);
        let after = self.threshold.level();
        if (before == Level(0)) != (after == Level(0)) {
            self.level_change = Some(LevelChange {
                level: after,
                limit: self.current_limit(),
                running: self.running.len(),
                queued: self.queue.len(),
                demand: self.threshold.demand(),
                mean_occupancy_micros: load.mean_service_micros,
            });
        }
    }

    fn refuse_expired(&mut self, now: Instant) {
        while let Some(expired) = self.queue.pop_expired(now) {
            let is_deadline_cutoff = expired.cutoff + self.times.expected(expired.ticket.class)
                >= expired.ticket.deadline;
            let code = if is_deadline_cutoff {
                ResultCode::DeadlineUnmet
            } else {
                ResultCode::QueueFull
            };
            let refusal = self.refusal(code);
            self.decisions
                .push(QueueDecision::Refuse(expired.ticket.attempt, refusal));
        }
    }

    fn start_queued(&mut self, now: Instant) {
        while self.has_free_slot() {
            let Some(queued) = self.queue.pop() else {
                return;
            };
            let decision = self.decide_queued(now, &queued);
            self.decisions.push(decision);
        }
    }

    /// Decides on the ticket at the head of the queue. The deadline is checked again, since the
    /// latency estimate may have risen while the ticket was queued.
    fn decide_queued(&mut self, now: Instant, queued: &Queued) -> QueueDecision {
        let ticket = &queued.ticket;
        let remaining = ticket.deadline.saturating_since(now);
        let misses_deadline = self.settings.mode == ControlMode::Full
            && remaining < self.times.expected(ticket.class)
            && !self.may_probe();
        if misses_deadline {
            return QueueDecision::Refuse(ticket.attempt, self.refusal(ResultCode::DeadlineUnmet));
        }
        self.start(ticket, now.saturating_since(queued.queued_at));
        QueueDecision::Start(ticket.attempt)
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
