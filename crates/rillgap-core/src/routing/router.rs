//! Selection of a back end.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use super::health::{Availability, Health};
use super::target_state::TargetState;
use super::{Candidates, Target, TargetResult};
use crate::admission::LoadReport;
use crate::id::{BackEndName, ServiceName, ZoneName};
use crate::policy::BackEndState;
use crate::time::Instant;
use crate::view::Member;

/// Utilization of the own zone's candidate from which other zones are considered; they also are
/// if its cost reaches twice this value.
const SPILLOVER_UTILIZATION: f64 = 0.7;
/// Difference by which the cost of a back end in another zone must be below that of the own zone.
const CROSS_ZONE_MARGIN: f64 = 0.1;
/// Range of the latency factor: a back end's latency relative to the fastest, multiplied with its
/// utilization to get its cost.
const LATENCY_FACTOR_RANGE: (f64, f64) = (1.0, 8.0);
/// Time after the router's first selection. Back ends that appear later begin with a slow start;
/// earlier ones do not, because all of them are new to a router that has just started.
const WARM_UP_TIME: Duration = Duration::from_secs(5);

/// A candidate with the values that the selection compares.
#[derive(Clone, Debug)]
struct Candidate {
    target: Target,
    in_own_zone: bool,
    availability: Availability,
    is_unreachable: bool,
    cost: f64,
    utilization: f64,
}

/// Selects back ends by power of two choices over their load.
#[derive(Clone, Debug)]
pub struct Router {
    random: ChaCha8Rng,
    targets: BTreeMap<BackEndName, TargetState>,
    first_pick_at: Option<Instant>,
}

impl Default for Router {
    fn default() -> Self {
        Self::new(0)
    }
}

impl Router {
    /// Creates a router whose random numbers are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            targets: BTreeMap::new(),
            first_pick_at: None,
        }
    }

    /// Selects a serving back end of `service` that is not in `excluded`; `None` if there is none.
    pub fn pick(
        &mut self,
        now: Instant,
        candidates: Candidates<'_>,
        service: &ServiceName,
        excluded: &[BackEndName],
    ) -> Option<Target> {
        let first_pick_at = *self.first_pick_at.get_or_insert(now);
        let is_warmed_up = now.saturating_since(first_pick_at) >= WARM_UP_TIME;
        let serving = self.serving(now, candidates, service, excluded, is_warmed_up);
        let usable = without_ejected(serving);
        self.choose(usable)
    }

    /// Records that an attempt was sent to a target.
    pub fn on_started(&mut self, now: Instant, target: &Target) {
        self.state(target).on_started(now);
    }

    /// Records that an attempt at a target has ended after `latency`.
    pub fn on_finished(
        &mut self,
        now: Instant,
        target: &Target,
        latency: Duration,
        result: TargetResult,
    ) {
        self.state(target).on_finished(now, latency, result);
    }

    /// Records the load report that came with an answer of a target.
    pub fn on_load_report(&mut self, now: Instant, back_end: &BackEndName, load: &LoadReport) {
        if let Some(state) = self.targets.get_mut(back_end) {
            state.on_load_report(now, load);
        }
    }

    fn state(&mut self, target: &Target) -> &mut TargetState {
        self.targets
            .entry(target.back_end.clone())
            .or_insert_with(|| TargetState::new(target.incarnation, Health::default()))
    }

    /// Returns the serving back ends with their cost.
    fn serving(
        &mut self,
        now: Instant,
        candidates: Candidates<'_>,
        service: &ServiceName,
        excluded: &[BackEndName],
        is_warmed_up: bool,
    ) -> Vec<Candidate> {
        let mut serving = Vec::new();
        for back_end in candidates.policy.back_ends_of(service) {
            if back_end.state == BackEndState::Leaving {
                // Without a stored state, it begins with a slow start when it serves again.
                self.targets.remove(&back_end.name);
                continue;
            }
            let Some(member) = candidates.view.member(back_end.node.id()) else {
                continue;
            };
            if excluded.contains(&back_end.name) {
                continue;
            }
            let state = self.refresh(now, &back_end.name, member, is_warmed_up);
            serving.push(candidate(
                now,
                &back_end.name,
                member,
                candidates.zone,
                state,
            ));
        }
        apply_latency_factor(&mut serving, &self.targets);
        serving
    }

    /// Returns the state of a back end; a new incarnation of its node begins with a new state.
    fn refresh(
        &mut self,
        now: Instant,
        name: &BackEndName,
        member: &Member,
        is_warmed_up: bool,
    ) -> &TargetState {
        let known = self
            .targets
            .get(name)
            .is_some_and(|state| state.incarnation == member.incarnation);
        if !known {
            let health = if is_warmed_up {
                Health::slow_starting(now)
            } else {
                Health::default()
            };
            let state = TargetState::new(member.incarnation, health);
            self.targets.insert(name.clone(), state);
        }
        &self.targets[name]
    }

    fn choose(&mut self, usable: Vec<Candidate>) -> Option<Target> {
        if let Some(probe) = usable
            .iter()
            .find(|candidate| candidate.availability == Availability::Probe)
        {
            return Some(probe.target.clone());
        }
        let (local, remote): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .partition(|candidate| candidate.in_own_zone);
        let local = self.better_of_two(&local);
        if let Some(local) = &local
            && local.utilization < SPILLOVER_UTILIZATION
            && local.cost < SPILLOVER_UTILIZATION * 2.0
        {
            return Some(local.target.clone());
        }
        let remote = self.better_of_two(&remote);
        match (local, remote) {
            (Some(local), Some(remote)) if remote.cost + CROSS_ZONE_MARGIN < local.cost => {
                Some(remote.target)
            }
            (Some(local), _) => Some(local.target),
            (None, remote) => remote.map(|remote| remote.target),
        }
    }

    /// Draws two candidates and returns the one of lower cost.
    fn better_of_two(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        match candidates {
            [] => None,
            [only] => Some(only.clone()),
            many => {
                let first = self.draw(many.len());
                let second = (first + 1 + self.draw(many.len() - 1)) % many.len();
                let (first, second) = (&many[first], &many[second]);
                let better = if second.cost < first.cost {
                    second
                } else {
                    first
                };
                Some(better.clone())
            }
        }
    }

    /// Draws a number below `bound`, which is small.
    fn draw(&mut self, bound: usize) -> usize {
        ((u64::from(self.random.next_u32()) * bound as u64) >> 32) as usize
    }
}

fn candidate(
    now: Instant,
    name: &BackEndName,
    member: &Member,
    zone: &ZoneName,
    state: &TargetState,
) -> Candidate {
    let utilization = state.utilization(now);
    Candidate {
        target: Target {
            node: member.id(),
            incarnation: member.incarnation,
            address: member.mesh_address,
            back_end: name.clone(),
        },
        in_own_zone: member.zone == *zone,
        availability: state.health.availability(now),
        is_unreachable: state.health.is_unreachable(),
        cost: utilization,
        utilization,
    }
}

/// Raises the cost of back ends with a higher latency than the fastest.
fn apply_latency_factor(
    candidates: &mut [Candidate],
    targets: &BTreeMap<BackEndName, TargetState>,
) {
    let latency = |candidate: &Candidate| {
        targets
            .get(&candidate.target.back_end)
            .map_or(0.0, TargetState::latency_micros)
    };
    let fastest = candidates
        .iter()
        .map(latency)
        .filter(|latency| *latency > 0.0)
        .fold(f64::INFINITY, f64::min);
    for candidate in candidates {
        let (min, max) = LATENCY_FACTOR_RANGE;
        let factor = (latency(candidate) / fastest).clamp(min, max);
        candidate.cost *= factor;
    }
}

/// Removes ejected back ends, unless they are more than half of all: then the cause is probably
/// not the back ends. Unreachable ones are removed while there is any other: calls to them are
/// refused immediately, so they look idle and would attract all calls.
fn without_ejected(serving: Vec<Candidate>) -> Vec<Candidate> {
    let serving = without_unreachable(serving);
    let ejected = serving
        .iter()
        .filter(|candidate| candidate.availability == Availability::Ejected)
        .count();
    if ejected * 2 > serving.len() {
        return serving;
    }
    serving
        .into_iter()
        .filter(|candidate| candidate.availability != Availability::Ejected)
        .collect()
}

fn without_unreachable(serving: Vec<Candidate>) -> Vec<Candidate> {
    let is_usable = |candidate: &Candidate| {
        !candidate.is_unreachable || candidate.availability == Availability::Probe
    };
    if !serving.iter().any(is_usable) {
        return serving;
    }
    serving.into_iter().filter(is_usable).collect()
}
