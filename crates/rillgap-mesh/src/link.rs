//! Outgoing link to one peer, implemented as an actor that the [`crate::supervisor`] supervises.
//!
//! The actor connects to the peer and writes the frames of its mailbox in order. It ends with an
//! error when the connection fails or the peer closes it. Frames that are still in the mailbox are
//! then lost, and the supervisor reports the loss to the node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rillgap_core::id::NodeId;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufWriter};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::budget::SendBudget;
use crate::error::LinkError;
use crate::hello::{self, Hello};
use crate::supervisor::SupervisorMessage;

/// Timeout of connecting to a peer and exchanging hellos.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of writing one frame; a link whose peer does not read is then dropped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the write buffer of a link.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// Message to the actor of a link.
#[derive(Debug)]
pub enum LinkMessage {
    /// Frame to write to the connection.
    Frame(Bytes),
    /// The peer closed the connection.
    PeerClosed,
}

/// Arguments with which the actor of a link is started.
#[derive(Clone, Debug)]
pub struct LinkArguments {
    /// Peer that is expected at `address`.
    pub peer: NodeId,
    /// Address of the peer's mesh listener.
    pub address: SocketAddr,
    /// Hello of this node.
    pub hello: Hello,
    /// Limit on queued frames, shared with [`crate::mesh::MeshSender`].
    pub budget: Arc<SendBudget>,
    /// Supervisor that receives [`SupervisorMessage::LinkOpened`] once the link is open.
    pub supervisor: ActorRef<SupervisorMessage>,
}

/// State of the actor of a link.
#[derive(Debug)]
pub struct LinkState {
    arguments: LinkArguments,
    writer: Option<BufWriter<OwnedWriteHalf>>,
}

/// Actor that owns the outgoing link to one peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerLink;

impl Actor for PeerLink {
    type Msg = LinkMessage;
    type State = LinkState;
    type Arguments = LinkArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<LinkMessage>,
        arguments: LinkArguments,
    ) -> Result<LinkState, ActorProcessingErr> {
        Ok(LinkState {
            arguments,
            writer: None,
        })
    }

    async fn post_start(
        &self,
        myself: ActorRef<LinkMessage>,
        state: &mut LinkState,
    ) -> Result<(), ActorProcessingErr> {
        let stream = timeout(CONNECT_TIMEOUT, open(&state.arguments))
            .await
            .map_err(|_| LinkError::Timeout)??;
        let (reader, writer) = stream.into_split();
        tokio::spawn(report_close(reader, myself));
        state.writer = Some(BufWriter::with_capacity(WRITE_BUFFER_BYTES, writer));
        let peer = state.arguments.peer;
        // The supervisor outlives its links, so a failed send can be ignored.
        let _ = state
            .arguments
            .supervisor
            .cast(SupervisorMessage::LinkOpened(peer));
        log::info!(peer = peer.0, address:% = state.arguments.address; "mesh: link opened");
        Ok(())
    }

    async fn handle(
        &self,
        _myself: ActorRef<LinkMessage>,
        message: LinkMessage,
        state: &mut LinkState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            LinkMessage::Frame(frame) => {
                timeout(WRITE_TIMEOUT, state.write(&frame))
                    .await
                    .map_err(|_| LinkError::Timeout)??;
                Ok(())
            }
            LinkMessage::PeerClosed => Err(LinkError::Closed.into()),
        }
    }
}

impl LinkState {
    /// Writes a frame, and flushes if no further frame is queued, to send bursts in few writes.
    async fn write(&mut self, frame: &[u8]) -> Result<(), LinkError> {
        let writer = self.writer.as_mut().ok_or(LinkError::Closed)?;
        writer.write_all(frame).await?;
        self.arguments.budget.release(frame.len());
        if self.arguments.budget.is_empty() {
            writer.flush().await?;
        }
        Ok(())
    }
}

async fn open(arguments: &LinkArguments) -> Result<TcpStream, LinkError> {
    let mut stream = TcpStream::connect(arguments.address).await?;
    stream.set_nodelay(true)?;
    let reply = hello::connect(&mut stream, arguments.hello).await?;
    if reply.node != arguments.peer {
        return Err(LinkError::OtherNode { found: reply.node });
    }
    Ok(stream)
}

/// Waits until the peer closes the connection and reports that to the link.
///
/// The peer sends nothing after its hello, so any result of the read ends the link.
async fn report_close(mut reader: OwnedReadHalf, link: ActorRef<LinkMessage>) {
    let mut unexpected = [0; 1];
    let _ = reader.read(&mut unexpected).await;
    // The send fails if the link has already ended.
    let _ = link.cast(LinkMessage::PeerClosed);
}
