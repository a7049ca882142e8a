//! Choice of the node that runs a request.
//!
//! Two nodes of the own zone and two of other zones are drawn at random, and the one with the
//! lowest cost is chosen. Back ends with a high failure rate form a third group, from which two are
//! drawn as well; their failure rate is added to their cost, so they get requests when the others
//! are full. The cost is the sum of the load as a fraction of the limit, the mean service time as a
//! fraction of the request's remaining time, and a penalty for leaving the zone. Slowness is added,
//! not multiplied: a slow back end is avoided while others have capacity, but its slots are used
//! when the fast ones fill up. For the same reason the penalty decreases to 0 as the own zone fills
//! up.
//!
//! The two of a group are compared by the expected completion time too: requests that wait there
//! weigh as much more as the back end takes longer than the other, and a back end that takes longer
//! costs more while the faster one has capacity. Where all take the same time, this changes nothing.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::inbound::FAILURE_THRESHOLD_PERMILLE;

/// Cost of leaving an idle zone, as a fraction of a back end's limit.
const CROSS_ZONE_PENALTY: f64 = 0.3;
/// Utilization of the own zone up to which the full penalty applies, and from which none applies.
/// Back ends queue requests only when they are nearly full; leaving the zone earlier would cause
/// traffic between zones without benefit.
const PENALTY_FADE_RANGE: (f64, f64) = (0.7, 0.95);
/// Cost of a mean service time equal to the request's remaining time. Some requests take several
/// times the mean, so a back end whose mean is a fifth of the remaining time may miss the deadline;
/// its cost exceeds the penalty for leaving the zone.
const SLOWNESS_COST: f64 = 2.0;
/// Maximum slowness that is counted: mean service time as a fraction of the remaining time.
const MAX_SLOWNESS: f64 = 1.0;
/// Cost of a back end that fails every request. One that fails half of them gets requests when the
/// others are full.
const FAILURE_COST: f64 = 2.0;
/// Cost of taking twice as long as the other back end of the group, as a fraction of a back end's
/// limit.
const RELATIVE_SLOWNESS_COST: f64 = 0.3;
/// Maximum ratio of mean service times that is counted within a group.
const MAX_TIME_RATIO: f64 = 4.0;
/// Number of candidates drawn from each group.
const SAMPLES_PER_GROUP: usize = 2;

/// A node whose back end is serving.
#[derive(Clone, Debug)]
pub struct Candidate<T> {
    /// Value that [`Balancer::choose`] returns for this candidate.
    pub target: T,
    /// Whether the node is in the own zone.
    pub is_local: bool,
    /// Requests at the node as a fraction of its limit.
    pub utilization: f64,
    /// Number of requests that may run at the node concurrently.
    pub limit: u32,
    /// Mean service time of the node's back end, in microseconds; 0 if unknown.
    pub mean_micros: u32,
    /// Fraction of requests that the back end itself fails, in thousandths.
    pub failing_permille: u32,
}

impl<T> Candidate<T> {
    fn cost(&self, remaining_micros: f64, penalty: f64) -> f64 {
        let slowness = (f64::from(self.mean_micros) / remaining_micros).min(MAX_SLOWNESS);
        let next = 1.0 / f64::from(self.limit.max(1));
        let distance = if self.is_local { 0.0 } else { penalty };
        let failing = f64::from(self.failing_permille) / 1_000.0;
        let quality = slowness * SLOWNESS_COST + failing * FAILURE_COST;
        self.utilization + next + quality + distance
    }

    /// Returns the part of the cost that applies within a group whose fastest candidate takes
    /// `fastest` microseconds and has this part of its capacity left.
    fn relative_cost(&self, fastest: f64, capacity_left: f64) -> f64 {
        if self.mean_micros == 0 || fastest <= 0.0 {
            return 0.0;
        }
        let ratio = (f64::from(self.mean_micros) / fastest).min(MAX_TIME_RATIO);
        let waiting = (self.utilization - 1.0).max(0.0);
        (ratio - 1.0) * (waiting + RELATIVE_SLOWNESS_COST * capacity_left)
    }
}

/// Chooses the node for an attempt among candidates, with random draws.
#[derive(Clone, Debug)]
pub struct Balancer {
    random: ChaCha8Rng,
}

impl Balancer {
    /// Creates a balancer whose random draws follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses a candidate for a request with this remaining time; `None` without candidates.
    pub fn choose<T>(
        &mut self,
        mut candidates: Vec<Candidate<T>>,
        remaining: Duration,
    ) -> Option<T> {
        let remaining_micros = remaining.as_micros().max(1) as f64;
        let groups = Groups::of(&candidates);
        let penalty = CROSS_ZONE_PENALTY * capacity_left(groups.lowest_local_utilization);
        let chosen = [groups.local, groups.remote, groups.failing]
            .into_iter()
            .filter_map(|group| best(&candidates, &self.sample(group), remaining_micros))
            .min_by(|left, right| {
                let left = candidates[*left].cost(remaining_micros, penalty);
                left.total_cmp(&candidates[*right].cost(remaining_micros, penalty))
            })?;
        Some(candidates.swap_remove(chosen).target)
    }

    fn sample(&mut self, mut group: Vec<usize>) -> Vec<usize> {
        let mut sampled = Vec::with_capacity(SAMPLES_PER_GROUP);
        while sampled.len() < SAMPLES_PER_GROUP && !group.is_empty() {
            let index = self.random_below(group.len());
            sampled.push(group.swap_remove(index));
        }
        sampled
    }

    /// Returns a random number below `bound`, which must be small: bias is not corrected.
    fn random_below(&mut self, bound: usize) -> usize {
        ((u64::from(self.random.next_u32()) * bound as u64) >> 32) as usize
    }
}

/// Indices of candidates by group.
struct Groups {
    local: Vec<usize>,
    remote: Vec<usize>,
    failing: Vec<usize>,
    /// Lowest utilization in the own zone; infinite without candidates there.
    lowest_local_utilization: f64,
}

impl Groups {
    fn of<T>(candidates: &[Candidate<T>]) -> Self {
        let mut groups = Self {
            local: Vec::with_capacity(candidates.len()),
            remote: Vec::with_capacity(candidates.len()),
            failing: Vec::new(),
            lowest_local_utilization: f64::INFINITY,
        };
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.failing_permille >= FAILURE_THRESHOLD_PERMILLE {
                groups.failing.push(index);
            } else if candidate.is_local {
                groups.local.push(index);
                groups.lowest_local_utilization =
                    groups.lowest_local_utilization.min(candidate.utilization);
            } else {
                groups.remote.push(index);
            }
        }
        groups
    }
}

/// Returns the candidate with the lowest cost within its group, of those drawn from it.
fn best<T>(candidates: &[Candidate<T>], sampled: &[usize], remaining_micros: f64) -> Option<usize> {
    let fastest = sampled
        .iter()
        .map(|index| &candidates[*index])
        .filter(|candidate| candidate.mean_micros > 0)
        .min_by_key(|candidate| candidate.mean_micros);
    let (fastest, capacity_left) = fastest.map_or((0.0, 0.0), |fastest| {
        let left = capacity_left(fastest.utilization);
        (f64::from(fastest.mean_micros), left)
    });
    let cost = |index: usize| {
        let candidate = &candidates[index];
        candidate.cost(remaining_micros, 0.0) + candidate.relative_cost(fastest, capacity_left)
    };
    sampled
        .iter()
        .copied()
        .min_by(|left, right| cost(*left).total_cmp(&cost(*right)))
}

/// Returns the part of a cost of avoiding other back ends that applies at this utilization: all of
/// it while there is capacity, none when requests are about to queue.
fn capacity_left(utilization: f64) -> f64 {
    let (full_until, none_from) = PENALTY_FADE_RANGE;
    1.0 - ((utilization - full_until) / (none_from - full_until)).clamp(0.0, 1.0)
}
