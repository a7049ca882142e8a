//! Tests the events that the node receives for its back end, and the requests sent to the back end.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use rillgap_backend::client::{BackEndClient, BackEndCommand};
use rillgap_backend::settings::BackEndSettings;
use rillgap_core::action::BackEndRequest;
use rillgap_core::event::{BackEndFailure, Event};
use rillgap_core::id::{AttemptId, BackEndName, CallId, CallToken, Incarnation, NodeId};
use rillgap_core::request::RequestHead;
use rillgap_ring::{RingReceiver, RingSender, ring};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LARGE_CREDIT: u32 = 64 * 1024;
const COMPLETE_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

/// Complete body of an answer, or the failure of the attempt.
type Outcome = std::result::Result<Vec<u8>, BackEndFailure>;

/// A back end scripted by the test, and the client under test.
struct Fixture {
    listener: Option<TcpListener>,
    commands: RingSender<BackEndCommand>,
    events: RingReceiver<Event>,
}

fn attempt(sequence: u64) -> AttemptId {
    let call = CallId {
        node: NodeId(1),
        incarnation: Incarnation(1),
        sequence,
    };
    AttemptId { call, number: 0 }
}

fn settings(address: SocketAddr) -> BackEndSettings {
    BackEndSettings {
        address,
        connections: 4,
        connect_timeout: Duration::from_secs(1),
        health_path: None,
        health_interval: Duration::from_secs(1),
    }
}

impl Fixture {
    async fn start(configure: impl FnOnce(&mut BackEndSettings)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let mut settings = settings(listener.local_addr().expect("bound"));
        configure(&mut settings);
        let (sender, events) = ring(64);
        let (commands, receiver) = ring(64);
        tokio::spawn(BackEndClient::new(settings, sender).run(receiver));
        Self {
            listener: Some(listener),
            commands,
            events,
        }
    }

    async fn command(&self, command: BackEndCommand) {
        self.commands.send(command).await.expect("the client runs");
    }

    /// Sends a request and grants `credit` bytes for its answer.
    async fn call(&self, sequence: u64, credit: u32) {
        let attempt = attempt(sequence);
        let request = BackEndRequest {
            attempt,
            back_end: BackEndName::new("takst-1"),
            token: CallToken(255),
            timeout: Duration::from_millis(250),
            head: RequestHead {
                method: "POST".to_owned(),
                path: "/fare?zone=1".to_owned(),
                headers: Vec::new(),
            },
            body: Bytes::from_static(b"body"),
        };
        self.command(BackEndCommand::Call(Box::new(request))).await;
        let read = BackEndCommand::Read {
            attempt,
            bytes: credit,
        };
        self.command(read).await;
    }

    async fn accept(&self) -> TcpStream {
        let listener = self.listener.as_ref().expect("the back end listens");
        listener.accept().await.expect("a connection").0
    }

    /// Waits for the end of an attempt and returns its failure or the complete body.
    async fn outcome(&self) -> Outcome {
        let mut body = Vec::new();
        loop {
            match self.events.recv().await.expect("the client runs") {
                Event::BackEndBody { chunk, .. } => body.extend_from_slice(&chunk),
                Event::BackEndEnd { .. } => return Ok(body),
                Event::BackEndFailed { failure, .. } => return Err(failure),
                _ => {}
            }
        }
    }

    /// Sends a request, answers it with raw bytes, closes the connection and returns the outcome.
    async fn outcome_of_answer(answer: &[u8]) -> Outcome {
        let fixture = Self::start(|_| {}).await;
        fixture.call(1, LARGE_CREDIT).await;
        let mut connection = fixture.accept().await;
        read_request(&mut connection).await;
        connection.write_all(answer).await.expect("write");
        drop(connection);
        fixture.outcome().await
    }
}

fn complete(body: &str) -> Outcome {
    Ok(body.as_bytes().to_vec())
}

/// Reads one request, whose body must end with "body".
async fn read_request(connection: &mut TcpStream) -> String {
    let mut request = Vec::new();
    while !request.ends_with(b"body") {
        let length = connection.read_buf(&mut request).await.expect("read");
        assert!(length > 0, "the connection ended early");
    }
    String::from_utf8(request).expect("text")
}

#[gtest]
#[tokio::test]
async fn a_complete_answer_is_forwarded() {
    expect_that!(
        Fixture::outcome_of_answer(COMPLETE_ANSWER).await,
        eq(&complete("hello"))
    );
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    expect_that!(
        Fixture::outcome_of_answer(chunked).await,
        eq(&complete("hello"))
    );
}

#[gtest]
#[tokio::test]
async fn the_back_end_receives_token_and_remaining_time() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.call(1, LARGE_CREDIT).await;
    let request = read_request(&mut fixture.accept().await).await;
    expect_that!(request, starts_with("POST /fare?zone=1 HTTP/1.1\r\n"));
    expect_that!(
        request,
        contains_substring("rillgap-call: 000000000000000000000000000000ff")
    );
    expect_that!(request, contains_substring("grpc-timeout: 250000u"));
}

#[gtest]
#[tokio::test]
async fn a_refused_connection_means_that_nothing_was_sent() {
    let mut fixture = Fixture::start(|_| {}).await;
    fixture.listener = None;
    fixture.call(1, LARGE_CREDIT).await;
    expect_that!(
        fixture.outcome().await,
        eq(&Err(BackEndFailure::NotConnected))
    );
}

#[gtest]
#[tokio::test]
async fn answers_that_end_early_are_broken() {
    let answers: [&[u8]; 5] = [
        b"",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        // Neither length nor chunks: the end cannot be distinguished from a lost connection.
        b"HTTP/1.1 200 OK\r\n\r\nhello",
    ];
    for answer in answers {
        expect_that!(
            Fixture::outcome_of_answer(answer).await,
            eq(&Err(BackEndFailure::Broken))
        );
    }
}

#[gtest]
#[tokio::test]
async fn only_an_answer_with_the_published_header_counts_as_shed() {
    let shed = b"HTTP/1.1 503 Busy\r\nrillgap-not-run: true\r\ncontent-length: 0\r\n\r\n";
    expect_that!(
        Fixture::outcome_of_answer(shed).await,
        eq(&Err(BackEndFailure::Shed))
    );
    let plain = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    expect_that!(Fixture::outcome_of_answer(plain).await, eq(&complete("")));
}

#[gtest]
#[tokio::test]
async fn a_connection_is_reused_and_replaced_once_it_is_closed() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.call(1, LARGE_CREDIT).await;
    let mut first = fixture.accept().await;
    for sequence in 2..4 {
        read_request(&mut first).await;
        first.write_all(COMPLETE_ANSWER).await.expect("write");
        expect_that!(fixture.outcome().await, eq(&complete("hello")));
        fixture.call(sequence, LARGE_CREDIT).await;
    }
    read_request(&mut first).await;
    first.write_all(COMPLETE_ANSWER).await.expect("write");
    expect_that!(fixture.outcome().await, eq(&complete("hello")));
    drop(first);
    // Lets the client detect the close before the next request.
    tokio::time::sleep(Duration::from_millis(20)).await;
    fixture.call(4, LARGE_CREDIT).await;
    let mut second = fixture.accept().await;
    read_request(&mut second).await;
    second.write_all(COMPLETE_ANSWER).await.expect("write");
    expect_that!(fixture.outcome().await, eq(&complete("hello")));
}

#[gtest]
#[tokio::test]
async fn connections_are_limited() {
    let fixture = Fixture::start(|settings| settings.connections = 1).await;
    fixture.call(1, LARGE_CREDIT).await;
    fixture.call(2, LARGE_CREDIT).await;
    let mut connection = fixture.accept().await;
    for _ in 0..2 {
        read_request(&mut connection).await;
        connection.write_all(COMPLETE_ANSWER).await.expect("write");
        expect_that!(fixture.outcome().await, eq(&complete("hello")));
    }
}

#[gtest]
#[tokio::test]
async fn cancelling_closes_the_connection() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.call(1, LARGE_CREDIT).await;
    let mut connection = fixture.accept().await;
    read_request(&mut connection).await;
    let attempt = attempt(1);
    fixture.command(BackEndCommand::Cancel { attempt }).await;
    let mut rest = [0; 1];
    expect_that!(connection.read(&mut rest).await, ok(eq(&0)));
}

#[gtest]
#[tokio::test]
async fn no_more_is_forwarded_than_the_credit_allows() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.call(1, 3).await;
    let mut connection = fixture.accept().await;
    read_request(&mut connection).await;
    connection.write_all(COMPLETE_ANSWER).await.expect("write");
    expect_that!(
        fixture.events.recv().await,
        some(matches_pattern!(Event::BackEndHead { .. }))
    );
    let part = |chunk: &'static [u8]| Event::BackEndBody {
        attempt: attempt(1),
        chunk: Bytes::from_static(chunk),
    };
    expect_that!(fixture.events.recv().await, some(eq(&part(b"hel"))));
    tokio::time::sleep(Duration::from_millis(20)).await;
    expect_that!(fixture.events.try_recv(), none());
    let read = BackEndCommand::Read {
        attempt: attempt(1),
        bytes: 10,
    };
    fixture.command(read).await;
    expect_that!(fixture.events.recv().await, some(eq(&part(b"lo"))));
    expect_that!(fixture.outcome().await, eq(&complete("")));
}

#[gtest]
#[tokio::test]
async fn an_answer_can_announce_that_the_back_end_leaves() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.call(1, LARGE_CREDIT).await;
    let mut connection = fixture.accept().await;
    read_request(&mut connection).await;
    let answer = b"HTTP/1.1 200 OK\r\nrillgap-leaving: 1\r\ncontent-length: 0\r\n\r\n";
    connection.write_all(answer).await.expect("write");
    let leaving = Event::BackEndAnnounced { leaving: true };
    expect_that!(fixture.events.recv().await, some(eq(&leaving)));
}

#[gtest]
#[tokio::test]
async fn the_health_endpoint_can_announce_leaving_and_serving() {
    let fixture = Fixture::start(|settings| {
        settings.health_path = Some("/health".to_owned());
        settings.health_interval = Duration::from_millis(5);
    })
    .await;
    let mut connection = fixture.accept().await;
    for (state, leaving) in [("leaving", true), ("serving", false)] {
        let mut request = [0; 1024];
        let length = connection.read(&mut request).await.expect("read");
        expect_that!(length, gt(0));
        let body = format!("{{\"state\":\"{state}\"}}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        connection
            .write_all(answer.as_bytes())
            .await
            .expect("write");
        let announced = Event::BackEndAnnounced { leaving };
        expect_that!(fixture.events.recv().await, some(eq(&announced)));
    }
}
