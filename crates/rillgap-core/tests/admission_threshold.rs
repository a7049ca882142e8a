//! The published level, from the demand of all tiers.

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
/// Requests of one window that keep all slots busy.
const FULL: u64 = 50;
/// Windows after which the level has settled.
const WINDOWS: u64 = 60;

/// Returns the levels of `count` requests of a tier, spread over it evenly.
fn spread(tier: u8, count: u64) -> impl Iterator<Item = Level> {
    let step = Level::PER_TIER / u32::try_from(count).expect("a small number");
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

/// A back end gets half of what it can carry of a high tier and all of it again of a low one. Its node had seen only the high
/// tier while nothing was shed, took the floor of that tier for its level, and did not count what lies below: beside
/// one such back end of 19 slots the level stayed zero while 150 requests a second were shed there, and the entries let all in.
#[gtest]
fn demand_of_a_lower_tier_counts_although_a_higher_one_was_seen_first() {
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
