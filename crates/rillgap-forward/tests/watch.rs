//! Election of the nodes that watch the store for the others.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rillgap_forward::action::Action;
use rillgap_forward::event::Event;
use rillgap_forward::id::LinkId;
use rillgap_forward::message::{Hello, LinkMessage};
use rillgap_forward::store_epoch::{StoreEpoch, StorePosition};
use rillgap_forward::store_sync::{
    FIRST_WATCH_WAIT, StoreReply, StoreRequest, StoreRequestId, StoreSync,
};
use rillgap_forward::watch_relay::{ContactReport, WatchRelay};
use rillgap_forward::watcher_election::{PrecedingNodes, WatcherElection, name_hash};
use support::{
    SERVICE, STORE_WRITES_PER_SECOND, TestNode, at, configuration, hello, serving, settings,
    store_failure,
};

const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Name of the node under test.
const OWN_NAME: &str = "own";

/// Maximum time after its start at which a node that receives no reports watches, in milliseconds.
const MAX_START_MILLIS: u64 = 3_000;

fn preceding(recent_count: usize, known_count: u64) -> PrecedingNodes {
    PrecedingNodes {
        recent_count,
        has_recent_report: known_count > 0,
        known_count,
    }
}

/// State of a node that has followed nodes with recent contacts, which now cease.
fn election_without_recent_contacts() -> WatcherElection {
    let mut election = WatcherElection::new(OWN_NAME);
    election.update(at(0), preceding(2, 500));
    election
}

#[gtest]
fn node_without_reports_watches_within_its_isolated_delay() {
    let mut election = WatcherElection::new(OWN_NAME);
    let no_reports = PrecedingNodes {
        known_count: 500,
        ..PrecedingNodes::default()
    };
    election.update(at(0), no_reports);
    expect_that!(
        election.update(at(MAX_START_MILLIS), no_reports),
        some(anything())
    );
}

#[gtest]
fn node_that_follows_two_with_recent_contacts_does_not_watch() {
    let mut election = WatcherElection::new(OWN_NAME);
    election.update(at(0), preceding(0, 500));
    expect_that!(
        election.update(at(MAX_START_MILLIS), preceding(2, 500)),
        none()
    );
}

#[gtest]
fn first_two_nodes_of_the_order_always_watch() {
    for known in [0, 1] {
        let mut election = WatcherElection::new(OWN_NAME);
        let first = preceding(known as usize, known);
        election.update(at(0), first);
        expect_that!(
            election.update(at(MAX_START_MILLIS), first),
            some(anything())
        );
    }
}

#[gtest]
fn first_nodes_take_over_one_after_the_other_then_quickly_more_and_then_few() {
    let takes_over = |known: u64, millis: u64| {
        let mut election = election_without_recent_contacts();
        election.update(at(0), preceding(0, known));
        election.update(at(millis), preceding(0, known)).is_some()
    };
    for known in 0..16 {
        expect_that!(takes_over(known, known * 10), eq(true), "{known}");
        let early = (known * 10).saturating_sub(1);
        expect_that!(takes_over(known, early), eq(known == 0), "{known}");
    }
    // Minimum and maximum number of nodes. The configuration has to be in force within 2 s after a
    // change, 1.6 s of which a contact counts as recent, although the first nodes are all cut off.
    let counts = [
        (200, 16, 32),
        (400, 32, 64),
        (700, 128, 160),
        (4_000, 256, 512),
    ];
    for (millis, min, max) in counts {
        let count = (0..2_000)
            .filter(|known| takes_over(*known, millis))
            .count();
        expect_that!(count, all!(ge(min), le(max)), "after {millis} ms");
    }
}

#[gtest]
fn node_partitioned_from_all_preceding_ones_watches_at_once() {
    let mut election = election_without_recent_contacts();
    let no_reports = PrecedingNodes {
        known_count: 1_900,
        ..PrecedingNodes::default()
    };
    election.update(at(10), no_reports);
    expect_that!(election.update(at(310), no_reports), some(anything()));
}

/// Returns two names that precede [`OWN_NAME`] in the order of watchers.
fn names_preceding_own() -> Vec<String> {
    let mut names = (0..100).map(|number| format!("peer-{number}"));
    let before = names
        .by_ref()
        .filter(|name| name_hash(name) < name_hash(OWN_NAME));
    before.take(2).collect()
}

fn watching_hello(name: &str, last: u8) -> Hello {
    hello(name, last, serving(SERVICE), 1)
}

/// Reports that a followed peer has contact with the store now, or that it has no recent contact.
fn report(test: &mut TestNode, link: LinkId, is_watching: bool) {
    test.report_store_contact(link, is_watching.then_some(0));
}

/// A node with links to two peers that watch and precede it.
fn node_with_watchers() -> (TestNode, Vec<LinkId>) {
    let mut test = TestNode::configured("logbok");
    let mut links = Vec::new();
    for (number, name) in names_preceding_own().iter().enumerate() {
        let link = LinkId(500 + number as u64);
        let hello = watching_hello(name, 20 + number as u8);
        test.event(Event::LinkAccepted { link, hello });
        report(&mut test, link, true);
        links.push(link);
    }
    test.actions.clear();
    (test, links)
}

fn has_watched_store(test: &TestNode) -> bool {
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
        test.advance(500);
        for link in links {
            report(test, *link, true);
        }
    }
}

#[gtest]
fn node_does_not_call_the_store_while_others_watch_for_it() {
    let (mut test, links) = node_with_watchers();
    pass_with_reports(&mut test, &links, 10_000);
    expect_that!(has_watched_store(&test), eq(false));
}

#[gtest]
fn node_takes_over_at_once_when_a_watcher_reports_no_recent_contact() {
    let (mut test, links) = node_with_watchers();
    pass_with_reports(&mut test, &links, 3_000);
    report(&mut test, links[0], false);
    test.advance(450);
    expect_that!(has_watched_store(&test), eq(true));
}

#[gtest]
fn node_takes_over_when_the_watchers_stop_reporting() {
    let (mut test, links) = node_with_watchers();
    pass_with_reports(&mut test, &links, 3_000);
    test.advance(2_100);
    expect_that!(has_watched_store(&test), eq(true));
}

#[gtest]
fn newer_version_is_queried_at_once_by_a_node_that_does_not_watch() {
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
    test.advance(350);
    expect_that!(test.actions.iter().filter(|a| query(a)).count(), eq(2));
}

/// A store client with a watch in flight, and the request of this watch.
fn store_with_watch_in_flight() -> (StoreSync, StoreRequestId) {
    let mut store = StoreSync::new(
        at(0),
        settings(OWN_NAME, SERVICE).record,
        1,
        false,
        STORE_WRITES_PER_SECOND,
    );
    store.set_watch(at(0), Some(WATCH_WAIT));
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
fn overdue_watch_does_not_count() {
    let (store, _) = store_with_watch_in_flight();
    expect_that!(store.is_watching(at(1_500)), eq(true));
    expect_that!(store.is_watching(at(1_700)), eq(false));
}

#[gtest]
fn failed_watch_does_not_count_until_the_store_answers_again() {
    let (mut store, watch) = store_with_watch_in_flight();
    store.on_reply(at(100), watch, store_failure("refused"));
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
fn stopped_watch_ends_with_its_request_and_later_continues_from_its_position() {
    let (mut store, watch) = store_with_watch_in_flight();
    store.set_watch(at(10), None);
    expect_that!(store.is_watching(at(11)), eq(false));
    let unchanged = StoreReply::Configuration {
        position: StorePosition::new(StoreEpoch::default(), 44),
        configuration: None,
    };
    store.on_reply(at(900), watch, unchanged);
    expect_that!(store.poll(at(5_000)), is_empty());
    store.set_watch(at(6_000), Some(WATCH_WAIT));
    let watch = |revision, wait| StoreRequest::WatchConfiguration {
        after: StorePosition::new(StoreEpoch::default(), revision),
        wait,
    };
    // The first request is answered at once.
    let (first, request) = store.poll(at(6_000)).remove(0);
    expect_that!(request, eq(&watch(44, FIRST_WATCH_WAIT)));
    let unchanged = StoreReply::Configuration {
        position: StorePosition::new(StoreEpoch::default(), 45),
        configuration: None,
    };
    store.on_reply(at(6_004), first, unchanged);
    expect_that!(store.poll(at(6_004))[0].1, eq(&watch(45, WATCH_WAIT)));
}

/// Guards against a node that reports a contact with the store which it never had: nodes that follow it
/// would not watch.
#[gtest]
fn watch_that_begins_is_no_contact_until_the_store_has_answered() {
    let (mut store, watch) = store_with_watch_in_flight();
    store.set_watch(at(10), None);
    store.on_reply(at(20), watch, store_failure("refused"));
    store.set_watch(at(6_000), Some(WATCH_WAIT));
    expect_that!(store.is_watching(at(6_001)), eq(false));
    expect_that!(store.last_contact_at(at(6_001)), none());
    let first = store.poll(at(6_000))[0].0;
    let unchanged = StoreReply::Configuration {
        position: StorePosition::new(StoreEpoch::default(), 45),
        configuration: None,
    };
    store.on_reply(at(6_004), first, unchanged);
    expect_that!(store.last_contact_at(at(6_005)), some(eq(at(6_004))));
}

/// Guards against a report that was held up, by a partition or a paused process, and counts as recent when it
/// arrives.
#[gtest]
fn time_that_a_report_was_held_up_is_added_to_its_age() {
    let link = LinkId(7);
    // The clock of the sender is 100 s ahead.
    let report = |sent_millis: u64, age_millis: u64| ContactReport {
        sent_at_micros: (100_000 + sent_millis) * 1_000,
        age_micros: Some(age_millis * 1_000),
    };
    let mut relay = WatchRelay::default();
    relay.on_contact_report(at(1_002), link, report(1_000, 300));
    expect_that!(
        relay.contact_age(at(1_002), None),
        some(eq(Duration::from_millis(300)))
    );
    // Sent at 2 s, arrives at 3.2 s.
    relay.on_contact_report(at(3_200), link, report(2_000, 300));
    let age = relay.contact_age(at(3_200), None);
    let expected = Duration::from_millis(300 + 1_198);
    expect_that!(
        age,
        some(all![ge(expected - Duration::from_millis(5)), le(expected)])
    );
    relay.on_contact_report(at(9_000), link, report(5_000, 0));
    expect_that!(relay.contact_age(at(9_000), None), none());
}

/// Guards against clocks that drift apart: after a long time reports still count as recent.
#[gtest]
fn reports_of_a_clock_that_drifts_stay_recent() {
    let link = LinkId(7);
    let mut relay = WatchRelay::default();
    for second in 0..36_000_u64 {
        let report = ContactReport {
            // 100 us slow in each second.
            sent_at_micros: second * 999_900,
            age_micros: Some(0),
        };
        relay.on_contact_report(at(second * 1_000 + 1), link, report);
    }
    let now = at(35_999_001);
    expect_that!(
        relay.contact_age(now, None),
        some(le(Duration::from_millis(2)))
    );
}

#[gtest]
fn failed_watch_of_a_node_that_need_not_watch_is_not_retried() {
    let (mut store, watch) = store_with_watch_in_flight();
    store.set_watch(at(10), None);
    store.on_reply(at(20), watch, store_failure("refused"));
    expect_that!(store.poll(at(5_000)), is_empty());
}
