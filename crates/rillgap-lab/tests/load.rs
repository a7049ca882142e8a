//! Callers find whole answers whole, and notice every way in which an answer can be faulty.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{back_end_settings, serve_back_end};
use googletest::prelude::*;
use rillgap_lab::load::{self, BulkShape, FailureCondition, LoadReport, LoadSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn settings(target: SocketAddr, mix: &str) -> LoadSettings {
    LoadSettings {
        targets: vec![target],
        rate: 1000.0,
        duration: Duration::from_millis(20),
        mix: mix.parse().expect("a mix"),
        bulk: BulkShape {
            bytes: 100_000,
            pause: Duration::ZERO,
        },
        timeout: Duration::from_secs(60),
        attempts: 1,
        seed: 7,
    }
}

/// Answers each connection with the same bytes and closes it.
async fn serve_bytes(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    address
}

async fn load_on(answer: &'static str) -> LoadReport {
    let target = serve_bytes(answer).await;
    load::run(&settings(target, "browse=1")).await
}

#[gtest]
#[tokio::test]
async fn whole_answers_are_counted_as_whole() {
    let mut back_end = back_end_settings();
    back_end.slots = 100;
    let (address, back_end) = serve_back_end(back_end).await;
    let report = load::run(&settings(address, "booking=1,bulk=1")).await;
    expect_that!(report.total().whole, eq(20));
    expect_that!(report.examples.is_empty(), eq(true));
    expect_that!(back_end.executions().highest, eq(1));
}

#[gtest]
#[tokio::test]
async fn an_answer_that_breaks_off_is_cut() {
    let report = load_on("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    expect_that!(report.total().cut, eq(20));
    expect_that!(report.failures(FailureCondition::Cut), eq(20));
}

#[gtest]
#[tokio::test]
async fn a_connection_lost_before_the_answer_is_cut() {
    let report = load_on("").await;
    expect_that!(report.total().cut, eq(20));
}

#[gtest]
#[tokio::test]
async fn an_answer_for_another_caller_is_wrong() {
    let report =
        load_on("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-caller-id: other\r\n\r\n").await;
    expect_that!(report.total().wrong, eq(20));
    expect_that!(report.failures(FailureCondition::Cut), eq(20));
}

#[gtest]
#[tokio::test]
async fn a_refusal_is_counted_by_code_and_outcome() {
    let report = load_on(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/problem+json\r\n\
         content-length: 32\r\n\r\n{\"code\":40,\"outcome\":\"not-run\" }",
    )
    .await;
    let total = report.total();
    expect_that!(total.not_run, eq(20));
    expect_that!(total.codes.get(&40), some(eq(&20)));
    expect_that!(report.failures(FailureCondition::Cut), eq(0));
    expect_that!(report.failures(FailureCondition::Refused), eq(20));
}
