//! Planned stops of a node while callers still read their answers.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_forward::event::Event;
use rillgap_forward::id::Sequence;
use rillgap_forward::message::{ForwardResult, ForwardedRequest, LinkMessage, level_of};
use rillgap_sidecar::hub::Hub;
use tokio::time::timeout;

use crate::support::{Reply, Seen, SlowPeer, signed, until, with_pair};

/// Length of an answer that does not fit into the buffers of a connection.
const LONG_ANSWER_BYTES: usize = 7_000_000;
/// Time after SIGTERM at which a node without requests in flight has exited.
const STOP_TIME: Duration = Duration::from_millis(3_000);
/// Time within which a node exits once the last answer has been read.
const EXIT_TIME: Duration = Duration::from_secs(1);

fn long_answer(seen: &Seen) -> Reply {
    let id = seen.field("X-Request").unwrap_or_default();
    // All printable characters, which the codec of the links cannot pack.
    let characters = (b' '..=b'~').map(char::from).cycle();
    let body: String = characters.take(LONG_ANSWER_BYTES).collect();
    Reply::Bytes(signed(&id, &body))
}

/// Returns whether a node exits within this time.
async fn exits_within(node: &Hub, time: Duration) -> bool {
    timeout(time, node.exited()).await.is_ok()
}

#[gtest]
fn planned_stop_waits_until_a_slow_caller_has_its_answer() {
    // The process ended 2.7 s after SIGTERM and cut answers that their callers were reading.
    with_pair(long_answer, |pair| async move {
        let mut caller = pair.connect_with_small_window().await;
        caller.get("a", "/safe/1").await;
        until(|| pair.entry.unsent_answer_bytes() > 0).await;
        pair.entry.dispatch(Event::Stop);
        expect_that!(exits_within(&pair.entry, STOP_TIME).await, eq(false));
        let answer = caller.answer().await;
        let length = answer.map(|answer| answer.body.len());
        expect_that!(length, some(eq(LONG_ANSWER_BYTES)));
        drop(caller);
        expect_that!(exits_within(&pair.entry, EXIT_TIME).await, eq(true));
    });
}

#[gtest]
fn planned_stop_does_not_wait_for_callers_that_have_given_up_or_are_idle() {
    with_pair(long_answer, |pair| async move {
        let mut gone_silent = pair.connect_with_small_window().await;
        gone_silent
            .send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nX-Request: a\r\nX-Deadline: 1000\r\n\r\n")
            .await;
        until(|| pair.entry.unsent_answer_bytes() > 0).await;
        let idle = pair.connect().await;
        pair.entry.dispatch(Event::Stop);
        expect_that!(
            exits_within(&pair.entry, STOP_TIME + EXIT_TIME).await,
            eq(true)
        );
        drop((gone_silent, idle));
    });
}

fn request_for_a_long_answer() -> LinkMessage {
    let request = ForwardedRequest {
        request_id: "a".to_owned(),
        method: "GET".to_owned(),
        target: "/safe/1".to_owned(),
        fields: b"X-Request: a\r\n".to_vec(),
        body: Vec::new(),
        caller_service: "front".to_owned(),
        service: "work".to_owned(),
        route: "/safe/".to_owned(),
        is_idempotent: true,
        tenant: None,
        level: level_of(1, "a"),
        is_call: false,
        is_retry: false,
        remaining_micros: 20_000_000,
        queue_limit_micros: 1_000_000,
        answer_grace_micros: 1_000_000,
        remembered_rate_limit: None,
    };
    LinkMessage::Request {
        sequence: Sequence(1),
        request: Arc::new(request),
    }
}

#[gtest]
fn planned_stop_waits_until_a_slow_peer_has_its_answer() {
    // The node beside the back end exited with the answer in the queue of a link.
    with_pair(long_answer, |pair| async move {
        let node = &pair.back_end_node;
        let mut peer = SlowPeer::connect(node).await;
        peer.send(&request_for_a_long_answer()).await;
        until(|| pair.back_end.seen.borrow().len() == 1).await;
        until(|| node.with_node(|node| node.inbound().in_flight()) == 0).await;
        node.dispatch(Event::Stop);
        expect_that!(exits_within(node, STOP_TIME).await, eq(false));
        let result = peer.response().await.map(|response| response.result);
        let Some(ForwardResult::Answered(answer)) = result else {
            panic!("no answer");
        };
        expect_that!(answer.body.len(), eq(LONG_ANSWER_BYTES));
        drop(peer);
        expect_that!(exits_within(node, EXIT_TIME).await, eq(true));
    });
}
