//! Tests of links over loopback: order of delivery, lost links, invalid input, other versions.

use std::net::SocketAddr;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_core::event::Event;
use rillgap_core::id::{AttemptId, CallId, Incarnation, NodeId};
use rillgap_core::message::{CallMessage, PeerMessage};
use rillgap_mesh::accept::MeshReceiver;
use rillgap_mesh::hello::{HELLO_LENGTH, Hello, MESH_VERSION};
use rillgap_mesh::mesh::{MeshSender, OutgoingMessage};
use rillgap_ring::{RingReceiver, RingSender, ring};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ALICE: NodeId = NodeId(1);
const BOB: NodeId = NodeId(2);

fn credit(sequence: u64) -> PeerMessage {
    let call = CallId {
        node: ALICE,
        incarnation: Incarnation(1),
        sequence,
    };
    PeerMessage::Call(CallMessage::Credit {
        attempt: AttemptId { call, number: 0 },
        bytes: 1,
    })
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

fn start_receiver(listener: TcpListener) -> RingReceiver<Event> {
    let (events, received) = ring(64);
    let receiver = MeshReceiver::new(Hello::new(BOB, Incarnation(7)), events, 8);
    tokio::spawn(receiver.run(listener));
    received
}

async fn start_sender() -> (RingSender<OutgoingMessage>, RingReceiver<Event>) {
    let (events, received) = ring(64);
    let (outgoing, messages) = ring(64);
    let sender = MeshSender::start(Hello::new(ALICE, Incarnation(1)), events)
        .await
        .expect("the supervisor starts");
    tokio::spawn(sender.run(messages));
    (outgoing, received)
}

/// Sends bytes to a mesh listener and returns its reply up to the close of the connection.
async fn answer_to(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    let mut answer = Vec::new();
    // A connection reset is accepted as well as a clean close.
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

#[gtest]
#[tokio::test]
async fn messages_arrive_in_order_with_their_sender() {
    let (listener, address) = listen().await;
    let received = start_receiver(listener);
    let (outgoing, _losses) = start_sender().await;
    for sequence in 0..200 {
        let message = OutgoingMessage {
            to: BOB,
            address,
            message: credit(sequence),
        };
        outgoing.send(message).await.expect("the mesh runs");
    }
    for sequence in 0..200 {
        let expected = Event::Peer {
            from: ALICE,
            incarnation: Incarnation(1),
            message: credit(sequence),
        };
        expect_that!(received.recv().await, some(eq(&expected)));
    }
}

#[gtest]
#[tokio::test]
async fn an_unreachable_peer_is_reported_lost() {
    let (listener, address) = listen().await;
    drop(listener);
    let (outgoing, losses) = start_sender().await;
    let message = OutgoingMessage {
        to: BOB,
        address,
        message: credit(0),
    };
    outgoing.send(message).await.expect("the mesh runs");
    expect_that!(
        losses.recv().await,
        some(eq(&Event::PeerLost { peer: BOB }))
    );
}

#[gtest]
#[tokio::test]
async fn the_receiver_reports_a_lost_link() {
    let (listener, address) = listen().await;
    let received = start_receiver(listener);
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let hello = Hello::new(ALICE, Incarnation(1));
    stream.write_all(&hello.encode()).await.expect("write");
    let mut reply = [0; HELLO_LENGTH];
    stream.read_exact(&mut reply).await.expect("a hello");
    drop(stream);
    expect_that!(
        received.recv().await,
        some(eq(&Event::PeerLost { peer: ALICE }))
    );
}

#[gtest]
#[tokio::test]
async fn a_link_to_another_node_than_the_peer_is_reported_lost() {
    let (listener, address) = listen().await;
    let _received = start_receiver(listener);
    let (outgoing, losses) = start_sender().await;
    let stranger = NodeId(99);
    let message = OutgoingMessage {
        to: stranger,
        address,
        message: credit(0),
    };
    outgoing.send(message).await.expect("the mesh runs");
    expect_that!(
        losses.recv().await,
        some(eq(&Event::PeerLost { peer: stranger }))
    );
}

#[gtest]
#[tokio::test]
async fn invalid_input_is_refused_with_its_code_and_other_links_still_work() {
    let (listener, address) = listen().await;
    let received = start_receiver(listener);
    let answer = answer_to(address, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await;
    // The listener closes the connection with unread bytes, so a reset may discard its reply.
    if !answer.is_empty() {
        expect_that!(answer[10], eq(ResultCode::MeshFrame.number()));
    }
    let (outgoing, _losses) = start_sender().await;
    let message = OutgoingMessage {
        to: BOB,
        address,
        message: credit(5),
    };
    outgoing.send(message).await.expect("the mesh runs");
    expect_that!(received.recv().await, some(anything()));
}

#[gtest]
#[tokio::test]
async fn another_version_is_refused_with_its_code() {
    let (listener, address) = listen().await;
    let _received = start_receiver(listener);
    let mut bytes = Hello::new(ALICE, Incarnation(1)).encode();
    bytes[8..10].copy_from_slice(&(MESH_VERSION + 1).to_be_bytes());
    let answer = answer_to(address, &bytes).await;
    expect_that!(answer.len(), eq(HELLO_LENGTH));
    expect_that!(answer[10], eq(ResultCode::MeshVersion.number()));
}

#[gtest]
#[tokio::test]
async fn a_malformed_frame_ends_its_link() {
    let (listener, address) = listen().await;
    let received = start_receiver(listener);
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let hello = Hello::new(ALICE, Incarnation(1));
    stream.write_all(&hello.encode()).await.expect("write");
    stream
        .write_all(&u32::MAX.to_be_bytes())
        .await
        .expect("write");
    expect_that!(
        received.recv().await,
        some(eq(&Event::PeerLost { peer: ALICE }))
    );
}

/// Opens a link as `ALICE` without a [`MeshSender`] and returns its stream.
async fn open_raw_link(address: SocketAddr, incarnation: u64) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let hello = Hello::new(ALICE, Incarnation(incarnation));
    stream.write_all(&hello.encode()).await.expect("write");
    let mut reply = [0; HELLO_LENGTH];
    stream.read_exact(&mut reply).await.expect("a hello");
    stream
}

#[gtest]
#[tokio::test]
async fn a_second_link_of_a_peer_ends_the_first() {
    let (listener, address) = listen().await;
    let received = start_receiver(listener);
    let mut first = open_raw_link(address, 1).await;
    let _second = open_raw_link(address, 2).await;
    expect_that!(
        received.recv().await,
        some(eq(&Event::PeerLost { peer: ALICE }))
    );
    let mut rest = [0; 1];
    expect_that!(first.read(&mut rest).await, ok(eq(&0)));
}
