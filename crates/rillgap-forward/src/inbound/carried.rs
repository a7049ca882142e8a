//! Computes which part of its demand a service can carry while its back ends refuse a share of
//! what they get, and the admission level from which on that part is.
//!
//! A call that is refused with probability `q` needs `q / (1 - q)` retries on average. The retries
//! of the deployment are bounded by `ratio` times the requests in the best of three windows, of
//! which nodes use `share`. What is left of that, counted from the arrivals at this node, has to
//! last until the window has passed in which the refusals began. So first arrivals are carried to
//! their end at a rate of
//!
//! ```text
//! C = f * (share * ratio * B - R) / (window - elapsed) * (1 - q) / q
//! ```
//!
//! where `B` is the number of first arrivals in the best window and `R` the number of retries. `f`
//! is the share of refusals that are retried. While it is below 1, more chains have begun than
//! the nodes that call the service can retry. These chains end early and make fewer calls than
//! they would need, so that the demand looks smaller than it is. The level is the lowest one at which the demand above it does not exceed `C`.

use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use super::refusals::Refusals;
use crate::message::TIER_COUNT;
use crate::request_window::{RequestWindow, SLICES_PER_WINDOW, remaining_retries, slice_number};
use crate::retry_budget::ratio_share;
use crate::settings::RetryBound;

/// Number of bins of the demand per tier.
const BINS_PER_TIER: usize = 32;
/// Total number of bins.
const BINS: usize = TIER_COUNT * BINS_PER_TIER;
/// Number of admission levels per bin.
const LEVELS_PER_BIN: u32 = Level::PER_TIER / BINS_PER_TIER as u32;
/// Time constant with which the demand of admitted levels follows arrivals.
const FOLLOW_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant with which the last known demand of levels that are not admitted fades.
const FADE_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Shortest time that the remaining retries have to last, as a fraction of the window.
const MIN_HORIZON_FRACTION: f64 = 0.25;
/// Interval at which the level is computed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of updates over which the highest published level is taken: by then its effect has
/// arrived.
const LEVEL_HISTORY: usize = 6;
/// Fraction of the distance to the computed level that one update covers, after the first one.
const LEVEL_SMOOTHING: f64 = 0.2;
/// Demand that is treated as none, in first arrivals per second.
const NEGLIGIBLE_RATE: f64 = 0.05;

/// State of a service whose back ends refuse, as seen by the node beside one of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CarriedPart {
    /// Whether the back end refuses a share of what it gets.
    pub is_refusing: bool,
    /// Share of attempts that the back end refuses, from 0 to 1.
    pub refused_share: f64,
    /// Part of the demand that retries can carry to its end, from 0 to 1.
    pub carried: f64,
    /// Admission level from which on demand is carried; 0 while all of it is.
    pub level: Level,
}

impl Default for CarriedPart {
    fn default() -> Self {
        Self {
            is_refusing: false,
            refused_share: 0.0,
            carried: 1.0,
            level: Level(0),
        }
    }
}

/// Demand on a back end and the part of it that can be carried while it refuses.
#[derive(Clone, Debug)]
pub struct Carried {
    bound: RetryBound,
    refusals: Refusals,
    first_arrivals: RequestWindow,
    retries: RequestWindow,
    /// First update at which the back end refused; `None` while it does not.
    refusing_since: Option<Instant>,
    /// First arrivals per second in each bin, averaged.
    demand: [f64; BINS],
    /// First arrivals in each bin since the last update.
    arrived: [u32; BINS],
    /// Whether a tier has had arrivals.
    has_demand: [bool; TIER_COUNT],
    has_calls: Option<bool>,
    part: CarriedPart,
    /// Ring buffer of the last published levels.
    published: [Level; LEVEL_HISTORY],
    next_published: usize,
    updated_at: Instant,
}

impl Carried {
    /// Creates the state of a node that has just started.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            refusals: Refusals::default(),
            first_arrivals: RequestWindow::default(),
            retries: RequestWindow::default(),
            refusing_since: None,
            demand: [0.0; BINS],
            arrived: [0; BINS],
            has_demand: [false; TIER_COUNT],
            has_calls: None,
            part: CarriedPart::default(),
            published: [Level(0); LEVEL_HISTORY],
            next_published: 0,
            updated_at: Instant::default(),
        }
    }

    /// Records a request that reaches the node; `is_retry` says whether it, or a request further
    /// up its chain, was sent to a back end before.
    pub fn record_arrival(&mut self, now: Instant, level: Level, is_retry: bool) {
        let number = slice_number(now, self.slice());
        if is_retry {
            self.retries.count(number);
            self.refusals.record_retry(now);
            return;
        }
        self.first_arrivals.count(number);
        let bin = bin_of(level);
        self.arrived[bin] += 1;
        self.has_demand[bin / BINS_PER_TIER] = true;
    }

    /// Records how an attempt that reached the back end has ended.
    pub fn record_attempt(&mut self, now: Instant, is_refused: bool) {
        self.refusals.record(now, is_refused);
    }

    /// Records whether an answered request involved calls to other services.
    pub fn record_calls(&mut self, has_calls: bool) {
        self.has_calls = Some(has_calls || self.has_calls == Some(true));
    }

    /// Returns the part that is carried, as of the last update.
    pub const fn part(&self) -> CarriedPart {
        self.part
    }

    /// Returns whether [`Self::update`] must be called.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_since(self.updated_at) >= UPDATE_INTERVAL
    }

    /// Updates the demand and the carried part. `published` is the level that the node publishes:
    /// requests below it are refused at the entry.
    pub fn update(&mut self, now: Instant, published: Level) {
        self.update_demand(now, published);
        let refused_share = self.refusals.share(now);
        if !self.refusals.is_refusing(now) {
            self.refusing_since = None;
            self.part = CarriedPart {
                refused_share,
                ..CarriedPart::default()
            };
            return;
        }
        let rate = self.carried_rate(now, refused_share);
        let demand: f64 = self.demand.iter().sum();
        self.part = CarriedPart {
            is_refusing: true,
            refused_share,
            carried: (rate / demand.max(NEGLIGIBLE_RATE)).min(1.0),
            level: self.smoothed(self.level_within(rate)),
        };
    }

    /// Returns the level to publish. The first one is published as it is; later, a level that
    /// fluctuates would end chains that have just begun.
    fn smoothed(&self, computed: Level) -> Level {
        let level = f64::from(self.part.level.0);
        if level == 0.0 || computed == Level(0) {
            return computed;
        }
        Level((level + LEVEL_SMOOTHING * (f64::from(computed.0) - level)) as u32)
    }

    /// Returns the first arrivals per second that retries carry to their end.
    fn carried_rate(&mut self, now: Instant, refused_share: f64) -> f64 {
        let number = slice_number(now, self.slice());
        let requests = self.first_arrivals.sums(number);
        let retries = self.retries.sums(number);
        let ratio = ratio_share(self.has_calls) * self.bound.ratio;
        let remaining = remaining_retries(&requests, &retries, ratio).max(0.0);
        let retry_rate = remaining / self.horizon(now).as_secs_f64();
        let carried = retry_rate * (1.0 - refused_share) / refused_share;
        carried * self.refusals.retried_share(now)
    }

    /// Returns how long the remaining retries have to last.
    fn horizon(&mut self, now: Instant) -> Duration {
        let since = *self.refusing_since.get_or_insert(now);
        let window = self.bound.window;
        let left = window.saturating_sub(now.saturating_since(since));
        left.max(window.mul_f64(MIN_HORIZON_FRACTION))
    }

    /// Follows the arrivals of admitted levels. Arrivals of other levels say nothing about their
    /// demand. Roots are distributed evenly over the levels of a tier, so other levels of a tier
    /// that is admitted in part have the demand of the admitted ones; the demand of a tier that is
    /// not admitted keeps its last value for a while.
    fn update_demand(&mut self, now: Instant, published: Level) {
        let elapsed = now.saturating_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let admitted = self.record_published(published);
        let followed = (-elapsed / FOLLOW_TIME_CONSTANT.as_secs_f64()).exp();
        let faded = (-elapsed / FADE_TIME_CONSTANT.as_secs_f64()).exp();
        for tier in 0..TIER_COUNT {
            if self.has_demand[tier] {
                self.update_tier(tier, admitted, elapsed, (followed, faded));
            }
        }
    }

    /// Updates the demand of a tier. `kept` are the parts of the old demand that admitted levels
    /// and levels of a tier that is not admitted keep.
    fn update_tier(
        &mut self,
        tier: usize,
        admitted: Level,
        elapsed: f64,
        (followed, faded): (f64, f64),
    ) {
        let first = tier * BINS_PER_TIER;
        let end = first + BINS_PER_TIER;
        let open = (first..end).find(|bin| floor_of(*bin) >= admitted);
        let open = open.unwrap_or(end);
        for bin in open..end {
            let arrived = f64::from(self.arrived[bin]);
            self.demand[bin] += (1.0 - followed) * (arrived / elapsed - self.demand[bin]);
        }
        let mean = self.demand[open..end].iter().sum::<f64>() / (end - open).max(1) as f64;
        for demand in &mut self.demand[first..open] {
            *demand = if open < end { mean } else { *demand * faded };
        }
        self.arrived[first..end].fill(0);
    }

    /// Records the published level. Returns the highest one whose effect may not have ended.
    fn record_published(&mut self, published: Level) -> Level {
        self.published[self.next_published] = published;
        self.next_published = (self.next_published + 1) % LEVEL_HISTORY;
        self.published.iter().max().copied().unwrap_or_default()
    }

    /// Returns the lowest level at which the demand above it does not exceed `rate`. The highest
    /// tier with demand keeps its uppermost bin open, so that attempts show when refusals end.
    fn level_within(&self, rate: f64) -> Level {
        let mut above = 0.0;
        for (bin, demand) in self.demand.iter().enumerate().rev() {
            if above + demand > rate {
                let is_highest = above < NEGLIGIBLE_RATE;
                let open = if is_highest {
                    1.0
                } else {
                    (rate - above) / demand
                };
                let closed = (1.0 - open) * f64::from(LEVELS_PER_BIN);
                return Level(floor_of(bin).0 + closed as u32);
            }
            above += demand;
        }
        Level(0)
    }

    fn slice(&self) -> Duration {
        self.bound.window / SLICES_PER_WINDOW as u32
    }
}

fn bin_of(level: Level) -> usize {
    let bin = (level.0 / LEVELS_PER_BIN) as usize;
    bin.min(BINS - 1)
}

/// Returns the lowest level of a bin.
const fn floor_of(bin: usize) -> Level {
    Level(bin as u32 * LEVELS_PER_BIN)
}
