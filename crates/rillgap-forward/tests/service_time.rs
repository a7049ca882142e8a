//! Tests of what is recorded as service time of the back end.

mod support;

use googletest::prelude::*;
use rillgap_forward::event::{Event, ExchangeResult};
use rillgap_forward::id::LinkId;
use support::{TestNode, answer, forwarded_request};

/// Usual service time of the back end, in milliseconds.
const USUAL_MILLIS: u64 = 20;
/// Time for which the node is stalled, in milliseconds; requests have a deadline of 800 ms.
const STALL_MILLIS: u64 = 5_000;

/// Returns a node whose back end has answered some requests in the usual time.
fn node_with_samples() -> (TestNode, LinkId) {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    for sequence in 0..20 {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("r{sequence}"), true),
        );
        test.advance(USUAL_MILLIS);
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
fn answer_read_late_after_a_stall_of_the_node_is_not_a_sample() {
    let (mut test, link) = node_with_samples();
    test.forward(link, 100, forwarded_request("held", true));
    // The node processes no event meanwhile.
    test.now += STALL_MILLIS;
    answer_last(&mut test);
    expect_that!(mean_millis(&test), eq(USUAL_MILLIS as u32));
}

#[gtest]
fn missing_answer_noticed_late_after_a_stall_of_the_node_is_not_a_sample() {
    let (mut test, link) = node_with_samples();
    test.forward(link, 100, forwarded_request("held", true));
    test.now += STALL_MILLIS;
    test.event(Event::Wake);
    expect_that!(mean_millis(&test), eq(USUAL_MILLIS as u32));
}

#[gtest]
fn missing_answer_noticed_in_time_raises_the_service_time() {
    let (mut test, link) = node_with_samples();
    test.forward(link, 100, forwarded_request("held", true));
    test.advance(1_100);
    expect_that!(mean_millis(&test), gt(USUAL_MILLIS as u32));
}
