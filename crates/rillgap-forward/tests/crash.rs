//! Tests of requests that crash back ends: detection of crashes, exoneration, isolation and
//! quarantine.

mod support;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_core::id::Fingerprint;
use rillgap_forward::action::Action;
use rillgap_forward::crash::{ContentEvidence, CrashId, CrashRecord, EvidenceStrength, Suspicion};
use rillgap_forward::event::{AnnouncedState, Event, ExchangeResult, ProbeResult};
use rillgap_forward::id::LinkId;
use rillgap_forward::incarnation::Incarnation;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::{ForwardResult, ForwardedRequest, LinkMessage, NotRunProof};

use support::*;

/// Time within which all connections of a process that has ended are seen to close, in
/// milliseconds.
const CONNECTION_CLOSE_WINDOW: u64 = 5;
/// Maximum time for which responses to lost requests are held, in milliseconds.
const HOLD_TIMEOUT: u64 = 60;

fn request(id: &str, target: &str) -> ForwardedRequest {
    ForwardedRequest {
        target: target.to_owned(),
        ..forwarded_request(id, true)
    }
}

fn content(target: &str) -> Fingerprint {
    request("any", target).content()
}

/// Starts a request for each target at the same time and loses all their answers.
fn lose_requests(test: &mut TestNode, link: LinkId, targets: &[&str]) {
    let before = test.exchanges().len();
    for target in targets {
        let number = test.exchanges().len() as u64 + 100;
        test.forward(link, number, request(&format!("r{number}"), target));
    }
    let started = test.exchanges().split_off(before);
    for exchange in started {
        test.end_exchange(exchange.id, ExchangeResult::Lost);
    }
    test.advance(CONNECTION_CLOSE_WINDOW);
}

/// Answers the pending health probe.
fn answer_probe(test: &mut TestNode, result: ProbeResult) {
    let probe = test.probe().expect("a pending health probe");
    test.end_probe(probe, result);
}

/// Starts the next incarnation and confirms it.
fn start_incarnation(test: &mut TestNode, instance: &str) {
    test.heartbeat_of(instance, 1, AnnouncedState::Ready);
    test.confirm(instance);
}

/// Returns the evidence about a target that a peer would send.
fn evidence(target: &str, crashes: &[(&str, bool)]) -> ContentEvidence {
    let record = |(instance, was_only_suspect): &(&str, bool)| CrashRecord {
        crash: CrashId::of(&Incarnation::without_start(instance)),
        strength: if *was_only_suspect {
            EvidenceStrength::Strong
        } else {
            EvidenceStrength::Inconclusive
        },
        age_micros: 0,
    };
    ContentEvidence {
        content: content(target),
        crashes: crashes.iter().map(record).collect(),
        is_exonerated: false,
    }
}

fn receive_evidence(test: &mut TestNode, link: LinkId, evidence: Vec<ContentEvidence>) {
    test.event(Event::Link {
        link,
        message: LinkMessage::CrashEvidence(evidence),
    });
}

fn suspicion(test: &TestNode, target: &str) -> Suspicion {
    let register = test.node.inbound().crashes();
    register.suspicion(at(test.now), content(target))
}

/// Returns the evidence that was sent, with the link of each message.
fn sent_evidence(test: &TestNode) -> Vec<(LinkId, Vec<ContentEvidence>)> {
    let sent = |action: &Action| match action {
        Action::SendOnLink {
            link,
            message: LinkMessage::CrashEvidence(evidence),
        } => Some((*link, evidence.clone())),
        _ => None,
    };
    test.actions.iter().filter_map(sent).collect()
}

#[gtest]
fn requests_lost_in_a_crash_become_suspects() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    lose_requests(&mut test, link, &["/a", "/b"]);
    answer_probe(&mut test, ProbeResult::Refused);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Suspected));
    expect_that!(suspicion(&test, "/b"), eq(Suspicion::Suspected));
}

#[gtest]
fn answer_lost_by_a_live_process_makes_no_suspect() {
    for result in [
        ProbeResult::Healthy {
            instance: "i-1".to_owned(),
        },
        ProbeResult::Unhealthy,
    ] {
        let mut test = TestNode::serving();
        let link = test.accept(50);
        lose_requests(&mut test, link, &["/a"]);
        answer_probe(&mut test, result);
        test.advance(HOLD_TIMEOUT);
        start_incarnation(&mut test, "i-2");
        expect_that!(suspicion(&test, "/a"), eq(Suspicion::Clear));
    }
}

/// Runs a request that the back end answers.
fn run_and_answer(test: &mut TestNode, link: LinkId, target: &str) {
    let number = test.exchanges().len() as u64 + 100;
    test.forward(link, number, request(&format!("r{number}"), target));
    let exchange = test.exchanges().pop().expect("a started request");
    test.end_exchange(exchange.id, ExchangeResult::Answered(answer(200)));
}

#[gtest]
fn request_that_was_answered_shortly_before_a_crash_is_no_suspect() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    run_and_answer(&mut test, link, "/a");
    lose_requests(&mut test, link, &["/a", "/b"]);
    answer_probe(&mut test, ProbeResult::Refused);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Clear));
    expect_that!(suspicion(&test, "/b"), eq(Suspicion::Suspected));
}

#[gtest]
fn request_that_was_answered_here_shortly_before_a_crash_elsewhere_is_exonerated() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let peer = test.connect("peer-a", 2, SERVICE);
    run_and_answer(&mut test, link, "/a");
    test.actions.clear();
    receive_evidence(&mut test, peer, vec![evidence("/a", &[("i-7", false)])]);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Clear));
    let exonerations = sent_evidence(&test);
    let is_exoneration_sent = exonerations
        .iter()
        .flat_map(|(_, evidence)| evidence)
        .any(|evidence| evidence.is_exonerated);
    expect_that!(is_exoneration_sent, eq(true));
}

/// A back end that fails some of its requests, or runs out of time, may answer before it reaches
/// the code that crashes it.
#[gtest]
fn answer_with_a_server_error_does_not_exonerate() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    receive_evidence(&mut test, link, vec![evidence("/a", &[("i-7", false)])]);
    test.forward(link, 1, request("r1", "/a"));
    let exchange = test.exchanges().pop().expect("a started request");
    test.end_exchange(exchange.id, ExchangeResult::Answered(answer(500)));
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Suspected));
}

#[gtest]
fn old_answer_does_not_exonerate() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    run_and_answer(&mut test, link, "/a");
    for _ in 0..3 {
        test.advance(31_000);
        run_and_answer(&mut test, link, "/other");
    }
    receive_evidence(&mut test, link, vec![evidence("/a", &[("i-7", false)])]);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Suspected));
}

#[gtest]
fn answers_lost_while_earlier_requests_run_trigger_no_probe() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.forward(link, 1, request("r1", "/other"));
    test.advance(1);
    lose_requests(&mut test, link, &["/a"]);
    expect_that!(test.probe(), none());
    let results = test.results();
    expect_that!(results.len(), eq(1));
}

#[gtest]
fn back_end_that_leaves_as_planned_has_not_crashed() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    lose_requests(&mut test, link, &["/a"]);
    test.leave("i-1");
    answer_probe(&mut test, ProbeResult::Refused);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Clear));
}

#[gtest]
fn crash_without_a_conclusive_probe_is_detected_when_the_next_incarnation_starts() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    lose_requests(&mut test, link, &["/a"]);
    answer_probe(&mut test, ProbeResult::Unreachable);
    test.advance(3_000);
    start_incarnation(&mut test, "i-2");
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Suspected));
}

#[gtest]
fn log_record_of_a_lost_request_names_its_incarnation() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    lose_requests(&mut test, link, &["/a"]);
    start_incarnation(&mut test, "i-2");
    let lost = test.log_records().into_iter().find_map(|note| match note {
        LogRecord::NotAnswered { lost, .. } => lost,
        _ => None,
    });
    let lost = lost.expect("a record of the lost request");
    expect_that!(lost.instance, eq(INSTANCE));
    expect_that!(lost.content, eq(content("/a")));
}

#[gtest]
fn crash_evidence_is_sent_before_the_responses_to_lost_requests() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    receive_evidence(&mut test, link, vec![evidence("/a", &[("i-8", false)])]);
    test.actions.clear();
    lose_requests(&mut test, link, &["/a"]);
    expect_that!(test.results().len(), eq(0));
    answer_probe(&mut test, ProbeResult::Refused);
    let kinds: Vec<&str> = test
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::SendOnLink { message, .. } => match message {
                LinkMessage::CrashEvidence(_) => Some("evidence"),
                LinkMessage::Response(_) => Some("response"),
                _ => None,
            },
            _ => None,
        })
        .collect();
    expect_that!(kinds, elements_are![eq(&"evidence"), eq(&"response")]);
}

#[gtest]
fn lost_requests_are_answered_after_the_hold_timeout_without_a_probe_result() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    lose_requests(&mut test, link, &["/a"]);
    test.advance(HOLD_TIMEOUT);
    let results = test.results();
    expect_that!(
        results[0].1,
        eq(&ForwardResult::Unknown {
            code: ResultCode::AnswerLost
        })
    );
}

#[gtest]
fn recurrent_requests_run_one_at_a_time_beside_others() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let twice = [("i-8", false), ("i-9", false)];
    receive_evidence(
        &mut test,
        link,
        vec![evidence("/a", &twice), evidence("/b", &twice)],
    );
    test.forward(link, 1, request("r1", "/a"));
    test.forward(link, 2, request("r2", "/b"));
    test.forward(link, 3, request("r3", "/other"));
    let targets = |test: &TestNode| -> Vec<String> {
        let exchanges = test.exchanges();
        exchanges
            .iter()
            .map(|known| known.request.target.clone())
            .collect()
    };
    expect_that!(targets(&test), elements_are![eq("/a"), eq("/other")]);
    let first = test.exchanges()[0].id;
    test.end_exchange(first, ExchangeResult::Answered(answer(200)));
    expect_that!(
        targets(&test),
        elements_are![eq("/a"), eq("/other"), eq("/b")]
    );
}

#[gtest]
fn request_is_quarantined_after_two_crashes_as_the_only_suspect() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let twice = [("i-8", false), ("i-9", false)];
    receive_evidence(&mut test, link, vec![evidence("/a", &twice)]);
    lose_requests(&mut test, link, &["/a", "/other"]);
    answer_probe(&mut test, ProbeResult::Refused);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Recurrent));
    start_incarnation(&mut test, "i-2");
    lose_requests(&mut test, link, &["/a"]);
    answer_probe(&mut test, ProbeResult::Refused);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Quarantined));
    expect_that!(suspicion(&test, "/other"), eq(Suspicion::Suspected));
}

/// While back ends also crash without a request, its quarantine takes three crashes as the only
/// suspect instead of two.
#[gtest]
fn quarantine_takes_more_crashes_while_back_ends_also_crash_without_the_request() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let unrelated = ["i-11", "i-12", "i-13"];
    let unrelated = unrelated.map(|instance| evidence(instance, &[(instance, false)]));
    receive_evidence(&mut test, link, unrelated.to_vec());
    receive_evidence(&mut test, link, vec![evidence("/a", &[("i-7", false)])]);
    for (incarnation, expected) in [
        ("i-2", Suspicion::Recurrent),
        ("i-3", Suspicion::Recurrent),
        ("i-4", Suspicion::Quarantined),
    ] {
        lose_requests(&mut test, link, &["/a"]);
        answer_probe(&mut test, ProbeResult::Refused);
        expect_that!(suspicion(&test, "/a"), eq(expected), "before {incarnation}");
        start_incarnation(&mut test, incarnation);
    }
}

#[gtest]
fn crash_with_two_recurrent_requests_is_inconclusive_for_both() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.forward(link, 1, request("r1", "/a"));
    test.forward(link, 2, request("r2", "/b"));
    let twice = [("i-8", false), ("i-9", true)];
    receive_evidence(
        &mut test,
        link,
        vec![evidence("/a", &twice), evidence("/b", &twice)],
    );
    for exchange in test.exchanges() {
        test.end_exchange(exchange.id, ExchangeResult::Lost);
    }
    test.advance(CONNECTION_CLOSE_WINDOW);
    answer_probe(&mut test, ProbeResult::Refused);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Recurrent));
    expect_that!(suspicion(&test, "/b"), eq(Suspicion::Recurrent));
}

/// Target on a route of the configuration whose requests are quarantined.
const QUARANTINED_TARGET: &str = "/safe/quarantined";

fn node_with_quarantined_target() -> (TestNode, LinkId) {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let quarantine_crashes = [("i-7", false), ("i-8", true), ("i-9", true)];
    receive_evidence(
        &mut test,
        link,
        vec![evidence(QUARANTINED_TARGET, &quarantine_crashes)],
    );
    (test, link)
}

#[gtest]
fn quarantined_request_is_refused_at_the_entry_node_with_the_remaining_time() {
    let (mut test, _) = node_with_quarantined_target();
    test.advance(10_000);
    test.request(1, caller_request("c1", QUARANTINED_TARGET));
    test.request(2, caller_request("c2", "/safe/other"));
    let answers = test.answers();
    expect_that!(answers.len(), eq(1));
    expect_that!(answers[0].status, eq(503));
    let fields = String::from_utf8_lossy(&answers[0].fields).into_owned();
    expect_that!(fields, contains_substring("Retry-After: 590.000"));
    let started: Vec<String> = test
        .exchanges()
        .iter()
        .map(|exchange| exchange.request.request_id.clone())
        .collect();
    expect_that!(started, elements_are![eq("c2")]);
}

#[gtest]
fn quarantined_request_is_refused_beside_the_back_end_if_the_entry_node_has_no_evidence() {
    let (mut test, link) = node_with_quarantined_target();
    test.forward(link, 1, request("r1", QUARANTINED_TARGET));
    expect_that!(test.exchanges().len(), eq(0));
    let results = test.results();
    let is_refused = matches!(
        &results[0].1,
        ForwardResult::NotRun { code: ResultCode::Quarantined, proof: NotRunProof::NotStarted, retry_after_millis }
            if *retry_after_millis > 500_000
    );
    expect_that!(is_refused, eq(true));
}

#[gtest]
fn answer_exonerates_permanently_and_peers_receive_the_exoneration() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let other = test.accept(51);
    receive_evidence(
        &mut test,
        link,
        vec![evidence("/a", &[("i-8", false), ("i-9", true)])],
    );
    test.forward(link, 1, request("r1", "/a"));
    test.actions
        .retain(|action| matches!(action, Action::StartExchange(_)));
    let exchange = test.exchanges()[0].id;
    test.end_exchange(exchange, ExchangeResult::Answered(answer(404)));
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Clear));
    let links: Vec<LinkId> = sent_evidence(&test).iter().map(|(link, _)| *link).collect();
    expect_that!(links, unordered_elements_are![eq(&link), eq(&other)]);
    receive_evidence(
        &mut test,
        link,
        vec![evidence("/a", &[("i-6", true), ("i-7", true)])],
    );
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Clear));
}

#[gtest]
fn quarantine_ends_after_its_duration_and_resumes_with_the_next_crash() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let quarantine_crashes = [("i-7", false), ("i-8", true), ("i-9", true)];
    receive_evidence(&mut test, link, vec![evidence("/a", &quarantine_crashes)]);
    test.advance(600_000);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Recurrent));
    receive_evidence(&mut test, link, vec![evidence("/a", &[("i-10", true)])]);
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Quarantined));
}

#[gtest]
fn evidence_is_forwarded_once_and_not_to_its_source() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let other = test.accept(51);
    test.actions.clear();
    let twice = vec![evidence("/a", &[("i-8", false), ("i-9", false)])];
    receive_evidence(&mut test, link, twice.clone());
    receive_evidence(&mut test, other, twice);
    let links: Vec<LinkId> = sent_evidence(&test).iter().map(|(link, _)| *link).collect();
    expect_that!(links, elements_are![eq(&other)]);
}

#[gtest]
fn many_contents_at_one_crash_do_not_evict_a_quarantined_one() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let quarantine_crashes = [("i-7", false), ("i-8", true), ("i-9", true)];
    receive_evidence(&mut test, link, vec![evidence("/a", &quarantine_crashes)]);
    for number in 0..5_000 {
        if number == 1_000 {
            test.advance(1);
        }
        let target = format!("/varied/{number}");
        receive_evidence(&mut test, link, vec![evidence(&target, &[("i-6", false)])]);
    }
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Quarantined));
    expect_that!(suspicion(&test, "/varied/0"), eq(Suspicion::Clear));
    expect_that!(suspicion(&test, "/varied/4999"), eq(Suspicion::Suspected));
}

/// Guards against nodes that send the same evidence back and forth without end, which used 600 MB
/// of memory. It comes about if evidence that is received again counts as new because a content has
/// more crashes than a node keeps.
#[gtest]
fn known_evidence_is_not_forwarded_again_with_more_crashes_than_are_kept() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.accept(51);
    let names: Vec<String> = (0..60).map(|number| format!("i-{number}")).collect();
    for name in &names {
        receive_evidence(&mut test, link, vec![evidence("/a", &[(name, false)])]);
        test.advance(1);
    }
    test.actions.clear();
    for name in &names {
        receive_evidence(&mut test, link, vec![evidence("/a", &[(name, false)])]);
    }
    expect_that!(sent_evidence(&test).len(), eq(0));
}

#[gtest]
fn expired_evidence_is_not_forwarded() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.accept(51);
    test.advance(70_000);
    let mut old = evidence("/a", &[("i-8", false)]);
    old.crashes[0].age_micros = 61_000_000;
    test.actions.clear();
    receive_evidence(&mut test, link, vec![old]);
    expect_that!(sent_evidence(&test).len(), eq(0));
    expect_that!(suspicion(&test, "/a"), eq(Suspicion::Clear));
}

#[gtest]
fn crashes_of_an_exonerated_content_are_not_forwarded() {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    test.accept(51);
    let mut exonerated = evidence("/a", &[("i-7", false), ("i-8", false)]);
    exonerated.is_exonerated = true;
    receive_evidence(&mut test, link, vec![exonerated]);
    test.actions.clear();
    receive_evidence(&mut test, link, vec![evidence("/a", &[("i-9", false)])]);
    expect_that!(sent_evidence(&test).len(), eq(0));
}

/// Fills all slots, queues a request behind them, and quarantines its content while it waits.
fn quarantine_while_queued(evidence_before: Vec<ContentEvidence>) -> TestNode {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    receive_evidence(&mut test, link, evidence_before);
    test.forward(link, 1, request("r1", "/b"));
    test.forward(link, 2, request("r2", "/other"));
    test.forward(link, 3, request("r3", "/other"));
    test.forward(link, 4, request("r4", "/a"));
    expect_that!(test.exchanges().len(), eq(3));
    let quarantine_crashes = [("i-7", false), ("i-8", true), ("i-9", true)];
    receive_evidence(&mut test, link, vec![evidence("/a", &quarantine_crashes)]);
    test
}

#[gtest]
fn request_quarantined_while_queued_is_not_started() {
    let mut test = quarantine_while_queued(Vec::new());
    let first = test.exchanges()[0].id;
    test.end_exchange(first, ExchangeResult::Answered(answer(200)));
    expect_that!(test.exchanges().len(), eq(3));
    let codes: Vec<Option<ResultCode>> = test
        .results()
        .iter()
        .map(|(_, result)| code_of(result))
        .collect();
    expect_that!(codes, contains(eq(&Some(ResultCode::Quarantined))));
}

#[gtest]
fn request_quarantined_while_queued_for_isolation_is_not_started() {
    let twice = [("i-8", false), ("i-9", false)];
    let before = vec![evidence("/a", &twice), evidence("/b", &twice)];
    let mut test = quarantine_while_queued(before);
    let second = test.exchanges()[1].id;
    test.end_exchange(second, ExchangeResult::Answered(answer(200)));
    test.advance(700);
    expect_that!(test.exchanges().len(), eq(3));
}

/// Sends requests with contents that were in flight at `crashes` while an isolated one runs, and
/// returns the number that is started before their wait for isolation is over, and after it.
fn starts_beside_an_isolated_request(crashes: &[(&str, bool)]) -> (usize, usize) {
    let mut test = TestNode::serving();
    let link = test.accept(50);
    let targets = ["/a", "/b", "/c"];
    let known = targets.map(|target| evidence(target, crashes));
    receive_evidence(&mut test, link, known.to_vec());
    for (sequence, target) in (1..).zip(targets) {
        test.forward(link, sequence, request(&format!("r{sequence}"), target));
    }
    let before = test.exchanges().len();
    test.advance(200);
    (before, test.exchanges().len())
}

#[gtest]
fn request_known_from_two_crashes_runs_alone_or_not_at_all() {
    // Requests that waited in vain ran together, and the one that crashed each back end was never
    // the only suspect.
    let recurrent = [("i-8", false), ("i-9", false)];
    expect_that!(starts_beside_an_isolated_request(&recurrent), eq((1, 1)));
    // One crash says little about most of the requests that were in flight.
    let suspected = [("i-9", false)];
    expect_that!(starts_beside_an_isolated_request(&suspected), eq((1, 3)));
}
