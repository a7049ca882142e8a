//! Rate limit that the local back end states in its answers.
//!
//! All requests to the back end pass through its node, so one token bucket here bounds the sum over
//! all entry nodes without shares or agreement. In a window `w`, the back end receives at most
//! `rate * (w + burst + connect timeout) + 1` requests: what the bucket earns and holds, and what
//! was started just before the window and reaches the back end late because its connection opened
//! slowly. A bucket begins empty, because a node does not know what was sent before it learned of
//! the limit.

use std::time::Duration;

use rillgap_core::time::Instant;

use crate::back_end_notice::{RateLimitNotice, RequestRate};
use crate::incarnation::Incarnation;
use crate::message::RateLimitReport;

/// Time after the last statement of a lower rate during which statements of a higher rate, or of
/// none, are ignored: answers on different connections overtake each other.
const RISE_DELAY: Duration = Duration::from_millis(500);
/// Capacity of the bucket, as the time in which it fills; it holds at least one token.
const BURST: Duration = Duration::from_millis(500);
/// Minimum rate at which requests are sent, in requests per second. Only an answer shows that a
/// limit near zero has ended.
const MIN_RATE: f64 = 0.5;
/// Rounding error that is tolerated in the number of tokens.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// Rate limit of one incarnation of the back end, with its token bucket.
#[derive(Clone, Debug)]
struct Limit {
    incarnation: Incarnation,
    stated: RequestRate,
    /// When this rate or a lower one was stated last.
    stated_at: Instant,
    tokens: f64,
    refilled_at: Instant,
}

impl Limit {
    fn new(now: Instant, incarnation: &Incarnation, stated: RequestRate) -> Self {
        Self {
            incarnation: incarnation.clone(),
            stated,
            stated_at: now,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    fn per_second(&self) -> f64 {
        self.stated.per_second().max(MIN_RATE)
    }

    fn capacity(&self) -> f64 {
        (self.per_second() * BURST.as_secs_f64()).max(1.0)
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * self.per_second()).min(self.capacity())
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn set_rate(&mut self, now: Instant, rate: RequestRate) {
        self.refill(now);
        self.stated = rate;
        self.stated_at = now;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns whether a statement of a higher rate, or of none, may be older than the rate in
    /// force.
    fn may_be_outdated(&self, now: Instant) -> bool {
        now.saturating_since(self.stated_at) < RISE_DELAY
    }

    /// Returns the time until the bucket holds this many tokens, if none is taken meanwhile and it
    /// may hold that many.
    fn time_until(&self, now: Instant, tokens: f64) -> Duration {
        let missing = tokens - TOKEN_TOLERANCE - self.tokens_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing / self.per_second())
    }
}

/// Rate limit that the local back end states in its answers.
#[derive(Clone, Debug, Default)]
pub(super) struct StatedRate {
    limit: Option<Limit>,
    /// Last incarnation from which this node has received an answer.
    answered: Option<Incarnation>,
}

impl StatedRate {
    /// Returns the rate that an incarnation accepts; `None` if it states no limit.
    pub fn rate(&self, incarnation: Option<&Incarnation>) -> Option<RequestRate> {
        self.limit_of(incarnation).map(|limit| limit.stated)
    }

    /// Returns the number of requests per second that are sent to an incarnation at most; `None`
    /// if it states no limit.
    pub fn requests_per_second(&self, incarnation: Option<&Incarnation>) -> Option<f64> {
        self.limit_of(incarnation).map(Limit::per_second)
    }

    /// Returns what is reported to peers about the limit of an incarnation.
    pub fn report(&self, incarnation: Option<&Incarnation>) -> RateLimitReport {
        match self.rate(incarnation) {
            Some(rate) => RateLimitReport::Limited(rate),
            None if incarnation.is_some() && self.answered.as_ref() == incarnation => {
                RateLimitReport::Unlimited
            }
            None => RateLimitReport::Unknown,
        }
    }

    /// Records what an answer of an incarnation states. Returns whether the rate has changed.
    pub fn observe(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        notice: RateLimitNotice,
    ) -> bool {
        if notice == RateLimitNotice::Unknown {
            return false;
        }
        let before = self.rate(Some(incarnation));
        if self.answered.as_ref() != Some(incarnation) {
            self.answered = Some(incarnation.clone());
        }
        match notice {
            RateLimitNotice::Unreadable | RateLimitNotice::Unknown => {}
            RateLimitNotice::Limited(rate) => self.on_stated(now, incarnation, rate),
            RateLimitNotice::Unlimited => {
                self.limit.take_if(|limit| {
                    limit.incarnation == *incarnation && !limit.may_be_outdated(now)
                });
            }
        }
        before != self.rate(Some(incarnation))
    }

    /// Adopts the limit of an incarnation that a peer remembers, unless this node has had answers
    /// of it or adopted a lower limit. Returns whether the rate has changed.
    pub fn adopt(&mut self, now: Instant, incarnation: &Incarnation, rate: RequestRate) -> bool {
        if self.answered.as_ref() == Some(incarnation) {
            return false;
        }
        let before = self.rate(Some(incarnation));
        if before.is_none_or(|before| rate < before) {
            self.on_stated(now, incarnation, rate);
        }
        before != self.rate(Some(incarnation))
    }

    /// Returns whether the limit of an incarnation permits a request now.
    pub fn permits(&self, now: Instant, incarnation: Option<&Incarnation>) -> bool {
        self.wait_for(now, incarnation, 1).is_zero()
    }

    /// Takes the token of a request that is sent to an incarnation.
    pub fn take(&mut self, now: Instant, incarnation: &Incarnation) {
        let limit = self.limit.as_mut();
        if let Some(limit) = limit.filter(|limit| limit.incarnation == *incarnation) {
            limit.refill(now);
            limit.tokens -= 1.0;
        }
    }

    /// Returns the time until this many further requests may have been sent to an incarnation.
    pub fn wait_for(
        &self,
        now: Instant,
        incarnation: Option<&Incarnation>,
        count: usize,
    ) -> Duration {
        self.limit_of(incarnation)
            .map_or(Duration::ZERO, |limit| limit.time_until(now, count as f64))
    }

    /// Fills the bucket up to `now`. Must be called before [`Self::next_permit`], which would otherwise
    /// return a time in the past while no slot is free.
    pub fn poll(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.refill(now);
        }
    }

    /// Returns when the limit of an incarnation permits the next request; `None` if it permits one
    /// already.
    pub fn next_permit(&self, incarnation: Option<&Incarnation>) -> Option<Instant> {
        let limit = self.limit_of(incarnation)?;
        let wait = limit.time_until(limit.refilled_at, 1.0);
        (!wait.is_zero()).then(|| limit.refilled_at + wait + Duration::from_micros(1))
    }

    fn on_stated(&mut self, now: Instant, incarnation: &Incarnation, rate: RequestRate) {
        match &mut self.limit {
            Some(limit) if limit.incarnation == *incarnation => {
                if rate <= limit.stated || !limit.may_be_outdated(now) {
                    limit.set_rate(now, rate);
                }
            }
            _ => self.limit = Some(Limit::new(now, incarnation, rate)),
        }
    }

    fn limit_of(&self, incarnation: Option<&Incarnation>) -> Option<&Limit> {
        let limit = self.limit.as_ref();
        limit.filter(|limit| Some(&limit.incarnation) == incarnation)
    }
}
