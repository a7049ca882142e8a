//! Tests that the checker reports each kind of violation, and only real ones.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_soak::checker::{
    Answer, Arrival, Arrived, Checker, LONG_BODY_PREFIX, Sent, body_of, prefix_of, signature_of,
};
use rillgap_soak::deployment::TENANT;
use rillgap_soak::notices::AnswerNotice;

const INSTANCE: &str = "b1-1";

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sent(millis: u64, is_idempotent: bool) -> Sent {
    Sent {
        at: at(millis),
        node: 1,
        method: "GET",
        target: "/front/calls".to_owned(),
        body: Vec::new(),
        is_idempotent,
        caller_service: "middle",
        key_version: None,
        is_of_retry: false,
    }
}

fn arrived(id: &str) -> Arrived<'_> {
    Arrived {
        id,
        method: "GET",
        target: "/front/calls",
        body: b"",
        caller_service: "middle",
        tenant: None,
        has_credential: false,
        service: "front",
        instance: INSTANCE,
    }
}

/// Creates a checker that allows the route of [`arrived`].
fn checker() -> Checker {
    let mut checker = Checker::default();
    checker.allow_route("/front/", "front");
    checker
}

/// Creates a checker in which one request has started to run.
fn running(is_idempotent: bool) -> Checker {
    let mut checker = checker();
    checker.on_sent("r1", sent(0, is_idempotent), "front", false);
    checker.on_arrived(at(1), &arrived("r1"));
    checker.on_run_started(at(1), &arrived("r1"));
    checker
}

fn kinds(checker: &Checker) -> Vec<String> {
    let kind = |text: &String| {
        text.split_whitespace()
            .nth(1)
            .unwrap_or_default()
            .to_owned()
    };
    checker.violations().iter().map(kind).collect()
}

#[gtest]
fn correct_request_is_no_violation() {
    let mut checker = running(false);
    let body = body_of("r1", INSTANCE);
    let signature = signature_of(&body);
    let answer = Answer {
        status: 200,
        id: Some("r1"),
        signature: Some(&signature),
        body: &body,
    };
    checker.on_run_ended(at(20), "r1", INSTANCE);
    checker.on_answer(at(21), "r1", &answer, false);
    checker.conclude(at(10_000));
    expect_that!(kinds(&checker), is_empty());
    expect_that!(checker.totals().served, eq(1));
    checker.on_sent("r2", sent(0, true), "front", false);
    checker.on_caller_left(at(5), "r2");
    expect_that!(
        (checker.totals().requests, checker.totals().cancelled),
        eq((2, 1))
    );
}

#[gtest]
fn second_run_is_reported_unless_the_request_is_idempotent() {
    for (is_idempotent, expected) in [(true, vec![]), (false, vec!["TWICE".to_owned()])] {
        let mut checker = running(is_idempotent);
        checker.on_run_started(at(30), &arrived("r1"));
        expect_that!(kinds(&checker), eq(&expected));
    }
}

#[gtest]
fn run_after_a_refusal_as_not_run_is_reported() {
    let mut checker = checker();
    checker.on_sent("r1", sent(0, false), "front", false);
    checker.on_promised_not_run(at(5), "r1");
    checker.on_run_started(at(400), &arrived("r1"));
    checker.conclude(at(10_000));
    expect_that!(kinds(&checker), eq(&vec!["REFUSED".to_owned()]));
}

#[gtest]
fn response_of_another_request_or_truncated_response_is_reported() {
    let mut checker = running(true);
    let foreign = body_of("r2", INSTANCE);
    let own = body_of("r1", INSTANCE);
    for (id, body) in [("r2", &foreign[..]), ("r1", &own[..own.len() - 1])] {
        let signature = signature_of(body);
        let answer = Answer {
            status: 200,
            id: Some(id),
            signature: Some(&signature),
            body,
        };
        checker.on_answer(at(20), "r1", &answer, false);
    }
    expect_that!(kinds(&checker), each(eq("MIXED")));
    expect_that!(checker.violation_count(), eq(3));
}

#[gtest]
fn request_that_was_never_sent_or_was_changed_is_reported() {
    let mut checker = checker();
    checker.on_run_started(at(1), &arrived("r9"));
    checker.on_sent("r1", sent(0, true), "front", false);
    let changes: [fn(&mut Arrived<'static>); 4] = [
        |arrived| arrived.method = "POST",
        |arrived| arrived.target = "/front/other",
        |arrived| arrived.body = b"x",
        |arrived| arrived.caller_service = "forged",
    ];
    for change in changes {
        let mut changed = arrived("r1");
        change(&mut changed);
        checker.on_run_started(at(2), &changed);
    }
    expect_that!(kinds(&checker), each(eq("UNASKED")));
    expect_that!(checker.violation_count(), eq(5));
}

#[gtest]
fn request_at_a_service_that_no_configuration_allows_is_reported() {
    let mut checker = running(true);
    let elsewhere = Arrived {
        service: "deep",
        ..arrived("r1")
    };
    checker.on_run_started(at(5), &elsewhere);
    expect_that!(kinds(&checker), eq(&vec!["ROUTE".to_owned()]));
}

#[gtest]
fn request_at_a_drained_back_end_is_reported_after_the_drain_time() {
    let mut checker = checker();
    checker.on_sent("r1", sent(0, true), "front", false);
    checker.on_drain_acknowledged(at(1_000), INSTANCE);
    checker.on_run_started(at(2_900), &arrived("r1"));
    expect_that!(kinds(&checker), is_empty());
    checker.on_run_started(at(3_100), &arrived("r1"));
    expect_that!(kinds(&checker), eq(&vec!["DRAIN".to_owned()]));
}

#[gtest]
fn node_that_reverts_to_an_older_configuration_is_reported() {
    let mut checker = checker();
    checker.on_version_accepted(at(0), 3);
    checker.on_version_served(at(500), 1, 1, 3);
    // A new incarnation may start with an older configuration.
    checker.on_version_unknown(at(600), 1, 2, 3);
    expect_that!(kinds(&checker), is_empty());
    checker.on_version_unknown(at(600), 1, 1, 3);
    expect_that!(kinds(&checker), eq(&vec!["CONFIG".to_owned()]));
}

#[gtest]
fn disturbance_excuses_a_late_configuration_only_for_a_limited_time() {
    let mut checker = checker();
    checker.on_version_accepted(at(1_000), 3);
    checker.add_disturbance(at(500), at(5_000));
    checker.on_version_unknown(at(9_900), 1, 1, 3);
    expect_that!(kinds(&checker), is_empty());
    checker.on_version_unknown(at(10_100), 1, 1, 3);
    expect_that!(kinds(&checker), eq(&vec!["CONFIG".to_owned()]));
}

#[gtest]
fn planned_stop_excuses_a_late_configuration_only_for_a_limited_time() {
    let mut checker = checker();
    checker.on_version_accepted(at(1_000), 3);
    checker.add_planned_stop(1, at(500), at(5_000));
    checker.on_version_unknown(at(9_900), 1, 1, 3);
    expect_that!(kinds(&checker), is_empty());
    checker.on_version_unknown(at(10_100), 1, 1, 3);
    expect_that!(kinds(&checker), eq(&vec!["CONFIG".to_owned()]));
}

#[gtest]
fn late_configuration_is_reported_unless_there_is_a_disturbance() {
    let mut checker = checker();
    checker.on_version_accepted(at(10_000), 3);
    checker.on_version_unknown(at(11_900), 1, 1, 3);
    expect_that!(kinds(&checker), is_empty());
    checker.on_version_unknown(at(12_100), 1, 1, 3);
    expect_that!(kinds(&checker), eq(&vec!["CONFIG".to_owned()]));
    checker.add_disturbance(at(8_000), at(9_000));
    checker.on_version_unknown(at(12_100), 1, 1, 3);
    expect_that!(checker.violation_count(), eq(1));
}

#[gtest]
fn request_lost_at_a_planned_stop_is_reported_unless_there_is_a_disturbance() {
    let mut checker = checker();
    checker.add_planned_stop(1, at(0), at(7_000));
    checker.on_sent("r1", sent(1_000, true), "front", false);
    checker.on_sent("r2", sent(20_000, true), "front", false);
    checker.on_no_answer(at(1_200), "r1", false, false);
    checker.on_no_answer(at(20_100), "r2", false, false);
    expect_that!(kinds(&checker), eq(&vec!["LOST".to_owned()]));
    checker.add_disturbance(at(500), at(900));
    checker.on_no_answer(at(1_200), "r1", false, false);
    expect_that!(checker.violation_count(), eq(1));
}

#[gtest]
fn request_lost_on_a_closing_idle_connection_is_reported_only_if_it_was_forwarded() {
    let mut checker = checker();
    checker.add_planned_stop(1, at(0), at(7_000));
    checker.on_sent("r1", sent(1_000, true), "front", false);
    checker.on_no_answer(at(1_200), "r1", false, true);
    expect_that!(kinds(&checker), is_empty());
    checker.on_sent("r2", sent(1_000, true), "front", false);
    checker.on_arrived(at(1_100), &arrived("r2"));
    checker.on_no_answer(at(1_200), "r2", false, true);
    expect_that!(kinds(&checker), eq(&vec!["LOST".to_owned()]));
}

#[gtest]
fn retries_beyond_the_budget_are_reported() {
    let mut checker = checker();
    for number in 0..100 {
        let id = format!("r{number}");
        checker.on_sent(&id, sent(number, true), "front", false);
        checker.on_arrived(at(number), &arrived(&id));
    }
    for number in 0..75 {
        checker.on_arrived(at(140), &arrived(&format!("r{number}")));
    }
    checker.conclude(at(20_000));
    expect_that!(kinds(&checker), is_empty());
    checker.on_arrived(at(150), &arrived("r99"));
    checker.conclude(at(20_000));
    expect_that!(kinds(&checker), eq(&vec!["BUDGET".to_owned()]));
}

#[gtest]
fn calls_of_a_retried_request_count_as_retries() {
    let mut checker = checker();
    for number in 0..60 {
        let id = format!("r{number}");
        checker.on_sent(&id, sent(number, true), "other", false);
        checker.on_arrived(at(number), &arrived(&id));
        checker.on_arrived(at(number), &arrived(&id));
        let call = format!("{id}.1");
        let deep = Arrived {
            service: "deep",
            ..arrived(&call)
        };
        checker.on_arrived(at(number), &deep);
    }
    checker.conclude(at(20_000));
    expect_that!(
        checker.violations(),
        contains(contains_substring("BUDGET deep"))
    );
}

#[gtest]
fn only_calls_of_the_retried_run_count_as_retries() {
    let mut checker = checker();
    for number in 0..60 {
        let id = format!("r{number}");
        checker.on_sent(&id, sent(number, true), "front", false);
        expect_that!(
            checker.on_arrived(at(number), &arrived(&id)).is_retry,
            eq(false)
        );
        let second = checker.on_arrived(at(number), &arrived(&id));
        expect_that!(
            second,
            eq(Arrival {
                number: 2,
                is_retry: true
            })
        );
        // The first run makes its call after the second one has begun.
        for (call, is_of_retry) in [(format!("{id}.1"), false), (format!("{id}.2"), true)] {
            let sent = Sent {
                is_of_retry,
                ..sent(number, true)
            };
            checker.on_sent(&call, sent, "deep", true);
            let deep = Arrived {
                service: "deep",
                ..arrived(&call)
            };
            let arrival = checker.on_arrived(at(number), &deep);
            expect_that!(arrival.is_retry, eq(is_of_retry));
        }
    }
    // 60 requests and 60 retries of each service: 0.2 * 60 + 55 are allowed.
    checker.conclude(at(20_000));
    expect_that!(kinds(&checker), is_empty());
}

#[gtest]
fn calls_of_retries_do_not_raise_the_budget() {
    let mut checker = Checker::with_retry_slack(5.0);
    checker.allow_route("/front/", "front");
    for number in 0..10 {
        let id = format!("r{number}.1");
        let of_retry = Sent {
            is_of_retry: true,
            ..sent(number, true)
        };
        checker.on_sent(&id, of_retry, "front", true);
        checker.on_arrived(at(number), &arrived(&id));
    }
    checker.conclude(at(20_000));
    expect_that!(
        checker.violations(),
        contains(contains_substring("BUDGET front: 6 retries, 0 requests"))
    );
}

#[gtest]
fn work_that_continues_after_its_callers_left_is_reported() {
    for (stops_at, expected) in [(300, vec![]), (2_000, vec!["GONE".to_owned()])] {
        let mut checker = checker();
        for number in 0..8 {
            let id = format!("r{number}");
            checker.on_sent(&id, sent(0, true), "front", false);
            checker.on_run_started(at(1), &arrived(&id));
            checker.on_caller_left(at(100), &id);
            checker.on_run_ended(at(stops_at), &id, INSTANCE);
        }
        checker.conclude(at(20_000));
        expect_that!(kinds(&checker), eq(&expected));
    }
}

#[gtest]
fn prefix_is_the_first_segment() {
    expect_that!(prefix_of("/v12/plain?n=1"), eq("/v12/"));
    expect_that!(prefix_of("/none"), eq("/none"));
}

/// Runs a request with the key of a version, sent `millis` after the next version was accepted.
fn run_with_old_key(millis: u64) -> Checker {
    let mut checker = checker();
    checker.on_version_accepted(at(1_000), 8);
    let keyed = Sent {
        key_version: Some(7),
        ..sent(1_000 + millis, true)
    };
    checker.on_sent("r1", keyed, "front", false);
    let arrived = Arrived {
        tenant: Some(TENANT),
        ..arrived("r1")
    };
    checker.on_run_started(at(1_010 + millis), &arrived);
    checker
}

#[gtest]
fn key_that_works_too_long_after_its_revocation_is_reported() {
    expect_that!(kinds(&run_with_old_key(4_900)), is_empty());
    let expected = vec!["REVOKED".to_owned()];
    expect_that!(kinds(&run_with_old_key(5_100)), eq(&expected));
}

#[gtest]
fn wrong_tenant_and_forwarded_credential_are_reported() {
    let forged = Arrived {
        tenant: Some("forged"),
        ..arrived("r1")
    };
    let leaking = Arrived {
        has_credential: true,
        ..arrived("r1")
    };
    for arrived in [forged, leaking] {
        let mut checker = checker();
        checker.on_sent("r1", sent(0, true), "front", false);
        checker.on_run_started(at(1), &arrived);
        expect_that!(kinds(&checker), eq(&vec!["UNASKED".to_owned()]));
    }
}

#[gtest]
fn refusal_of_a_key_is_a_failure_unless_the_key_was_revoked() {
    for (key_version, expected) in [(7, (1, 0)), (8, (0, 1))] {
        let mut checker = checker();
        checker.on_version_accepted(at(1_000), 8);
        let keyed = Sent {
            key_version: Some(key_version),
            ..sent(2_000, true)
        };
        checker.on_sent("r1", keyed, "front", false);
        let answer = Answer {
            status: 401,
            id: None,
            signature: None,
            body: b"",
        };
        checker.on_answer(at(2_005), "r1", &answer, false);
        let totals = checker.totals();
        expect_that!((totals.denied, totals.failed), eq(expected));
    }
}

/// Creates a checker in which a crashing request runs at these times and crashes a back end each
/// time.
fn crashing(times: &[u64]) -> Checker {
    let mut checker = checker();
    let target = "/front/crash?n=1";
    for (number, time) in times.iter().enumerate() {
        let id = format!("r{number}");
        let mut request = sent(*time, true);
        request.target = target.to_owned();
        checker.on_sent(&id, request, "front", false);
        let run = Arrived {
            target,
            ..arrived(&id)
        };
        checker.on_arrived(at(*time), &run);
        checker.on_run_started(at(*time), &run);
        checker.on_crash(at(*time + 50), target);
    }
    checker
}

#[gtest]
fn request_that_continues_to_crash_back_ends_is_reported() {
    let mut checker = crashing(&[0, 100, 1_000, 4_500, 5_000, 6_000, 7_000]);
    checker.conclude(at(20_000));
    expect_that!(kinds(&checker), elements_are![eq("CRASHES")]);
}

#[gtest]
fn runs_before_the_evidence_of_crashes_has_spread_are_no_violation() {
    let mut early = crashing(&[0, 100, 1_000, 2_000, 3_000, 4_000, 5_000]);
    early.conclude(at(20_000));
    expect_that!(kinds(&early), is_empty());
    let mut disturbed = crashing(&[0, 100, 1_000, 4_500, 5_000, 6_000, 7_000]);
    disturbed.add_disturbance(at(4_000), at(6_000));
    disturbed.conclude(at(20_000));
    expect_that!(kinds(&disturbed), is_empty());
}

#[gtest]
fn quarantine_of_a_request_that_crashes_no_back_end_is_reported() {
    let mut checker = checker();
    checker.on_quarantined(at(1), "/front/crash?n=1");
    expect_that!(kinds(&checker), is_empty());
    checker.on_quarantined(at(2), "/front/calls");
    expect_that!(kinds(&checker), elements_are![eq("HELD")]);
}

fn notice(rate_limit: Option<u32>, is_leaving: bool) -> AnswerNotice {
    AnswerNotice {
        instance: INSTANCE.to_owned(),
        rate_limit,
        is_leaving,
    }
}

/// Reports a request to node 1 every `interval` milliseconds, each of which reaches the back end.
fn arrive(checker: &mut Checker, from: u64, until: u64, interval: u64) {
    for millis in (from..until).step_by(usize::try_from(interval).unwrap_or(1)) {
        let id = format!("load-{millis}");
        checker.on_sent(&id, sent(millis, true), "front", false);
        checker.on_arrived(at(millis + 1), &arrived(&id));
    }
}

/// Creates a checker in which the back end states 10 requests a second from the start on, which
/// node 1 passes on at once.
fn with_rate_limit() -> Checker {
    let mut checker = checker();
    let notices = checker.notices();
    notices.on_rate_limit(at(0), INSTANCE, Some(10));
    notices.on_passed_on(at(0), 1, &notice(Some(10), false));
    checker
}

#[gtest]
fn back_end_above_its_stated_rate_limit_is_reported() {
    let mut checker = with_rate_limit();
    arrive(&mut checker, 0, 8_000, 50);
    checker.conclude(at(9_000));
    expect_that!(kinds(&checker), elements_are![eq("LIMIT")]);
}

#[gtest]
fn back_end_within_the_tolerance_of_its_stated_rate_limit_is_not_reported() {
    let mut checker = with_rate_limit();
    arrive(&mut checker, 0, 8_000, 70);
    checker.conclude(at(9_000));
    expect_that!(kinds(&checker), is_empty());
}

#[gtest]
fn requests_of_a_node_that_was_frozen_do_not_count_towards_a_stated_rate_limit() {
    let mut checker = with_rate_limit();
    checker.notices().on_node_frozen(1);
    arrive(&mut checker, 0, 8_000, 50);
    checker.conclude(at(9_000));
    expect_that!(kinds(&checker), is_empty());
}

#[gtest]
fn requests_for_a_back_end_whose_departure_the_node_has_passed_on_are_reported() {
    let mut checker = checker();
    checker
        .notices()
        .on_passed_on(at(0), 1, &notice(None, true));
    arrive(&mut checker, 1_000, 2_000, 100);
    expect_that!(kinds(&checker), is_empty());
    checker.notices().on_node_cut(1);
    arrive(&mut checker, 2_500, 2_600, 100);
    expect_that!(kinds(&checker), elements_are![eq("DRAIN")]);
}

#[gtest]
fn requests_in_flight_are_judged_once_their_time_is_over() {
    let mut checker = Checker::default();
    checker.on_sent("short", sent(1_000, true), "middle", false);
    let long = format!("{LONG_BODY_PREFIX}1");
    checker.on_sent(&long, sent(1_000, true), "middle", false);
    expect_that!(checker.in_flight(), eq(2));
    expect_that!(checker.in_flight_in_time(at(1_399)), eq(2));
    expect_that!(checker.in_flight_in_time(at(1_400)), eq(1));
    expect_that!(checker.in_flight_in_time(at(6_999)), eq(1));
    expect_that!(checker.in_flight_in_time(at(7_000)), eq(0));
}

#[gtest]
fn requests_that_crash_back_ends_are_not_counted_as_requests_that_must_be_served() {
    let mut checker = crashing(&[0, 100, 1_000]);
    let before = checker.totals();
    let refusal = Answer {
        status: 503,
        id: None,
        signature: None,
        body: b"",
    };
    for id in ["r0", "r1", "r2"] {
        checker.on_answer(at(1_200), id, &refusal, false);
    }
    expect_that!(checker.totals(), eq(before));
    expect_that!(checker.in_flight(), eq(0));
    expect_that!(checker.last_crash(), some(eq(at(1_050))));
}
