//! Admission control: an entry node refuses requests that a service further down would shed.

mod support;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_forward::event::{Event, ExchangeResult};
use rillgap_forward::id::LinkId;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::{
    ForwardResult, LinkMessage, Load, ServiceAdmissionLevel, Status, level_of,
};
use support::{
    DEEP_SERVICE, OTHER_SERVICE, SERVICE, TestNode, answer, caller_request, forwarded_request,
    serving,
};

/// Priority of the routes of the test configuration.
const PRIORITY: u8 = 1;
/// Returns the level that admits this percentage of the requests on the test configuration's
/// routes.
fn level_admitting(percent: u32) -> Level {
    let floor = Level::tier_floor(level_of(PRIORITY, "any").tier());
    Level(floor.0 + Level::PER_TIER * (100 - percent) / 100)
}

fn involved(level: Level) -> Vec<ServiceAdmissionLevel> {
    vec![ServiceAdmissionLevel {
        service: DEEP_SERVICE.to_owned(),
        level,
    }]
}

fn load(level: Level) -> Load {
    Load {
        level,
        ..serving(SERVICE).load
    }
}

/// Returns an entry node without a serving back end that has a link to a serving peer.
fn entry() -> TestNode {
    let mut test = TestNode::configured("logbok");
    test.connect("peer-a", 2, SERVICE);
    test.actions.clear();
    test
}

/// Sends `count` requests that are answered with these levels; returns how many were admitted.
fn admitted(
    test: &mut TestNode,
    count: u64,
    target: &str,
    own: Level,
    deep: &[ServiceAdmissionLevel],
) -> u64 {
    admitted_with_status(test, count, target, (own, deep), 200)
}

/// Sends `count` requests that are answered with these levels and this status; returns how many
/// were admitted.
fn admitted_with_status(
    test: &mut TestNode,
    count: u64,
    target: &str,
    (own, deep): (Level, &[ServiceAdmissionLevel]),
    status: u16,
) -> u64 {
    let mut admitted = 0;
    for number in 0..count {
        let index = test.now * 1_000 + number;
        let sent = test.sent().len();
        test.request(index, caller_request(&format!("{target}{index}"), target));
        if test.sent().len() > sent {
            admitted += 1;
            test.respond_with(
                load(own),
                deep.to_vec(),
                ForwardResult::Answered(answer(status)),
            );
        }
        test.advance(2);
    }
    admitted
}

#[gtest]
fn request_that_a_downstream_service_would_shed_is_refused_at_the_entry() {
    let mut test = entry();
    let half = involved(level_admitting(50));
    admitted(&mut test, 200, "/safe/1", Level(0), &half);
    test.actions.clear();
    let admitted_count = admitted(&mut test, 400, "/safe/1", Level(0), &half);
    expect_that!(admitted_count, all!(gt(150), lt(250)));
    let refused = test
        .answers()
        .into_iter()
        .find(|answer| answer.status == 503);
    let fields = refused.expect("a refused request").fields;
    expect_that!(
        String::from_utf8_lossy(&fields).contains("Retry-After: "),
        eq(true)
    );
}

#[gtest]
fn involved_services_are_recorded_while_every_request_fails() {
    let mut test = entry();
    let half = involved(level_admitting(50));
    let admitted_count = admitted_with_status(&mut test, 400, "/safe/1", (Level(0), &half), 500);
    expect_that!(admitted_count, lt(250));
}

#[gtest]
fn requests_that_fail_early_do_not_remove_involved_services() {
    let mut test = entry();
    let half = involved(level_admitting(50));
    admitted(&mut test, 200, "/safe/1", Level(0), &half);
    admitted_with_status(&mut test, 400, "/safe/1", (Level(0), &[]), 500);
    let admitted_count = admitted(&mut test, 400, "/safe/1", Level(0), &half);
    expect_that!(admitted_count, lt(250));
}

#[gtest]
fn route_that_does_not_involve_the_service_is_admitted_entirely() {
    let mut test = entry();
    admitted(
        &mut test,
        200,
        "/safe/1",
        Level(0),
        &involved(level_admitting(0)),
    );
    let other = admitted(&mut test, 100, "/once/1", Level(0), &[]);
    expect_that!(other, eq(100));
}

#[gtest]
fn requests_above_the_level_are_all_admitted() {
    let mut test = entry();
    let below = Level::tier_floor(level_of(PRIORITY, "any").tier());
    let admitted_count = admitted(&mut test, 200, "/safe/1", below, &[]);
    expect_that!(admitted_count, eq(200));
}

#[gtest]
fn level_without_reports_expires() {
    let mut test = entry();
    admitted(
        &mut test,
        200,
        "/safe/1",
        Level(0),
        &involved(level_admitting(0)),
    );
    test.actions.clear();
    expect_that!(admitted(&mut test, 1, "/safe/1", Level(0), &[]), eq(0));
    test.advance(2_500);
    expect_that!(admitted(&mut test, 1, "/safe/1", Level(0), &[]), eq(1));
}

fn send_status(test: &mut TestNode, link: LinkId, status: Status) {
    let message = LinkMessage::Status(status);
    test.event(Event::Link { link, message });
}

#[gtest]
fn only_levels_published_by_the_service_are_relayed() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let deep = test.connect("peer-deep", 7, DEEP_SERVICE);
    // The service publishes a low level; the levels relayed by other nodes are higher.
    let published = level_admitting(80);
    test.connect("peer-a", 2, OTHER_SERVICE);
    send_status(
        &mut test,
        deep,
        Status {
            load: load(published),
            ..serving(DEEP_SERVICE)
        },
    );
    for number in 0..100 {
        test.request(
            number,
            caller_request(&format!("r{number}"), "/settlement/1"),
        );
        let answered = ForwardResult::Answered(answer(200));
        test.respond_with(load(Level(0)), involved(level_admitting(10)), answered);
    }
    test.forward(link, 1, forwarded_request("parent", true));
    let parent = test.exchanges().last().expect("the parent").id;
    test.request(1_000, caller_request("parent.1", "/deep/1"));
    let answered = ForwardResult::Answered(answer(200));
    test.respond_with(load(published), Vec::new(), answered);
    test.end_exchange(parent, ExchangeResult::Answered(answer(200)));
    let relayed = test
        .downstream_levels()
        .pop()
        .expect("levels of the answer");
    expect_that!(relayed.service.as_str(), eq(DEEP_SERVICE));
    expect_that!(relayed.level, eq(published));
}

#[gtest]
fn change_of_admission_is_logged() {
    let mut test = entry();
    admitted(
        &mut test,
        300,
        "/safe/1",
        Level(0),
        &involved(level_admitting(30)),
    );
    let logged = test
        .log_records()
        .into_iter()
        .rev()
        .find_map(|note| match note {
            LogRecord::Admission {
                service,
                priority,
                admitted_percent,
            } => Some((service, priority, admitted_percent)),
            _ => None,
        });
    let (service, priority, percent) = logged.expect("a log record of the change");
    expect_that!(service.as_str(), eq(DEEP_SERVICE));
    expect_that!(priority, eq(PRIORITY));
    expect_that!(percent, all!(ge(25), le(45)));
}

#[gtest]
fn queued_requests_of_lower_priority_do_not_count_for_a_higher_one() {
    let mut test = TestNode::configured("logbok");
    let busy = test.connect("peer-busy", 2, SERVICE);
    let calm = test.connect("peer-calm", 3, SERVICE);
    let tier = |priority| usize::from(level_of(priority, "any").tier());
    let mut lower_priority = serving(SERVICE);
    lower_priority.load.running = 2;
    lower_priority.load.queued[tier(5)] = 50;
    let mut higher_priority = serving(SERVICE);
    higher_priority.load.running = 4;
    higher_priority.load.queued[tier(0)] = 5;
    send_status(&mut test, busy, lower_priority);
    send_status(&mut test, calm, higher_priority);
    test.actions.clear();
    test.request(1, caller_request("a", "/safe/1"));
    expect_that!(test.sent()[0].0, eq(busy));
}
