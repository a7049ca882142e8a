//! Tests of the published level that follows from the demand of all tiers.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::{Level, Threshold, Tuning, WindowLoad};
use rillgap_core::time::Instant;

const HIGH: u8 = 5;
const LOW: u8 = 2;
const LIMIT: f64 = 20.0;
const WORK: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_millis(50);
/// Number of requests per window that occupies all slots.
const FULL: u64 = 50;
/// Number of windows after which the level is stable.
const WINDOWS: u64 = 60;

/// Returns the levels of `count` requests, evenly distributed over a tier.
fn spread(tier: u8, count: u64) -> impl Iterator<Item = Level> {
    let step = Level::PER_TIER / u32::try_from(count).expect("count does not fit u32");
    (0..count).map(move |number| Level(Level::tier_floor(tier).0 + number as u32 * step))
}

fn arrive(threshold: &mut Threshold, tier: u8, count: u64) {
    for level in spread(tier, count) {
        threshold.record_arrival(level, WORK.as_micros() as f64);
    }
}

fn end_window(threshold: &mut Threshold, number: u64, queued: usize) {
    let load = WindowLoad {
        limit: LIMIT,
        mean_service_micros: WORK.as_micros() as f64,
        queued: BTreeMap::from([(LOW, queued)]),
    };
    threshold.update(Instant::from_micros(0) + WINDOW * number as u32, &load);
}

/// Guards against a controller that ignores a lower tier because a higher one was recorded first.
///
/// A back end receives half of its capacity in requests of a high tier and its full capacity in
/// requests of a low one. If only the high tier arrives while nothing is shed, the level is the
/// floor of that tier; when arrivals below it are not counted, the level stays 0. With 19 slots, a
/// back end then shed 150 requests per second that the entries kept admitting.
#[gtest]
fn demand_of_a_lower_tier_counts_after_a_higher_tier_was_recorded_first() {
    let mut threshold = Threshold::new(Tuning::default());
    arrive(&mut threshold, HIGH, 1);
    end_window(&mut threshold, 1, 0);
    for number in 2..WINDOWS {
        arrive(&mut threshold, HIGH, FULL / 2);
        arrive(&mut threshold, LOW, FULL);
        end_window(&mut threshold, number, 30);
    }
    let level = threshold.level();
    expect_that!(
        level,
        gt(Level(Level::tier_floor(LOW).0 + Level::PER_TIER / 4))
    );
    expect_that!(level, lt(Level::tier_floor(HIGH)));
}

/// Guards against requests that are shed by an idle back end because they are the first ones of a
/// lower tier: the level that sheds nothing of the tiers seen so far must not shed that tier.
#[gtest]
fn first_requests_of_a_lower_tier_are_not_shed_while_nothing_is_shed() {
    let mut threshold = Threshold::new(Tuning::default());
    for number in 1..WINDOWS {
        arrive(&mut threshold, HIGH, 1);
        end_window(&mut threshold, number, 0);
    }
    arrive(&mut threshold, LOW, 1);
    expect_that!(threshold.level(), eq(Level(0)));
    for number in WINDOWS..2 * WINDOWS {
        arrive(&mut threshold, LOW, 1);
        end_window(&mut threshold, number, 0);
        expect_that!(threshold.level(), eq(Level(0)), "window {number}");
    }
}

/// Delay until entries apply a published level, in windows.
const LEVEL_DELAY: usize = 2;

/// Requests that an overloaded back end receives in one window, before entries refuse any.
#[derive(Clone, Copy)]
struct Offered {
    newcomers: u64,
    returns: u64,
}

/// Returns the levels of newcomers and returns in a window, of the tier [`LOW`].
fn arrivals(offered: Offered, window: u64) -> Vec<Level> {
    let newcomer = |number| Level::in_tier(LOW, format!("newcomer-{window}-{number}").as_bytes());
    let returned =
        |number| Level::in_tier(LOW, format!("return-{window}-{number}").as_bytes()).after_return();
    let newcomers = (0..offered.newcomers).map(newcomer);
    newcomers
        .chain((0..offered.returns).map(returned))
        .collect()
}

/// Plays `windows` control windows of a back end that works off [`FULL`] requests in each. Returns
/// the number of requests that its entries admit in each window.
fn play(offered: Offered, windows: u64) -> Vec<usize> {
    let mut threshold = Threshold::new(Tuning {
        queue_target: 0.8,
        ..Tuning::default()
    });
    let mut levels = vec![Level(0); LEVEL_DELAY];
    let mut admitted = Vec::new();
    let mut queued = 0_usize;
    for number in 1..=windows {
        let upstream = levels[levels.len() - LEVEL_DELAY];
        let mut count = 0;
        for level in arrivals(offered, number) {
            if level >= upstream {
                threshold.record_arrival(level, WORK.as_micros() as f64);
                count += 1;
            }
        }
        queued = (queued + count).saturating_sub(FULL as usize);
        end_window(&mut threshold, number, queued);
        levels.push(threshold.level());
        admitted.push(count);
    }
    admitted
}

/// Returns the mean and the standard deviation of the requests that entries admit in a window, in
/// the last half of the windows.
fn admitted(offered: Offered) -> (f64, f64) {
    let course = play(offered, 400);
    let last: Vec<f64> = course[course.len() / 2..]
        .iter()
        .map(|count| *count as f64)
        .collect();
    let count = last.len() as f64;
    let mean = last.iter().sum::<f64>() / count;
    let variance = last.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / count;
    (mean, variance.sqrt())
}

/// The demand per level takes levels as evenly spread, and those of returns are not: the work that
/// is admitted must still fit, and vary little more than with as many newcomers.
#[gtest]
fn level_settles_while_half_of_the_arrivals_are_returns() {
    for half in [35, 40, 60] {
        let (mean, deviation) = admitted(Offered {
            newcomers: half,
            returns: half,
        });
        let (_, deviation_of_newcomers) = admitted(Offered {
            newcomers: 2 * half,
            returns: 0,
        });
        let full = FULL as f64;
        expect_that!(mean, all!(ge(0.95 * full), le(1.02 * full)));
        expect_that!(deviation, le(1.25 * deviation_of_newcomers), "{half} each");
    }
}
