//! Time after which an answer that has begun and is not whole is overdue.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::time::Instant;
use rillgap_forward::answer_pace::{AnswerPace, grace};

const GRACE: Duration = Duration::from_millis(400);

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[gtest]
fn answer_that_has_not_begun_has_no_end() {
    let pace = AnswerPace::new(GRACE);
    expect_that!(pace.overdue_at(), none());
}

#[gtest]
fn bytes_that_trickle_do_not_prolong_the_answer() {
    let mut pace = AnswerPace::new(GRACE);
    for millis in 0..300 {
        pace.on_bytes(at(1_000 + millis), 1);
    }
    let latest = at(1_000) + GRACE + Duration::from_millis(1);
    expect_that!(pace.overdue_at().is_some_and(|end| end <= latest), eq(true));
}

#[gtest]
fn long_answer_that_keeps_coming_gets_time_for_its_length() {
    let mut pace = AnswerPace::new(GRACE);
    // 9 MB at 10 MB/s.
    for millis in 0..900 {
        pace.on_bytes(at(millis), 10_000);
        expect_that!(
            pace.overdue_at().is_some_and(|end| end > at(millis)),
            eq(true)
        );
    }
}

#[gtest]
fn time_in_which_the_node_does_not_read_does_not_count() {
    let mut pace = AnswerPace::new(GRACE);
    pace.on_bytes(at(0), 1);
    let before = pace.overdue_at();
    pace.pause(at(100));
    pace.pause(at(200));
    expect_that!(pace.overdue_at(), none());
    pace.resume(at(1_100));
    let expected = before.map(|end| end + Duration::from_secs(1));
    expect_that!(pace.overdue_at(), eq(expected));
    pace.resume(at(5_000));
    expect_that!(pace.overdue_at(), eq(expected));
}

#[gtest]
fn answer_begins_anew_after_bytes_that_were_no_part_of_it() {
    let mut pace = AnswerPace::new(GRACE);
    pace.on_bytes(at(0), 100);
    pace.restart();
    expect_that!(pace.overdue_at(), none());
    pace.on_bytes(at(5_000), 0);
    expect_that!(pace.overdue_at(), some(eq(at(5_000) + GRACE)));
}

#[gtest]
fn grace_leaves_most_of_the_target_latency_to_another_back_end() {
    for millis in [300, 400, 1_500, 2_500, 10_000] {
        let target = Duration::from_millis(millis);
        let longest = (target / 3).max(Duration::from_millis(100));
        expect_that!(grace(target), le(longest));
        expect_that!(grace(target), ge(Duration::from_millis(75)));
    }
}
