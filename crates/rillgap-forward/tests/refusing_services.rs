//! State machines for services whose back ends refuse a share of what they get.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_forward::event::ExchangeResult;
use rillgap_forward::inbound::carried::Carried;
use rillgap_forward::inbound::refusals::Refusals;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::{ForwardedRequest, level_of, priority_of};
use rillgap_forward::request_window::{PRESENT_WINDOW, RequestWindow};
use rillgap_forward::retry_budget::RetryBudget;
use rillgap_forward::settings::RetryBound;
use support::{TestNode, answer, at, forwarded_request};

const SERVICE: &str = "takst";
const NODES: usize = 12;
const MAX_ATTEMPTS: u32 = 7;
const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 50,
    window: Duration::from_secs(10),
};

fn window_with(counts: &[(u64, u32)]) -> RequestWindow {
    let mut window = RequestWindow::default();
    for (slice, count) in counts {
        for _ in 0..*count {
            window.count(*slice);
        }
    }
    window
}

#[gtest]
fn best_window_is_the_present_one_the_one_before_or_the_one_between() {
    // Slice 60 is the present one. The windows begin at the slices 40, 20 and 30.
    let present = window_with(&[(20, 2), (39, 3), (40, 4), (60, 5)]).sums(60);
    expect_that!(present.best(PRESENT_WINDOW), eq(9));
    let before = window_with(&[(20, 5), (39, 5), (40, 4), (60, 5)]).sums(60);
    expect_that!(before.best(PRESENT_WINDOW), eq(10));
    let between = window_with(&[(20, 2), (30, 5), (49, 5), (60, 2)]).sums(60);
    expect_that!(between.best(PRESENT_WINDOW), eq(10));
}

#[gtest]
fn requests_leave_after_two_windows() {
    let mut window = window_with(&[(19, 7), (20, 5)]);
    expect_that!(window.sums(60).best(PRESENT_WINDOW), eq(5));
    expect_that!(window.sums(61).best(PRESENT_WINDOW), eq(0));
    expect_that!(window.sums(10_000).best(PRESENT_WINDOW), eq(0));
}

#[gtest]
fn one_refusal_among_few_attempts_says_nothing() {
    let mut refusals = Refusals::default();
    refusals.record(at(0), true);
    expect_that!(refusals.is_refusing(at(0)), eq(false));
    for _ in 0..200 {
        refusals.record(at(0), true);
    }
    expect_that!(refusals.share(at(0)), ge(0.9));
}

#[gtest]
fn share_of_refusals_follows_within_a_second() {
    let mut refusals = Refusals::default();
    for step in 0..2_000_u64 {
        refusals.record(at(step), step % 2 == 0);
    }
    expect_that!(refusals.share(at(2_000)), near(0.5, 0.05));
    for step in 2_000..3_000 {
        refusals.record(at(step), false);
    }
    expect_that!(refusals.is_refusing(at(3_000)), eq(false));
}

#[gtest]
fn share_of_retried_refusals_shows_calls_that_are_given_up() {
    let mut refusals = Refusals::default();
    expect_that!(refusals.retried_share(at(0)), eq(1.0));
    for step in 0..1_000_u64 {
        refusals.record(at(step), true);
        if step % 4 == 0 {
            refusals.record_retry(at(step));
        }
    }
    expect_that!(refusals.retried_share(at(1_000)), near(0.28, 0.05));
    for step in 1_000..2_000 {
        refusals.record(at(step), true);
        refusals.record_retry(at(step));
    }
    expect_that!(refusals.retried_share(at(2_000)), eq(1.0));
}

/// Returns the level of the number-th chain of a priority.
fn level(priority: u8, number: u64) -> Level {
    level_of(priority, &format!("root-{priority}-{number}"))
}

/// Passes 200 first arrivals per second of the priorities 0 and 2 each to `carried`, if they reach
/// the level that it returned last, and retries them until they are not refused.
fn run(carried: &mut Carried, from: u64, to: u64, refused_percent: u64) {
    let mut attempts: u64 = 0;
    for now in (from..to).step_by(5) {
        for priority in [0, 2] {
            let level = level(priority, now);
            if level < carried.part().level {
                continue;
            }
            for attempt in 0..MAX_ATTEMPTS {
                attempts += 1;
                // 37 is coprime to 100: every percentage occurs equally often.
                let is_refused = attempts * 37 % 100 < refused_percent;
                carried.record_arrival(at(now), level, attempt > 0);
                carried.record_attempt(at(now), is_refused);
                if !is_refused {
                    break;
                }
            }
        }
        if carried.is_due(at(now)) {
            let published = carried.part().level;
            carried.update(at(now), published);
        }
    }
}

#[gtest]
fn part_carried_follows_the_bound_and_the_refused_share() {
    let mut carried = Carried::new(BOUND);
    carried.record_calls(false);
    run(&mut carried, 0, 12_000, 0);
    expect_that!(carried.part().carried, eq(1.0));
    run(&mut carried, 12_000, 14_000, 55);
    let part = carried.part();
    // 0.8 * 0.2 * 0.45 / 0.55 of the demand, the more urgent half of it first.
    expect_that!(part.refused_share, near(0.52, 0.08));
    expect_that!(part.carried, near(0.14, 0.04));
    expect_that!(priority_of(part.level), eq(0));
    // Of the 640 retries per window, a fifth is spent before the level takes effect.
    let open = Level::PER_TIER - part.level.0 % Level::PER_TIER;
    expect_that!(
        f64::from(open) / f64::from(Level::PER_TIER),
        near(0.22, 0.06)
    );
}

#[gtest]
fn demand_does_not_collapse_because_entries_refuse_it() {
    let mut carried = Carried::new(BOUND);
    carried.record_calls(false);
    run(&mut carried, 0, 12_000, 0);
    run(&mut carried, 12_000, 14_000, 55);
    let early = carried.part();
    run(&mut carried, 14_000, 19_000, 55);
    let late = carried.part();
    expect_that!(late.level, ge(Level(early.level.0 - Level::PER_TIER / 5)));
    expect_that!(late.carried, le(0.3));
}

#[gtest]
fn level_returns_to_zero_within_a_second_of_the_last_refusals() {
    let mut carried = Carried::new(BOUND);
    carried.record_calls(false);
    run(&mut carried, 0, 12_000, 0);
    run(&mut carried, 12_000, 18_000, 55);
    run(&mut carried, 18_000, 19_000, 0);
    expect_that!(carried.part().level, eq(Level(0)));
}

#[gtest]
fn highest_tier_with_demand_stays_open_a_little_while_everything_is_refused() {
    let mut carried = Carried::new(BOUND);
    run(&mut carried, 0, 5_000, 0);
    run(&mut carried, 5_000, 9_000, 100);
    let top = Level::tier_floor(level(0, 0).tier() + 1);
    let open = top.0 - carried.part().level.0;
    expect_that!(open, ge(Level::PER_TIER / 32));
}

#[gtest]
fn few_refusals_change_nothing() {
    let mut carried = Carried::new(BOUND);
    run(&mut carried, 0, 12_000, 4);
    expect_that!(carried.part().level, eq(Level(0)));
    expect_that!(carried.part().carried, eq(1.0));
}

/// Returns how many retries a node may send that has sent 80 when its requests became ten times
/// fewer, eight seconds ago.
fn retries_after_decline(is_refused: bool) -> usize {
    let mut budget = RetryBudget::new(BOUND, 0);
    budget.record_calls(SERVICE, false);
    for step in 0..1_000_u64 {
        budget.count_request(at(step * 10), SERVICE);
    }
    for _ in 0..80 {
        budget.spend(at(10_000), SERVICE);
    }
    for step in 0..80_u64 {
        budget.count_request(at(10_000 + step * 100), SERVICE);
    }
    for _ in 0..100 {
        budget.record_attempt(at(18_000), SERVICE, is_refused);
    }
    let highest = Level(u32::MAX);
    (0..500)
        .filter(|_| budget.try_spend(at(18_000), SERVICE, NODES, highest))
        .count()
}

#[gtest]
fn older_windows_count_only_while_back_ends_refuse() {
    // The present window has 280 requests, for which 0.8 * 0.2 * 280 = 45 retries are allowed.
    expect_that!(retries_after_decline(false), eq(0));
    // 160 were allowed in the best window, and 45 may be sent from now on.
    expect_that!(retries_after_decline(true), all!(ge(44), le(47)));
}

#[gtest]
fn retries_are_bounded_in_windows_that_begin_later() {
    // All requests came long ago. The best window of one that begins now has hardly any.
    let mut budget = RetryBudget::new(BOUND, 0);
    budget.record_calls(SERVICE, false);
    for _ in 0..1_000 {
        budget.count_request(at(0), SERVICE);
    }
    for _ in 0..100 {
        budget.record_attempt(at(18_000), SERVICE, true);
    }
    let highest = Level(u32::MAX);
    let sent = (0..500).filter(|_| budget.try_spend(at(18_000), SERVICE, NODES, highest));
    expect_that!(sent.count(), le(2));
}

/// Forwards a request and ends it with `result`.
fn exchange(test: &mut TestNode, number: u64, result: ExchangeResult) {
    let link = test.accept(50);
    let request = ForwardedRequest {
        level: level(1, number),
        ..forwarded_request(&format!("r{number}"), true)
    };
    test.forward(link, number, request);
    let exchange = test.exchanges().last().expect("an exchange").id;
    test.end_exchange(exchange, result);
    test.advance(2);
}

#[gtest]
fn begin_and_end_of_refusals_are_logged_with_the_part_carried() {
    let mut test = TestNode::serving();
    for number in 0..500 {
        exchange(&mut test, number, ExchangeResult::Answered(answer(200)));
    }
    for number in 500..1_000 {
        let result = match number % 2 {
            0 => ExchangeResult::NotExecuted,
            _ => ExchangeResult::Answered(answer(200)),
        };
        exchange(&mut test, number, result);
    }
    for number in 1_000..2_000 {
        exchange(&mut test, number, ExchangeResult::Answered(answer(200)));
    }
    let logged: Vec<(bool, u32)> = test
        .log_records()
        .into_iter()
        .filter_map(|record| match record {
            LogRecord::BackEndRefusals {
                is_refusing,
                refused_permille,
                ..
            } => Some((is_refusing, refused_permille)),
            _ => None,
        })
        .collect();
    expect_that!(logged, len(eq(2)));
    expect_that!(logged[0].0, eq(true));
    expect_that!(logged[0].1, ge(50));
    expect_that!(logged[1].0, eq(false));
}
