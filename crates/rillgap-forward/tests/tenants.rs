//! Authentication of callers, proofs of the configuration's freshness, and tenants' rate limits.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_forward::action::{Action, CallerAnswer};
use rillgap_forward::configuration::{Configuration, RateLimit, Tenant};
use rillgap_forward::credential::{Credential, KeyDigest};
use rillgap_forward::event::{AnnouncedState, CallerRequest, Event};
use rillgap_forward::freshness::QueryNumber;
use rillgap_forward::id::LinkId;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::{
    FreshnessAnswer, LinkMessage, NodeRecord, TokenAnswer, TokenQuery, TokenResult,
    level_for_tenant, priority_of,
};
use rillgap_forward::node::Node;
use rillgap_forward::rate_limit::lease::Vote;
use rillgap_forward::rate_limit::ownership::TenantHash;
use rillgap_forward::settings::ForwardSettings;
use rillgap_forward::store_epoch::StoreEpoch;
use rillgap_forward::store_sync::{StoreReply, StoreRequest};
use rillgap_forward::watcher_election::name_hash;
use support::{INSTANCE, SERVICE, TestNode, at, caller_request, configuration, nodes, settings};

const TENANT: &str = "north";
const KEY: &[u8] = b"secret";
const MAX_PROOF_AGE: Duration = Duration::from_secs(5);

fn tenant(limit: Option<RateLimit>) -> Tenant {
    Tenant {
        name: TENANT.to_owned(),
        keys: vec![KeyDigest::of(KEY)],
        priority: None,
        limit,
    }
}

fn with_tenant(version: u64, tenant: Tenant) -> Configuration {
    Configuration {
        tenants: vec![tenant],
        ..configuration(version)
    }
}

fn revoking_settings(name: &str) -> ForwardSettings {
    ForwardSettings {
        revocation: Some(MAX_PROOF_AGE),
        ..settings(name, SERVICE)
    }
}

/// Returns a node with a serving back end and a tenant.
fn node(tenant: Tenant) -> TestNode {
    let mut test = TestNode {
        node: Node::new(at(0), revoking_settings("own")),
        now: 0,
        actions: Vec::new(),
    };
    test.event(Event::Wake);
    test.configure(with_tenant(1, tenant));
    test.heartbeat(1, AnnouncedState::Ready);
    test.confirm(INSTANCE);
    test.actions.clear();
    test
}

fn request_with_key(id: &str, key: &[u8]) -> CallerRequest {
    CallerRequest {
        credential: Credential::Key(KeyDigest::of(key)),
        ..caller_request(id, "/safe/1")
    }
}

fn codes(test: &TestNode) -> Vec<Option<ResultCode>> {
    let code = |note: LogRecord| match note {
        LogRecord::Answered { code, .. } => Some(code),
        _ => None,
    };
    test.log_records().into_iter().filter_map(code).collect()
}

#[gtest]
fn request_with_a_known_key_runs_for_its_tenant() {
    let mut test = node(tenant(None));
    test.request(0, request_with_key("a", KEY));
    let exchanges = test.exchanges();
    let tenants: Vec<Option<&str>> = exchanges
        .iter()
        .map(|exchange| exchange.request.tenant.as_deref())
        .collect();
    expect_that!(tenants, elements_are![some(eq(&TENANT))]);
}

#[gtest]
fn request_without_a_known_key_is_refused() {
    for credential in [
        Credential::Absent,
        Credential::Malformed,
        Credential::Key(KeyDigest::of(b"other")),
    ] {
        let mut test = node(tenant(None));
        let request = CallerRequest {
            credential,
            ..caller_request("a", "/safe/1")
        };
        test.request(0, request);
        expect_that!(test.statuses(), elements_are![eq(&401)], "{credential:?}");
        expect_that!(test.exchanges().len(), eq(0));
    }
}

#[gtest]
fn public_route_needs_no_key() {
    let mut test = node(tenant(None));
    let mut public = with_tenant(2, tenant(None));
    for route in &mut public.routes {
        route.is_public = true;
    }
    test.advance(3_500);
    test.configure(public);
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.exchanges().len(), eq(1));
}

#[gtest]
fn call_of_the_back_end_needs_no_key() {
    let mut test = node(tenant(None));
    test.request(0, request_with_key("a", KEY));
    test.request(1, caller_request("a.1", "/safe/1"));
    expect_that!(test.exchanges().len(), eq(2));
}

#[gtest]
fn request_with_a_key_is_checked_although_its_identifier_extends_that_of_a_running_one() {
    let mut test = node(tenant(None));
    test.request(0, request_with_key("a", KEY));
    test.request(1, request_with_key("a.1", b"other"));
    expect_that!(test.statuses(), elements_are![eq(&401)]);
    test.request(2, request_with_key("a.2", KEY));
    let exchanges = test.exchanges();
    let tenants: Vec<Option<&str>> = exchanges
        .iter()
        .map(|exchange| exchange.request.tenant.as_deref())
        .collect();
    expect_that!(tenants, elements_are![some(eq(&TENANT)), some(eq(&TENANT))]);
}

#[gtest]
fn call_for_an_ended_request_is_refused_as_not_run() {
    let mut test = node(tenant(None));
    test.request(0, caller_request("a.1", "/safe/1"));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(
        codes(&test),
        elements_are![some(eq(&ResultCode::ParentEnded))]
    );
}

#[gtest]
fn priority_of_the_tenant_precedes_that_of_the_route() {
    let mut test = node(Tenant {
        priority: Some(4),
        ..tenant(None)
    });
    test.request(0, request_with_key("a", KEY));
    let level = test.exchanges()[0].request.level;
    expect_that!(priority_of(level), eq(4));
}

#[gtest]
fn route_priority_decides_between_tenants_of_equal_priority() {
    let level = |tenant, route| level_for_tenant(tenant, route, "id");
    expect_that!(level(1, 0), gt(level(1, 1)));
    expect_that!(level(1, 1), gt(level(1, 2)));
    // The tenant's priority still precedes that of the route.
    expect_that!(level(0, 9), gt(level(1, 0)));
    expect_that!(level(1, 9), gt(level(2, 0)));
    expect_that!(level(200, 200), eq(level(7, 7)));
}

#[gtest]
fn node_without_a_proof_refuses_known_and_unknown_keys() {
    for key in [KEY, b"other"] {
        let mut test = node(tenant(None));
        // The store no longer answers, and there is no peer.
        test.advance(6_000);
        test.actions.clear();
        test.request(0, request_with_key("a", key));
        expect_that!(test.statuses(), elements_are![eq(&503)]);
        let expected = ResultCode::ConfigurationUnproven;
        expect_that!(codes(&test), elements_are![some(eq(&expected))]);
    }
}

#[gtest]
fn proof_expires_while_the_process_is_suspended() {
    let mut test = node(tenant(None));
    // The process was suspended: the node handled no event in between.
    test.now += 6_000;
    test.request(0, request_with_key("a", KEY));
    expect_that!(test.exchanges().len(), eq(0));
}

#[gtest]
fn peer_proves_the_configuration_while_the_store_does_not_answer() {
    let mut test = node(tenant(None));
    let link = test.connect("peer", 5, SERVICE);
    test.advance(4_500);
    let numbers: Vec<QueryNumber> = test
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::SendOnLink {
                message: LinkMessage::FreshnessQuery(number),
                ..
            } => Some(*number),
            _ => None,
        })
        .collect();
    let answer = FreshnessAnswer {
        epoch: StoreEpoch::default(),
        number: *numbers.last().expect("a query"),
        version: 1,
        age_micros: 200_000,
    };
    let message = LinkMessage::FreshnessAnswer(answer);
    test.event(Event::Link { link, message });
    test.advance(3_000);
    test.request(0, request_with_key("a", KEY));
    expect_that!(test.exchanges().len() + test.sent().len(), eq(1));
}

#[gtest]
fn freshness_query_is_answered_with_the_age_of_the_own_proof() {
    let mut test = node(tenant(None));
    let link = test.connect("peer", 5, SERVICE);
    test.now += 700;
    test.actions.clear();
    let message = LinkMessage::FreshnessQuery(QueryNumber(9));
    test.event(Event::Link { link, message });
    let age = test.actions.iter().find_map(|action| match action {
        Action::SendOnLink {
            message: LinkMessage::FreshnessAnswer(answer),
            ..
        } => Some(answer.age_micros),
        _ => None,
    });
    expect_that!(age, some(ge(700_000)));
}

const LIMIT: RateLimit = RateLimit {
    per_second: 2.0,
    burst: 3.0,
};

/// Returns a node that has listed itself as the only one, so that it owns all buckets. They are
/// full.
fn sole_owner() -> TestNode {
    let mut test = node(tenant(Some(LIMIT)));
    let is_registration = |request: &StoreRequest| matches!(request, StoreRequest::Register(_));
    test.actions.clear();
    let mut test = TestNode {
        node: Node::new(
            at(0),
            ForwardSettings {
                revocation: None,
                ..revoking_settings("own")
            },
        ),
        ..test
    };
    test.event(Event::Wake);
    test.answer_store(
        is_registration,
        StoreReply::Registered {
            epoch: StoreEpoch::default(),
            is_new: false,
        },
    );
    let list = nodes(test.record(), Vec::new());
    test.answer_store(
        |request| matches!(request, StoreRequest::ListNodes { .. }),
        list,
    );
    test.configure(with_tenant(1, tenant(Some(LIMIT))));
    test.heartbeat(1, AnnouncedState::Ready);
    test.confirm(INSTANCE);
    test.advance(10_000);
    test.actions.clear();
    test
}

#[gtest]
fn tenant_at_its_limit_is_refused_with_retry_after() {
    let mut test = sole_owner();
    for index in 0..4 {
        test.request(index, request_with_key(&format!("r{index}"), KEY));
    }
    expect_that!(test.exchanges().len(), eq(3));
    expect_that!(test.statuses(), elements_are![eq(&429)]);
    expect_that!(retry_after_seconds(&test), each(all![ge(&0.2), le(&2.0)]));
}

/// Returns the values of `Retry-After` in the answers, in seconds; NaN in an answer without one.
fn retry_after_seconds(test: &TestNode) -> Vec<f64> {
    let value = |answer: &CallerAnswer| {
        let fields = String::from_utf8_lossy(&answer.fields).into_owned();
        let lines = fields.lines().map(str::to_owned);
        let mut values = lines.filter_map(|line| Some(line.strip_prefix("Retry-After: ")?.parse()));
        values.next().and_then(Result::ok).unwrap_or(f64::NAN)
    };
    test.answers().iter().map(value).collect()
}

#[gtest]
fn callers_refused_at_the_limit_are_asked_back_at_different_times() {
    let mut test = sole_owner();
    for index in 0..20 {
        test.request(index, request_with_key(&format!("r{index}"), KEY));
    }
    let mut delays = retry_after_seconds(&test);
    expect_that!(delays, each(all![ge(&0.2), le(&2.0)]));
    delays.sort_by(f64::total_cmp);
    delays.dedup();
    expect_that!(delays.len(), ge(10));
}

#[gtest]
fn request_that_did_not_run_returns_its_token() {
    let mut test = sole_owner();
    // The route's service has no back end, so the requests are refused and do not count.
    for index in 0..6 {
        let request = CallerRequest {
            target: "/deep/1".to_owned(),
            ..request_with_key(&format!("d{index}"), KEY)
        };
        test.request(index, request);
    }
    test.actions.clear();
    test.request(9, request_with_key("r", KEY));
    expect_that!(test.exchanges().len(), eq(1));
}

#[gtest]
fn node_without_a_list_of_nodes_owns_no_bucket() {
    let mut test = node(tenant(Some(LIMIT)));
    test.request(0, request_with_key("a", KEY));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(
        codes(&test),
        elements_are![some(eq(&ResultCode::LimitUnknown))]
    );
}

/// Queries a token on a link to a peer, which votes for the node.
fn query_token(test: &mut TestNode, link: LinkId) -> Option<TokenResult> {
    let first = send_token_query(test, link);
    if first.is_some() {
        return first;
    }
    vote_on(test, link);
    send_token_query(test, link)
}

/// Answers the requests for votes on a link.
fn vote_on(test: &mut TestNode, link: LinkId) {
    let requests = test.actions.iter().filter_map(|action| match action {
        Action::SendOnLink {
            link: other,
            message: LinkMessage::VoteRequest(request),
        } if *other == link => Some(request.number),
        _ => None,
    });
    let numbers: Vec<u64> = requests.collect();
    for number in numbers {
        let message = LinkMessage::Vote(Vote {
            number,
            is_granted: true,
            is_abstaining: false,
            held: Vec::new(),
            not_lost: Vec::new(),
            uncontested_millis: 10_000,
        });
        test.event(Event::Link { link, message });
    }
}

fn send_token_query(test: &mut TestNode, link: LinkId) -> Option<TokenResult> {
    test.actions.clear();
    let query = TokenQuery {
        number: 1,
        tenant: TENANT.to_owned(),
        wanted: 1,
        seen: Vec::new(),
    };
    let message = LinkMessage::TokenQuery(query);
    test.event(Event::Link { link, message });
    test.actions.iter().find_map(|action| match action {
        Action::SendOnLink {
            message: LinkMessage::TokenAnswer(TokenAnswer { result, .. }),
            ..
        } => Some(result.clone()),
        _ => None,
    })
}

/// Connects a peer that offers to own buckets.
fn connect_owner(test: &mut TestNode, name: &str, last: u8) -> LinkId {
    let link = test.connect(name, last, SERVICE);
    let status = rillgap_forward::message::Status {
        can_own_buckets: true,
        ..support::serving(SERVICE)
    };
    test.event(Event::Link {
        link,
        message: LinkMessage::Status(status),
    });
    link
}

/// Returns the names of peers that precede the node itself as owner of the tenant's bucket, in
/// their order.
fn names_ranked_before_own() -> Vec<String> {
    let hash = TenantHash::of(TENANT);
    let own = hash.owner_score(name_hash("own"));
    let mut names: Vec<String> = (0..50).map(|number| format!("peer-{number}")).collect();
    names.retain(|name| hash.owner_score(name_hash(name)) > own);
    names.sort_by_key(|name| std::cmp::Reverse(hash.owner_score(name_hash(name))));
    names
}

/// Returns the name of a peer that precedes the node itself as owner of the tenant's bucket, and of
/// one that follows it.
fn names_ranked_around_own() -> (String, String) {
    let hash = TenantHash::of(TENANT);
    let own = hash.owner_score(name_hash("own"));
    let names: Vec<String> = (0..50).map(|number| format!("peer-{number}")).collect();
    let before = names
        .iter()
        .find(|name| hash.owner_score(name_hash(name)) > own);
    let after = names
        .iter()
        .find(|name| hash.owner_score(name_hash(name)) < own);
    (
        before.expect("a name of this rank").clone(),
        after.expect("a name of this rank").clone(),
    )
}

#[gtest]
fn only_the_first_owner_in_order_grants_tokens() {
    let (before, after) = names_ranked_around_own();
    let mut test = sole_owner();
    let link = connect_owner(&mut test, &after, 6);
    expect_that!(
        query_token(&mut test, link),
        some(matches_pattern!(TokenResult::Granted { .. }))
    );
    connect_owner(&mut test, &before, 5);
    expect_that!(
        query_token(&mut test, link),
        some(matches_pattern!(TokenResult::OwnedBy(_)))
    );
}

#[gtest]
fn successor_takes_over_with_an_empty_bucket_when_the_owner_is_lost() {
    let (before, after) = names_ranked_around_own();
    let mut test = sole_owner();
    let link = connect_owner(&mut test, &after, 6);
    let owner = connect_owner(&mut test, &before, 5);
    test.advance(1_000);
    test.event(Event::LinkClosed(owner));
    let first = query_token(&mut test, link);
    let Some(TokenResult::Granted { tokens, .. }) = first else {
        panic!("no grant: {first:?}");
    };
    expect_that!(tokens, eq(0));
}

#[gtest]
fn node_without_contact_to_peers_grants_no_tokens() {
    let (_, after) = names_ranked_around_own();
    let mut test = sole_owner();
    connect_owner(&mut test, &after, 6);
    // The peer is silent, but its link stays open.
    test.advance(4_500);
    test.actions.clear();
    test.request(0, request_with_key("a", KEY));
    test.advance(500);
    expect_that!(test.exchanges().len(), eq(0));
}

/// Returns the links on which a kind of message was sent.
fn links_sent(test: &TestNode, is_kind: impl Fn(&LinkMessage) -> bool) -> Vec<LinkId> {
    let link = |action: &Action| match action {
        Action::SendOnLink { link, message } if is_kind(message) => Some(*link),
        _ => None,
    };
    test.actions.iter().filter_map(link).collect()
}

#[gtest]
fn queried_successor_pings_a_silent_owner_and_takes_over() {
    let (before, after) = names_ranked_around_own();
    let mut test = sole_owner();
    let link = connect_owner(&mut test, &after, 6);
    let owner = connect_owner(&mut test, &before, 5);
    query_token(&mut test, link);
    let pinged = links_sent(&test, |message| matches!(message, LinkMessage::Ping));
    expect_that!(pinged, contains(eq(&owner)));
    // The owner sends nothing, while the peer that queries the token is not silent.
    for _ in 0..6 {
        test.advance(300);
        query_token(&mut test, link);
    }
    expect_that!(
        query_token(&mut test, link),
        some(matches_pattern!(TokenResult::Granted { .. }))
    );
}

#[gtest]
fn successor_is_queried_too_if_the_owner_does_not_answer() {
    let names = names_ranked_before_own();
    let mut test = sole_owner();
    let owner = connect_owner(&mut test, &names[0], 5);
    let next = connect_owner(&mut test, &names[1], 6);
    test.actions.clear();
    test.request(0, request_with_key("a", KEY));
    let queried = |test: &TestNode| {
        links_sent(test, |message| {
            matches!(message, LinkMessage::TokenQuery(_))
        })
    };
    expect_that!(queried(&test), elements_are![eq(&owner)]);
    test.advance(100);
    expect_that!(queried(&test), contains(eq(&next)));
}

#[gtest]
fn queried_node_opens_a_link_to_an_owner_not_tried_before() {
    let records: Vec<NodeRecord> = (0..40)
        .map(|number: u8| NodeRecord {
            name: format!("peer-{number}"),
            address: support::address(100 + number),
            zone: "hall-a".to_owned(),
            service: SERVICE.to_owned(),
        })
        .collect();
    let tenants = (0..40).map(|number| Tenant {
        name: format!("tenant-{number}"),
        keys: Vec::new(),
        ..tenant(Some(LIMIT))
    });
    let mut test = TestNode {
        node: Node::new(at(0), settings("own", SERVICE)),
        now: 0,
        actions: Vec::new(),
    };
    test.event(Event::Wake);
    let is_registration = |request: &StoreRequest| matches!(request, StoreRequest::Register(_));
    test.answer_store(
        is_registration,
        StoreReply::Registered {
            epoch: StoreEpoch::default(),
            is_new: false,
        },
    );
    let list = nodes(test.record(), records.clone());
    test.answer_store(
        |request| matches!(request, StoreRequest::ListNodes { .. }),
        list,
    );
    let with_tenants = Configuration {
        tenants: tenants.clone().collect(),
        ..configuration(1)
    };
    let opened = |test: &TestNode| -> Vec<std::net::SocketAddr> {
        let address = |action: &Action| match action {
            Action::OpenLink { address, .. } => Some(*address),
            _ => None,
        };
        test.actions.iter().filter_map(address).collect()
    };
    test.advance(50);
    let mut tried = opened(&test);
    test.configure(with_tenants);
    test.advance(150);
    tried.extend(opened(&test));
    let owner_of = |tenant: &Tenant| {
        let hash = TenantHash::of(&tenant.name);
        let owner = records
            .iter()
            .max_by_key(|record| hash.owner_score(name_hash(&record.name)));
        owner.expect("a record").address
    };
    let untried = tenants
        .clone()
        .find(|tenant| !tried.contains(&owner_of(tenant)));
    let tenant = untried.expect("a tenant whose owner was not tried");
    let link = test.accept(50);
    test.actions.clear();
    let message = LinkMessage::TokenQuery(TokenQuery {
        number: 1,
        tenant: tenant.name.clone(),
        wanted: 1,
        seen: Vec::new(),
    });
    test.event(Event::Link { link, message });
    test.advance(150);
    expect_that!(opened(&test), contains(eq(&owner_of(&tenant))));
}

#[gtest]
fn next_owner_is_queried_while_there_is_no_link_to_the_first() {
    let names = names_ranked_before_own();
    let mut test = sole_owner();
    let next = connect_owner(&mut test, &names[2], 6);
    // Two peers that precede it are known, but there is no open link to them yet.
    for (number, name) in (30..).zip(&names[..2]) {
        let record = NodeRecord {
            name: name.clone(),
            address: support::address(number),
            zone: "hall-a".to_owned(),
            service: SERVICE.to_owned(),
        };
        let message = LinkMessage::TokenAnswer(TokenAnswer {
            number: 0,
            tenant: TENANT.to_owned(),
            result: TokenResult::OwnedBy(record),
        });
        test.event(Event::Link {
            link: next,
            message,
        });
    }
    test.actions.clear();
    test.request(0, request_with_key("a", KEY));
    let queried = links_sent(&test, |message| {
        matches!(message, LinkMessage::TokenQuery(_))
    });
    expect_that!(queried, elements_are![eq(&next)]);
}
