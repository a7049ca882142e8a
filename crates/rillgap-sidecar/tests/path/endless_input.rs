//! Callers, peers and clients of the control address that send without end, and callers that do not
//! read what they have asked for.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::{Pair, Reply, Seen, echo, signed, with_pair};

/// Time within which a connection ends that never comes to the end of its input.
const END_TIME: Duration = Duration::from_secs(4);

/// Writes `begin` and then `block` again and again until the node closes the connection, and returns
/// what it has answered.
async fn write_without_end(
    mut stream: TcpStream,
    begin: &str,
    block: &[u8],
    pause: Duration,
) -> String {
    stream
        .write_all(begin.as_bytes())
        .await
        .expect("a connection");
    let (mut receiving, mut sending) = stream.split();
    let write = async {
        while sending.write_all(block).await.is_ok() {
            tokio::time::sleep(pause).await;
        }
    };
    let mut answer = Vec::new();
    let read = async {
        // Ends with an error if the node resets the connection; what was read before stays.
        let _ = receiving.read_to_end(&mut answer).await;
    };
    tokio::join!(write, read);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Expects that a caller which never comes to the end of a request is refused with this status, soon,
/// and that the node holds none of the bytes.
fn expect_refusal(begin: &'static str, block: &[u8], pause: Duration, status: &'static str) {
    let block = block.to_vec();
    with_pair(echo, move |pair| async move {
        let stream = TcpStream::connect(pair.callers).await.expect("an entry");
        let answer = timeout(END_TIME, write_without_end(stream, begin, &block, pause)).await;
        expect_that!(answer, ok(starts_with(format!("HTTP/1.1 {status}"))));
        expect_that!(pair.entry.buffers().held(), eq(0));
        expect_that!(pair.back_end.seen.borrow().len(), eq(0));
    });
}

const NO_PAUSE: Duration = Duration::ZERO;
const FILLER: &[u8] = &[b'x'; 1_000];
const CHUNKED: &str = "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Request: a\r\nX-Deadline: 1000\r\nTransfer-Encoding: chunked\r\n\r\n";

#[gtest]
fn head_of_a_request_without_end() {
    let begin = "GET /safe/1 HTTP/1.1\r\nHost: h\r\nX-Filler: ";
    expect_refusal(begin, FILLER, NO_PAUSE, "431");
}

#[gtest]
fn body_of_a_request_without_end() {
    let chunks: &[u8] = &b"2\r\nxx\r\n".repeat(1_000);
    expect_refusal(CHUNKED, chunks, NO_PAUSE, "413");
}

#[gtest]
fn trailers_of_a_request_without_end() {
    const TRAILERS: &str = "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Request: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let trailers: &[u8] = &b"X-Filler: x\r\n".repeat(1_000);
    expect_refusal(TRAILERS, trailers, NO_PAUSE, "413");
}

#[gtest]
fn body_of_a_request_byte_by_byte_ends_with_the_deadline_of_its_caller() {
    expect_refusal(CHUNKED, b"1\r\nx\r\n", Duration::from_millis(20), "408");
}

#[gtest]
fn bytes_that_are_no_hello_of_a_peer() {
    with_pair(echo, |pair| async move {
        let address = pair.entry.with_node(|node| node.hello().node.address);
        let stream = TcpStream::connect(address).await.expect("a node");
        // A frame of 15 MB, which does not begin like a hello.
        let ended = write_without_end(stream, "\0\u{70}\0\0", FILLER, NO_PAUSE);
        expect_that!(timeout(END_TIME, ended).await.is_ok(), eq(true));
        expect_that!(pair.entry.buffers().held(), eq(0));
    });
}

#[gtest]
fn call_of_the_control_address_without_end() {
    let endless: [(&str, &[u8], Duration); 3] = [
        (
            "POST /x HTTP/1.1\r\nHost: h\r\nX-Filler: ",
            FILLER,
            NO_PAUSE,
        ),
        (
            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n",
            FILLER,
            NO_PAUSE,
        ),
        (
            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
            b"x",
            Duration::from_millis(20),
        ),
    ];
    for (begin, block, pause) in endless {
        with_pair(echo, move |pair| async move {
            let stream = TcpStream::connect(pair.control).await.expect("an entry");
            let ended = write_without_end(stream, begin, block, pause);
            expect_that!(timeout(END_TIME, ended).await.is_ok(), eq(true), "{begin}");
        });
    }
}

/// Length of an answer of which only a few fit into the buffers of a node.
const LONG_ANSWER_BYTES: usize = 3_000_000;

fn long_if_asked(seen: &Seen) -> Reply {
    let id = seen.field("X-Request").unwrap_or_default();
    if id.starts_with("long") {
        Reply::Bytes(signed(&id, &"x".repeat(LONG_ANSWER_BYTES)))
    } else {
        echo(seen)
    }
}

/// Asks for more long answers than fit into the buffers of a node, on connections that are not read.
async fn ask_without_reading(pair: &Pair) -> Vec<crate::support::Caller> {
    let mut callers = Vec::new();
    for number in 0..12 {
        let mut caller = pair.connect_with_small_window().await;
        caller.get(&format!("long{number}"), "/safe/1").await;
        callers.push(caller);
    }
    callers
}

#[gtest]
fn answers_that_are_not_read_are_bounded_in_sum_and_others_are_served_again() {
    with_pair(long_if_asked, |pair| async move {
        let _unread = ask_without_reading(&pair).await;
        let mut most = 0;
        let mut refused = 0;
        let mut served = 0;
        for number in 0..300 {
            let id = format!("other{number}");
            let answer = timeout(END_TIME, pair.ask(&id, "/safe/1")).await;
            match answer.ok().flatten().map(|answer| answer.status) {
                Some(200) => served += 1,
                Some(503) => refused += 1,
                status => panic!("{status:?}"),
            }
            for node in [&pair.entry, &pair.back_end_node] {
                most = most.max(node.buffers().held());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // Beside the limit: what the peer had sent when there was no room any more.
        let limits = pair.entry.buffers().limits();
        expect_that!(most, le(limits.total + LONG_ANSWER_BYTES));
        expect_that!(refused, gt(0));
        expect_that!(served, gt(0));
    });
}
