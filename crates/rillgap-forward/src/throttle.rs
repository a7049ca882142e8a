//! Refusal at the entry of requests that would fail further down.
//!
//! A chain that is overloaded at its deepest service shows at its entry as requests that end
//! without success although a back end worked on them: each makes several calls to that service
//! one after the other, so a few calls that are refused or late spoil most requests, and what was
//! done for them is waste. Refusing calls is therefore no way out; the entry must send fewer
//! requests.
//!
//! Every route has an admitted share. While some service is under pressure (requests wait there
//! for longer than a few milliseconds), the shares of the routes that depend on it shrink with
//! that wait, the least important routes first; they grow again when the wait is short, the
//! faster the shorter it is (additive increase, multiplicative decrease). A route depends on what is under
//! pressure if its requests fail meanwhile: routes that succeed are not touched. Failures without
//! pressure (a back end that is gone, lost answers) are no reason to refuse, since that would
//! not help the others.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_core::time::Instant;

/// Time between two steps of the shares.
const STEP: Duration = Duration::from_millis(200);
/// Time in which what was counted loses all but 1/e of its weight.
const MEMORY: Duration = Duration::from_millis(1_500);
/// Share of failures under pressure from which a route counts as dependent.
const DEPENDENT: f64 = 0.05;
/// Weight of outcomes below which nothing is concluded.
const LEAST_OUTCOMES: f64 = 4.0;
/// Time for which a route counts as dependent after it has last shown to be.
const DEPENDENT_FOR: Duration = Duration::from_secs(5);
/// Least and most by which an admitted share shrinks in one step.
const DECREASE: (f64, f64) = (0.05, 0.3);
/// Pressure at which a share shrinks most.
const FULL_PRESSURE: f64 = 4.0;
/// Pressure below which shares grow.
const RELIEVED: f64 = 0.6;
/// Growth of the admitted share in one step: of a dependent route at the pressure below which shares
/// grow; and without pressure, or of other routes.
const INCREASE: (f64, f64) = (0.03, 0.1);
/// Smallest admitted share, so that a recovery is noticed.
const LEAST_SHARE: f64 = 0.1;
/// Admitted share down to which less important routes are cut before more important ones.
const CUT_FIRST: f64 = 0.3;

#[derive(Clone, Copy, Debug)]
struct RouteState {
    priority: u8,
    share: f64,
    succeeded: f64,
    failed: f64,
    dependent_until: Instant,
    /// Share that was reported last, in tenths.
    reported_tenths: u8,
}

impl RouteState {
    const fn new(priority: u8) -> Self {
        Self {
            priority,
            share: 1.0,
            succeeded: 0.0,
            failed: 0.0,
            dependent_until: Instant::from_micros(0),
            reported_tenths: 10,
        }
    }

    /// Returns the admitted share in tenths, if it differs from what was reported last.
    fn take_report(&mut self) -> Option<u8> {
        let tenths = (self.share * 10.0).ceil() as u8;
        let before = std::mem::replace(&mut self.reported_tenths, tenths);
        (before != tenths).then_some(tenths)
    }

    /// Returns the failing share of recent outcomes; zero if there are too few.
    fn failing(&self) -> f64 {
        let outcomes = self.succeeded + self.failed;
        if outcomes < LEAST_OUTCOMES {
            return 0.0;
        }
        self.failed / outcomes
    }
}

/// How a request that was let in has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer that is no failure of the chain.
    Succeeded,
    /// With a failure of the back end, or not in time.
    Failed,
}

/// Admitted shares by route.
#[derive(Clone, Debug)]
pub struct Throttle {
    random: ChaCha8Rng,
    routes: BTreeMap<String, RouteState>,
    next_step: Instant,
    stepped_at: Instant,
}

impl Throttle {
    /// Creates a throttle whose random draws follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            routes: BTreeMap::new(),
            next_step: Instant::default(),
            stepped_at: Instant::default(),
        }
    }

    /// Decides whether a request is let in.
    pub fn admit(&mut self, route: &str, priority: u8) -> bool {
        let share = self.route(route, priority).share;
        share >= 1.0 || self.draw() < share
    }

    /// Takes in how a request that was let in has ended.
    pub fn ended(&mut self, route: &str, priority: u8, outcome: Outcome) {
        let state = self.route(route, priority);
        match outcome {
            Outcome::Succeeded => state.succeeded += 1.0,
            Outcome::Failed => state.failed += 1.0,
        }
    }

    /// Returns whether [`Self::step`] is due.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_step
    }

    /// Moves the shares. `pressure` is the longest mean wait at any service, relative to the one
    /// from which a service counts as under pressure.
    pub fn step(&mut self, now: Instant, pressure: f64) {
        let elapsed = now.saturating_since(self.stepped_at).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.stepped_at = now;
        self.next_step = now + STEP;
        self.find_dependent(now, pressure);
        let cut_from = self.first_priority_to_cut(now);
        for state in self.routes.values_mut() {
            let is_dependent = now < state.dependent_until;
            let is_in_turn = cut_from.is_none_or(|first| state.priority >= first);
            if is_dependent && pressure > 1.0 {
                if is_in_turn {
                    let share = state.share * (1.0 - decrease(pressure));
                    state.share = share.max(LEAST_SHARE);
                }
            } else if !is_dependent || pressure < RELIEVED {
                let growth = if is_dependent {
                    increase(pressure)
                } else {
                    INCREASE.1
                };
                state.share = (state.share + growth).min(1.0);
            }
            state.succeeded *= kept;
            state.failed *= kept;
        }
    }

    /// Returns the routes whose admitted share has moved by a tenth or more since the last look, with
    /// their shares in tenths.
    pub fn take_reports(&mut self) -> Vec<(String, u8)> {
        self.routes
            .iter_mut()
            .filter_map(|(route, state)| Some((route.clone(), state.take_report()?)))
            .collect()
    }

    fn find_dependent(&mut self, now: Instant, pressure: f64) {
        if pressure <= 1.0 {
            return;
        }
        for state in self.routes.values_mut() {
            if state.failing() > DEPENDENT {
                state.dependent_until = now + DEPENDENT_FOR;
            }
        }
    }

    /// Returns the admitted share of a route.
    pub fn share(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(1.0, |state| state.share)
    }

    /// Returns the least important priority among dependent routes that can still be cut.
    fn first_priority_to_cut(&self, now: Instant) -> Option<u8> {
        self.routes
            .values()
            .filter(|state| now < state.dependent_until && state.share > CUT_FIRST)
            .map(|state| state.priority)
            .max()
    }

    fn route(&mut self, route: &str, priority: u8) -> &mut RouteState {
        if !self.routes.contains_key(route) {
            let state = RouteState::new(priority);
            self.routes.insert(route.to_owned(), state);
        }
        let state = self
            .routes
            .entry(route.to_owned())
            .or_insert(RouteState::new(priority));
        state.priority = priority;
        state
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Returns by how much the share of a dependent route grows in one step.
fn increase(pressure: f64) -> f64 {
    let (least, most) = INCREASE;
    let relief = (1.0 - pressure / RELIEVED).clamp(0.0, 1.0);
    least + (most - least) * relief
}

/// Returns by how much a share shrinks in one step.
fn decrease(pressure: f64) -> f64 {
    let (least, most) = DECREASE;
    let excess = ((pressure - 1.0) / (FULL_PRESSURE - 1.0)).clamp(0.0, 1.0);
    least + (most - least) * excess
}
