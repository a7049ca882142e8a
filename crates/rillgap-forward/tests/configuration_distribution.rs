//! Tests of the distribution of configurations over links: a node that is offered a newer version
//! obtains it.

mod support;

use googletest::prelude::*;
use rillgap_forward::action::Action;
use rillgap_forward::event::Event;
use rillgap_forward::freshness::QueryNumber;
use rillgap_forward::id::LinkId;
use rillgap_forward::message::{FreshnessAnswer, LinkMessage};
use rillgap_forward::store_epoch::StoreEpoch;
use support::{SERVICE, TestNode, configuration, hello, serving};

/// Version that the peers have; the node under test has version 1.
const NEWER: u64 = 7;

/// Lets a peer that has the newer version open a link to the node.
fn accept(test: &mut TestNode, name: &str, link: u64) -> LinkId {
    let id = LinkId(link);
    let hello = hello(name, link as u8, serving(SERVICE), NEWER);
    test.event(Event::LinkAccepted { link: id, hello });
    id
}

/// Returns the links on which the node has queried for a configuration, in order.
fn queried_links(test: &TestNode) -> Vec<LinkId> {
    let query = |action: &Action| match action {
        Action::SendOnLink {
            link,
            message: LinkMessage::ConfigurationQuery(1),
        } => Some(*link),
        _ => None,
    };
    test.actions.iter().filter_map(query).collect()
}

/// A node whose process was paused accepts connections that its peers have closed meanwhile, and
/// reads their end only later; the peers' next connections queue behind them.
#[gtest]
fn newer_version_is_queried_on_a_working_link_after_others_have_ended() {
    let mut test = TestNode::configured("logbok");
    for number in [50, 51, 52] {
        let closed = accept(&mut test, "peer-a", number);
        test.event(Event::LinkClosed(closed));
    }
    let closed = accept(&mut test, "peer-b", 60);
    let working = accept(&mut test, "peer-c", 70);
    test.event(Event::LinkClosed(closed));
    test.advance(1_000);
    expect_that!(queried_links(&test), contains(eq(&working)));
}

/// Lets time pass without answers, and returns the links on which the node has sent queries.
fn queried_links_within(test: &mut TestNode, millis: u64) -> Vec<LinkId> {
    test.actions.clear();
    test.advance(millis);
    queried_links(test)
}

#[gtest]
fn query_goes_to_another_peer_at_once_when_its_link_ends() {
    let mut test = TestNode::configured("logbok");
    let first = accept(&mut test, "peer-a", 50);
    let second = accept(&mut test, "peer-b", 51);
    test.actions.clear();
    test.event(Event::LinkClosed(first));
    expect_that!(queried_links(&test), elements_are![eq(&second)]);
}

#[gtest]
fn unanswered_queries_rotate_over_the_peers_until_the_version_is_in_force() {
    let mut test = TestNode::configured("logbok");
    let links = [50, 51, 52].map(|link| accept(&mut test, &format!("peer-{link}"), link));
    test.advance(3_000);
    let all = queried_links(&test);
    expect_that!(all.len(), le(6));
    for link in links {
        expect_that!(all, contains(eq(&link)));
    }
    let configuration = configuration(NEWER).into();
    let message = LinkMessage::Configuration(configuration);
    test.event(Event::Link {
        link: links[2],
        message,
    });
    expect_that!(queried_links_within(&mut test, 3_000), is_empty());
}

#[gtest]
fn peer_with_the_latest_message_is_queried_first() {
    let mut test = TestNode::configured("logbok");
    let links = [50, 51, 52].map(|link| accept(&mut test, &format!("peer-{link}"), link));
    test.advance(100);
    let message = LinkMessage::Pong;
    let link = links[1];
    test.event(Event::Link { link, message });
    expect_that!(
        queried_links_within(&mut test, 300),
        elements_are![eq(&link)]
    );
}

#[gtest]
fn freshness_answer_with_a_newer_version_triggers_a_query() {
    let mut test = TestNode::configured("logbok");
    let link = LinkId(50);
    let hello = hello("peer-a", 50, serving(SERVICE), 1);
    test.event(Event::LinkAccepted { link, hello });
    test.actions.clear();
    let answer = FreshnessAnswer {
        epoch: StoreEpoch::default(),
        number: QueryNumber(1),
        version: NEWER,
        age_micros: 0,
    };
    test.event(Event::Link {
        link,
        message: LinkMessage::FreshnessAnswer(answer),
    });
    expect_that!(queried_links(&test), elements_are![eq(&link)]);
}
