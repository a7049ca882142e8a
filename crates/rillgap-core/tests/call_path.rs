//! Tests of the data path with nodes connected in memory.

mod support;

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use rillgap_core::call::held_answer::MAX_HOLD_TIME;
use rillgap_core::code::{Outcome, ResultCode};
use rillgap_core::event::{BackEndFailure, Event, InboundId};
use rillgap_core::id::{BackEndName, CallToken, IdempotencyKey, NodeName, ServiceName};
use rillgap_core::policy::{BackEndPolicy, BackEndState, Policy};
use rillgap_core::request::AnswerHead;
use support::{Cluster, policy};

fn code(cluster: &Cluster, inbound: InboundId) -> Option<ResultCode> {
    cluster
        .response(inbound)
        .refusal
        .map(|refusal| refusal.code)
}

fn node_of(cluster: &Cluster, position: usize) -> String {
    let (node, _) = &cluster.calls[position];
    cluster.nodes[node].settings().name.as_str().to_owned()
}

fn fresh_key(cluster: &Cluster) -> IdempotencyKey {
    IdempotencyKey(u128::from(cluster.now.wall.as_millis()) << 80 | 0x7 << 76 | 1)
}

fn single_front() -> Policy {
    let mut policy = policy();
    policy
        .back_ends
        .retain(|back_end| back_end.name != BackEndName::new("front-2"));
    policy
}

#[gtest]
fn a_complete_answer_reaches_the_caller() {
    let mut cluster = Cluster::new(&policy());
    let inbound = cluster.call("GET", "/page", None);
    cluster.answer(0, "page");
    let response = cluster.response(inbound);
    expect_that!(response.status, some(eq(200)));
    expect_that!(response.body, eq(b"page"));
    expect_true!(response.is_complete);
}

#[gtest]
fn a_call_of_a_back_end_reaches_the_next_service() {
    let mut cluster = Cluster::new(&policy());
    let inbound = cluster.call("GET", "/page", None);
    let token = cluster.calls[0].1.token;
    let node = node_of(&cluster, 0);
    let child = cluster.child_call(&node, Some(token), "/fare");
    expect_that!(node_of(&cluster, 1), eq("node-deep-1"));
    cluster.answer(1, "fare");
    expect_true!(cluster.response(child).is_complete);
    cluster.answer(0, "page");
    expect_true!(cluster.response(inbound).is_complete);
}

#[gtest]
fn a_call_without_the_token_of_a_running_request_is_refused_and_not_run() {
    let mut cluster = Cluster::new(&policy());
    cluster.call("GET", "/page", None);
    let token = cluster.calls[0].1.token;
    let node = node_of(&cluster, 0);
    let missing = cluster.child_call(&node, None, "/fare");
    let unknown = cluster.child_call(&node, Some(CallToken(7)), "/fare");
    cluster.answer(0, "page");
    let stale = cluster.child_call(&node, Some(token), "/fare");
    for inbound in [missing, unknown, stale] {
        expect_that!(code(&cluster, inbound), some(eq(ResultCode::TokenInvalid)));
    }
    expect_that!(cluster.calls, is_empty());
}

#[gtest]
fn retries_of_a_back_end_are_charged_to_the_request_that_it_serves() {
    let policy = policy();
    let bound = usize::from(policy.bounds.extra_attempts);
    let mut cluster = Cluster::new(&policy);
    cluster.call("GET", "/page", None);
    let token = cluster.calls[0].1.token;
    let node = node_of(&cluster, 0);
    let children: Vec<InboundId> = (0..20)
        .map(|n| cluster.child_call(&node, Some(token), &format!("/fare?try={n}")))
        .collect();
    let refused =
        |inbound: &&InboundId| code(&cluster, **inbound) == Some(ResultCode::RetryBudgetSpent);
    let refused = children.iter().filter(refused).count();
    expect_that!(20 - refused, le(1 + bound));
}

#[gtest]
fn distinct_calls_for_one_request_are_bounded() {
    let policy = policy();
    let bound = usize::from(policy.bounds.calls_per_request);
    let mut cluster = Cluster::new(&policy);
    cluster.call("GET", "/page", None);
    let token = cluster.calls[0].1.token;
    let node = node_of(&cluster, 0);
    let children: Vec<InboundId> = (0..bound + 5)
        .map(|n| cluster.child_call(&node, Some(token), &format!("/fare/{n}")))
        .collect();
    let refused =
        |inbound: &&InboundId| code(&cluster, **inbound) == Some(ResultCode::CallBoundExceeded);
    expect_that!(children.iter().filter(refused).count(), eq(5));
}

#[gtest]
fn a_request_that_was_not_run_is_retried_at_another_back_end() {
    let mut cluster = Cluster::new(&policy());
    let inbound = cluster.call("GET", "/page", None);
    let first = node_of(&cluster, 0);
    let attempt = cluster.calls.remove(0).1.attempt;
    let failure = BackEndFailure::NotConnected;
    cluster.event(&first, Event::BackEndFailed { attempt, failure });
    expect_that!(node_of(&cluster, 0), not(eq(&first)));
    cluster.answer(0, "page");
    expect_true!(cluster.response(inbound).is_complete);
}

#[gtest]
fn an_interrupted_body_is_not_reported_as_complete() {
    let mut cluster = Cluster::new(&policy());
    let inbound = cluster.call("GET", "/page", None);
    let node = node_of(&cluster, 0);
    let attempt = cluster.calls[0].1.attempt;
    let head = AnswerHead {
        status: 200,
        headers: Vec::new(),
    };
    let chunk = Bytes::from_static(b"half");
    let failure = BackEndFailure::Broken;
    cluster.event(&node, Event::BackEndHead { attempt, head });
    cluster.event(&node, Event::BackEndBody { attempt, chunk });
    cluster.event(&node, Event::BackEndFailed { attempt, failure });
    expect_true!(cluster.response(inbound).is_aborted);
    expect_false!(cluster.response(inbound).is_complete);
}

#[gtest]
fn a_passed_deadline_is_answered_and_the_work_is_cancelled() {
    let mut cluster = Cluster::new(&policy());
    let inbound = cluster.call("GET", "/page", None);
    cluster.advance(Duration::from_millis(1_010));
    expect_that!(code(&cluster, inbound), some(eq(ResultCode::AnswerTimeout)));
    expect_that!(cluster.calls, is_empty());
}

#[gtest]
fn a_request_that_is_not_repeatable_needs_a_key() {
    let mut cluster = Cluster::new(&policy());
    let without = cluster.call("POST", "/bookings", None);
    expect_that!(code(&cluster, without), some(eq(ResultCode::KeyRequired)));
    let key = fresh_key(&cluster);
    let with = cluster.call("POST", "/bookings", Some(key));
    cluster.answer(0, "booked");
    expect_true!(cluster.response(with).is_complete);
}

#[gtest]
fn a_keyed_request_that_was_interrupted_is_not_run_again() {
    let mut cluster = Cluster::new(&policy());
    let key = fresh_key(&cluster);
    let inbound = cluster.call("POST", "/bookings", Some(key));
    let node = node_of(&cluster, 0);
    let attempt = cluster.calls.remove(0).1.attempt;
    let failure = BackEndFailure::Broken;
    cluster.event(&node, Event::BackEndFailed { attempt, failure });
    expect_that!(code(&cluster, inbound), some(eq(ResultCode::AnswerLost)));
    expect_that!(cluster.calls, is_empty());
}

#[gtest]
fn a_leaving_back_end_gets_no_new_requests() {
    let mut policy = single_front();
    policy.back_ends[0].state = BackEndState::Leaving;
    let mut cluster = Cluster::new(&policy);
    let inbound = cluster.call("GET", "/page", None);
    expect_that!(code(&cluster, inbound), some(eq(ResultCode::NoBackEnd)));
    expect_that!(cluster.calls, is_empty());
}

#[gtest]
fn a_back_end_that_announced_leaving_gets_no_new_requests() {
    let mut cluster = Cluster::new(&single_front());
    cluster.event("node-front-1", Event::BackEndAnnounced { leaving: true });
    let inbound = cluster.call("GET", "/page", None);
    expect_that!(
        code(&cluster, inbound),
        some(eq(ResultCode::BackEndLeaving))
    );
    expect_that!(cluster.calls, is_empty());
}

#[gtest]
fn a_planned_stop_finishes_the_requests_in_flight() {
    let mut cluster = Cluster::new(&single_front());
    let running = cluster.call("GET", "/page", None);
    cluster.event("node-front-1", Event::Stop);
    let later = cluster.call("GET", "/page", None);
    cluster.answer(0, "page");
    expect_true!(cluster.response(running).is_complete);
    expect_that!(code(&cluster, later), some(eq(ResultCode::NodeStopping)));
}

/// Guards against bookings without a known result while several entry nodes stop: a stopping node
/// must look up the key of a request, and serve it, for as long as it is a member of the view.
#[gtest]
fn stopping_entry_node_serves_keyed_requests_until_it_has_left() {
    let mut cluster = Cluster::new(&policy());
    let download = cluster.call("GET", "/page", None);
    cluster.event("entry", Event::Stop);
    let refused = cluster.call("GET", "/page", None);
    expect_that!(code(&cluster, refused), some(eq(ResultCode::NodeStopping)));
    let key = fresh_key(&cluster);
    let booking = cluster.call("POST", "/page", Some(key));
    cluster.answer(1, "booked");
    expect_true!(cluster.response(booking).is_complete);
    let repeated = cluster.call("POST", "/page", Some(key));
    expect_that!(cluster.response(repeated).body, eq(b"booked"));
    cluster.answer(0, "page");
    expect_true!(cluster.response(download).is_complete);
    let late = cluster.call("POST", "/page", Some(key));
    expect_that!(code(&cluster, late), some(eq(ResultCode::KeyUnchecked)));
}

/// Guards against stops that never end because callers send keyed requests all the time.
#[gtest]
fn keyed_requests_do_not_delay_the_leave_of_a_stopping_entry_node() {
    let mut cluster = Cluster::new(&policy());
    let download = cluster.call("GET", "/page", None);
    cluster.event("entry", Event::Stop);
    let key = fresh_key(&cluster);
    let booking = cluster.call("POST", "/page", Some(key));
    cluster.answer(0, "page");
    expect_true!(cluster.response(download).is_complete);
    let late = cluster.call("POST", "/page", Some(IdempotencyKey(key.0 + 1)));
    expect_that!(code(&cluster, late), some(eq(ResultCode::KeyUnchecked)));
    cluster.answer(0, "booked");
    expect_true!(cluster.response(booking).is_complete);
}

/// Gives all back ends slots for all requests of a test, from their slow start on.
fn with_many_slots(mut policy: Policy) -> Policy {
    for service in &mut policy.services {
        service.slots = 40;
    }
    policy
}

fn two_deep() -> Policy {
    let mut policy = policy();
    policy.back_ends.push(BackEndPolicy {
        name: BackEndName::new("deep-2"),
        service: ServiceName::new("deep"),
        node: NodeName::new("node-deep-2"),
        state: BackEndState::Serving,
    });
    policy
}

/// Sends the head and a part of the body of an answer.
fn begin_answer(cluster: &mut Cluster, position: usize, body: &'static [u8]) {
    let node = node_of(cluster, position);
    let attempt = cluster.calls[position].1.attempt;
    let head = AnswerHead {
        status: 200,
        headers: Vec::new(),
    };
    let chunk = Bytes::from_static(body);
    cluster.event(&node, Event::BackEndHead { attempt, head });
    cluster.event(&node, Event::BackEndBody { attempt, chunk });
}

/// Ends a running request at a back end with a failure.
fn fail(cluster: &mut Cluster, position: usize, failure: BackEndFailure) {
    let node = node_of(cluster, position);
    let attempt = cluster.calls.remove(position).1.attempt;
    cluster.event(&node, Event::BackEndFailed { attempt, failure });
}

/// Guards against repeats of whole chains: a call of a back end whose answer breaks off must be
/// retried by itself, so that the back end does not fail and is not run again.
#[gtest]
fn broken_answer_to_a_back_end_is_retried_where_it_broke() {
    let mut cluster = Cluster::new(&two_deep());
    let inbound = cluster.call("GET", "/page", None);
    let token = cluster.calls[0].1.token;
    let front = node_of(&cluster, 0);
    let child = cluster.child_call(&front, Some(token), "/fare");
    begin_answer(&mut cluster, 1, b"fa");
    expect_that!(cluster.response(child).status, none());
    fail(&mut cluster, 1, BackEndFailure::Broken);
    cluster.answer(1, "fare");
    let response = cluster.response(child);
    expect_that!(response.body, eq(b"fare"));
    expect_true!(response.is_complete);
    expect_false!(response.is_aborted);
    cluster.answer(0, "page");
    expect_true!(cluster.response(inbound).is_complete);
}

/// Guards against retries that begin higher up than needed: the last extra attempt of a call must not
/// be lost in the calls of an attempt that fails.
#[gtest]
fn last_extra_attempt_is_kept_where_an_attempt_with_calls_in_flight_may_fail() {
    let mut policy = policy();
    policy.bounds.extra_attempts = 1;
    let mut cluster = Cluster::new(&policy);
    let inbound = cluster.call("GET", "/page", None);
    let token = cluster.calls[0].1.token;
    let front = node_of(&cluster, 0);
    cluster.child_call(&front, Some(token), "/fare");
    fail(&mut cluster, 0, BackEndFailure::Broken);
    let is_front = |at: &usize| node_of(&cluster, *at).starts_with("node-front");
    let retry = (0..cluster.calls.len()).find(is_front);
    expect_that!(retry, some(anything()));
    if let Some(retry) = retry {
        cluster.answer(retry, "page");
    }
    expect_true!(cluster.response(inbound).is_complete);
}

/// Guards against streams that arrive late, and long answers that fill the memory of a node.
#[gtest]
fn long_or_slow_answers_to_a_back_end_are_forwarded_as_they_arrive() {
    static LONG: [u8; 5_000] = [b'x'; 5_000];
    for (part, wait) in [(&LONG[..], Duration::ZERO), (b"slow", MAX_HOLD_TIME)] {
        let mut cluster = Cluster::new(&policy());
        cluster.call("GET", "/page", None);
        let token = cluster.calls[0].1.token;
        let front = node_of(&cluster, 0);
        let child = cluster.child_call(&front, Some(token), "/fare");
        begin_answer(&mut cluster, 1, part);
        cluster.advance(wait);
        expect_that!(cluster.response(child).status, some(eq(200)));
        expect_that!(cluster.response(child).body.len(), eq(part.len()));
        fail(&mut cluster, 1, BackEndFailure::Broken);
        expect_true!(cluster.response(child).is_aborted);
    }
}

/// Guards against retries that are spent on a back end that has ended: the node beside it knows
/// from its broken connections.
#[gtest]
fn back_end_whose_requests_have_all_broken_gets_no_retries() {
    let mut policy = with_many_slots(policy());
    policy.bounds.extra_attempts = 1;
    policy.bounds.retry_percent = 100;
    let mut cluster = Cluster::new(&policy);
    let inbounds: Vec<InboundId> = (0..8).map(|_| cluster.call("GET", "/page", None)).collect();
    let ended = node_of(&cluster, 0);
    let is_lost =
        |cluster: &Cluster| (0..cluster.calls.len()).find(|at| node_of(cluster, *at) == ended);
    let mut lost = 0;
    while let Some(position) = is_lost(&cluster) {
        fail(&mut cluster, position, BackEndFailure::Broken);
        lost += 1;
    }
    expect_that!(lost, ge(2));
    let later = cluster.call("GET", "/page", None);
    expect_that!(is_lost(&cluster), none());
    while !cluster.calls.is_empty() {
        cluster.answer(0, "page");
    }
    for inbound in inbounds.into_iter().chain([later]) {
        expect_true!(cluster.response(inbound).is_complete);
    }
    cluster.advance(Duration::from_secs(3));
    for _ in 0..8 {
        cluster.call("GET", "/page", None);
    }
    expect_that!(is_lost(&cluster), some(anything()), "is tried again");
}

/// Guards against a back end that is passed over because single requests of it break.
#[gtest]
fn back_end_with_other_requests_running_is_not_passed_over() {
    let mut cluster = Cluster::new(&with_many_slots(single_front()));
    for _ in 0..4 {
        cluster.call("GET", "/page", None);
    }
    for _ in 0..2 {
        fail(&mut cluster, 0, BackEndFailure::Broken);
    }
    let inbound = cluster.call("GET", "/page", None);
    while !cluster.calls.is_empty() {
        cluster.answer(0, "page");
    }
    expect_true!(cluster.response(inbound).is_complete);
}

#[gtest]
fn names_of_nodes_give_stable_identifiers() {
    expect_that!(NodeName::new("entry").id(), eq(NodeName::new("entry").id()));
    expect_that!(
        NodeName::new("entry").id(),
        not(eq(NodeName::new("other").id()))
    );
}

#[gtest]
fn a_refused_retry_is_not_reported_as_not_run_after_an_attempt_that_may_have_run() {
    let mut cluster = Cluster::new(&policy());
    let inbound = cluster.call("GET", "/page", None);
    for failure in [BackEndFailure::Broken, BackEndFailure::NotConnected] {
        let node = node_of(&cluster, 0);
        let attempt = cluster.calls.remove(0).1.attempt;
        cluster.event(&node, Event::BackEndFailed { attempt, failure });
    }
    let outcome = code(&cluster, inbound).map(ResultCode::outcome);
    expect_that!(outcome, some(eq(Outcome::Unknown)));
}
