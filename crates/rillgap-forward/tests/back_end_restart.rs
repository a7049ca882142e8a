//! Tests of back ends that restart under the same identifier.

mod support;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_forward::event::{AnnouncedState, Event, ExchangeResult, Heartbeat, ProbeResult};
use rillgap_forward::id::AnnouncementId;
use rillgap_forward::incarnation::Incarnation;
use rillgap_forward::message::ForwardResult;
use support::{INSTANCE, TestNode, answer, code_of, forwarded_request, heartbeat};

const FIRST_START_MILLIS: u64 = 1_000;
const SECOND_START_MILLIS: u64 = 2_000;

fn run_heartbeat(started_at: u64, sequence: u64, state: AnnouncedState) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation {
            id: INSTANCE.to_owned(),
            started_at_millis: Some(started_at),
        },
        ..heartbeat(INSTANCE, sequence, state)
    }
}

/// Returns a node whose back end was started at [`FIRST_START_MILLIS`], is serving and has sent
/// heartbeat 90.
fn serving() -> TestNode {
    let mut test = TestNode::configured(support::SERVICE);
    test.announce(run_heartbeat(FIRST_START_MILLIS, 90, AnnouncedState::Ready));
    test.confirm(INSTANCE);
    test.actions.clear();
    test
}

fn is_serving(test: &TestNode) -> bool {
    test.node.inbound().is_serving()
}

#[gtest]
fn later_incarnation_is_confirmed_although_its_heartbeat_sequence_starts_again() {
    let mut test = serving();
    test.announce(run_heartbeat(SECOND_START_MILLIS, 1, AnnouncedState::Ready));
    expect_that!(is_serving(&test), eq(false));
    test.confirm(INSTANCE);
    expect_that!(is_serving(&test), eq(true));
}

#[gtest]
fn departure_of_an_earlier_incarnation_does_not_apply_to_the_later_one() {
    let mut test = serving();
    test.announce(run_heartbeat(
        FIRST_START_MILLIS,
        91,
        AnnouncedState::Draining,
    ));
    expect_that!(is_serving(&test), eq(false));
    test.announce(run_heartbeat(SECOND_START_MILLIS, 1, AnnouncedState::Ready));
    test.confirm(INSTANCE);
    expect_that!(is_serving(&test), eq(true));
}

#[gtest]
fn late_heartbeats_of_the_earlier_incarnation_change_nothing() {
    let mut test = serving();
    test.announce(run_heartbeat(SECOND_START_MILLIS, 1, AnnouncedState::Ready));
    test.confirm(INSTANCE);
    test.announce(run_heartbeat(
        FIRST_START_MILLIS,
        95,
        AnnouncedState::Draining,
    ));
    expect_that!(is_serving(&test), eq(true));
    test.announce(run_heartbeat(FIRST_START_MILLIS, 96, AnnouncedState::Ready));
    expect_that!(is_serving(&test), eq(true));
    // A heartbeat without a start time comes from another writer, or is even older.
    test.announce(heartbeat(INSTANCE, 97, AnnouncedState::Draining));
    expect_that!(is_serving(&test), eq(true));
}

#[gtest]
fn departure_without_a_start_time_applies_to_the_known_incarnation() {
    let mut test = serving();
    test.leave(INSTANCE);
    expect_that!(is_serving(&test), eq(false));
    test.announce(run_heartbeat(FIRST_START_MILLIS, 98, AnnouncedState::Ready));
    expect_that!(test.probe(), none());
}

#[gtest]
fn late_departure_of_the_earlier_incarnation_is_ignored() {
    let mut test = serving();
    test.announce(run_heartbeat(SECOND_START_MILLIS, 1, AnnouncedState::Ready));
    test.confirm(INSTANCE);
    test.event(Event::BackEndLeft {
        announcement: AnnouncementId(0),
        incarnation: run_heartbeat(FIRST_START_MILLIS, 1, AnnouncedState::Ready).incarnation,
    });
    expect_that!(is_serving(&test), eq(true));
}

#[gtest]
fn request_of_the_earlier_incarnation_is_unknown_at_once_and_never_not_run() {
    let mut test = serving();
    let link = test.accept(500);
    test.forward(link, 1, forwarded_request("r1", false));
    let exchange = test.exchanges()[0].id;
    test.announce(run_heartbeat(SECOND_START_MILLIS, 1, AnnouncedState::Ready));
    expect_that!(test.has_cancelled(exchange), eq(true));
    test.confirm(INSTANCE);
    let results = test.results();
    expect_that!(results.len(), eq(1));
    expect_that!(
        results[0].1,
        matches_pattern!(ForwardResult::Unknown { .. })
    );
}

#[gtest]
fn each_incarnation_that_ends_with_a_request_in_flight_is_a_separate_crash() {
    let mut test = serving();
    let link = test.accept(500);
    for run in 1..=3 {
        test.forward(link, run, forwarded_request(&format!("r{run}"), true));
        test.advance(300);
        test.announce(run_heartbeat(
            FIRST_START_MILLIS + run,
            1,
            AnnouncedState::Ready,
        ));
        test.confirm(INSTANCE);
    }
    test.forward(link, 4, forwarded_request("r4", true));
    let (_, last) = test.results().pop().expect("an answer");
    expect_that!(code_of(&last), some(eq(ResultCode::Quarantined)));
}

/// Runs a request that the back end answers after `millis`.
fn answer_after(test: &mut TestNode, sequence: u64, millis: u64) {
    let link = test.accept(500 + sequence);
    test.forward(
        link,
        sequence,
        forwarded_request(&format!("r{sequence}"), true),
    );
    let exchange = test.exchanges().pop().expect("a running request").id;
    test.advance(millis);
    test.end_exchange(exchange, ExchangeResult::Answered(answer(200)));
}

#[gtest]
fn first_answer_of_an_incarnation_replaces_earlier_measurements() {
    let mut test = serving();
    answer_after(&mut test, 1, 300);
    expect_that!(test.node.inbound().load().mean_micros, eq(300_000));
    test.announce(run_heartbeat(SECOND_START_MILLIS, 1, AnnouncedState::Ready));
    test.confirm(INSTANCE);
    answer_after(&mut test, 2, 20);
    expect_that!(test.node.inbound().load().mean_micros, eq(20_000));
}

#[gtest]
fn probe_that_names_the_identifier_of_a_departed_incarnation_confirms_nothing() {
    let mut test = serving();
    test.announce(run_heartbeat(
        FIRST_START_MILLIS,
        91,
        AnnouncedState::Draining,
    ));
    let probe = test.probe();
    if let Some(probe) = probe {
        let instance = INSTANCE.to_owned();
        test.end_probe(probe, ProbeResult::Healthy { instance });
    }
    expect_that!(is_serving(&test), eq(false));
}
