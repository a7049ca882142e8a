//! Election of the nodes that watch the store for the others.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rillgap_forward::action::Action;
use rillgap_forward::event::Event;
use rillgap_forward::id::LinkId;
use rillgap_forward::message::{Hello, LinkMessage};
use rillgap_forward::store_epoch::{StoreEpoch, StorePosition};
use rillgap_forward::store_sync::{StoreReply, StoreRequest, StoreRequestId, StoreSync};
use rillgap_forward::watcher_election::{PrecedingNodes, WatcherElection, name_hash};
use support::{SERVICE, TestNode, WRITES, at, configuration, failed, hello, serving, settings};

const WAIT: Duration = Duration::from_secs(1);
/// Name of the node under test.
const OWN: &str = "own";

/// Maximum time after its start at which a node that receives no reports watches, in milliseconds.
const STARTED: u64 = 3_000;

fn preceding(fresh_count: usize, known_count: u64) -> PrecedingNodes {
    PrecedingNodes {
        fresh_count,
        has_recent_report: known_count > 0,
        known_count,
    }
}

/// State of a node that has followed nodes with recent contacts, which now cease.
fn duty_without_news() -> WatcherElection {
    let mut duty = WatcherElection::new(OWN);
    duty.update(at(0), preceding(2, 500));
    duty
}

#[gtest]
fn node_that_hears_of_no_watcher_watches_within_its_stagger() {
    let mut duty = WatcherElection::new(OWN);
    let nobody = PrecedingNodes {
        known_count: 500,
        ..PrecedingNodes::default()
    };
    duty.update(at(0), nobody);
    expect_that!(duty.update(at(STARTED), nobody), some(anything()));
}

#[gtest]
fn node_that_follows_two_with_news_does_not_watch() {
    let mut duty = WatcherElection::new(OWN);
    duty.update(at(0), preceding(0, 500));
    expect_that!(duty.update(at(STARTED), preceding(2, 500)), none());
}

#[gtest]
fn first_two_nodes_of_the_order_always_watch() {
    for known in [0, 1] {
        let mut duty = WatcherElection::new(OWN);
        let first = preceding(known as usize, known);
        duty.update(at(0), first);
        expect_that!(duty.update(at(STARTED), first), some(anything()));
    }
}

#[gtest]
fn first_nodes_take_over_at_once_and_more_of_them_the_longer_it_lasts() {
    let takes_over = |known: u64, millis: u64| {
        let mut duty = duty_without_news();
        duty.update(at(0), preceding(0, known));
        duty.update(at(millis), preceding(0, known)).is_some()
    };
    expect_that!(takes_over(2, 300), eq(true));
    expect_that!(takes_over(15, 300), eq(true));
    for millis in [300, 1_000, 2_000, 4_000] {
        let count = (0..2_000)
            .filter(|known| takes_over(*known, millis))
            .count();
        let most = 16 << (millis / 1_000);
        expect_that!(count, all!(ge(16), le(most)), "after {millis} ms");
    }
}

#[gtest]
fn node_that_is_cut_off_from_those_before_it_watches_at_once() {
    let mut duty = duty_without_news();
    let nobody = PrecedingNodes {
        known_count: 1_900,
        ..PrecedingNodes::default()
    };
    duty.update(at(10), nobody);
    expect_that!(duty.update(at(310), nobody), some(anything()));
}

/// Two names of which the first precedes [`OWN`] in the order of watchers.
fn names_before_own() -> Vec<String> {
    let mut names = (0..100).map(|number| format!("peer-{number}"));
    let before = names
        .by_ref()
        .filter(|name| name_hash(name) < name_hash(OWN));
    before.take(2).collect()
}

fn watching_hello(name: &str, last: u8) -> Hello {
    hello(name, last, serving(SERVICE), 1)
}

/// Reports that a followed peer has contact with the store now, or that it has no recent contact.
fn report(test: &mut TestNode, link: LinkId, is_watching: bool) {
    let message = LinkMessage::StoreContact(is_watching.then_some(0));
    test.event(Event::Link { link, message });
}

/// A node with links to two peers that watch and precede it.
fn node_with_watchers() -> (TestNode, Vec<LinkId>) {
    let mut test = TestNode::configured("logbok");
    let mut links = Vec::new();
    for (number, name) in names_before_own().iter().enumerate() {
        let link = LinkId(500 + number as u64);
        let hello = watching_hello(name, 20 + number as u8);
        test.event(Event::LinkAccepted { link, hello });
        report(&mut test, link, true);
        links.push(link);
    }
    test.actions.clear();
    (test, links)
}

fn has_watched(test: &TestNode) -> bool {
    test.actions.iter().any(|action| {
        matches!(
            action,
            Action::CallStore {
                request: StoreRequest::WatchConfiguration { .. },
                ..
            }
        )
    })
}

/// Advances the time while the watchers report.
fn pass_with_reports(test: &mut TestNode, links: &[LinkId], millis: u64) {
    for _ in 0..millis / 500 {
        test.pass(500);
        for link in links {
            report(test, *link, true);
        }
    }
}

#[gtest]
fn node_does_not_call_the_store_while_others_watch_for_it() {
    let (mut test, links) = node_with_watchers();
    pass_with_reports(&mut test, &links, 10_000);
    expect_that!(has_watched(&test), eq(false));
}

#[gtest]
fn node_takes_over_at_once_when_a_watcher_says_that_it_lost_the_store() {
    let (mut test, links) = node_with_watchers();
    pass_with_reports(&mut test, &links, 3_000);
    report(&mut test, links[0], false);
    test.pass(450);
    expect_that!(has_watched(&test), eq(true));
}

#[gtest]
fn node_takes_over_when_the_watchers_fall_silent() {
    let (mut test, links) = node_with_watchers();
    pass_with_reports(&mut test, &links, 3_000);
    test.pass(2_100);
    expect_that!(has_watched(&test), eq(true));
}

#[gtest]
fn newer_version_is_asked_for_at_once_by_a_node_that_does_not_watch() {
    let (mut test, links) = node_with_watchers();
    test.event(Event::Link {
        link: links[0],
        message: LinkMessage::ConfigurationOffer(7),
    });
    let query = |action: &Action| {
        matches!(
            action,
            Action::SendOnLink {
                message: LinkMessage::ConfigurationQuery(1),
                ..
            }
        )
    };
    expect_that!(test.actions.iter().filter(|a| query(a)).count(), eq(1));
    // The second offer of the same version does not lead to a second transfer at once.
    test.event(Event::Link {
        link: links[1],
        message: LinkMessage::ConfigurationOffer(7),
    });
    expect_that!(test.actions.iter().filter(|a| query(a)).count(), eq(1));
    test.pass(350);
    expect_that!(test.actions.iter().filter(|a| query(a)).count(), eq(2));
}

/// A store client with a watch in flight, and the request of this watch.
fn watching_store() -> (StoreSync, StoreRequestId) {
    let mut store = StoreSync::new(at(0), settings(OWN, SERVICE).record, false, WRITES);
    store.set_watch(at(0), Some(WAIT));
    let read = store.poll(at(0))[0].0;
    let reply = StoreReply::Configuration {
        position: StorePosition::new(StoreEpoch::default(), 40),
        configuration: Some(configuration(3)),
    };
    store.on_reply(at(1), read, reply);
    let watch = store.poll(at(1))[0].0;
    (store, watch)
}

#[gtest]
fn watch_that_is_not_answered_in_time_does_not_count() {
    let (store, _) = watching_store();
    expect_that!(store.is_watching(at(1_500)), eq(true));
    expect_that!(store.is_watching(at(1_700)), eq(false));
}

#[gtest]
fn watch_that_fails_does_not_count_until_the_store_answers_again() {
    let (mut store, watch) = watching_store();
    store.on_reply(at(100), watch, failed("refused"));
    expect_that!(store.is_watching(at(101)), eq(false));
    let again = store.poll(at(300))[0].0;
    let reply = StoreReply::Configuration {
        position: StorePosition::new(StoreEpoch::default(), 41),
        configuration: None,
    };
    store.on_reply(at(310), again, reply);
    expect_that!(store.is_watching(at(311)), eq(true));
}

#[gtest]
fn watch_ends_with_its_call_and_goes_on_from_its_position() {
    let (mut store, watch) = watching_store();
    store.set_watch(at(10), None);
    expect_that!(store.is_watching(at(11)), eq(false));
    let nothing_new = StoreReply::Configuration {
        position: StorePosition::new(StoreEpoch::default(), 44),
        configuration: None,
    };
    store.on_reply(at(900), watch, nothing_new);
    expect_that!(store.poll(at(5_000)), is_empty());
    store.set_watch(at(6_000), Some(WAIT));
    let expected = StoreRequest::WatchConfiguration {
        after: StorePosition::new(StoreEpoch::default(), 44),
        wait: WAIT,
    };
    expect_that!(store.poll(at(6_000))[0].1, eq(&expected));
}

#[gtest]
fn failed_watch_of_a_node_that_need_not_watch_is_not_made_again() {
    let (mut store, watch) = watching_store();
    store.set_watch(at(10), None);
    store.on_reply(at(20), watch, failed("refused"));
    expect_that!(store.poll(at(5_000)), is_empty());
}
