//! Applies the slowdown of the back end: keeps it up to date, reports it and gives back queued
//! requests that can no longer start in time.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::slowdown::{Slowdown, bounded};
use super::stated_load::StatedSlowdown;
use super::usual_time::UsualTimes;
use super::{Inbound, count};
use crate::action::{Action, Actions};
use crate::back_end_notice::LoadNotice;
use crate::incarnation::Incarnation;
use crate::log_record::LogRecord;

/// Interval at which the own time of running requests is counted.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the own time of running requests is counted if nothing else happens.
const WAKE_INTERVAL: Duration = Duration::from_millis(50);
/// Factor between two slowdowns that triggers a load report to peers.
const REPORTED_FACTOR: f64 = 2.0;
/// Slowdown from which queued requests are given back, and the expected wait follows the slowdown.
/// Chance moves the estimate of a back end at its usual speed by less.
const GIVE_BACK_THRESHOLD: f64 = 1.5;
/// Maximum number of queued requests that are given back at one event.
const MAX_GIVEN_BACK: usize = 32;
/// Slowdown from which the back end is logged as slow.
const SLOW_THRESHOLD: f64 = 2.0;
/// Slowdown below which a slow back end is logged as no longer slow.
const RECOVERED_THRESHOLD: f64 = 1.5;

/// Slowdown of the back end from all sources.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowdownStatus {
    /// Slowdown as measured.
    pub measured: f64,
    /// Slowdown that the back end states; `None` without a recent statement.
    pub stated: Option<f64>,
    /// Slowdown in force.
    pub in_force: f64,
}

impl Default for SlowdownStatus {
    fn default() -> Self {
        Self {
            measured: 1.0,
            stated: None,
            in_force: 1.0,
        }
    }
}

/// Speed of the back end compared with its usual one.
#[derive(Clone, Debug, Default)]
pub(super) struct Speed {
    pub usual: UsualTimes,
    pub slowdown: Slowdown,
    stated: StatedSlowdown,
    status: SlowdownStatus,
    /// Slowdown at which the last load report was triggered by a change of it.
    reported: Reported,
    observed_at: Instant,
    is_slow: bool,
    given_back: u64,
}

/// Slowdown at which peers were last informed.
#[derive(Clone, Copy, Debug)]
struct Reported(f64);

impl Default for Reported {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Speed {
    /// Discards what was measured and stated of an earlier incarnation.
    pub fn on_restart(&mut self) {
        self.usual.on_restart();
        self.slowdown = Slowdown::default();
        self.stated = StatedSlowdown::default();
        self.status = SlowdownStatus::default();
    }

    /// Records the load that an incarnation of the back end states.
    pub fn on_notice(&mut self, now: Instant, incarnation: &Incarnation, notice: LoadNotice) {
        self.stated.observe(now, incarnation, notice);
    }

    fn update(&mut self, now: Instant, incarnation: Option<&Incarnation>) {
        let usual = self.usual.own_micros();
        let measured = self.slowdown.estimate(now, usual);
        let stated = self.stated.at(now, incarnation);
        let is_measured = self.slowdown.is_measured(usual);
        self.status = SlowdownStatus {
            measured,
            stated,
            in_force: combined(measured, is_measured, stated),
        };
    }

    /// Returns whether the slowdown has at least doubled or halved since this was last so.
    fn take_large_change(&mut self) -> bool {
        let ratio = self.status.in_force / self.reported.0;
        let is_large = !(REPORTED_FACTOR.recip()..REPORTED_FACTOR).contains(&ratio);
        if is_large {
            self.reported = Reported(self.status.in_force);
        }
        is_large
    }
}

/// Maximum factor between the stated and the measured slowdown that counts. A false statement moves
/// the result by its square root at most.
const MAX_STATED_FACTOR: f64 = 4.0;

/// Combines a measured slowdown with one that the back end states.
pub fn combined(measured: f64, is_measured: bool, stated: Option<f64>) -> f64 {
    let Some(stated) = stated else {
        return bounded(measured);
    };
    if !is_measured {
        return bounded(stated);
    }
    let range = (measured / MAX_STATED_FACTOR, measured * MAX_STATED_FACTOR);
    let stated = stated.clamp(range.0, range.1);
    bounded((measured * stated).sqrt())
}

impl Inbound {
    /// Returns the slowdown of the back end.
    pub const fn slowdown(&self) -> SlowdownStatus {
        self.speed.status
    }

    /// Returns the number of queued requests that were given back because the back end had become
    /// slow.
    pub const fn queue_given_back(&self) -> u64 {
        self.speed.given_back
    }

    /// Returns the expected time of a request at the back end now, in microseconds; 0 if unknown.
    pub(super) fn current_mean_micros(&self) -> u32 {
        let in_force = self.speed.status.in_force;
        self.speed.usual.expected_micros(in_force).round() as u32
    }

    /// Returns the mean time, in microseconds, by which the queue drains.
    pub(super) fn drain_mean_micros(&self) -> u32 {
        let mean = self.service_times.mean_micros();
        if self.speed.status.in_force < GIVE_BACK_THRESHOLD {
            return mean;
        }
        mean.max(self.current_mean_micros())
    }

    /// Counts the own time of running requests and updates the slowdown.
    pub(super) fn poll_speed(&mut self, now: Instant, out: &mut Actions) {
        if now < self.speed.observed_at + OBSERVATION_INTERVAL {
            return;
        }
        self.speed.observed_at = now;
        for running in self.running.values_mut() {
            self.speed.slowdown.observe(now, &mut running.own_time);
        }
        self.refresh_slowdown(now);
        self.log_slowdown(out);
        self.give_back_queued(now, out);
    }

    /// Updates the slowdown from what was counted.
    pub(super) fn refresh_slowdown(&mut self, now: Instant) {
        self.speed.update(now, self.back_end.incarnation());
        self.load_changed |= self.speed.take_large_change();
    }

    /// Returns when [`Self::poll_speed`] must be called next.
    pub(super) fn next_speed_wake(&self) -> Option<Instant> {
        (!self.running.is_empty()).then(|| self.speed.observed_at + WAKE_INTERVAL)
    }

    /// Processes the load that the health endpoint states of an instance.
    pub fn on_health_notice(&mut self, now: Instant, instance: &str, notice: LoadNotice) {
        let named = Incarnation::without_start(instance);
        let incarnation = self.back_end.resolve_incarnation(&named);
        self.speed.on_notice(now, &incarnation, notice);
    }

    fn log_slowdown(&mut self, out: &mut Actions) {
        let in_force = self.speed.status.in_force;
        let threshold = if self.speed.is_slow {
            RECOVERED_THRESHOLD
        } else {
            SLOW_THRESHOLD
        };
        let is_slow = in_force >= threshold;
        if is_slow == self.speed.is_slow {
            return;
        }
        self.speed.is_slow = is_slow;
        out.push(Action::Log(LogRecord::BackEndSlowdown {
            instance: self.back_end.log_name(),
            is_slow,
            measured_percent: percent(self.speed.status.measured),
            stated_percent: self.speed.status.stated.map(percent),
            percent: percent(in_force),
            running: count(self.running.len()),
            queued: count(self.queue.len()),
        }));
    }

    /// Refuses queued requests that a slow back end cannot start before their cutoff.
    fn give_back_queued(&mut self, now: Instant, out: &mut Actions) {
        if self.speed.status.in_force < GIVE_BACK_THRESHOLD || self.queue.len() == 0 {
            return;
        }
        let micros = f64::from(self.drain_mean_micros()) / f64::from(self.limit());
        let interval = Duration::from_micros(micros as u64);
        for ticket in self.queue.late(now, interval, MAX_GIVEN_BACK) {
            let Some(arrival) = self.queue.remove(ticket) else {
                continue;
            };
            self.speed.given_back += 1;
            let code = self.shed_code(now);
            self.refuse(now, &arrival, code, out);
        }
    }
}

/// Returns a slowdown in percent.
pub fn percent(slowdown: f64) -> u32 {
    (slowdown * 100.0).round() as u32
}
