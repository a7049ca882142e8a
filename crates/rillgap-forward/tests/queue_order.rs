//! Tests of the order in which queued requests of one priority are started.

mod support;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_forward::event::ExchangeResult;
use rillgap_forward::message::level_of;
use support::{TestNode, answer, forwarded_request};

/// A chain makes several calls, and a single refused call makes the work of all others worthless.
/// If calls were shed in the order of arrival, each chain would lose some of them. Shed by level,
/// the same chains always complete.
#[gtest]
fn requests_of_one_priority_are_started_in_the_order_of_their_levels() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    for sequence in 1..4 {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("busy{sequence}"), true),
        );
    }
    let levels = [1_000, 7_000, 4_000];
    for (number, within) in levels.into_iter().enumerate() {
        let floor = level_of(1, "any").tier();
        let mut request = forwarded_request(&format!("level{within}"), true);
        request.level = Level(Level::tier_floor(floor).0 + within);
        test.forward(link, 10 + number as u64, request);
    }
    for exchange in test.exchanges() {
        test.end_exchange(exchange.id, ExchangeResult::Answered(answer(200)));
    }
    let started: Vec<String> = test
        .exchanges()
        .split_off(3)
        .iter()
        .map(|exchange| exchange.request.request_id.clone())
        .collect();
    expect_that!(
        started,
        elements_are![eq("level7000"), eq("level4000"), eq("level1000")]
    );
}
