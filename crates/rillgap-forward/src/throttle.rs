//! Refusal at the entry of requests that would fail further down.
//!
//! A chain that is overloaded at its deepest service shows at its entry as requests that end
//! without success although a back end worked on them. The entry then refuses a part of the
//! route's requests before any work is done (client-side adaptive throttling, after *Site
//! Reliability Engineering*, chapter 21): with `n` requests and `a` successes within the last
//! seconds, a request is refused with probability `(n - K a) / (n + 1)`. `K` is larger for
//! important routes, so they are refused last.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_core::time::Instant;

/// Time in which what was counted loses all but 1/e of its weight.
const MEMORY: Duration = Duration::from_secs(2);
/// Requests for each success that the least important routes may send.
const LOWEST_MULTIPLIER: f64 = 1.3;
/// Addition to the multiplier for the most important routes.
const IMPORTANCE: f64 = 0.7;
/// Never more than this share is refused, so that a recovery is noticed.
const MOST_REFUSED: f64 = 0.9;
/// Weight of requests below which nothing is refused.
const LEAST_REQUESTS: f64 = 8.0;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: f64,
    successes: f64,
    updated: Instant,
}

impl Counts {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        let factor = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.requests *= factor;
        self.successes *= factor;
        self.updated = now;
    }
}

/// Adaptive throttle by route.
#[derive(Clone, Debug)]
pub struct Throttle {
    random: ChaCha8Rng,
    routes: BTreeMap<String, Counts>,
}

impl Throttle {
    /// Creates a throttle whose random draws follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            routes: BTreeMap::new(),
        }
    }

    /// Decides whether a request is let in, and counts it.
    pub fn admit(&mut self, now: Instant, route: &str, priority: u8) -> bool {
        let share = self.refused_share(now, route, priority);
        let counts = self.counts(route);
        counts.requests += 1.0;
        share <= 0.0 || self.draw() >= share
    }

    /// Counts a request that ended well, or badly for another reason than overload.
    pub fn succeeded(&mut self, now: Instant, route: &str) {
        let counts = self.counts(route);
        counts.decay(now);
        counts.successes += 1.0;
    }

    /// Returns the share of a route's requests that is refused now.
    pub fn refused_share(&mut self, now: Instant, route: &str, priority: u8) -> f64 {
        let counts = self.counts(route);
        counts.decay(now);
        if counts.requests < LEAST_REQUESTS {
            return 0.0;
        }
        let multiplier = LOWEST_MULTIPLIER + IMPORTANCE / (1.0 + f64::from(priority));
        let excess = counts.requests - multiplier * counts.successes;
        (excess / (counts.requests + 1.0)).clamp(0.0, MOST_REFUSED)
    }

    fn counts(&mut self, route: &str) -> &mut Counts {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), Counts::default());
        }
        self.routes.entry(route.to_owned()).or_default()
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
