//! Tests of the load that a back end states, and of queued requests that are given back when it has
//! become slow.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_forward::back_end_notice::{BackEndNotice, LoadNotice, StatedLoad};
use rillgap_forward::event::{Event, ExchangeResult};
use rillgap_forward::id::LinkId;
use rillgap_forward::log_record::LogRecord;
use support::{INSTANCE, TestNode, answer, code_of, forwarded_request};

/// Usual service time of the back end, in milliseconds.
const USUAL_MILLIS: u64 = 20;
/// Time after which nothing measured counts any more, in milliseconds.
const IDLE_MILLIS: u64 = 2_000;
/// Time for which queued requests may wait, in milliseconds.
const QUEUE_LIMIT_MILLIS: u64 = 100;

/// Returns a node whose back end has answered some requests in the usual time, and a link to it.
fn node_with_samples() -> (TestNode, LinkId) {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    for sequence in 0..30 {
        exchange_after(&mut test, link, sequence, USUAL_MILLIS, LoadNotice::Absent);
    }
    test.actions.clear();
    (test, link)
}

/// Sends a request to the back end, which answers it after some time with a notice on its load.
fn exchange_after(test: &mut TestNode, link: LinkId, sequence: u64, millis: u64, load: LoadNotice) {
    test.forward(
        link,
        sequence,
        forwarded_request(&format!("r{sequence}"), true),
    );
    test.advance(millis);
    let exchange = test.exchanges().pop().expect("a running request").id;
    let notice = BackEndNotice {
        load,
        ..BackEndNotice::default()
    };
    test.event(Event::BackEndNotice { exchange, notice });
    test.end_exchange(exchange, ExchangeResult::Answered(answer(200)));
}

fn stated(slowdown_percent: Option<u32>) -> LoadNotice {
    LoadNotice::Stated(StatedLoad {
        running: 1,
        waiting: 0,
        slots: 1_000,
        slowdown_percent,
    })
}

fn on_health(test: &mut TestNode, instance: &str, notice: LoadNotice) {
    let instance = instance.to_owned();
    test.event(Event::HealthNotice { instance, notice });
    test.advance(60);
    test.event(Event::Wake);
}

fn in_force(test: &TestNode) -> f64 {
    test.node.inbound().slowdown().in_force
}

#[gtest]
fn statement_counts_alone_for_one_second_where_nothing_was_measured() {
    let (mut test, _) = node_with_samples();
    test.advance(IDLE_MILLIS);
    on_health(&mut test, INSTANCE, stated(Some(250)));
    expect_that!(in_force(&test), approx_eq(2.5));
    expect_that!(test.node.inbound().load().mean_micros, eq(50_000));
    test.advance(1_100);
    expect_that!(in_force(&test), all!(gt(0.99), lt(1.01)));
}

#[gtest]
fn statement_in_an_answer_moves_what_is_measured_by_at_most_two() {
    for (percent, expected) in [(1, 0.5), (100, 1.0), (100_000, 2.0)] {
        let (mut test, link) = node_with_samples();
        exchange_after(&mut test, link, 100, USUAL_MILLIS, stated(Some(percent)));
        let measured = test.node.inbound().slowdown().measured;
        let moved = in_force(&test) / measured;
        expect_that!(moved, all!(gt(expected - 0.05), lt(expected + 0.05)));
    }
}

#[gtest]
fn statement_that_cannot_be_read_or_has_no_slowdown_changes_nothing() {
    for notice in [LoadNotice::Absent, LoadNotice::Unreadable, stated(None)] {
        let (mut test, _) = node_with_samples();
        test.advance(IDLE_MILLIS);
        on_health(&mut test, INSTANCE, notice);
        expect_that!(in_force(&test), all!(gt(0.99), lt(1.01)));
        expect_that!(test.node.inbound().slowdown().stated, none());
    }
}

#[gtest]
fn statement_of_another_incarnation_changes_nothing() {
    let (mut test, _) = node_with_samples();
    test.advance(IDLE_MILLIS);
    on_health(&mut test, "i-0", stated(Some(800)));
    expect_that!(in_force(&test), all!(gt(0.99), lt(1.01)));
}

#[gtest]
fn stated_slots_never_raise_what_a_back_end_runs() {
    let (mut test, link) = node_with_samples();
    let before = test.node.inbound().load().limit;
    exchange_after(&mut test, link, 100, USUAL_MILLIS, stated(Some(25)));
    for sequence in 200..220 {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("r{sequence}"), true),
        );
    }
    let load = test.node.inbound().load();
    expect_that!(load.limit, eq(before));
    expect_that!(load.running, eq(before));
}

#[gtest]
fn load_that_is_stated_twice_is_not_believed() {
    let once = stated(Some(250));
    expect_that!(LoadNotice::Absent.and(once), eq(once));
    expect_that!(once.and(LoadNotice::Absent), eq(once));
    expect_that!(once.and(once), eq(LoadNotice::Unreadable));
    let unreadable = LoadNotice::Unreadable.and(once);
    expect_that!(unreadable, eq(LoadNotice::Unreadable));
}

/// Returns the results by sequence number, and fails if a request has several.
fn results_by_sequence(test: &TestNode) -> BTreeMap<u64, Option<ResultCode>> {
    let mut results = BTreeMap::new();
    for (sequence, result) in test.results() {
        let before = results.insert(sequence, code_of(&result));
        expect_that!(before, none(), "two results of request {sequence}");
    }
    results
}

#[gtest]
fn queued_requests_are_given_back_once_a_slow_back_end_cannot_start_them_in_time() {
    let (mut test, link) = node_with_samples();
    let count = 12;
    for sequence in 100..100 + count {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("r{sequence}"), true),
        );
    }
    let queued = test.node.inbound().load().total_queued();
    expect_that!(queued, gt(4));
    expect_that!(results_by_sequence(&test).len(), eq(0));
    // The back end ends nothing for a while: the requests that it runs take longer than usual.
    test.advance(QUEUE_LIMIT_MILLIS * 3 / 4);
    let given_back = results_by_sequence(&test);
    expect_that!(given_back.len(), gt(0));
    let total = test.node.inbound().queue_given_back();
    expect_that!(total, eq(given_back.len() as u64));
    for code in given_back.values() {
        expect_that!(*code, some(eq(ResultCode::QueueFull)));
    }
    // Those that can be started in time still wait.
    expect_that!(test.node.inbound().load().total_queued(), gt(0));
    end_all(&mut test);
    let results = results_by_sequence(&test);
    expect_that!(results.len() as u64, eq(count));
    let run: BTreeSet<String> = test
        .exchanges()
        .into_iter()
        .map(|exchange| exchange.request.request_id.clone())
        .collect();
    expect_that!(run.len(), eq(test.exchanges().len()));
    for (sequence, code) in results {
        let has_run = run.contains(&format!("r{sequence}"));
        expect_that!(has_run, eq(code.is_none()), "request {sequence}");
    }
}

/// Ends the running requests and those that are started meanwhile.
fn end_all(test: &mut TestNode) {
    let mut ended = 0;
    while let Some(exchange) = test.exchanges().get(ended) {
        let id = exchange.id;
        test.end_exchange(id, ExchangeResult::Answered(answer(200)));
        ended += 1;
    }
}

#[gtest]
fn queue_of_a_back_end_at_its_usual_speed_is_kept() {
    let (mut test, link) = node_with_samples();
    for sequence in 100..110 {
        test.forward(
            link,
            sequence,
            forwarded_request(&format!("r{sequence}"), true),
        );
    }
    let mut ended = 0;
    for _ in 0..5 {
        test.advance(USUAL_MILLIS);
        let started = test.exchanges();
        for exchange in &started[ended..] {
            test.end_exchange(exchange.id, ExchangeResult::Answered(answer(200)));
        }
        ended = started.len();
    }
    expect_that!(test.node.inbound().queue_given_back(), eq(0));
    expect_that!(results_by_sequence(&test).len(), eq(10));
}

#[gtest]
fn slow_back_end_is_logged_when_it_becomes_slow_and_when_it_has_recovered() {
    let (mut test, _) = node_with_samples();
    test.advance(IDLE_MILLIS);
    test.actions.clear();
    on_health(&mut test, INSTANCE, stated(Some(250)));
    on_health(&mut test, INSTANCE, stated(Some(180)));
    on_health(&mut test, INSTANCE, stated(Some(120)));
    let changes: Vec<(bool, u32)> = test
        .log_records()
        .into_iter()
        .filter_map(|record| match record {
            LogRecord::BackEndSlowdown {
                is_slow, percent, ..
            } => Some((is_slow, percent)),
            _ => None,
        })
        .collect();
    expect_that!(changes, eq(&vec![(true, 250), (false, 120)]));
}
