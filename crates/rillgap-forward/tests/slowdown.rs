//! Unit tests of the measured slowdown and of its combination with the stated one.

use std::time::Duration;

use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rillgap_core::time::Instant;
use rillgap_forward::inbound::combined;
use rillgap_forward::inbound::slowdown::{OwnTime, SLOWDOWN_RANGE, Slowdown};

/// Usual own time of a request, in milliseconds.
const USUAL_MILLIS: f64 = 60.0;
const USUAL_MICROS: f64 = USUAL_MILLIS * 1_000.0;
/// Requests that arrive per second.
const PER_SECOND: f64 = 70.0;
/// Factor by which work takes longer in an episode.
const EPISODE_FACTOR: f64 = 2.5;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

struct Work {
    own: OwnTime,
    /// Own work left, in milliseconds at the usual speed.
    left: f64,
}

/// A back end whose requests are observed each 10 ms.
struct BackEnd {
    now: u64,
    random: ChaCha8Rng,
    running: Vec<Work>,
    slowdown: Slowdown,
}

impl BackEnd {
    fn new(seed: u64) -> Self {
        Self {
            now: 1_000,
            random: ChaCha8Rng::seed_from_u64(seed),
            running: Vec::new(),
            slowdown: Slowdown::default(),
        }
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn arrive(&mut self, work_millis: f64) {
        self.running.push(Work {
            own: OwnTime::start(at(self.now), USUAL_MICROS),
            left: work_millis,
        });
    }

    /// Passes one millisecond in which work takes `factor` times as long as usual.
    fn step(&mut self, factor: f64) {
        self.now += 1;
        let now = at(self.now);
        for work in &mut self.running {
            work.left -= factor.recip();
            if self.now.is_multiple_of(10) {
                self.slowdown.observe(now, &mut work.own);
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|work| work.left <= 0.0);
        self.running = running;
        let ended: Vec<Work> = ended;
        for mut work in ended {
            self.slowdown.record_end(now, &mut work.own);
        }
    }

    /// Passes time in which requests arrive at [`PER_SECOND`] and take 0.5 to 1.5 times the usual
    /// work.
    fn run(&mut self, millis: u64, factor: f64) {
        for _ in 0..millis {
            if self.draw() < PER_SECOND / 1_000.0 {
                let work = USUAL_MILLIS * (0.5 + self.draw());
                self.arrive(work);
            }
            self.step(factor);
        }
    }

    fn estimate(&mut self) -> f64 {
        self.slowdown.estimate(at(self.now), USUAL_MICROS)
    }
}

/// Returns the median of an estimate over several seeds.
fn median(mut estimate: impl FnMut(u64) -> f64) -> f64 {
    let mut estimates: Vec<f64> = (0..41).map(&mut estimate).collect();
    estimates.sort_by(f64::total_cmp);
    estimates[estimates.len() / 2]
}

#[gtest]
fn usual_speed_is_estimated_as_one() {
    let typical = median(|seed| {
        let mut back_end = BackEnd::new(seed);
        back_end.run(2_000, 1.0);
        back_end.estimate()
    });
    expect_that!(typical, all!(gt(0.9), lt(1.12)));
}

#[gtest]
fn episode_is_seen_within_150_millis_and_its_end_as_soon() {
    let during = median(|seed| {
        let mut back_end = BackEnd::new(seed);
        back_end.run(2_000, 1.0);
        back_end.run(150, EPISODE_FACTOR);
        back_end.estimate()
    });
    expect_that!(during, gt(1.4));
    let late = median(|seed| {
        let mut back_end = BackEnd::new(seed);
        back_end.run(2_000, 1.0);
        back_end.run(600, EPISODE_FACTOR);
        back_end.estimate()
    });
    expect_that!(late, all!(gt(1.9), lt(2.8)));
    let after = median(|seed| {
        let mut back_end = BackEnd::new(seed);
        back_end.run(2_000, 1.0);
        back_end.run(600, EPISODE_FACTOR);
        back_end.run(300, 1.0);
        back_end.estimate()
    });
    expect_that!(after, lt(1.4));
}

#[gtest]
fn request_that_still_runs_counts_before_it_ends() {
    let mut back_end = BackEnd::new(1);
    back_end.run(2_000, 1.0);
    let before = back_end.estimate();
    // Nothing ends any more.
    for _ in 0..300 {
        back_end.step(1e9);
    }
    expect_that!(back_end.estimate(), gt(before * 2.0));
}

#[gtest]
fn one_slow_request_among_many_moves_the_estimate_little() {
    let moved = median(|seed| {
        let mut back_end = BackEnd::new(seed);
        back_end.run(2_000, 1.0);
        back_end.arrive(USUAL_MILLIS * 7.0);
        back_end.run(400, 1.0);
        back_end.estimate()
    });
    expect_that!(moved, lt(1.35));
}

#[gtest]
fn time_of_calls_does_not_count() {
    let mut slowdown = Slowdown::default();
    let mut own = OwnTime::start(at(1_000), USUAL_MICROS);
    slowdown.set_working(at(1_030), &mut own, false);
    // Observed meanwhile, and only after a long call.
    slowdown.observe(at(1_100), &mut own);
    slowdown.set_working(at(2_000), &mut own, true);
    slowdown.record_end(at(2_030), &mut own);
    expect_that!(own.elapsed(at(2_030)), eq(Duration::from_millis(60)));
    let estimate = slowdown.estimate(at(2_030), USUAL_MICROS);
    expect_that!(estimate, all!(gt(0.7), le(1.0)));
}

#[gtest]
fn idle_back_end_returns_to_one() {
    let mut back_end = BackEnd::new(3);
    back_end.run(2_000, 1.0);
    back_end.run(600, EPISODE_FACTOR);
    back_end.now += 1_500;
    expect_that!(back_end.estimate(), all!(gt(0.98), lt(1.02)));
    let usual = USUAL_MICROS;
    expect_that!(back_end.slowdown.is_measured(usual), eq(false));
}

#[gtest]
fn stall_of_the_node_does_not_count() {
    let mut slowdown = Slowdown::default();
    let mut own = OwnTime::start(at(1_000), USUAL_MICROS);
    slowdown.observe(at(6_000), &mut own);
    slowdown.record_end(at(6_001), &mut own);
    expect_that!(slowdown.estimate(at(6_001), USUAL_MICROS), eq(1.0));
}

#[gtest]
fn estimate_is_bounded() {
    let mut slowdown = Slowdown::default();
    for index in 0..1_000 {
        let mut own = OwnTime::start(at(1_000), USUAL_MICROS);
        slowdown.record_end(at(1_000 + index % 2), &mut own);
    }
    let fast = slowdown.estimate(at(1_001), USUAL_MICROS);
    expect_that!(fast, eq(SLOWDOWN_RANGE.0));
    let mut back_end = BackEnd::new(4);
    for _ in 0..500 {
        back_end.arrive(1e9);
    }
    for _ in 0..450 {
        back_end.step(1.0);
    }
    expect_that!(back_end.estimate(), le(SLOWDOWN_RANGE.1));
}

#[gtest]
fn false_statement_moves_a_measured_slowdown_by_at_most_two() {
    for measured in [0.25, 0.5, 1.0, 2.5, 8.0] {
        for stated in [0.25, 1.0, 8.0] {
            let moved = combined(measured, true, Some(stated)) / measured;
            expect_that!(moved, all!(ge(0.5), le(2.0)));
        }
        expect_that!(combined(measured, true, None), eq(measured));
    }
}

#[gtest]
fn statement_counts_alone_where_nothing_was_measured() {
    expect_that!(combined(1.0, false, Some(2.5)), eq(2.5));
    expect_that!(combined(1.0, false, Some(80.0)), eq(SLOWDOWN_RANGE.1));
    expect_that!(combined(1.0, false, Some(0.0)), eq(SLOWDOWN_RANGE.0));
}
