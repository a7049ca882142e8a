//! Outbound side of a node: where requests are sent, when they are retried, how they are answered.

mod support;

use googletest::prelude::*;
use rillgap_core::admission::Level;
use rillgap_core::code::ResultCode;
use rillgap_forward::action::Action;
use rillgap_forward::event::{Event, ExchangeResult};
use rillgap_forward::id::ConnectionId;
use rillgap_forward::log_record::{AttemptRecord, LogRecord};
use rillgap_forward::message::{
    ForwardResponse, ForwardResult, LinkMessage, NotRunProof, ServiceAdmissionLevel, Status,
    Timing, level_of, priority_of,
};
use support::{DEEP_SERVICE, SERVICE, TestNode, answer, caller_request, serving};

fn not_run(arrived: bool) -> ForwardResult {
    ForwardResult::NotRun {
        code: ResultCode::QueueFull,
        proof: if arrived {
            NotRunProof::Refused
        } else {
            NotRunProof::NotStarted
        },
        retry_after_millis: 350,
    }
}

fn answer_lost() -> ForwardResult {
    ForwardResult::Unknown {
        code: ResultCode::AnswerLost,
    }
}

/// Returns a node without a serving back end that has links to two serving peers.
fn entry() -> TestNode {
    let mut test = TestNode::configured("logbok");
    test.connect("peer-a", 2, SERVICE);
    test.connect("peer-b", 3, SERVICE);
    test.actions.clear();
    test
}

/// Returns a node without a serving back end that has links to `count` serving peers.
fn entry_with_peers(count: u8) -> TestNode {
    let mut test = TestNode::configured("logbok");
    for number in 0..count {
        test.connect(&format!("peer-{number}"), 10 + number, SERVICE);
    }
    test.actions.clear();
    test
}

fn has_retry_after(fields: &[u8]) -> bool {
    String::from_utf8_lossy(fields).contains("Retry-After: ")
}

#[gtest]
fn node_without_a_configuration_answers_503_and_is_not_ready() {
    let mut test = TestNode::unconfigured("logbok");
    expect_that!(test.node.is_ready(), eq(false));
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(has_retry_after(&test.answers()[0].fields), eq(true));
}

#[gtest]
fn unknown_route_is_404() {
    let mut test = entry();
    test.request(0, caller_request("a", "/other/1"));
    expect_that!(test.statuses(), elements_are![eq(&404)]);
}

#[gtest]
fn answer_of_a_peer_is_returned_unchanged() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    test.respond(ForwardResult::Answered(answer(200)));
    let answers = test.answers();
    expect_that!(answers[0].status, eq(200));
    expect_that!(answers[0].body, eq(b"body"));
}

#[gtest]
fn request_carries_the_smaller_of_deadline_and_timeout() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    let mut long_deadline = caller_request("b", "/safe/1");
    long_deadline.deadline = Some(std::time::Duration::from_secs(60));
    test.request(1, long_deadline);
    let remaining: Vec<u64> = test
        .sent()
        .iter()
        .map(|(_, _, request)| request.remaining_micros)
        .collect();
    expect_that!(remaining, elements_are![eq(&800_000), eq(&1_000_000)]);
}

#[gtest]
fn at_most_once_request_is_not_retried_after_a_lost_answer() {
    let mut test = entry();
    test.request(0, caller_request("a", "/once/1"));
    test.respond(answer_lost());
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.statuses(), elements_are![eq(&502)]);
}

#[gtest]
fn at_most_once_request_is_retried_if_it_is_reported_as_not_run() {
    let mut test = entry();
    test.request(0, caller_request("a", "/once/1"));
    test.respond(not_run(false));
    let sent = test.sent();
    expect_that!(sent.len(), eq(2));
    expect_that!(sent[0].0, not(eq(sent[1].0)));
    test.respond(not_run(false));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(has_retry_after(&test.answers()[0].fields), eq(true));
}

#[gtest]
fn log_names_each_attempt_of_a_refused_request_and_the_proof_that_it_did_not_run() {
    let mut test = entry();
    test.request(0, caller_request("a", "/once/1"));
    test.respond(not_run(true));
    test.respond(not_run(false));
    let attempts: Vec<AttemptRecord> = test
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Log(LogRecord::Retried { attempt, .. }) => Some(attempt.clone()),
            Action::Log(LogRecord::Answered { last_attempt, .. }) => Some(last_attempt.clone()),
            _ => None,
        })
        .collect();
    let proofs: Vec<Option<NotRunProof>> = attempts.iter().map(|attempt| attempt.proof).collect();
    let expected = [Some(NotRunProof::Refused), Some(NotRunProof::NotStarted)];
    expect_that!(proofs, eq(&expected.to_vec()));
    expect_that!(attempts[0].node, not(eq(&attempts[1].node)));
    expect_that!(attempts[0].sequence, lt(attempts[1].sequence));
}

#[gtest]
fn refusal_by_a_back_end_does_not_count_as_an_attempt() {
    let mut test = entry_with_peers(6);
    for number in 0..40 {
        let id = format!("earlier-{number}");
        test.request(100 + number, caller_request(&id, "/safe/1"));
        test.respond(ForwardResult::Answered(answer(200)));
    }
    test.actions.clear();
    // The route allows three attempts.
    test.request(0, caller_request("a", "/safe/1"));
    for _ in 0..3 {
        test.respond(not_run(true));
    }
    expect_that!(test.sent().len(), eq(4));
}

#[gtest]
fn refusal_after_an_attempt_with_unknown_outcome_is_answered_with_502() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    test.respond(answer_lost());
    expect_that!(test.sent().len(), eq(2));
    test.respond(not_run(false));
    expect_that!(test.statuses(), elements_are![eq(&502)]);
}

#[gtest]
fn failure_of_a_back_end_is_returned_if_the_retry_is_refused() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    test.respond(ForwardResult::Answered(answer(500)));
    expect_that!(test.sent().len(), eq(2));
    test.respond(not_run(false));
    expect_that!(test.statuses(), elements_are![eq(&500)]);
}

#[gtest]
fn status_503_of_a_back_end_is_not_passed_on_for_an_at_most_once_request() {
    let mut test = entry();
    test.request(0, caller_request("a", "/once/1"));
    test.respond(ForwardResult::Answered(answer(503)));
    expect_that!(test.statuses(), elements_are![eq(&502)]);
}

#[gtest]
fn request_past_its_deadline_is_answered_at_once_and_cancelled() {
    // With a second peer, the request would be retried there before its deadline.
    let mut test = TestNode::configured("logbok");
    test.connect("peer-a", 2, SERVICE);
    test.actions.clear();
    test.request(0, caller_request("a", "/safe/1"));
    test.advance(801);
    expect_that!(test.statuses(), elements_are![eq(&504)]);
    let cancels = test.actions.iter().filter(|action| {
        matches!(
            action,
            Action::SendOnLink {
                message: LinkMessage::Cancel(_),
                ..
            }
        )
    });
    expect_that!(cancels.count(), eq(1));
    // A late answer is ignored.
    test.respond(ForwardResult::Answered(answer(200)));
    expect_that!(test.statuses(), elements_are![eq(&504)]);
}

#[gtest]
fn closed_caller_connection_cancels_all_its_requests() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    test.request(1, caller_request("b", "/safe/1"));
    test.event(Event::CallerDisconnected(ConnectionId(1)));
    expect_that!(test.node.outbound().in_flight(), eq(0));
    expect_that!(test.answers(), is_empty());
}

#[gtest]
fn end_of_a_link_retries_idempotent_requests_and_answers_the_others() {
    let mut test = TestNode::configured("logbok");
    let link = test.connect("peer-a", 2, SERVICE);
    test.request(0, caller_request("a", "/safe/1"));
    test.request(1, caller_request("b", "/once/1"));
    test.connect("peer-b", 3, SERVICE);
    test.event(Event::LinkClosed(link));
    expect_that!(test.statuses(), elements_are![eq(&502)]);
    expect_that!(test.sent().len(), eq(3));
}

#[gtest]
fn request_without_a_back_end_is_refused_with_retry_after() {
    let mut test = TestNode::configured("logbok");
    test.request(0, caller_request("a", "/once/1"));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(has_retry_after(&test.answers()[0].fields), eq(true));
}

#[gtest]
fn stopping_peer_gets_no_requests() {
    let mut test = TestNode::configured("logbok");
    let link = test.connect("peer-a", 2, SERVICE);
    let status = Status {
        is_stopping: true,
        ..serving(SERVICE)
    };
    test.event(Event::Link {
        link,
        message: LinkMessage::Status(status),
    });
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.sent(), is_empty());
    expect_that!(test.statuses(), elements_are![eq(&503)]);
}

/// Sends 200 requests whose first answers are lost, so that each is worth a retry, and returns the
/// number of retries. The answers report calls to `involved`.
fn retries_of_200_requests(involved: &[ServiceAdmissionLevel]) -> usize {
    let mut test = entry();
    for index in 0..200 {
        test.request(index, caller_request(&format!("r{index}"), "/safe/1"));
        test.respond(answer_lost());
        if test.node.outbound().in_flight() > 0 {
            let result = ForwardResult::Answered(answer(200));
            test.respond_with(serving(SERVICE).load, involved.to_vec(), result);
        }
    }
    test.sent().len() - 200
}

#[gtest]
fn retries_stay_within_the_ratio_of_the_requests() {
    let called = ServiceAdmissionLevel {
        service: DEEP_SERVICE.to_owned(),
        level: Level(0),
    };
    // With calls, a node uses two fifths of the ratio 0.2, plus one retry: 17 for 200 requests.
    expect_that!(retries_of_200_requests(&[called]), all!(ge(10), le(17)));
    // Without calls, it uses four fifths of the ratio, plus one retry: 33, which is below the 40
    // that the ratio allows the whole deployment.
    expect_that!(retries_of_200_requests(&[]), all!(ge(20), le(33)));
}

#[gtest]
fn call_of_the_back_end_inherits_the_priority_of_its_root() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let mut parent = support::forwarded_request("root", false);
    parent.level = level_of(0, "root");
    test.forward(link, 1, parent);
    test.request(0, caller_request("root.child", "/safe/1"));
    test.request(1, caller_request("stranger.child", "/safe/1"));
    let exchanges = test.exchanges();
    let child = &exchanges[1].request;
    expect_that!(child.is_call, eq(true));
    expect_that!(child.level, eq(level_of(0, "root")));
    // Its identifier names no request that is running here, so it counts as a caller's request.
    let unrelated = &exchanges[2].request;
    expect_that!(unrelated.is_call, eq(false));
    expect_that!(priority_of(unrelated.level), eq(1));
}

/// Makes a peer answer the request that was sent last with status 500.
fn respond_with_500(test: &mut TestNode, has_failed_call: bool) {
    let (link, sequence, _) = test.sent().pop().expect("a request that was sent");
    let response = ForwardResponse {
        sequence,
        load: serving(SERVICE).load,
        downstream_levels: Vec::new(),
        has_failed_call,
        timing: Timing::default(),
        result: ForwardResult::Answered(answer(500)),
    };
    let message = LinkMessage::Response(response);
    test.event(Event::Link { link, message });
}

#[gtest]
fn failure_of_a_back_end_is_retried_unless_its_call_failed() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    respond_with_500(&mut test, false);
    expect_that!(test.sent().len(), eq(2));
    test.respond(ForwardResult::Answered(answer(200)));
    expect_that!(test.statuses(), elements_are![eq(&200)]);
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    respond_with_500(&mut test, true);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.statuses(), elements_are![eq(&500)]);
}

#[gtest]
fn local_back_end_is_reached_without_a_link() {
    let mut test = TestNode::serving();
    test.request(0, caller_request("a", "/safe/1"));
    let exchange = test.exchanges()[0].id;
    test.end_exchange(exchange, ExchangeResult::Answered(answer(200)));
    expect_that!(test.statuses(), elements_are![eq(&200)]);
}

#[gtest]
fn silent_link_with_requests_is_pinged_before_their_deadline() {
    let mut test = TestNode::configured("logbok");
    let link = test.connect("peer-a", 2, SERVICE);
    let mut without_deadline = caller_request("a", "/once/1");
    without_deadline.deadline = None;
    test.request(0, without_deadline);
    test.actions.clear();
    test.advance(990);
    expect_that!(test.statuses(), is_empty());
    let pings = test.actions.iter().filter(|action| {
        matches!(action, Action::SendOnLink { link: on, message: LinkMessage::Ping } if *on == link)
    });
    expect_that!(pings.count(), ge(2));
}

#[gtest]
fn peer_with_an_unanswered_ping_gets_no_new_requests_until_it_answers() {
    let mut test = TestNode::configured("logbok");
    let link = test.connect("peer-a", 2, SERVICE);
    test.request(0, caller_request("a", "/safe/1"));
    test.advance(500);
    test.request(1, caller_request("b", "/safe/1"));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    test.event(Event::Link {
        link,
        message: LinkMessage::Pong,
    });
    test.request(2, caller_request("c", "/safe/1"));
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn requests_at_a_suspected_peer_are_not_retried_at_once() {
    let mut test = TestNode::configured("logbok");
    test.connect("peer-a", 2, SERVICE);
    test.request(0, caller_request("b", "/once/1"));
    test.request(1, caller_request("a", "/safe/1"));
    test.connect("peer-b", 3, SERVICE);
    test.actions.clear();
    test.advance(450);
    expect_that!(test.sent(), is_empty());
    expect_that!(test.statuses(), is_empty());
}

#[gtest]
fn node_without_room_refuses_callers_and_goes_on_with_chains_that_have_begun() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.forward(link, 1, support::forwarded_request("chain", true));
    let shortage = |is_short| Event::BufferShortage {
        is_short,
        held: 900,
        limit: 1_000,
    };
    test.event(shortage(true));
    test.request(0, caller_request("a", "/safe/1"));
    expect_that!(test.statuses(), elements_are![eq(&503)]);
    expect_that!(has_retry_after(&test.answers()[0].fields), eq(true));
    test.actions.clear();
    test.request(1, caller_request("chain.1", "/safe/1"));
    expect_that!(test.statuses(), is_empty());
    test.event(shortage(false));
    test.request(2, caller_request("b", "/safe/1"));
    expect_that!(test.statuses(), is_empty());
}

/// Reports that the answer to an attempt has begun and is overdue.
fn report_overdue(test: &mut TestNode, attempt: usize) {
    let (link, sequence, _) = test.sent()[attempt].clone();
    let message = LinkMessage::AnswerOverdue(sequence);
    test.event(Event::Link { link, message });
}

/// Delivers the result of an attempt.
fn respond_to(test: &mut TestNode, attempt: usize, result: ForwardResult) {
    let (link, sequence, _) = test.sent()[attempt].clone();
    let message = LinkMessage::Response(ForwardResponse {
        sequence,
        load: serving(SERVICE).load,
        downstream_levels: Vec::new(),
        has_failed_call: false,
        timing: Timing::default(),
        result,
    });
    test.event(Event::Link { link, message });
}

/// Returns the sequence numbers of cancelled attempts.
fn cancelled(test: &TestNode) -> Vec<u64> {
    let sequence = |action: &Action| match action {
        Action::SendOnLink {
            message: LinkMessage::Cancel(sequence),
            ..
        } => Some(sequence.0),
        _ => None,
    };
    test.actions.iter().filter_map(sequence).collect()
}

#[gtest]
fn overdue_answer_goes_on_beside_a_second_attempt_and_counts_if_it_is_whole_first() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    report_overdue(&mut test, 0);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(cancelled(&test), is_empty());
    respond_to(&mut test, 0, ForwardResult::Answered(answer(200)));
    expect_that!(test.statuses(), elements_are![eq(&200)]);
    let second = test.sent()[1].1;
    expect_that!(cancelled(&test), elements_are![eq(&second.0)]);
    respond_to(&mut test, 1, ForwardResult::Answered(answer(200)));
    expect_that!(test.statuses().len(), eq(1));
}

#[gtest]
fn answer_to_the_second_attempt_ends_the_overdue_one() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    report_overdue(&mut test, 0);
    respond_to(&mut test, 1, ForwardResult::Answered(answer(200)));
    expect_that!(test.statuses(), elements_are![eq(&200)]);
    let first = test.sent()[0].1;
    expect_that!(cancelled(&test), elements_are![eq(&first.0)]);
}

#[gtest]
fn failure_of_the_second_attempt_leaves_the_overdue_answer_to_come() {
    for failure in [
        answer_lost(),
        not_run(true),
        ForwardResult::Answered(answer(500)),
    ] {
        let mut test = entry();
        test.request(0, caller_request("a", "/safe/1"));
        report_overdue(&mut test, 0);
        respond_to(&mut test, 1, failure);
        expect_that!(test.statuses(), is_empty());
        respond_to(&mut test, 0, ForwardResult::Answered(answer(200)));
        expect_that!(test.statuses(), elements_are![eq(&200)]);
    }
}

#[gtest]
fn end_of_the_link_of_an_overdue_answer_leaves_the_second_attempt() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    report_overdue(&mut test, 0);
    let link = test.sent()[0].0;
    test.event(Event::LinkClosed(link));
    expect_that!(test.statuses(), is_empty());
    respond_to(&mut test, 1, ForwardResult::Answered(answer(200)));
    expect_that!(test.statuses(), elements_are![eq(&200)]);
}

#[gtest]
fn caller_that_leaves_ends_both_attempts() {
    let mut test = entry();
    test.request(0, caller_request("a", "/safe/1"));
    report_overdue(&mut test, 0);
    test.event(Event::CallerDisconnected(ConnectionId(1)));
    expect_that!(cancelled(&test).len(), eq(2));
}

#[gtest]
fn request_that_may_run_once_is_not_sent_elsewhere_while_its_answer_is_overdue() {
    let mut test = entry();
    test.request(0, caller_request("a", "/once/1"));
    report_overdue(&mut test, 0);
    expect_that!(test.sent().len(), eq(1));
    respond_to(&mut test, 0, ForwardResult::Answered(answer(200)));
    expect_that!(test.statuses(), elements_are![eq(&200)]);
}

/// Guards against twice the work, and a retry budget that is used up, where all answers of a service come
/// in pieces.
#[gtest]
fn service_whose_answers_are_usually_overdue_gets_no_second_attempts() {
    let mut test = entry();
    let mut attempts = 0;
    for number in 0..60 {
        test.request(number, caller_request(&format!("r{number}"), "/safe/1"));
        let first = attempts;
        report_overdue(&mut test, first);
        attempts = test.sent().len();
        respond_to(&mut test, first, ForwardResult::Answered(answer(200)));
    }
    let retries = attempts - 60;
    expect_that!(retries, all![ge(1), le(25)]);
}
