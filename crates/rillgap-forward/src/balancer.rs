//! Choice of the node that runs a request.
//!
//! Of two nodes of the own zone and two of other zones, drawn at random, the one of the lowest
//! cost is taken. Back ends that fail many requests stand apart: they are drawn as a third kind, and
//! what they fail is added to their cost, so they get requests when the others are full. The cost is
//! the load as a share of the limit, plus the time that the back end takes as a share of the time that
//! the request has, plus a penalty for leaving the zone. Slowness is added, not multiplied: a slow back
//! end is spared while there is room elsewhere, but when the fast ones fill up its slots are needed.
//! For the same reason the penalty vanishes as the own zone fills up.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::inbound::FAILURE_THRESHOLD_PERMILLE;

/// Cost of leaving a zone that is idle, in shares of a back end's limit.
const CROSS_ZONE_PENALTY: f64 = 0.3;
/// Load of the own zone up to which the whole penalty counts, and from which none does: back ends queue only when they
/// are nearly full, and leaving the zone earlier costs bytes between zones for nothing.
const PENALTY_FADES: (f64, f64) = (0.7, 0.95);
/// Cost of a mean time as long as the time that the request has. Some requests take several times the mean, so those at
/// a back end whose mean is a fifth of that time may come too late; its cost outweighs the penalty for leaving the
/// zone.
const SLOWNESS_COST: f64 = 2.0;
/// Largest share of the time that a request has which counts.
const MOST_SLOWNESS: f64 = 1.0;
/// Cost of failing every request. A back end that fails half of them gets requests when the others
/// are full.
const FAILURE_COST: f64 = 2.0;
/// Candidates drawn of each kind.
const DRAWN: usize = 2;

/// A node whose back end takes requests.
#[derive(Clone, Debug)]
pub struct Candidate<T> {
    /// What the caller wants back.
    pub target: T,
    /// Whether it is in the own zone.
    pub is_local: bool,
    /// Requests there as a share of its limit.
    pub utilization: f64,
    /// Requests that may run at once there.
    pub limit: u32,
    /// Mean time that a request takes there, in microseconds; 0 if unknown.
    pub mean_micros: u32,
    /// Share of requests that the back end itself fails, in thousandths.
    pub failing_permille: u32,
}

impl<T> Candidate<T> {
    fn cost(&self, remaining_micros: f64, penalty: f64) -> f64 {
        let slowness = (f64::from(self.mean_micros) / remaining_micros).min(MOST_SLOWNESS);
        let next = 1.0 / f64::from(self.limit.max(1));
        let distance = if self.is_local { 0.0 } else { penalty };
        let failing = f64::from(self.failing_permille) / 1_000.0;
        let quality = slowness * SLOWNESS_COST + failing * FAILURE_COST;
        self.utilization + next + quality + distance
    }
}

/// Chooses among candidates.
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

    /// Chooses a candidate for a request that has so much time left; `None` if there is none.
    pub fn choose<T>(&mut self, candidates: Vec<Candidate<T>>, remaining: Duration) -> Option<T> {
        let remaining_micros = remaining.as_micros().max(1) as f64;
        let (failing, sound): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|candidate| candidate.failing_permille >= FAILURE_THRESHOLD_PERMILLE);
        let (local, remote): (Vec<_>, Vec<_>) =
            sound.into_iter().partition(|candidate| candidate.is_local);
        let penalty = cross_zone_penalty(&local);
        let mut drawn = self.draw_some(local);
        drawn.extend(self.draw_some(remote));
        drawn.extend(self.draw_some(failing));
        drawn
            .into_iter()
            .min_by(|left, right| {
                let left = left.cost(remaining_micros, penalty);
                left.total_cmp(&right.cost(remaining_micros, penalty))
            })
            .map(|candidate| candidate.target)
    }

    fn draw_some<T>(&mut self, mut candidates: Vec<Candidate<T>>) -> Vec<Candidate<T>> {
        let mut drawn = Vec::with_capacity(DRAWN);
        while drawn.len() < DRAWN && !candidates.is_empty() {
            let index = self.draw(candidates.len());
            drawn.push(candidates.swap_remove(index));
        }
        drawn
    }

    /// Draws a number below `bound`, which is small.
    fn draw(&mut self, bound: usize) -> usize {
        ((u64::from(self.random.next_u32()) * bound as u64) >> 32) as usize
    }
}

/// Returns the cost of leaving a zone with these back ends.
fn cross_zone_penalty<T>(local: &[Candidate<T>]) -> f64 {
    let least = local
        .iter()
        .map(|candidate| candidate.utilization)
        .fold(f64::INFINITY, f64::min);
    let (whole, none) = PENALTY_FADES;
    let faded = ((least - whole) / (none - whole)).clamp(0.0, 1.0);
    CROSS_ZONE_PENALTY * (1.0 - faded)
}
