//! Planned stops of a node while callers still read their answers.

use std::time::Duration;

use googletest::prelude::*;
use rillgap_forward::event::Event;
use tokio::time::timeout;

use crate::support::{Pair, Reply, Seen, signed, until, with_pair};

/// Length of an answer that does not fit into the buffers of a connection.
const LONG_ANSWER_BYTES: usize = 7_000_000;
/// Time after SIGTERM at which a node without requests in flight has exited.
const STOP_TIME: Duration = Duration::from_millis(3_000);
/// Time within which a node exits once the last answer has been read.
const EXIT_TIME: Duration = Duration::from_secs(1);

fn long_answer(seen: &Seen) -> Reply {
    let id = seen.field("X-Request").unwrap_or_default();
    Reply::Bytes(signed(&id, &"x".repeat(LONG_ANSWER_BYTES)))
}

/// Returns whether the entry exits within this time.
async fn exits_within(pair: &Pair, time: Duration) -> bool {
    timeout(time, pair.entry.exited()).await.is_ok()
}

#[gtest]
fn planned_stop_waits_until_a_slow_caller_has_its_answer() {
    // The process ended 2.7 s after SIGTERM and cut answers that their callers were reading.
    with_pair(long_answer, |pair| async move {
        let mut caller = pair.connect_with_small_window().await;
        caller.get("a", "/safe/1").await;
        until(|| pair.entry.unsent_answer_bytes() > 0).await;
        pair.entry.dispatch(Event::Stop);
        expect_that!(exits_within(&pair, STOP_TIME).await, eq(false));
        let answer = caller.answer().await;
        let length = answer.map(|answer| answer.body.len());
        expect_that!(length, some(eq(LONG_ANSWER_BYTES)));
        drop(caller);
        expect_that!(exits_within(&pair, EXIT_TIME).await, eq(true));
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
        expect_that!(exits_within(&pair, STOP_TIME + EXIT_TIME).await, eq(true));
        drop((gone_silent, idle));
    });
}
