//! Tests the faults that the proxy injects into connections.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use rillgap_soak::proxy::{Disturbance, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Timeout for bytes that must arrive.
const LONG: Duration = Duration::from_secs(20);
/// Time within which bytes would arrive if they were not held.
const SHORT: Duration = Duration::from_millis(100);

/// Starts an echo server and a proxy in front of it.
async fn echo(last: u8) -> Proxy {
    let server = SocketAddr::from(([127, 76, 1, last], 7_000));
    let listener = TcpListener::bind(server).await.expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut byte = [0];
                while stream.read_exact(&mut byte).await.is_ok() {
                    let _ = stream.write_all(&byte).await;
                }
            });
        }
    });
    let listen = SocketAddr::from(([127, 76, 2, last], 7_000));
    Proxy::start(listen, server).await.expect("an address")
}

/// Sends a byte; returns whether it is echoed within the given time.
async fn comes_back(stream: &mut TcpStream, within: Duration) -> bool {
    let mut byte = [0];
    let sent = stream.write_all(b"x").await;
    let read = timeout(within, stream.read_exact(&mut byte)).await;
    sent.is_ok() && matches!(read, Ok(Ok(_)))
}

#[gtest]
#[tokio::test]
async fn undisturbed_connection_passes_bytes() {
    let proxy = echo(1).await;
    let mut stream = TcpStream::connect(proxy.address())
        .await
        .expect("a connection");
    expect_that!(comes_back(&mut stream, LONG).await, eq(true));
    proxy.set_disturbance(Disturbance::Delay(Duration::from_millis(30)));
    expect_that!(comes_back(&mut stream, LONG).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn held_bytes_arrive_when_the_disturbance_is_over() {
    for (last, held) in [
        (2, Disturbance::HoldRequests),
        (3, Disturbance::HoldAnswers),
        (4, Disturbance::Blackhole),
    ] {
        let proxy = echo(last).await;
        let mut stream = TcpStream::connect(proxy.address())
            .await
            .expect("a connection");
        expect_that!(comes_back(&mut stream, LONG).await, eq(true));
        proxy.set_disturbance(held);
        expect_that!(comes_back(&mut stream, SHORT).await, eq(false));
        proxy.set_disturbance(Disturbance::None);
        let mut byte = [0];
        let late = timeout(LONG, stream.read_exact(&mut byte)).await;
        expect_that!(late.is_ok_and(|read| read.is_ok()), eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn reset_ends_connections_and_refuses_new_ones() {
    let proxy = echo(5).await;
    let mut stream = TcpStream::connect(proxy.address())
        .await
        .expect("a connection");
    expect_that!(comes_back(&mut stream, LONG).await, eq(true));
    proxy.set_disturbance(Disturbance::Reset);
    expect_that!(comes_back(&mut stream, LONG).await, eq(false));
    let mut next = TcpStream::connect(proxy.address())
        .await
        .expect("a connection");
    expect_that!(comes_back(&mut next, LONG).await, eq(false));
    proxy.set_disturbance(Disturbance::None);
    let mut again = TcpStream::connect(proxy.address())
        .await
        .expect("a connection");
    expect_that!(comes_back(&mut again, LONG).await, eq(true));
}
