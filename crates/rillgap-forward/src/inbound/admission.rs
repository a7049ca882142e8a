//! Decides which requests run, which wait and which are refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::admission::WindowLoad;
use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::queue::Queued;
use super::refusals::MIN_REFUSED_SHARE;
use super::{
    Arrival, ESTIMATE_PROBE_FRACTION, Inbound, LEVEL_TUNING, MAX_QUEUE_LENGTH, MAX_QUEUED_BYTES,
    MAX_SLOT_UTILIZATION, MIN_REMAINING_TIME_FRACTION, MIN_REPORTED_LEVEL_CHANGE,
    RANK_RESERVE_FRACTION, RETRY_AFTER_RANGE_MILLIS, RequestState, count,
};
use crate::action::{Action, Actions};
use crate::log_record::LogRecord;
use crate::message::{ForwardedRequest, tier_of};

impl Inbound {
    pub(super) fn limit(&self) -> u32 {
        let usable = f64::from(self.back_end.slots()) * MAX_SLOT_UTILIZATION;
        (usable as u32).max(1)
    }

    /// Returns whether the back end may be sent another request: it has a slot and is below the
    /// rate limit that it states.
    pub(super) fn has_capacity(&self, now: Instant) -> bool {
        let has_slot = count(self.running.len()) < self.limit();
        has_slot && self.stated_rate.permits(now, self.back_end.incarnation())
    }

    /// Returns the number of slots that requests use on average when as many are sent as the back
    /// end accepts.
    fn usable_slots(&self) -> f64 {
        let slots = f64::from(self.limit());
        let incarnation = self.back_end.incarnation();
        let Some(per_second) = self.stated_rate.requests_per_second(incarnation) else {
            return slots;
        };
        let mean_seconds = f64::from(self.service_times.mean_micros()) / 1e6;
        let used = per_second * mean_seconds;
        if used > 0.0 { used.min(slots) } else { slots }
    }

    /// Returns the code of a request that is refused because too many others precede it.
    pub(super) fn shed_code(&self, now: Instant) -> ResultCode {
        if self.stated_rate.permits(now, self.back_end.incarnation()) {
            ResultCode::QueueFull
        } else {
            ResultCode::RateLimitStated
        }
    }

    /// Records a request as demand. If this node refuses it, the node that receives it next counts
    /// it too.
    pub(super) fn record_demand(&mut self, request: &ForwardedRequest) {
        let expected = self.service_times.expected(&request.route);
        let work_micros = expected.as_micros() as f64;
        self.threshold.record_arrival(request.level, work_micros);
    }

    /// Updates the published admission level at the end of each control window.
    pub(super) fn update_level(&mut self, now: Instant) {
        if !self.threshold.is_due(now) {
            return;
        }
        let limit = self.usable_slots();
        let window_load = WindowLoad {
            limit,
            mean_service_micros: f64::from(self.service_times.mean_micros()),
            queued: self.equivalent_queue(now, limit),
        };
        self.threshold.update(now, &window_load);
        let level = self.threshold.level();
        if level.0.abs_diff(self.reported_level.0) >= MIN_REPORTED_LEVEL_CHANGE {
            self.reported_level = level;
            self.load_changed = true;
        }
    }

    /// Returns the queue lengths by tier. The lowest tier with waiting calls counts as longer if
    /// these use up more of their wait than the length shows.
    fn equivalent_queue(&mut self, now: Instant, limit: f64) -> BTreeMap<u8, usize> {
        let mut queued: BTreeMap<u8, usize> = (0_u8..)
            .zip(self.queued_by_tier())
            .map(|(tier, queued)| (tier, usize::from(queued)))
            .collect();
        let oldest = self.oldest_waiting_call(now);
        let Some(equivalent) = self.wait_pressure.end_window(oldest) else {
            return queued;
        };
        let target = LEVEL_TUNING.queue_target * limit;
        let total: usize = queued.values().sum();
        let missing = ((equivalent.targets * target) as usize).saturating_sub(total);
        *queued.entry(equivalent.tier).or_default() += missing;
        queued
    }

    /// Returns the tier and the wait so far of the oldest queued call of the lowest rank.
    fn oldest_waiting_call(&self, now: Instant) -> Option<(u8, Duration)> {
        self.queue.ranks().rev().find_map(|rank| {
            let calls = self.queue.items(rank).filter(|item| item.request.is_call);
            let waits = calls.map(|call| now.saturating_since(call.arrived));
            Some((tier_of(rank), waits.max()?))
        })
    }

    /// Records that the wait of a queued request has ended unserved.
    pub(super) fn record_expired_wait(&mut self, now: Instant, arrival: &Arrival) {
        if arrival.request.is_call {
            let tier = tier_of(arrival.request.rank());
            let waited = now.saturating_since(arrival.arrived);
            self.wait_pressure.record_expired(tier, waited);
        }
    }

    /// Logs the begin and the end of a time in which the back end refuses a share of what it gets.
    pub(super) fn log_refusals(&mut self, now: Instant, out: &mut Actions) {
        let refused_share = self.refusals.share(now);
        let threshold = if self.is_refusing_logged {
            MIN_REFUSED_SHARE / 2.0
        } else {
            MIN_REFUSED_SHARE
        };
        let is_refusing = refused_share >= threshold;
        if is_refusing == self.is_refusing_logged {
            return;
        }
        self.is_refusing_logged = is_refusing;
        out.push(Action::Log(LogRecord::BackEndRefusals {
            service: self.back_end.service().to_owned(),
            instance: self.back_end.log_name(),
            is_refusing,
            refused_permille: (refused_share * 1_000.0) as u32,
        }));
    }

    /// Returns whether a rank uses less than its reserved fraction of the limit. Under a stated
    /// rate limit hardly any slot is in use, so the reserve would put the lowest rank first.
    pub(super) fn is_within_reserve(&self, rank: u8) -> bool {
        if self.rate_limit().is_some() {
            return false;
        }
        let running = self
            .running
            .values()
            .filter(|running| running.request.rank() == rank)
            .count();
        (running as f64) < f64::from(self.limit()) * RANK_RESERVE_FRACTION
    }

    /// Returns why the back end accepts no requests of this service; `None` if it accepts them.
    pub(super) fn service_refusal(&self, request: &ForwardedRequest) -> Option<ResultCode> {
        if self.is_stopping {
            return Some(ResultCode::NodeStopping);
        }
        if !self.back_end.is_serving() {
            return Some(ResultCode::BackEndLeaving);
        }
        (self.back_end.service() != request.service).then_some(ResultCode::NoBackEnd)
    }

    /// Returns whether a request is not expected to complete before its deadline.
    pub(super) fn cannot_meet_deadline(&self, now: Instant, arrival: &Arrival) -> bool {
        let remaining = arrival.deadline.saturating_since(now);
        let expected = self.service_times.expected(&arrival.request.route);
        let probes = (f64::from(self.limit()) * ESTIMATE_PROBE_FRACTION).max(1.0);
        remaining.is_zero()
            || remaining < expected.mul_f64(MIN_REMAINING_TIME_FRACTION)
                && self.running.len() as f64 >= probes
    }

    pub(super) fn enqueue(&mut self, now: Instant, arrival: Arrival, out: &mut Actions) {
        let bound = Duration::from_micros(arrival.request.queue_limit_micros);
        let rank = arrival.request.rank();
        let position_in_rank = arrival.request.position_in_rank();
        // All queued requests of the rank count as ahead. If only those with an earlier position
        // counted, almost every request would be queued, and the queue would grow beyond its bound.
        let ahead = self.queue.ahead_of(rank, u8::MAX);
        let wait = self.drain_time(now, ahead + 1);
        let bytes = arrival.request.body.len();
        let queued_bytes = self.queue.bytes() + self.isolated_queue.bytes();
        let is_full =
            self.queue.len() >= MAX_QUEUE_LENGTH || queued_bytes + bytes > MAX_QUEUED_BYTES;
        if wait > bound || is_full {
            let code = self.shed_code(now);
            self.refuse(now, &arrival, code, out);
            return;
        }
        let expected = self.service_times.expected(&arrival.request.route);
        let latest = arrival.deadline - expected.mul_f64(MIN_REMAINING_TIME_FRACTION);
        if arrival.request.is_call {
            self.wait_pressure.observe_bound(bound);
        }
        let request_key = (arrival.link, arrival.sequence);
        let is_isolated = arrival.is_isolated;
        let queued = Queued {
            rank,
            position_in_rank,
            cutoff: latest.min(now + bound),
            bytes,
            item: arrival,
        };
        let state = if is_isolated {
            RequestState::QueuedForIsolation(self.isolated_queue.push(queued))
        } else {
            RequestState::Queued(self.queue.push(queued))
        };
        self.request_states.insert(request_key, state);
    }

    /// Returns the expected time until `count` queued requests have been started.
    pub(super) fn drain_time(&self, now: Instant, count: usize) -> Duration {
        let mean = f64::from(self.drain_mean_micros());
        let micros = count as f64 * mean / f64::from(self.limit());
        let incarnation = self.back_end.incarnation();
        let rate_wait = self.stated_rate.wait_for(now, incarnation, count);
        Duration::from_micros(micros as u64).max(rate_wait)
    }

    /// Returns the time after which a request refused with `code` should be retried, in
    /// milliseconds.
    pub(super) fn retry_after_millis_for(
        &self,
        now: Instant,
        code: ResultCode,
        request: &ForwardedRequest,
    ) -> u32 {
        if code == ResultCode::Quarantined {
            return self
                .crashes
                .quarantine_remaining_millis(now, request.content());
        }
        self.retry_after_millis(now)
    }

    pub(super) fn retry_after_millis(&self, now: Instant) -> u32 {
        let drain = self.drain_time(now, self.queue.len() + 1).as_millis();
        let (shortest, longest) = RETRY_AFTER_RANGE_MILLIS;
        let millis = u64::try_from(drain).unwrap_or(longest);
        u32::try_from(millis.clamp(shortest, longest)).unwrap_or(u32::MAX)
    }
}
