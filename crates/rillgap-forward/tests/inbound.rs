//! Tests of the inbound side: health of the back end, admission, queueing and results.

mod support;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_core::code::ResultCode;
use rillgap_forward::action::Action;
use rillgap_forward::configuration::Repeatability;
use rillgap_forward::event::{AnnouncedState, Event, ExchangeResult, ProbeResult};
use rillgap_forward::id::{LinkId, Sequence};
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::{
    ForwardResult, LinkMessage, NotRunProof, Timing, level_of, priority_of,
};
use support::{
    INSTANCE, SERVICE, TestNode, answer, caller_request, code_of, configuration, forwarded_request,
    route,
};

fn cancel(test: &mut TestNode, link: LinkId, sequence: u64) {
    test.event(Event::Link {
        link,
        message: LinkMessage::Cancel(Sequence(sequence)),
    });
}

#[gtest]
fn new_node_considers_a_back_end_serving_only_after_the_health_endpoint_confirms_it() {
    let mut test = TestNode::configured(support::SERVICE);
    expect_that!(test.heartbeat(1, AnnouncedState::Ready), eq(true));
    expect_that!(test.node.inbound().status().is_serving, eq(false));
    test.confirm(INSTANCE);
    expect_that!(test.node.inbound().status().is_serving, eq(true));
}

#[gtest]
fn late_ready_heartbeat_does_not_return_a_draining_back_end_to_service() {
    let mut test = TestNode::serving();
    expect_that!(test.heartbeat(5, AnnouncedState::Draining), eq(true));
    expect_that!(test.heartbeat(4, AnnouncedState::Ready), eq(true));
    expect_that!(test.heartbeat(6, AnnouncedState::Ready), eq(true));
    expect_that!(test.node.inbound().status().is_serving, eq(false));
    expect_that!(test.probe(), none());
}

#[gtest]
fn restarted_node_does_not_consider_a_leaving_back_end_serving() {
    let mut test = TestNode::configured(support::SERVICE);
    // A heartbeat from before the announcement arrives late; the restarted node has no record of
    // the announcement.
    test.heartbeat(3, AnnouncedState::Ready);
    let probe = test.probe().expect("a probe");
    test.end_probe(probe, ProbeResult::Unhealthy);
    expect_that!(test.node.inbound().status().is_serving, eq(false));
}

#[gtest]
fn back_end_that_leaves_without_draining_gets_no_more_requests() {
    let mut test = TestNode::serving();
    test.leave(INSTANCE);
    let link = test.accept(50);
    test.forward(link, 1, forwarded_request("a", true));
    expect_that!(test.exchanges(), is_empty());
    let results = test.results();
    expect_that!(code_of(&results[0].1), some(eq(ResultCode::BackEndLeaving)));
}

#[gtest]
fn next_incarnation_serves_after_the_first_has_left() {
    let mut test = TestNode::serving();
    test.heartbeat(9, AnnouncedState::Draining);
    test.heartbeat_of("i-2", 1, AnnouncedState::Ready);
    test.confirm("i-2");
    expect_that!(test.node.inbound().status().is_serving, eq(true));
    let link = test.accept(50);
    test.forward(link, 1, forwarded_request("a", true));
    expect_that!(test.exchanges()[0].incarnation.id, eq("i-2"));
}

#[gtest]
fn heartbeat_of_another_address_is_not_acknowledged() {
    let mut test = TestNode::serving();
    let mut foreign = support::heartbeat("i-9", 1, AnnouncedState::Draining);
    foreign.address = "127.0.0.77:1".to_owned();
    expect_that!(test.announce(foreign), eq(false));
}

#[gtest]
fn running_requests_never_exceed_the_usable_slots() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    for sequence in 0..20 {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("r{sequence}"), true),
        );
    }
    // Of the four slots, a small fraction is left free.
    expect_that!(test.exchanges().len(), eq(3));
}

#[gtest]
fn draining_refuses_queued_requests_at_once_and_completes_running_ones() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    for sequence in 0..5 {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("r{sequence}"), true),
        );
    }
    test.heartbeat(2, AnnouncedState::Draining);
    let refused: Vec<u64> = test
        .results()
        .iter()
        .map(|(sequence, _)| *sequence)
        .collect();
    expect_that!(refused, elements_are![eq(&3), eq(&4)]);
    let running = test.exchanges()[0].id;
    test.end_exchange(running, ExchangeResult::Answered(answer(200)));
    expect_that!(test.results().len(), eq(3));
    expect_that!(test.exchanges().len(), eq(3));
}

#[gtest]
fn higher_priority_is_served_first_and_lower_keeps_a_reserve() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    for sequence in 0..3 {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("r{sequence}"), true),
        );
    }
    let mut low = forwarded_request("low", true);
    low.level = level_of(5, "low");
    let mut high = forwarded_request("high", true);
    high.level = level_of(0, "high");
    test.forward(link, 10, low);
    test.forward(link, 11, high);
    let first = test.exchanges()[0].id;
    test.end_exchange(first, ExchangeResult::Answered(answer(200)));
    let second = test.exchanges()[1].id;
    test.end_exchange(second, ExchangeResult::Answered(answer(200)));
    let ids: Vec<String> = test
        .exchanges()
        .iter()
        .skip(3)
        .map(|exchange| exchange.request.request_id.clone())
        .collect();
    // The lower rank uses none of its reserve, so its request is started first.
    expect_that!(ids, elements_are![eq("low"), eq("high")]);
}

#[gtest]
fn cancelled_request_frees_its_slot_unless_it_is_not_idempotent() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.forward(link, 1, forwarded_request("safe", true));
    test.forward(link, 2, forwarded_request("once", false));
    let exchanges = test.exchanges();
    cancel(&mut test, link, 1);
    cancel(&mut test, link, 2);
    expect_that!(test.has_cancelled(exchanges[0].id), eq(true));
    expect_that!(test.has_cancelled(exchanges[1].id), eq(false));
    expect_that!(test.node.inbound().load().running, eq(1));
    test.end_exchange(exchanges[1].id, ExchangeResult::Answered(answer(200)));
    expect_that!(test.results(), is_empty());
}

#[gtest]
fn closed_link_cancels_only_its_own_requests() {
    let mut test = TestNode::serving();
    let first = test.accept(50);
    let second = test.accept(51);
    test.forward(first, 1, forwarded_request("a", true));
    test.forward(second, 1, forwarded_request("b", true));
    let exchanges = test.exchanges();
    test.event(Event::LinkClosed(first));
    expect_that!(test.has_cancelled(exchanges[0].id), eq(true));
    expect_that!(test.has_cancelled(exchanges[1].id), eq(false));
}

#[gtest]
fn missing_answer_is_unknown_after_the_deadline_and_never_not_run() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.forward(link, 1, forwarded_request("a", false));
    test.advance(1_200);
    let results = test.results();
    expect_that!(
        results[0].1,
        eq(&ForwardResult::Unknown {
            code: ResultCode::AnswerTimeout
        })
    );
}

#[gtest]
fn result_is_not_run_only_if_execution_is_ruled_out() {
    let cases = [
        (ExchangeResult::Lost, ResultCode::AnswerLost, None),
        (
            ExchangeResult::NotSent,
            ResultCode::BackEndUnreachable,
            Some(NotRunProof::NotConnected),
        ),
        (
            ExchangeResult::NotExecuted,
            ResultCode::BackEndShed,
            Some(NotRunProof::Refused),
        ),
        (
            ExchangeResult::WrongInstance,
            ResultCode::BackEndLeaving,
            Some(NotRunProof::Misdirected),
        ),
    ];
    for (result, code, expected) in cases {
        let mut test = TestNode::serving();
        let link = test.accept(50);
        test.forward(link, 1, forwarded_request("a", false));
        let exchange = test.exchanges()[0].id;
        test.end_exchange(exchange, result);
        // The response to a lost request is held until the health endpoint has answered or the hold
        // timeout has passed.
        test.advance(60);
        let results = test.results();
        expect_that!(code_of(&results[0].1), some(eq(code)));
        let proof = match results[0].1 {
            ForwardResult::NotRun { proof, .. } => Some(proof),
            _ => None,
        };
        expect_that!(proof, eq(expected));
        let logged = test.actions.iter().find_map(|action| match action {
            Action::Log(LogRecord::NotAnswered {
                sequence,
                exchange,
                proof,
                ..
            }) => Some((*sequence, *exchange, *proof)),
            _ => None,
        });
        expect_that!(logged, some(eq((1, exchange.0, expected))));
    }
}

#[gtest]
fn stopping_node_starts_requests_for_a_quarter_of_the_grace_and_then_refuses_them() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.event(Event::Stop);
    expect_that!(test.node.is_ready(), eq(false));
    test.advance(1_400);
    test.forward(link, 1, forwarded_request("a", false));
    expect_that!(test.exchanges().len(), eq(1));
    expect_that!(test.node.inbound().status().is_stopping, eq(false));
    test.advance(101);
    expect_that!(test.node.inbound().status().is_stopping, eq(true));
    test.forward(link, 2, forwarded_request("b", false));
    let results = test.results();
    expect_that!(code_of(&results[0].1), some(eq(ResultCode::NodeStopping)));
    expect_that!(test.exchanges().len(), eq(1));
}

#[gtest]
fn overlong_queue_refuses_at_once_with_a_retry_after() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.forward(link, 0, forwarded_request("warm", true));
    let warm = test.exchanges()[0].id;
    test.advance(200);
    test.end_exchange(warm, ExchangeResult::Answered(answer(200)));
    test.actions.clear();
    for sequence in 1..10 {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("r{sequence}"), true),
        );
    }
    let refused = test.results();
    expect_that!(refused.len(), gt(0));
    for (_, result) in refused {
        let ForwardResult::NotRun {
            code,
            retry_after_millis,
            ..
        } = result
        else {
            panic!("{result:?}");
        };
        expect_that!(code, eq(ResultCode::QueueFull));
        expect_that!(retry_after_millis, ge(50));
    }
}

#[gtest]
fn back_end_without_heartbeats_is_probed_and_taken_out_of_service_if_it_does_not_answer() {
    let mut test = TestNode::serving();
    test.advance(4_900);
    let probe = test.probe().expect("a probe after missed heartbeats");
    expect_that!(test.node.inbound().status().is_serving, eq(true));
    test.end_probe(probe, ProbeResult::Unreachable);
    expect_that!(test.node.inbound().status().is_serving, eq(false));
    test.actions.clear();
    test.heartbeat(2, AnnouncedState::Ready);
    test.confirm(INSTANCE);
    expect_that!(test.node.inbound().status().is_serving, eq(true));
}

#[gtest]
fn stale_heartbeat_changes_nothing() {
    let mut test = TestNode::serving();
    let mut newer = support::heartbeat(INSTANCE, 5, AnnouncedState::Ready);
    newer.slots = 100;
    let mut older = support::heartbeat(INSTANCE, 4, AnnouncedState::Ready);
    older.slots = 10;
    test.announce(newer);
    test.announce(older);
    expect_that!(test.node.inbound().load().limit, eq(95));
}

/// Sends 12 requests of priority 2 every 50 ms, each of which takes 50 ms on the back end: four
/// times the capacity of its 3 usable slots.
fn overload(test: &mut TestNode, link: LinkId, millis: u64) {
    let until = test.now + millis;
    let mut sequence = 0;
    while test.now < until {
        let ended = test.exchanges().len();
        for _ in 0..12 {
            sequence += 1;
            let mut request = forwarded_request(&format!("r{sequence}"), true);
            request.level = level_of(2, &request.request_id);
            test.forward(link, sequence, request);
        }
        test.advance(50);
        for exchange in test.exchanges().iter().skip(ended.saturating_sub(3)) {
            test.end_exchange(exchange.id, ExchangeResult::Answered(answer(200)));
        }
    }
}

#[gtest]
fn overload_raises_the_level_within_the_lowest_priority_until_it_ends() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    overload(&mut test, link, 2_000);
    let level = test.node.inbound().load().level;
    expect_that!(priority_of(level), eq(2));
    // A quarter of the requests fits, slightly more while the queue is short.
    let shed = f64::from(level.0 % Level::PER_TIER) / f64::from(Level::PER_TIER);
    expect_that!(shed, all!(gt(0.5), lt(0.95)));
    for exchange in &test.exchanges() {
        test.end_exchange(exchange.id, ExchangeResult::Answered(answer(200)));
    }
    test.advance(3_000);
    expect_that!(test.node.inbound().load().total_queued(), eq(0));
    expect_that!(test.node.inbound().load().level, eq(Level(0)));
}

#[gtest]
fn refused_requests_count_as_demand() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    // Requests that take 50 ms each give the node an expected service time.
    overload(&mut test, link, 400);
    for sequence in 10_000..10_400 {
        let mut request = forwarded_request(&format!("r{sequence}"), true);
        request.level = level_of(2, &request.request_id);
        request.queue_limit_micros = 0;
        test.forward(link, sequence, request);
        test.advance(5);
    }
    expect_that!(test.node.inbound().load().running, eq(3));
    expect_that!(
        test.node.inbound().load().level,
        gt(Level::tier_floor(level_of(2, "any").tier()))
    );
}

/// Runs `count` requests on the back end, one after the other, each of which ends with `result`.
fn run_and_end(test: &mut TestNode, first: u64, count: u64, result: &ExchangeResult) {
    let link = test.accept(70);
    for number in first..first + count {
        test.forward(link, number, forwarded_request(&format!("r{number}"), true));
        let exchange = test.exchanges().pop().expect("an exchange").id;
        test.end_exchange(exchange, result.clone());
    }
}

#[gtest]
fn back_end_that_loses_answers_counts_as_failing_until_its_rate_has_decayed() {
    let mut test = TestNode::serving();
    run_and_end(&mut test, 1, 20, &ExchangeResult::Lost);
    test.event(Event::Wake);
    expect_that!(test.node.inbound().load().failing_permille, gt(500));
    test.advance(6_000);
    expect_that!(test.node.inbound().load().failing_permille, lt(100));
}

#[gtest]
fn few_failures_among_many_successes_do_not_count_as_failing() {
    let mut test = TestNode::serving();
    run_and_end(&mut test, 1, 1, &ExchangeResult::Lost);
    run_and_end(&mut test, 2, 30, &ExchangeResult::Answered(answer(200)));
    test.event(Event::Wake);
    expect_that!(test.node.inbound().load().failing_permille, lt(100));
}

#[gtest]
fn failure_of_a_call_does_not_count_against_the_back_end_that_made_it() {
    let mut test = TestNode::unconfigured(SERVICE);
    let mut table = configuration(1);
    let other = route("/other/", "other", Repeatability::Idempotent);
    table.routes.push(other);
    test.configure(table);
    test.heartbeat(1, AnnouncedState::Ready);
    test.confirm(INSTANCE);
    test.actions.clear();
    let link = test.accept(70);
    for number in 1..=20 {
        let id = format!("r{number}");
        test.forward(link, number, forwarded_request(&id, true));
        // No back end of the called service is known, so the call fails.
        test.request(number, caller_request(&format!("{id}.1"), "/other/1"));
        let exchange = test.exchanges().first().expect("an exchange").id;
        test.actions.clear();
        test.end_exchange(exchange, ExchangeResult::Answered(answer(500)));
    }
    test.event(Event::Wake);
    expect_that!(test.node.inbound().load().failing_permille, eq(0));
}

#[gtest]
fn failure_without_a_failed_call_counts_against_the_back_end() {
    let mut test = TestNode::serving();
    run_and_end(&mut test, 1, 20, &ExchangeResult::Answered(answer(500)));
    test.event(Event::Wake);
    expect_that!(test.node.inbound().load().failing_permille, gt(500));
}

#[gtest]
fn cancellation_at_the_deadline_counts_as_a_missing_answer() {
    let mut test = TestNode::serving();
    let link = test.accept(70);
    for number in 1..=4 {
        test.forward(link, number, forwarded_request(&format!("r{number}"), true));
    }
    test.advance(795);
    for number in 1..=4 {
        cancel(&mut test, link, number);
    }
    test.event(Event::Wake);
    expect_that!(test.node.inbound().load().failing_permille, gt(300));
}

#[gtest]
fn unhealthy_probe_does_not_take_a_back_end_that_answers_requests_out_of_service() {
    let mut test = TestNode::serving();
    // Three lost answers trigger a probe; the next request is answered.
    run_and_end(&mut test, 1, 3, &ExchangeResult::Lost);
    let probe = test.probe().expect("a probe");
    run_and_end(&mut test, 4, 1, &ExchangeResult::Answered(answer(200)));
    test.end_probe(probe, ProbeResult::Unhealthy);
    expect_that!(test.node.inbound().status().is_serving, eq(true));
}

#[gtest]
fn back_end_that_stops_answering_is_taken_out_of_service_by_the_first_unhealthy_probe() {
    let mut test = TestNode::serving();
    // A request is answered before the probe begins, and none after that.
    run_and_end(&mut test, 1, 1, &ExchangeResult::Answered(answer(200)));
    run_and_end(&mut test, 2, 3, &ExchangeResult::Lost);
    let probe = test.probe().expect("a probe");
    run_and_end(&mut test, 5, 2, &ExchangeResult::Lost);
    test.end_probe(probe, ProbeResult::Unhealthy);
    expect_that!(test.node.inbound().status().is_serving, eq(false));
}

#[gtest]
fn response_contains_the_queue_time_and_the_back_end_time() {
    let mut test = TestNode::serving();
    let link = test.accept(70);
    // The back end has four slots, of which three are usable; the fourth request waits.
    for number in 1..=4 {
        test.forward(link, number, forwarded_request(&format!("r{number}"), true));
    }
    test.advance(20);
    let first = test.exchanges()[0].id;
    test.end_exchange(first, ExchangeResult::Answered(answer(200)));
    test.advance(30);
    let last = test.exchanges()[3].id;
    test.end_exchange(last, ExchangeResult::Answered(answer(200)));
    let timing = |wanted: u64| {
        test.actions.iter().find_map(|action| match action {
            Action::SendOnLink {
                message: LinkMessage::Response(response),
                ..
            } if response.sequence == Sequence(wanted) => Some(response.timing),
            _ => None,
        })
    };
    let expected = |queued_micros, back_end_micros| Timing {
        queued_micros,
        back_end_micros,
    };
    expect_that!(timing(1), some(eq(expected(0, 20_000))));
    expect_that!(timing(4), some(eq(expected(20_000, 30_000))));
}

/// Length of a body of which only a few may wait.
const LONG_BODY_BYTES: usize = 1_000_000;
/// Maximum sum of the bodies of queued requests.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

#[gtest]
fn queue_holds_few_requests_with_long_bodies() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let bodies = |test: &mut TestNode, first: u64| {
        for sequence in first..first + 20 {
            let mut request = forwarded_request(&format!("r{sequence}"), true);
            request.body = vec![0; LONG_BODY_BYTES];
            request.queue_limit_micros = 700_000;
            test.forward(link, sequence, request);
        }
        let started = test.exchanges().len();
        20 - started - test.results().len()
    };
    let queued = bodies(&mut test, 1);
    expect_that!(queued, gt(0));
    expect_that!(queued * LONG_BODY_BYTES, le(MAX_QUEUED_BYTES));
    // What has left the queue makes room.
    test.advance(1_500);
    test.actions.clear();
    expect_that!(bodies(&mut test, 100), gt(0));
}
