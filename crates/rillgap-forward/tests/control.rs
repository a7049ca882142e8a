//! Tests of the configuration, the store, peers and planned stops.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rillgap_forward::action::Action;
use rillgap_forward::event::{AnnouncedState, Event, ExchangeResult};
use rillgap_forward::message::{ForwardResult, LinkMessage};
use rillgap_forward::store_epoch::{StoreEpoch, StorePosition};
use rillgap_forward::store_sync::{
    ListExtent, NodeList, StoreReply, StoreRequest, StoreRequestId, StoreSync,
};
use support::{
    INSTANCE, SERVICE, STORE_WRITES_PER_SECOND, TestNode, address, answer, at, configuration,
    forwarded_request, settings, store_failure,
};

const WATCH_WAIT: Duration = Duration::from_secs(1);

fn store() -> StoreSync {
    StoreSync::new(
        at(0),
        settings("own", SERVICE).record,
        1,
        false,
        STORE_WRITES_PER_SECOND,
    )
}

fn requests(calls: &[(StoreRequestId, StoreRequest)]) -> Vec<StoreRequest> {
    calls.iter().map(|(_, request)| request.clone()).collect()
}

#[gtest]
fn node_registers_before_it_lists_the_others() {
    let mut store = store();
    let first = store.poll(at(0));
    expect_that!(
        requests(&first),
        elements_are![matches_pattern!(StoreRequest::Register(_))]
    );
    expect_that!(store.poll(at(1)), is_empty());
    let reply = StoreReply::Registered {
        epoch: StoreEpoch::default(),
        is_new: false,
    };
    store.on_reply(at(2), first[0].0, reply);
    let second = store.poll(at(2));
    expect_that!(
        requests(&second),
        elements_are![matches_pattern!(StoreRequest::ListNodes { .. })]
    );
}

#[gtest]
fn full_list_request_replaces_a_pending_partial_list() {
    let own = settings("own", SERVICE).record;
    let part = StoreReply::Nodes {
        epoch: StoreEpoch::default(),
        list: NodeList {
            lowest: vec![own.clone()],
            successors: Some(vec![own]),
            unreadable: 0,
        },
    };
    for is_in_flight in [false, true] {
        let mut store = store();
        let register = store.poll(at(0))[0].0;
        let reply = StoreReply::Registered {
            epoch: StoreEpoch::default(),
            is_new: false,
        };
        store.on_reply(at(2), register, reply);
        if is_in_flight {
            let list = store.poll(at(2))[0].0;
            store.request_full_list(at(3));
            store.on_reply(at(4), list, part.clone());
            expect_that!(store.has_listed(), eq(false));
        } else {
            store.request_full_list(at(2));
        }
        let full = store.poll(at(600)).pop().map(|(_, request)| request);
        let is_full = matches!(
            full,
            Some(StoreRequest::ListNodes {
                extent: ListExtent::Whole,
                ..
            })
        );
        expect_that!(is_full, eq(true), "in flight: {is_in_flight}");
    }
}

#[gtest]
fn watch_resumes_from_its_position_and_rereads_when_that_has_expired() {
    let mut store = store();
    store.set_watch(at(0), Some(WATCH_WAIT));
    let read = store.poll(at(0))[0].0;
    let reply = StoreReply::Configuration {
        position: StorePosition::new(StoreEpoch::default(), 40),
        configuration: Some(configuration(3)),
    };
    expect_that!(store.on_reply(at(1), read, reply), some(anything()));
    let watch = store.poll(at(1));
    let expected = StoreRequest::WatchConfiguration {
        after: StorePosition::new(StoreEpoch::default(), 40),
        wait: WATCH_WAIT,
    };
    expect_that!(requests(&watch), elements_are![eq(&expected)]);
    store.on_reply(at(2), watch[0].0, store_failure("cut"));
    expect_that!(store.poll(at(2)), is_empty());
    let again = store.poll(at(500));
    expect_that!(requests(&again), elements_are![eq(&expected)]);
    store.on_reply(
        at(501),
        again[0].0,
        StoreReply::PositionExpired(StoreEpoch::default()),
    );
    let read = store.poll(at(501));
    let expected = StoreRequest::ReadConfiguration;
    expect_that!(requests(&read), elements_are![eq(&expected)]);
}

#[gtest]
fn calls_to_a_failing_store_back_off() {
    let mut store = store();
    let mut calls = 0;
    for now in 0..10_000 {
        for (id, _) in store.poll(at(now)) {
            calls += 1;
            store.on_reply(at(now), id, store_failure("down"));
        }
    }
    // Two chains of calls, each at most one call a second once the backoff has reached its maximum.
    expect_that!(calls, all!(ge(16), le(30)));
}

#[gtest]
fn older_configuration_is_never_put_in_force() {
    let mut test = TestNode::configured(SERVICE);
    let link = test.accept(50);
    let older = std::sync::Arc::new(configuration(0));
    test.event(Event::Link {
        link,
        message: LinkMessage::Configuration(older),
    });
    expect_that!(test.node.configuration_version(), eq(1));
    let newer = std::sync::Arc::new(configuration(9));
    test.event(Event::Link {
        link,
        message: LinkMessage::Configuration(newer),
    });
    expect_that!(test.node.configuration_version(), eq(9));
}

#[gtest]
fn node_without_store_contact_obtains_the_configuration_from_a_peer() {
    let mut test = TestNode::unconfigured("logbok");
    // The node's own read of the configuration is in flight.
    test.advance(3_100);
    let link = test.accept(50);
    test.event(Event::Link {
        link,
        message: LinkMessage::ConfigurationOffer(7),
    });
    let is_queried = |test: &TestNode| {
        test.actions.iter().any(|action| {
            matches!(
                action,
                Action::SendOnLink {
                    message: LinkMessage::ConfigurationQuery(0),
                    ..
                }
            )
        })
    };
    expect_that!(is_queried(&test), eq(false));
    test.advance(201);
    expect_that!(is_queried(&test), eq(true));
}

#[gtest]
fn lost_link_is_reopened() {
    let mut test = TestNode::configured("logbok");
    let link = test.connect("peer-a", 2, SERVICE);
    test.event(Event::LinkClosed(link));
    test.actions.clear();
    test.advance(1_500);
    let opened = test
        .actions
        .iter()
        .any(|action| matches!(action, Action::OpenLink { address: to, .. } if *to == address(2)));
    expect_that!(opened, eq(true));
}

#[gtest]
fn paused_process_reads_pending_messages_before_it_times_out_peers() {
    let mut test = TestNode::configured("logbok");
    test.connect("peer-a", 2, SERVICE);
    test.actions.clear();
    // The process is paused for eight seconds.
    test.now += 8_000;
    test.event(Event::Wake);
    let closed = |test: &TestNode| {
        let is_close = |action: &Action| matches!(action, Action::CloseLink(_));
        test.actions.iter().any(is_close)
    };
    expect_that!(closed(&test), eq(false));
    test.advance(700);
    expect_that!(closed(&test), eq(true));
}

#[gtest]
fn planned_stop_waits_for_requests_in_flight() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let mut slow = forwarded_request("a", false);
    slow.remaining_micros = 10_000_000;
    test.forward(link, 1, slow);
    test.event(Event::Stop);
    test.advance(4_000);
    expect_that!(ends_connections(&test), eq(false));
    let exchange = test.exchanges()[0].id;
    test.end_exchange(exchange, ExchangeResult::Answered(answer(200)));
    expect_that!(test.results().len(), eq(1));
    expect_that!(ends_connections(&test), eq(true));
    expect_that!(exits(&test), eq(false));
    test.advance(500);
    expect_that!(exits(&test), eq(false));
    test.event(Event::ConnectionsEnded);
    expect_that!(exits(&test), eq(true));
}

/// Returns whether the node has asked for the end of its connections.
fn ends_connections(test: &TestNode) -> bool {
    let is_end = |action: &Action| matches!(action, Action::EndConnections);
    test.actions.iter().any(is_end)
}

/// Returns whether the node exits.
fn exits(test: &TestNode) -> bool {
    let is_exit = |action: &Action| matches!(action, Action::Exit);
    test.actions.iter().any(is_exit)
}

#[gtest]
fn planned_stop_ends_within_the_grace_period_although_connections_stay_open() {
    let mut test = TestNode::configured("logbok");
    test.event(Event::Stop);
    test.advance(5_000);
    expect_that!(ends_connections(&test), eq(true));
    expect_that!(exits(&test), eq(false));
    test.advance(900);
    expect_that!(exits(&test), eq(true));
}

#[gtest]
fn planned_stop_ends_within_the_grace_period() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let mut endless = forwarded_request("a", false);
    endless.remaining_micros = 60_000_000;
    test.forward(link, 1, endless);
    test.event(Event::Stop);
    test.advance(5_900);
    expect_that!(exits(&test), eq(true));
}

#[gtest]
fn stopping_node_rejects_callers_after_the_notice_period_but_finishes_running_chains() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let peer = test.connect("peer-a", 2, SERVICE);
    let mut running = forwarded_request("parent", false);
    running.remaining_micros = 5_000_000;
    test.forward(link, 1, running);
    test.event(Event::Stop);
    test.advance(2_000);
    test.request(0, support::caller_request("early", "/safe/1"));
    test.respond(ForwardResult::Answered(answer(200)));
    expect_that!(test.statuses(), elements_are![eq(&200)]);
    test.advance(600);
    test.actions.clear();
    // A request accepted now might still be in flight when the grace period ends.
    test.request(1, support::caller_request("late", "/safe/1"));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(test.answers()[0].close, eq(true));
    test.actions.clear();
    test.request(2, support::caller_request("parent.call", "/safe/1"));
    expect_that!(test.statuses(), is_empty());
    expect_that!(test.sent()[0].0, eq(peer));
}

#[gtest]
fn node_record_is_removed_only_if_the_back_end_has_left() {
    for has_left in [false, true] {
        let mut test = TestNode::serving();
        if has_left {
            test.heartbeat(9, AnnouncedState::Draining);
            test.leave(INSTANCE);
        }
        test.event(Event::Stop);
        test.advance(10);
        let removed = test.actions.iter().any(|action| {
            matches!(
                action,
                Action::CallStore {
                    request: StoreRequest::Unregister { .. },
                    ..
                }
            )
        });
        expect_that!(removed, eq(has_left));
    }
}

#[gtest]
fn request_that_arrives_after_the_decision_to_exit_is_rejected() {
    let mut test = TestNode::configured("logbok");
    test.connect("peer-a", 2, SERVICE);
    test.event(Event::Stop);
    test.advance(2_600);
    expect_that!(ends_connections(&test), eq(true));
    test.actions.clear();
    test.request(0, support::caller_request("a", "/safe/1"));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(test.answers()[0].close, eq(true));
    expect_that!(test.sent(), is_empty());
}
