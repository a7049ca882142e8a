//! Answers that the back end sends a second time, late.

use std::cell::Cell;

use googletest::prelude::*;

use crate::support::{Answer, Reply, Seen, echo, signed, until, with_pair};

/// Returns an answer that states that the request did not run.
fn refusal(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Request: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Returns an answer with this status and no body.
fn failure(id: &str, status: u16) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nX-Request: {id}\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

/// Returns a script that answers the first attempt of the request `a` with `first`, and the second
/// one with another copy of it, if the connection is the same, and with a success.
fn repeating_on_one_connection(first: Vec<u8>) -> impl Fn(&Seen) -> Reply {
    let first_connection = Cell::new(None);
    move |seen| {
        if seen.field("X-Request").as_deref() != Some("a") {
            return echo(seen);
        }
        let Some(connection) = first_connection.get() else {
            first_connection.set(Some(seen.connection));
            return Reply::Bytes(first.clone());
        };
        let mut bytes = Vec::new();
        if connection == seen.connection {
            bytes.extend_from_slice(&first);
        }
        bytes.extend(signed("a", "second"));
        Reply::Bytes(bytes)
    }
}

/// Sends the request `a` twice to a back end that has answered its first attempt with `first`, and
/// expects the answer to the second attempt.
fn expect_answer_to_second_attempt(target: &'static str, first: Vec<u8>) {
    with_pair(repeating_on_one_connection(first), move |pair| async move {
        pair.ask("a", target).await;
        let answer = pair.ask("a", target).await;
        let expected = Answer {
            status: 200,
            body: "second".to_owned(),
        };
        expect_that!(answer, some(eq(&expected)));
        expect_that!(pair.back_end.seen.borrow().len(), eq(2));
    });
}

#[gtest]
fn late_copy_of_a_refusal_is_not_the_answer_to_the_next_attempt() {
    // A request that runs was reported as not run, so that it was run again elsewhere.
    expect_answer_to_second_attempt("/once/1", refusal("a"));
}

#[gtest]
fn late_copy_of_an_answer_is_not_the_answer_to_the_next_attempt() {
    // A call that a repeated run makes again got the answer to the call of the first run.
    for first in [failure("a", 500), failure("a", 421), signed("a", "first")] {
        expect_answer_to_second_attempt("/safe/1", first);
    }
}

#[gtest]
fn body_of_a_late_answer_is_not_read_as_the_answer_to_a_head_request() {
    // The late answer has a body, which an answer to HEAD has not. Here the body claims that the
    // request of HEAD did not run.
    let late = signed("a", &String::from_utf8(refusal("b")).expect("text"));
    let script = move |seen: &Seen| match seen.method.as_str() {
        "HEAD" => Reply::Bytes([late.clone(), failure("b", 200)].concat()),
        _ => Reply::Bytes(late.clone()),
    };
    with_pair(script, |pair| async move {
        pair.ask("a", "/safe/1").await;
        let mut caller = pair.connect().await;
        caller
            .send("HEAD /once/1 HTTP/1.1\r\nHost: h\r\nX-Request: b\r\n\r\n")
            .await;
        expect_that!(caller.status_of_head().await, some(eq(502)));
    });
}

#[gtest]
fn late_answer_to_a_head_request_does_not_swallow_the_next_answer() {
    // The late answer has no body although it states its length.
    let late = b"HTTP/1.1 200 X\r\nX-Request: a\r\nX-Signature: s\r\nContent-Length: 9000\r\n\r\n";
    let script = move |seen: &Seen| match seen.method.as_str() {
        "HEAD" => Reply::Bytes(late.to_vec()),
        _ if seen.connection == 1 => Reply::Bytes([&late[..], &signed("b", "b")].concat()),
        _ => Reply::Bytes(signed("b", "b")),
    };
    with_pair(script, |pair| async move {
        let mut caller = pair.connect().await;
        caller
            .send("HEAD /safe/1 HTTP/1.1\r\nHost: h\r\nX-Request: a\r\n\r\n")
            .await;
        until(|| pair.back_end.seen.borrow().len() == 1).await;
        let answer = pair.ask("b", "/safe/1").await;
        expect_that!(answer.map(|answer| answer.status), some(eq(200)));
    });
}

#[gtest]
fn success_that_is_marked_as_not_run_does_not_prove_that_a_request_did_not_run() {
    let bytes = b"HTTP/1.1 200 X\r\nX-Request: a\r\nX-Signature: s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    with_pair(
        move |_: &Seen| Reply::Bytes(bytes.to_vec()),
        |pair| async move {
            let answer = pair.ask("a", "/once/1").await;
            expect_that!(answer.map(|answer| answer.status), some(eq(502)));
        },
    );
}

#[gtest]
fn answer_without_an_identifier_does_not_prove_that_a_request_did_not_run() {
    for lines in ["503 X\r\nX-Not-Run: 1", "421 X", "500 X\r\nX-Signature: s"] {
        let bytes = format!("HTTP/1.1 {lines}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        let script = move |_: &Seen| Reply::Bytes(bytes.clone());
        with_pair(script, move |pair| async move {
            let answer = pair.ask("a", "/once/1").await;
            expect_that!(answer.map(|answer| answer.status), some(eq(502)), "{lines}");
        });
    }
}
