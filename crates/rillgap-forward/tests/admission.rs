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
    DEEP_SERVICE, OTHER_SERVICE, SERVICE, TestNode, answer, caller_request, forwarded, serving,
};

/// Priority of the routes of the test configuration.
const PRIORITY: u8 = 1;
/// Returns the level that admits this percentage of the requests on the test configuration's
/// routes.
fn admitting(percent: u32) -> Level {
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
        let turn = test.now * 1_000 + number;
        let sent = test.sent().len();
        test.request(turn, caller_request(&format!("{target}{turn}"), target));
        if test.sent().len() > sent {
            admitted += 1;
            test.respond_with(
                load(own),
                deep.to_vec(),
                ForwardResult::Answered(answer(status)),
            );
        }
        test.pass(2);
    }
    admitted
}

#[gtest]
fn what_a_service_further_down_would_shed_is_refused_before_it_begins() {
    let mut test = entry();
    let half = involved(admitting(50));
    admitted(&mut test, 200, "/safe/1", Level(0), &half);
    test.actions.clear();
    let let_in = admitted(&mut test, 400, "/safe/1", Level(0), &half);
    expect_that!(let_in, all!(gt(150), lt(250)));
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
fn services_of_a_route_are_learned_while_every_chain_fails() {
    let mut test = entry();
    let half = involved(admitting(50));
    let let_in = admitted_with_status(&mut test, 400, "/safe/1", (Level(0), &half), 500);
    expect_that!(let_in, lt(250));
}

#[gtest]
fn chains_that_fail_early_do_not_hide_what_a_route_involves() {
    let mut test = entry();
    let half = involved(admitting(50));
    admitted(&mut test, 200, "/safe/1", Level(0), &half);
    admitted_with_status(&mut test, 400, "/safe/1", (Level(0), &[]), 500);
    let let_in = admitted(&mut test, 400, "/safe/1", Level(0), &half);
    expect_that!(let_in, lt(250));
}

#[gtest]
fn route_that_does_not_involve_the_service_is_let_in_whole() {
    let mut test = entry();
    admitted(&mut test, 200, "/safe/1", Level(0), &involved(admitting(0)));
    let other = admitted(&mut test, 100, "/once/1", Level(0), &[]);
    expect_that!(other, eq(100));
}

#[gtest]
fn more_important_requests_are_let_in_whole() {
    let mut test = entry();
    let below = Level::tier_floor(level_of(PRIORITY, "any").tier());
    let let_in = admitted(&mut test, 200, "/safe/1", below, &[]);
    expect_that!(let_in, eq(200));
}

#[gtest]
fn level_that_nobody_reports_any_more_is_forgotten() {
    let mut test = entry();
    admitted(&mut test, 200, "/safe/1", Level(0), &involved(admitting(0)));
    test.actions.clear();
    expect_that!(admitted(&mut test, 1, "/safe/1", Level(0), &[]), eq(0));
    test.pass(2_500);
    expect_that!(admitted(&mut test, 1, "/safe/1", Level(0), &[]), eq(1));
}

fn tell(test: &mut TestNode, link: LinkId, status: Status) {
    let message = LinkMessage::Status(status);
    test.event(Event::Link { link, message });
}

#[gtest]
fn only_levels_that_were_published_by_the_service_are_passed_on() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let deep = test.connect("peer-deep", 7, DEEP_SERVICE);
    // The service publishes a low level; the levels relayed by other nodes are higher.
    let published = admitting(80);
    test.connect("peer-a", 2, OTHER_SERVICE);
    tell(
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
        test.respond_with(load(Level(0)), involved(admitting(10)), answered);
    }
    test.forward(link, 1, forwarded("parent", true));
    let parent = test.exchanges().last().expect("the parent").id;
    test.request(1_000, caller_request("parent.1", "/deep/1"));
    let answered = ForwardResult::Answered(answer(200));
    test.respond_with(load(published), Vec::new(), answered);
    test.end_exchange(parent, ExchangeResult::Answered(answer(200)));
    let told = test.involved().pop().expect("levels of the answer");
    expect_that!(told.service.as_str(), eq(DEEP_SERVICE));
    expect_that!(told.level, eq(published));
}

#[gtest]
fn change_of_what_is_let_in_is_told_to_the_log() {
    let mut test = entry();
    admitted(
        &mut test,
        300,
        "/safe/1",
        Level(0),
        &involved(admitting(30)),
    );
    let told = test.notes().into_iter().rev().find_map(|note| match note {
        LogRecord::Admission {
            service,
            priority,
            admitted_percent,
        } => Some((service, priority, admitted_percent)),
        _ => None,
    });
    let (service, priority, percent) = told.expect("a record of the change");
    expect_that!(service.as_str(), eq(DEEP_SERVICE));
    expect_that!(priority, eq(PRIORITY));
    expect_that!(percent, all!(ge(25), le(45)));
}

#[gtest]
fn queue_of_less_important_requests_does_not_count_for_a_more_important_one() {
    let mut test = TestNode::configured("logbok");
    let busy = test.connect("peer-busy", 2, SERVICE);
    let calm = test.connect("peer-calm", 3, SERVICE);
    let tier = |priority| usize::from(level_of(priority, "any").tier());
    let mut of_less_important = serving(SERVICE);
    of_less_important.load.running = 2;
    of_less_important.load.queued[tier(5)] = 50;
    let mut of_more_important = serving(SERVICE);
    of_more_important.load.running = 4;
    of_more_important.load.queued[tier(0)] = 5;
    tell(&mut test, busy, of_less_important);
    tell(&mut test, calm, of_more_important);
    test.actions.clear();
    test.request(1, caller_request("a", "/safe/1"));
    expect_that!(test.sent()[0].0, eq(busy));
}
