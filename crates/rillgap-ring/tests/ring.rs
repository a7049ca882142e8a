//! Tests of rings that are full, closed or used by several senders.

use googletest::prelude::*;
use rillgap_ring::{RingError, ring};

#[gtest]
fn try_send_fails_on_a_full_ring() {
    let (sender, _receiver) = ring(2);
    expect_that!(sender.try_send(1), ok(eq(())));
    expect_that!(sender.try_send(2), ok(eq(())));
    expect_that!(sender.try_send(3), err(eq(RingError::Full(3))));
}

#[gtest]
fn a_closed_ring_returns_the_message() {
    let (sender, receiver) = ring(2);
    drop(receiver);
    expect_that!(sender.try_send(7), err(eq(RingError::Closed(7))));
}

#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn waiting_senders_keep_their_order_across_threads() {
    const MESSAGES: u32 = 20_000;
    let (sender, receiver) = ring(4);
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .build()
            .expect("a runtime starts");
        runtime.block_on(async {
            for message in 0..MESSAGES {
                sender.send(message).await.expect("the receiver is open");
            }
        });
    });
    for expected in 0..MESSAGES {
        expect_that!(receiver.recv().await, some(eq(expected)));
    }
    expect_that!(receiver.recv().await, none());
    thread.join().expect("the sender ends");
}

#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn an_aborted_sender_does_not_stop_the_others() {
    let (sender, receiver) = ring(1);
    sender.try_send(0).expect("the ring is empty");
    let aborted = tokio::spawn({
        let sender = sender.clone();
        async move { sender.send(1).await }
    });
    let waiting = tokio::spawn(async move { sender.send(2).await });
    tokio::task::yield_now().await;
    aborted.abort();
    tokio::task::yield_now().await;
    expect_that!(receiver.recv().await, some(eq(0)));
    expect_that!(receiver.recv().await, some(eq(2)));
    expect_that!(waiting.await.expect("the sender ends"), ok(eq(())));
}
