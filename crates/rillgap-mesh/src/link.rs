//! Outgoing link to one peer, as an actor under the mesh's supervisor.
//!
//! The actor connects, then writes the frames of its mailbox in order. It ends with an error
//! as soon as the connection fails or the peer closes it; frames still in the mailbox are lost,
//! and the supervisor reports that.

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

/// Longest time to connect and exchange hellos.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a peer may take no bytes before its link is dropped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the write buffer in bytes.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// Message of the mesh to a link.
#[derive(Debug)]
pub enum LinkMessage {
    /// Sends a frame.
    Frame(Bytes),
    /// The peer closed the connection.
    PeerClosed,
}

/// Where a link leads and how it introduces itself.
#[derive(Clone, Debug)]
pub struct LinkArguments {
    /// The peer.
    pub peer: NodeId,
    /// Address of the peer's mesh listener.
    pub address: SocketAddr,
    /// Hello of this node.
    pub hello: Hello,
    /// Bound on waiting frames, shared with the sender.
    pub budget: Arc<SendBudget>,
    /// Supervisor, which is told when the link is open.
    pub supervisor: ActorRef<SupervisorMessage>,
}

/// State of a link.
#[derive(Debug)]
pub struct LinkState {
    arguments: LinkArguments,
    writer: Option<BufWriter<OwnedWriteHalf>>,
}

/// Outgoing link to one peer.
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
        // The supervisor outlives its links.
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
    /// Writes a frame; flushes once no further frame waits, so that a burst is sent in one go.
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

/// Waits until the peer closes the connection; it sends nothing else on this link.
async fn report_close(mut reader: OwnedReadHalf, link: ActorRef<LinkMessage>) {
    let mut unexpected = [0; 1];
    let _ = reader.read(&mut unexpected).await;
    // The link may have ended already; then there is nobody to tell.
    let _ = link.cast(LinkMessage::PeerClosed);
}
