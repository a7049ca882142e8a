//! Tests of links between nodes: which are opened, which of two is used, how they end.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use googletest::prelude::*;
use rillgap_forward::action::Action;
use rillgap_forward::event::{AnnouncedState, Event};
use rillgap_forward::id::LinkId;
use rillgap_forward::message::{LinkMessage, NodeRecord, Status};
use rillgap_forward::store_epoch::StoreEpoch;
use rillgap_forward::store_sync::{StoreReply, StoreRequest};
use rillgap_forward::subset::preference;
use support::{
    INSTANCE, SERVICE, TestNode, caller_request, configuration, forwarded_request, hello, nodes,
    serving,
};

const SERVICES: [&str; 4] = ["logbok", "bestilling", "oppgjor", SERVICE];
const ZONES: usize = 5;
/// Number of peers in a large deployment.
const PEERS: usize = 294;
/// Minimum number of peers for each service in each zone of that deployment.
const MIN_LOCAL_PEERS: usize = 6;

fn record(number: usize) -> NodeRecord {
    let [high, low] = (number as u16).to_be_bytes();
    NodeRecord {
        name: format!("node-{number:03}"),
        address: SocketAddr::from(([10, 0, high, low], 7_000)),
        zone: format!("zone-{}", number % ZONES),
        service: SERVICES[number / ZONES % SERVICES.len()].to_owned(),
    }
}

/// Returns a node of zone `hall-a` that has listed these peers.
fn node_that_lists(records: Vec<NodeRecord>) -> TestNode {
    let mut test = TestNode::unconfigured("logbok");
    list(&mut test, records);
    test.configure(configuration(1));
    test.advance(200);
    test
}

/// Answers the registration and the list request of a new node with these peers.
fn list(test: &mut TestNode, records: Vec<NodeRecord>) {
    test.answer_store(
        |request| matches!(request, StoreRequest::Register(_)),
        StoreReply::Registered {
            epoch: StoreEpoch::default(),
            is_new: false,
        },
    );
    let list = nodes(test.record(), records);
    test.answer_store(
        |request| matches!(request, StoreRequest::ListNodes { .. }),
        list,
    );
}

/// Returns the peers of a large deployment; those of `zone-0` are in the zone of the node itself.
fn deployment() -> Vec<NodeRecord> {
    let rename = |mut record: NodeRecord| {
        if record.zone == "zone-0" {
            record.zone = "hall-a".to_owned();
        }
        record
    };
    (0..PEERS).map(record).map(rename).collect()
}

/// Returns the links that the node has opened, with their addresses.
fn opened(test: &TestNode) -> Vec<(LinkId, SocketAddr)> {
    let open = |action: &Action| match action {
        Action::OpenLink { link, address } => Some((*link, *address)),
        _ => None,
    };
    test.actions.iter().filter_map(open).collect()
}

#[gtest]
fn links_are_opened_to_a_subset_of_a_large_deployment() {
    let test = node_that_lists(deployment());
    let links = opened(&test).len();
    expect_that!(links, le(PEERS / 4));
    expect_that!(links, ge(SERVICES.len() * MIN_LOCAL_PEERS));
}

#[gtest]
fn links_are_opened_to_all_nodes_of_a_small_deployment() {
    const SMALL_ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
    let peer = |number: usize| NodeRecord {
        zone: SMALL_ZONES[number % SMALL_ZONES.len()].to_owned(),
        service: SERVICES[number / SMALL_ZONES.len()].to_owned(),
        ..record(number)
    };
    // Number 0 stands for the node itself.
    let test = node_that_lists((1..12).map(peer).collect());
    expect_that!(opened(&test).len(), eq(11));
}

#[gtest]
fn subset_contains_every_service_and_more_peers_of_the_own_zone() {
    let records = deployment();
    let by_address: BTreeMap<SocketAddr, NodeRecord> = records
        .iter()
        .map(|record| (record.address, record.clone()))
        .collect();
    let test = node_that_lists(records);
    let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for (_, address) in opened(&test) {
        let record = &by_address[&address];
        let (local, remote) = counts.entry(record.service.clone()).or_default();
        if record.zone == "hall-a" {
            *local += 1;
        } else {
            *remote += 1;
        }
    }
    expect_that!(counts.len(), eq(SERVICES.len()));
    for (service, (local, remote)) in counts {
        expect_that!(local, gt(remote), "{service}");
        expect_that!(remote, ge(2), "{service}");
    }
}

/// The subsets must distribute callers evenly over the back ends.
#[gtest]
fn preferences_are_distributed_evenly_over_the_peers() {
    let names: Vec<String> = (0..PEERS).map(|number| record(number).name).collect();
    let mut chosen: BTreeMap<&str, usize> = BTreeMap::new();
    const SUBSET_SIZE: usize = 30;
    for own in &names {
        let mut others: Vec<&String> = names.iter().filter(|name| *name != own).collect();
        others.sort_by_key(|name| preference(own, name));
        for name in others.into_iter().take(SUBSET_SIZE) {
            *chosen.entry(name).or_default() += 1;
        }
    }
    expect_that!(chosen.len(), eq(PEERS));
    let least = chosen.values().min().copied().unwrap_or(0);
    let most = chosen.values().max().copied().unwrap_or(0);
    expect_that!(least, ge(SUBSET_SIZE / 3));
    expect_that!(most, le(SUBSET_SIZE * 2));
}

#[gtest]
fn unreachable_peers_are_replaced_and_retried() {
    let mut test = node_that_lists(deployment());
    let first = opened(&test);
    for (link, _) in &first {
        test.event(Event::LinkClosed(*link));
    }
    test.actions.clear();
    test.advance(1_200);
    let before: BTreeSet<SocketAddr> = first.iter().map(|(_, address)| *address).collect();
    let after: BTreeSet<SocketAddr> = opened(&test).into_iter().map(|link| link.1).collect();
    expect_that!(after.difference(&before).count(), ge(first.len() / 2));
    expect_that!(before.difference(&after).count(), eq(0));
}

/// Returns a node with open links to its subset. `is_serving` is what the peers report first.
fn node_with_subset(is_serving: bool) -> (TestNode, Vec<(LinkId, NodeRecord)>) {
    let records = deployment();
    let by_address: BTreeMap<SocketAddr, NodeRecord> = records
        .iter()
        .map(|record| (record.address, record.clone()))
        .collect();
    let mut test = node_that_lists(records);
    let mut links = Vec::new();
    for (link, address) in opened(&test) {
        let record = by_address[&address].clone();
        let status = Status {
            is_serving,
            ..serving(&record.service)
        };
        let mut hello = hello(&record.name, 0, status, 0);
        hello.node = record.clone();
        test.event(Event::LinkOpened { link, hello });
        links.push((link, record));
    }
    test.actions.clear();
    (test, links)
}

fn report_serving(test: &mut TestNode, links: &[(LinkId, NodeRecord)], is_serving: bool) {
    for (link, record) in links {
        let status = Status {
            is_serving,
            ..serving(&record.service)
        };
        let message = LinkMessage::Status(status);
        test.event(Event::Link {
            link: *link,
            message,
        });
        // The peers report a recent contact with the store as well.
        test.report_store_contact(*link, Some(0));
    }
}

#[gtest]
fn peers_that_cease_to_serve_are_replaced() {
    let (mut test, links) = node_with_subset(true);
    test.advance(200);
    expect_that!(opened(&test), is_empty());
    report_serving(&mut test, &links, false);
    test.advance(200);
    expect_that!(opened(&test).len(), ge(links.len() / 2));
}

/// When a whole deployment starts, no back end serves before the first configuration.
#[gtest]
fn starting_peers_are_replaced_only_after_the_grace_period() {
    let (mut test, links) = node_with_subset(false);
    for _ in 0..10 {
        test.advance(1_000);
        report_serving(&mut test, &links, false);
    }
    expect_that!(opened(&test), is_empty());
    for _ in 0..6 {
        test.advance(1_000);
        report_serving(&mut test, &links, false);
    }
    expect_that!(opened(&test).len(), ge(links.len() / 2));
}

#[gtest]
fn link_that_a_peer_has_opened_carries_requests_to_it() {
    let mut test = TestNode::configured("logbok");
    let link = test.connect("peer-a", 2, SERVICE);
    expect_that!(opened(&test), is_empty());
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.sent()[0].0, eq(link));
}

#[gtest]
fn link_that_the_node_has_opened_carries_requests_of_the_peer() {
    let mut test = TestNode::unconfigured(SERVICE);
    list(
        &mut test,
        vec![hello("peer-a", 2, serving("logbok"), 0).node],
    );
    test.configure(configuration(1));
    test.advance(200);
    let (link, _) = opened(&test)[0];
    test.heartbeat(1, AnnouncedState::Ready);
    test.confirm(INSTANCE);
    let hello = hello("peer-a", 2, serving("logbok"), 0);
    test.event(Event::LinkOpened { link, hello });
    test.forward(link, 1, forwarded_request("a", true));
    expect_that!(test.exchanges().len(), eq(1));
}

/// Lets the node and the peer `name` open links to each other at the same time. Returns both links,
/// the node's own first, and whether the node closes its own.
fn open_simultaneously(name: &str) -> (TestNode, LinkId, LinkId, bool) {
    let mut test = node_that_lists(vec![hello(name, 2, serving(SERVICE), 0).node]);
    let (own, _) = opened(&test)[0];
    let theirs = LinkId(900);
    let their_hello = hello(name, 2, serving(SERVICE), 0);
    test.event(Event::LinkAccepted {
        link: theirs,
        hello: their_hello.clone(),
    });
    test.event(Event::LinkOpened {
        link: own,
        hello: their_hello,
    });
    let closes = |action: &Action| matches!(action, Action::CloseLink(link) if *link == own);
    let closes_own = test.actions.iter().any(closes);
    (test, own, theirs, closes_own)
}

#[gtest]
fn of_two_simultaneous_links_both_ends_use_that_of_the_lower_name() {
    // The node under test is named `own`.
    let (mut test, _, theirs, closes_own) = open_simultaneously("alpha");
    expect_that!(closes_own, eq(true));
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.sent()[0].0, eq(theirs));

    let (mut test, own, _, closes_own) = open_simultaneously("zeta");
    expect_that!(closes_own, eq(false));
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.sent()[0].0, eq(own));
}

#[gtest]
fn spare_link_takes_over_when_the_one_in_use_ends() {
    let (mut test, own, theirs, _) = open_simultaneously("zeta");
    test.event(Event::LinkClosed(own));
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.sent()[0].0, eq(theirs));
}

#[gtest]
fn link_of_a_restarted_peer_replaces_the_earlier_link() {
    let mut test = TestNode::configured("logbok");
    let first = test.connect("peer-a", 2, SERVICE);
    let mut their_hello = hello("peer-a", 2, serving(SERVICE), 0);
    their_hello.incarnation += 1;
    let second = LinkId(901);
    test.event(Event::LinkAccepted {
        link: second,
        hello: their_hello,
    });
    let closes = |action: &Action| matches!(action, Action::CloseLink(link) if *link == first);
    expect_that!(test.actions.iter().any(closes), eq(true));
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.sent()[0].0, eq(second));
}

#[gtest]
fn status_is_sent_on_every_open_link() {
    let mut test = TestNode::configured("logbok");
    let first = test.connect("peer-a", 2, SERVICE);
    let second = test.connect("peer-b", 3, SERVICE);
    test.actions.clear();
    test.advance(3_100);
    let receivers: BTreeSet<LinkId> = test
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::SendOnLink {
                link,
                message: LinkMessage::Status(_),
            } => Some(*link),
            _ => None,
        })
        .collect();
    expect_that!(receivers, eq(&BTreeSet::from([first, second])));
}

/// Status reports are rare: an idle link may have been silent for longer than the timeout of a busy
/// one.
#[gtest]
fn silence_before_a_request_does_not_count_towards_the_timeout() {
    let mut test = TestNode::configured("logbok");
    let link = test.connect("peer-a", 2, SERVICE);
    test.advance(1_900);
    let mut request = caller_request("a", "/once/1");
    request.deadline = None;
    test.request(0, request);
    test.actions.clear();
    test.advance(200);
    let closes = |action: &Action| matches!(action, Action::CloseLink(closed) if *closed == link);
    expect_that!(test.actions.iter().any(closes), eq(false));
    let pings = |action: &Action| {
        matches!(
            action,
            Action::SendOnLink {
                message: LinkMessage::Ping,
                ..
            }
        )
    };
    expect_that!(test.actions.iter().any(pings), eq(false));
}
