//! Tests what the node receives of a request, and which requests are refused before.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use crate::support::{EVENT_SLOTS, Server, client, exchange_with, head, limits, start, start_for};
use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use rillgap_caller::exchange::AnswerPart;
use rillgap_caller::settings::{Audience, HttpLimits};
use rillgap_core::code::ResultCode;
use rillgap_core::id::{CallToken, IdempotencyKey};
use rillgap_core::request::{InboundRequest, Origin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KEY: &str = "0193a3b0-0000-7000-8000-000000000001";
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Sends a request, answers it with an empty body, and returns the request that the node received.
async fn request_at_node(server: &Server, request: http::Request<Full<Bytes>>) -> InboundRequest {
    let caller = tokio::spawn(exchange_with(client(false), request));
    let (inbound, request) = server.next_request().await;
    server.answer(inbound, [head(Some(0)), AnswerPart::End]);
    caller.await.expect("the client ends");
    request
}

/// Sends a request, asserts that it does not reach the node, and returns the result code.
async fn refusal_code(server: &Server, request: http::Request<Full<Bytes>>) -> u64 {
    let code = server.send(request).await.code();
    assert!(server.events.try_recv().is_none());
    code
}

/// Writes raw bytes and returns everything received until the connection closes.
async fn send_raw(server: &Server, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.address).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    let mut answer = Vec::new();
    // The connection may be reset instead of closed cleanly.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn code_number(code: ResultCode) -> u64 {
    u64::from(code.number())
}

#[gtest]
#[tokio::test]
async fn a_request_is_forwarded_with_service_path_key_and_timeout() {
    let server = start(limits()).await;
    let request = server
        .get("/bestilling/trips/7?full=1")
        .method("POST")
        .header("idempotency-key", format!("\"{KEY}\""))
        .header("grpc-timeout", "250m")
        .header("rillgap-call", "00000000000000000000000000000001")
        .header("accept", "text/plain")
        .body(Full::from("body"))
        .expect("valid");
    let request = request_at_node(&server, request).await;
    expect_that!(request.origin, eq(&Origin::Caller));
    expect_that!(request.service.as_str(), eq("bestilling"));
    expect_that!(request.head.method, eq("POST"));
    expect_that!(request.head.path, eq("/trips/7?full=1"));
    expect_that!(request.timeout, some(eq(Duration::from_millis(250))));
    expect_that!(request.body, eq(&Bytes::from_static(b"body")));
    let key = IdempotencyKey(0x0193_a3b0_0000_7000_8000_0000_0000_0001);
    expect_that!(request.key, some(eq(key)));
    let names: Vec<_> = request
        .head
        .headers
        .iter()
        .map(|header| header.name.as_str())
        .collect();
    expect_that!(names, contains(eq(&"accept")));
    expect_that!(names, contains(eq(&"traceparent")));
    expect_that!(names, not(contains(eq(&"rillgap-call"))));
    expect_that!(names, not(contains(eq(&"grpc-timeout"))));
}

#[gtest]
#[tokio::test]
async fn a_valid_trace_is_kept_and_an_invalid_one_replaced() {
    const VALID: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    for (sent, is_kept) in [(VALID, true), ("00-00-00-01", false)] {
        let server = start(limits()).await;
        let request = server.get("/takst").header("traceparent", sent);
        let request = request_at_node(&server, request.body(Full::default()).expect("valid")).await;
        let trace = request
            .head
            .headers
            .iter()
            .find(|header| header.name == "traceparent");
        let trace = String::from_utf8_lossy(&trace.expect("a trace").value).into_owned();
        expect_that!(trace == sent, eq(is_kept));
        expect_that!(rillgap_caller::trace::is_valid(&trace), eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn a_back_end_is_identified_by_its_listener_and_token() {
    let audience = Audience::LocalBackEnd {
        from: vec![LOOPBACK],
    };
    let server = start_for(limits(), audience).await;
    let token = "000000000000000000000000000000ff";
    let request = server.get("/takst/fare").header("rillgap-call", token);
    let request = request_at_node(&server, request.body(Full::default()).expect("valid")).await;
    let expected = Origin::LocalBackEnd {
        token: Some(CallToken(255)),
    };
    expect_that!(request.origin, eq(&expected));
    let request = server.get("/takst/fare").header("rillgap-call", "ff");
    let request = request_at_node(&server, request.body(Full::default()).expect("valid")).await;
    expect_that!(request.origin, eq(&Origin::LocalBackEnd { token: None }));
}

#[gtest]
#[tokio::test]
async fn requests_from_the_wrong_address_are_refused() {
    for audience in [
        Audience::Callers {
            except: vec![LOOPBACK],
        },
        Audience::LocalBackEnd { from: Vec::new() },
    ] {
        let server = start_for(limits(), audience).await;
        let request = server
            .get("/takst/fare")
            .body(Full::default())
            .expect("valid");
        expect_that!(
            refusal_code(&server, request).await,
            eq(code_number(ResultCode::TokenInvalid))
        );
    }
}

#[gtest]
#[tokio::test]
async fn malformed_headers_are_refused_with_their_codes() {
    let server = start(limits()).await;
    let cases = [
        ("idempotency-key", "not-a-uuid", ResultCode::KeyMalformed),
        // A UUID of version 4 contains no time.
        (
            "idempotency-key",
            "0193a3b0-0000-4000-8000-000000000001",
            ResultCode::KeyMalformed,
        ),
        ("grpc-timeout", "soon", ResultCode::MalformedRequest),
    ];
    for (name, value, code) in cases {
        let request = server.get("/takst/fare").header(name, value);
        let request = request.body(Full::default()).expect("valid");
        expect_that!(refusal_code(&server, request).await, eq(code_number(code)));
    }
    let request = server.get("/").body(Full::default()).expect("valid");
    expect_that!(
        refusal_code(&server, request).await,
        eq(code_number(ResultCode::UnknownRoute))
    );
    let twice = server
        .get("/takst/fare")
        .header("idempotency-key", KEY)
        .header("idempotency-key", KEY);
    let twice = twice.body(Full::default()).expect("valid");
    expect_that!(
        refusal_code(&server, twice).await,
        eq(code_number(ResultCode::KeyMalformed))
    );
}

#[gtest]
#[tokio::test]
async fn long_headers_and_bodies_are_refused_with_their_codes() {
    let server = start(HttpLimits {
        body_bytes: 100,
        ..limits()
    })
    .await;
    let long_header = "x".repeat(limits().header_bytes);
    let request = server.get("/takst/fare").header("x-long", long_header);
    let request = request.body(Full::default()).expect("valid");
    expect_that!(
        refusal_code(&server, request).await,
        eq(code_number(ResultCode::HeadersTooLong))
    );
    let request = server.get("/takst/fare").method("POST");
    let request = request.body(Full::from(vec![0; 101])).expect("valid");
    expect_that!(
        refusal_code(&server, request).await,
        eq(code_number(ResultCode::BodyTooLong))
    );
}

#[gtest]
#[tokio::test]
async fn a_body_of_unannounced_length_is_limited() {
    let server = start(HttpLimits {
        body_bytes: 4,
        ..limits()
    })
    .await;
    let request = b"POST /takst/fare HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    let answer = send_raw(&server, request).await;
    expect_that!(answer, contains_substring("\"code\":17"));
}

#[gtest]
#[tokio::test]
async fn an_incomplete_body_is_refused_after_the_request_timeout() {
    let server = start(limits()).await;
    let request = b"POST /takst/fare HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        content-length: 10\r\n\r\nhalf";
    let answer = send_raw(&server, request).await;
    expect_that!(answer, contains_substring("\"code\":19"));
}

#[gtest]
#[tokio::test]
async fn a_connection_without_a_whole_request_is_closed() {
    let server = start(limits()).await;
    for bytes in [
        &b""[..],
        b"GET /takst",
        b"PRI * HTTP/2",
        b"\x16\x03\x01\x02\x00\x01",
    ] {
        // Returning at all shows that the connection was closed.
        send_raw(&server, bytes).await;
    }
    let request = server
        .get("/takst/fare")
        .body(Full::default())
        .expect("valid");
    request_at_node(&server, request).await;
}

#[gtest]
#[tokio::test]
async fn connections_over_the_limit_are_closed_and_open_ones_continue() {
    let server = start(HttpLimits {
        connections: 1,
        ..limits()
    })
    .await;
    let client = client(false);
    let request = server
        .get("/takst/fare")
        .body(Full::default())
        .expect("valid");
    let caller = tokio::spawn(exchange_with(client, request));
    let (inbound, _) = server.next_request().await;
    expect_that!(
        send_raw(&server, b"GET /takst HTTP/1.1\r\n\r\n").await,
        eq("")
    );
    server.answer(inbound, [head(Some(0)), AnswerPart::End]);
    expect_that!(
        caller.await.expect("the client ends").body,
        some(anything())
    );
}

#[gtest]
#[tokio::test]
async fn a_request_is_refused_if_the_event_ring_is_full() {
    let server = start(limits()).await;
    let mut callers = Vec::new();
    for _ in 0..EVENT_SLOTS {
        let request = server
            .get("/takst/fare")
            .body(Full::default())
            .expect("valid");
        callers.push(tokio::spawn(exchange_with(client(false), request)));
    }
    while server.exchange.waiting() < EVENT_SLOTS {
        tokio::task::yield_now().await;
    }
    let request = server
        .get("/takst/fare")
        .body(Full::default())
        .expect("valid");
    let answer = server.send(request).await;
    expect_that!(answer.code(), eq(code_number(ResultCode::Overloaded)));
}
