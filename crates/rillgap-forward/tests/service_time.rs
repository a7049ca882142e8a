//! Tests of what is recorded as service time of the back end.

mod support;

use googletest::prelude::*;
use rillgap_forward::event::{Event, ExchangeResult};
use rillgap_forward::id::LinkId;
use support::{TestNode, answer, forwarded};

/// Usual service time of the back end, in milliseconds.
const USUAL: u64 = 20;
/// Time for which the node is stalled, in milliseconds; requests have a deadline of 800 ms.
const STAND_STILL: u64 = 5_000;

/// Returns a node whose back end has answered some requests in the usual time.
fn experienced() -> (TestNode, LinkId) {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    for sequence in 0..20 {
        test.forward(link, sequence, forwarded(&format!("r{sequence}"), true));
        test.pass(USUAL);
        answer_last(&mut test);
    }
    (test, link)
}

fn answer_last(test: &mut TestNode) {
    let exchange = test.exchanges().pop().expect("a request at the back end");
    test.end_exchange(exchange.id, ExchangeResult::Answered(answer(200)));
}

fn mean_millis(test: &TestNode) -> u32 {
    test.node.inbound().load().mean_micros / 1_000
}

#[gtest]
fn answer_that_lay_unread_while_the_node_stood_still_does_not_make_the_back_end_slow() {
    let (mut test, link) = experienced();
    test.forward(link, 100, forwarded("held", true));
    // The node processes no event meanwhile.
    test.now += STAND_STILL;
    answer_last(&mut test);
    expect_that!(mean_millis(&test), eq(USUAL as u32));
}

#[gtest]
fn answer_that_is_missed_long_after_its_time_does_not_make_the_back_end_slow() {
    let (mut test, link) = experienced();
    test.forward(link, 100, forwarded("held", true));
    test.now += STAND_STILL;
    test.event(Event::Wake);
    expect_that!(mean_millis(&test), eq(USUAL as u32));
}

#[gtest]
fn silence_up_to_the_end_of_the_requests_time_makes_the_back_end_slow() {
    let (mut test, link) = experienced();
    test.forward(link, 100, forwarded("held", true));
    test.pass(1_100);
    expect_that!(mean_millis(&test), gt(USUAL as u32));
}
