//! Tests how complete and aborted answers of the node reach the caller.

use std::time::Duration;

use crate::support::{
    ClientAnswer, chunk, client, exchange_with, head, limits, start, try_exchange_with,
};
use bytes::Bytes;
use googletest::prelude::*;
use http::StatusCode;
use http_body_util::Full;
use rillgap_caller::exchange::AnswerPart;
use rillgap_core::code::ResultCode;
use rillgap_core::event::Event;
use rillgap_core::request::{Refusal, RetryAfter};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request, answers it with the given parts, and returns what the client receives.
async fn answer_request(http2: bool, parts: impl IntoIterator<Item = AnswerPart>) -> ClientAnswer {
    let server = start(limits()).await;
    let request = server
        .get("/takst/fare")
        .body(Full::default())
        .expect("valid");
    let answer = tokio::spawn(exchange_with(client(http2), request));
    let (inbound, _) = server.next_request().await;
    server.answer(inbound, parts);
    answer.await.expect("the client ends")
}

#[gtest]
#[tokio::test]
async fn an_answer_arrives_whole() {
    for http2 in [false, true] {
        for length in [None, Some(8)] {
            let parts = [
                head(length),
                chunk(b"hel"),
                chunk(b"lohei"),
                AnswerPart::End,
            ];
            let answer = answer_request(http2, parts).await;
            expect_that!(answer.status, eq(StatusCode::OK));
            expect_that!(answer.body, some(eq(&Bytes::from_static(b"hellohei"))));
        }
    }
}

/// Sends a request, answers it with the given parts, and returns whether the transfer failed.
///
/// If the answer is aborted before its head has been written, the client receives no answer.
async fn is_transfer_broken(http2: bool, parts: impl IntoIterator<Item = AnswerPart>) -> bool {
    let server = start(limits()).await;
    let request = server
        .get("/takst/fare")
        .body(Full::default())
        .expect("valid");
    let answer = tokio::spawn(try_exchange_with(client(http2), request));
    let (inbound, _) = server.next_request().await;
    for part in parts {
        server.answer(inbound, [part]);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let answer = answer.await.expect("the client ends");
    answer.is_none_or(|answer| answer.body.is_none())
}

#[gtest]
#[tokio::test]
async fn an_aborted_answer_is_a_broken_transfer() {
    for http2 in [false, true] {
        for length in [None, Some(8)] {
            let parts = [head(length), chunk(b"hel"), AnswerPart::Abort];
            expect_that!(is_transfer_broken(http2, parts).await, eq(true));
        }
        let parts = [head(None), AnswerPart::Abort];
        expect_that!(is_transfer_broken(http2, parts).await, eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn an_answer_shorter_than_announced_is_a_broken_transfer() {
    for http2 in [false, true] {
        let parts = [head(Some(8)), chunk(b"hel"), AnswerPart::End];
        expect_that!(is_transfer_broken(http2, parts).await, eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn a_refusal_is_a_problem_with_number_outcome_and_retry_time() {
    let refusal = Refusal {
        code: ResultCode::Overloaded,
        retry_after: RetryAfter { millis: 1_500 },
    };
    let answer = answer_request(false, [AnswerPart::Refusal(refusal)]).await;
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(
        answer.headers["content-type"],
        eq("application/problem+json")
    );
    expect_that!(answer.headers["retry-after"], eq("2"));
    expect_that!(answer.headers["retry-after-ms"], eq("1500"));
    let problem: serde_json::Value =
        serde_json::from_slice(&answer.body.expect("a body")).expect("JSON");
    let expected = serde_json::json!({
        "type": "https://rillgap.example/errors#40",
        "title": ResultCode::Overloaded.title(),
        "status": 503,
        "code": 40,
        "outcome": "not-run",
        "retry_after_ms": 1_500,
    });
    expect_that!(problem, eq(&expected));
}

#[gtest]
#[tokio::test]
async fn node_is_notified_when_a_caller_disconnects() {
    for http2 in [false, true] {
        let server = start(limits()).await;
        let request = server
            .get("/takst/fare")
            .body(Full::default())
            .expect("valid");
        let caller = tokio::spawn(exchange_with(client(http2), request));
        let (inbound, _) = server.next_request().await;
        caller.abort();
        expect_that!(
            server.events.recv().await,
            some(eq(&Event::InboundGone { inbound }))
        );
        expect_that!(server.exchange.waiting(), eq(0));
    }
}

#[gtest]
#[tokio::test]
async fn node_is_notified_of_bytes_that_a_caller_consumed() {
    const PART: &[u8] = &[7; 16 * 1024];
    let server = start(limits()).await;
    let request = server
        .get("/takst/fare")
        .body(Full::default())
        .expect("valid");
    let caller = tokio::spawn(exchange_with(client(false), request));
    let (inbound, _) = server.next_request().await;
    server.answer(inbound, [head(None), chunk(PART), chunk(PART)]);
    for _ in 0..2 {
        expect_that!(
            server.events.recv().await,
            some(eq(&Event::InboundConsumed {
                inbound,
                bytes: 16 * 1024
            }))
        );
    }
    server.answer(inbound, [AnswerPart::End]);
    let answer = caller.await.expect("the client ends");
    expect_that!(answer.body.map(|body| body.len()), some(eq(2 * PART.len())));
    expect_that!(server.events.try_recv(), none());
}

#[gtest]
#[tokio::test]
async fn a_stopping_listener_finishes_the_open_answer() {
    let server = start(limits()).await;
    let request = server
        .get("/takst/fare")
        .body(Full::default())
        .expect("valid");
    let caller = tokio::spawn(exchange_with(client(false), request));
    let (inbound, _) = server.next_request().await;
    server.answer(inbound, [head(Some(5)), chunk(b"he")]);
    server.stop.cancel();
    tokio::task::yield_now().await;
    server.answer(inbound, [chunk(b"llo"), AnswerPart::End]);
    let answer = caller.await.expect("the client ends");
    expect_that!(answer.body, some(eq(&Bytes::from_static(b"hello"))));
}

#[gtest]
#[tokio::test]
async fn answer_without_body_is_not_reported_as_a_disconnect() {
    for (method, length) in [("GET", 0), ("HEAD", 8)] {
        let server = start(limits()).await;
        let request = server.get("/takst/fare").method(method);
        let request = request.body(Full::default()).expect("valid");
        let caller = tokio::spawn(exchange_with(client(false), request));
        let (inbound, _) = server.next_request().await;
        server.answer(inbound, [head(Some(length))]);
        expect_that!(
            caller.await.expect("the client ends").body,
            some(anything())
        );
        expect_that!(server.events.try_recv(), none());
    }
}

/// Reads one response up to its body `hello`, or what is received of it within a second.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = async {
        let mut buffer = [0; 1_024];
        while !bytes.ends_with(b"hello") {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_secs(1), read).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against cutting off a request that a caller sends on a kept connection while the listener
/// stops: the caller could not know whether the request was executed.
#[gtest]
#[tokio::test]
async fn request_sent_during_shutdown_is_answered_before_the_connection_closes() {
    let server = start(limits()).await;
    let mut stream = TcpStream::connect(server.address).await.expect("connected");
    let request = format!(
        "GET /takst/fare HTTP/1.1\r\nHost: {}\r\n\r\n",
        server.address
    );
    for round in 0..2 {
        stream.write_all(request.as_bytes()).await.expect("written");
        let (inbound, _) = server.next_request().await;
        server.answer(inbound, [head(Some(5)), chunk(b"hello"), AnswerPart::End]);
        let response = read_response(&mut stream).await.to_ascii_lowercase();
        expect_that!(response, starts_with("http/1.1 200"), "round {round}");
        let has_close_header = response.contains("connection: close");
        expect_that!(has_close_header, eq(round == 1), "round {round}");
        server.stop.cancel();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut rest = [0];
    expect_that!(stream.read(&mut rest).await.ok(), some(eq(0)));
}
