//! Time after which refused callers are asked to return.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_forward::message::level_of;
use rillgap_forward::retry_after::spread_retry_after;

const RANGE_MILLIS: (u32, u32) = (200, 2_000);

fn delays(shortage_millis: u64) -> Vec<u32> {
    let shortage = Duration::from_millis(shortage_millis);
    (0..1_000)
        .map(|number| spread_retry_after(shortage, RANGE_MILLIS, &format!("request-{number}")))
        .collect()
}

#[gtest]
fn delay_follows_the_length_of_the_shortage_and_is_spread_by_a_quarter() {
    let delays = delays(800);
    expect_that!(delays, each(all![ge(&800), le(&1_000)]));
    expect_that!(delays.iter().min(), some(lt(&810)));
    expect_that!(delays.iter().max(), some(gt(&990)));
    let distinct: BTreeSet<&u32> = delays.iter().collect();
    expect_that!(distinct.len(), gt(150));
}

#[gtest]
fn delay_stays_within_the_range_and_is_spread_at_its_ends() {
    for shortage_millis in [0, 150, 1_900, 3_600_000] {
        let delays = delays(shortage_millis);
        expect_that!(delays, each(all![ge(&200), le(&2_000)]));
        let at_end = delays.iter().filter(|millis| **millis == 2_000).count();
        expect_that!(at_end, lt(10), "{shortage_millis} ms");
        let distinct: BTreeSet<&u32> = delays.iter().collect();
        expect_that!(distinct.len(), gt(40), "{shortage_millis} ms");
    }
}

#[gtest]
fn range_of_one_value_leaves_no_choice() {
    let delay = spread_retry_after(Duration::from_secs(1), (300, 300), "request");
    expect_that!(delay, eq(300));
}

#[gtest]
fn same_request_always_gets_the_same_delay() {
    let shortage = Duration::from_millis(500);
    let first = spread_retry_after(shortage, RANGE_MILLIS, "request-7");
    expect_that!(
        spread_retry_after(shortage, RANGE_MILLIS, "request-7"),
        eq(first)
    );
}

/// Requests with the highest levels of a tier must not all return first.
#[gtest]
fn delay_does_not_depend_on_the_admission_level() {
    let mean = |wanted: bool| {
        let ids = (0..4_000).map(|number| format!("request-{number}"));
        let middle = level_of(0, "request").0 / 256 * 256 + 128;
        let chosen = ids.filter(|id| (level_of(0, id).0 >= middle) == wanted);
        let delays: Vec<u32> = chosen
            .map(|id| spread_retry_after(Duration::from_secs(1), RANGE_MILLIS, &id))
            .collect();
        f64::from(delays.iter().sum::<u32>()) / delays.len() as f64
    };
    expect_that!(mean(true), near(mean(false), 10.0));
}
