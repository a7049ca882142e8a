//! State machines for services whose back ends refuse a share of what they get.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_forward::event::ExchangeResult;
use rillgap_forward::inbound::refusals::Refusals;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::{ForwardedRequest, level_of};
use rillgap_forward::request_window::{PRESENT_WINDOW, RequestWindow};
use rillgap_forward::retry_budget::RetryBudget;
use rillgap_forward::settings::RetryBound;
use support::{TestNode, answer, at, forwarded_request};

const SERVICE: &str = "takst";
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
fn window_has_a_quarter_of_the_weight_and_the_one_before_it_the_rest() {
    // Slice 60 is the present one. The windows begin at the slices 40 and 20. The window may begin
    // anywhere within slice 40, so the one before it may not contain slice 20.
    let counts = [(20, 9), (21, 4), (39, 4), (40, 8), (60, 4)];
    let mean = window_with(&counts).sums(60).weighted_mean(PRESENT_WINDOW);
    expect_that!(mean, near(0.25 * 12.0 + 0.75 * 8.0, 1e-9));
}

#[gtest]
fn requests_leave_after_two_windows() {
    let mut window = window_with(&[(20, 7), (21, 4)]);
    let mut mean = |slice| window.sums(slice).weighted_mean(PRESENT_WINDOW);
    expect_that!(mean(60), near(3.0, 1e-9));
    expect_that!(mean(61), eq(0.0));
    expect_that!(mean(10_000), eq(0.0));
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

/// Returns the level of the number-th chain of a priority.
fn level(priority: u8, number: u64) -> Level {
    level_of(priority, &format!("root-{priority}-{number}"))
}

/// Returns how many retries a node may send that has sent 80 when its requests became ten times
/// fewer, eight seconds ago.
fn retries_after_decline() -> usize {
    let highest = Level(u32::MAX);
    let mut budget = RetryBudget::new(at(0), BOUND, true);
    budget.record_calls(SERVICE, false);
    for step in 0..2_000_u64 {
        budget.count_request(at(step * 10), SERVICE);
    }
    for _ in 0..80 {
        expect_that!(budget.try_spend(at(20_000), SERVICE, highest), eq(true));
    }
    for step in 0..80_u64 {
        budget.count_request(at(20_000 + step * 100), SERVICE);
    }
    for _ in 0..100 {
        budget.record_attempt(at(28_000), SERVICE, true);
    }
    (0..500)
        .filter(|_| budget.try_spend(at(28_000), SERVICE, highest))
        .count()
}

#[gtest]
fn requests_before_a_decline_count_in_the_window_after_it() {
    // The window that begins now has 230 requests in the last 19 slices: 0.95 * 0.2 * 0.75 * 230 = 32
    // retries. The requests of the present window alone, 280, would allow none, 80 having been sent.
    expect_that!(retries_after_decline(), eq(32));
}

#[gtest]
fn retries_are_bounded_in_windows_that_begin_later() {
    // All requests came long ago. The best window of one that begins now has hardly any.
    let mut budget = RetryBudget::new(at(0), BOUND, true);
    budget.record_calls(SERVICE, false);
    for _ in 0..1_000 {
        budget.count_request(at(0), SERVICE);
    }
    for _ in 0..100 {
        budget.record_attempt(at(18_000), SERVICE, true);
    }
    let highest = Level(u32::MAX);
    let sent = (0..500).filter(|_| budget.try_spend(at(18_000), SERVICE, highest));
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
fn begin_and_end_of_refusals_are_logged() {
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
