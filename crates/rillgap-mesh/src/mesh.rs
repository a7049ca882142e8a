//! Sending side of the mesh: encodes messages and queues them on the links to their receivers.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use ractor::{Actor, ActorRef, SpawnErr};
use rillgap_core::event::Event;
use rillgap_core::id::NodeId;
use rillgap_core::message::PeerMessage;
use rillgap_ring::{RingReceiver, RingSender};
use tokio::time::Instant;

use crate::budget::SendBudget;
use crate::frame::FrameEncoder;
use crate::hello::Hello;
use crate::link::{LinkArguments, LinkMessage, PeerLink};
use crate::supervisor::{LinkSupervisor, LinkTable, OpenLink, PeerEntry, SupervisorMessage};

/// Message to a peer.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Node that receives the message.
    pub to: NodeId,
    /// Address of the receiver's mesh listener.
    pub address: SocketAddr,
    /// Message to send.
    pub message: PeerMessage,
}

/// Sends messages to peers and opens the links that they need.
pub struct MeshSender {
    hello: Hello,
    encoder: FrameEncoder,
    links: LinkTable,
    supervisor: ActorRef<SupervisorMessage>,
}

impl MeshSender {
    /// Creates a sender and starts the supervisor of its links.
    ///
    /// Lost links and dropped messages are reported to `events`.
    ///
    /// # Errors
    ///
    /// Fails if the supervisor actor cannot be started.
    pub async fn start(hello: Hello, events: RingSender<Event>) -> Result<Self, SpawnErr> {
        let links = LinkTable::default();
        let (supervisor, _) = Actor::spawn(None, LinkSupervisor, (links.clone(), events)).await?;
        Ok(Self {
            hello,
            encoder: FrameEncoder::default(),
            links,
            supervisor,
        })
    }

    /// Sends the messages of a ring until all senders of the ring are dropped.
    ///
    /// The loop never waits for a peer: a message that exceeds the budget of its link drops the
    /// link.
    pub async fn run(mut self, outgoing: RingReceiver<OutgoingMessage>) {
        while let Some(message) = outgoing.recv().await {
            self.send(message).await;
        }
        self.supervisor.stop(None);
    }

    async fn send(&mut self, outgoing: OutgoingMessage) {
        let frame = match self.encoder.encode(&outgoing.message) {
            Ok(frame) => frame,
            Err(error) => {
                log::error!(peer = outgoing.to.0, code = error.code().number(); "mesh: {error}");
                self.report_drop(outgoing.to);
                return;
            }
        };
        let Some(link) = self.get_or_open_link(outgoing.to, outgoing.address).await else {
            self.report_drop(outgoing.to);
            return;
        };
        self.enqueue(outgoing.to, &link, frame);
    }

    fn enqueue(&self, peer: NodeId, link: &OpenLink, frame: Bytes) {
        if !link.budget.try_reserve(frame.len()) {
            log::warn!(peer = peer.0; "mesh: peer takes messages too slowly, dropping its link");
            link.actor.kill();
            return;
        }
        if link.actor.cast(LinkMessage::Frame(frame)).is_err() {
            self.report_drop(peer);
        }
    }

    /// Returns the link to a peer; opens one if there is none.
    ///
    /// Returns `None` during the backoff after a failure, or if the link cannot be started.
    async fn get_or_open_link(&self, peer: NodeId, address: SocketAddr) -> Option<OpenLink> {
        if let Some(link) = self.existing_link(peer, address) {
            return Some(link);
        }
        if self.is_backing_off(peer) {
            return None;
        }
        let budget = Arc::new(SendBudget::default());
        let arguments = LinkArguments {
            peer,
            address,
            hello: self.hello,
            budget: Arc::clone(&budget),
            supervisor: self.supervisor.clone(),
        };
        let (actor, _) = Actor::spawn_linked(None, PeerLink, arguments, self.supervisor.get_cell())
            .await
            .ok()?;
        let link = OpenLink {
            address,
            budget,
            actor,
        };
        self.links.lock().entry(peer).or_default().link = Some(link.clone());
        Some(link)
    }

    fn existing_link(&self, peer: NodeId, address: SocketAddr) -> Option<OpenLink> {
        let mut peers = self.links.lock();
        let entry = peers.get_mut(&peer)?;
        let link = entry.link.clone()?;
        if link.address == address {
            return Some(link);
        }
        // The peer has another address now: the old link is closed, and the messages that were
        // queued on it are lost.
        link.actor.kill();
        entry.link = None;
        entry.loss_pending = true;
        let _ = self
            .supervisor
            .cast(SupervisorMessage::MessagesDropped(peer));
        None
    }

    fn is_backing_off(&self, peer: NodeId) -> bool {
        let now = Instant::now();
        self.links
            .lock()
            .get(&peer)
            .and_then(|entry| entry.retry_at)
            .is_some_and(|retry_at| now < retry_at)
    }

    /// Reports that messages to a peer were dropped, unless a report is already pending.
    fn report_drop(&self, peer: NodeId) {
        let mut peers = self.links.lock();
        let entry: &mut PeerEntry = peers.entry(peer).or_default();
        if entry.loss_pending {
            return;
        }
        entry.loss_pending = true;
        // The supervisor is stopped only at the end of `run`, so a failed send can be ignored.
        let _ = self
            .supervisor
            .cast(SupervisorMessage::MessagesDropped(peer));
    }
}
