//! Supervisor of the outgoing links: removes ended links, sets the backoff and reports the loss.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ractor::{Actor, ActorCell, ActorId, ActorProcessingErr, ActorRef, SupervisionEvent};
use rillgap_core::event::Event;
use rillgap_core::id::NodeId;
use rillgap_ring::RingSender;
use tokio::time::Instant;

use crate::budget::SendBudget;
use crate::link::LinkMessage;

/// Backoff after the first failure of a link; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff between two attempts to open a link.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A link that is open or being opened.
#[derive(Clone, Debug)]
pub struct OpenLink {
    /// Address of the peer's mesh listener.
    pub address: SocketAddr,
    /// Limit on the frames that are queued for the link.
    pub budget: Arc<SendBudget>,
    /// Actor that owns the link.
    pub actor: ActorRef<LinkMessage>,
}

/// Sending state of one peer.
#[derive(Debug, Default)]
pub struct PeerEntry {
    /// Current link; `None` if it ended or was never opened.
    pub link: Option<OpenLink>,
    /// Earliest time of the next attempt to open a link; `None` before the first failure.
    pub retry_at: Option<Instant>,
    /// Whether a loss was passed to the supervisor that it has not yet reported to the node.
    pub loss_pending: bool,
    /// Backoff after the last failure; zero if no link has failed since one was last opened.
    backoff: Duration,
}

/// Outgoing links by peer, shared by [`crate::mesh::MeshSender`] and the supervisor.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    peers: Arc<Mutex<BTreeMap<NodeId, PeerEntry>>>,
}

impl LinkTable {
    /// Locks the table and returns its entries.
    pub fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, PeerEntry>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes a link that ended and doubles the backoff of its peer.
    ///
    /// Returns `None` if the link is no longer in the table because it was replaced.
    fn remove(&self, actor: ActorId, now: Instant) -> Option<EndedLink> {
        let mut peers = self.lock();
        let (peer, entry) = peers.iter_mut().find(|(_, entry)| {
            entry
                .link
                .as_ref()
                .is_some_and(|link| link.actor.get_id() == actor)
        })?;
        entry.link = None;
        let was_open = entry.backoff.is_zero();
        entry.backoff = (entry.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        entry.retry_at = Some(now + entry.backoff);
        Some(EndedLink {
            peer: *peer,
            was_open,
        })
    }
}

/// Link that has ended.
#[derive(Clone, Copy, Debug)]
struct EndedLink {
    peer: NodeId,
    /// Whether the backoff was zero: the link had been open, or was the first attempt to open one.
    was_open: bool,
}

/// Message to the supervisor of the links.
#[derive(Clone, Copy, Debug)]
pub enum SupervisorMessage {
    /// Messages to a peer were dropped; the loss must be reported to the node.
    MessagesDropped(NodeId),
    /// A link was opened; the backoff of the peer is reset.
    LinkOpened(NodeId),
}

/// State of the supervisor.
#[derive(Debug)]
pub struct SupervisorState {
    links: LinkTable,
    events: RingSender<Event>,
}

/// Actor that supervises the outgoing links.
#[derive(Clone, Copy, Debug)]
pub struct LinkSupervisor;

impl Actor for LinkSupervisor {
    type Msg = SupervisorMessage;
    type State = SupervisorState;
    type Arguments = (LinkTable, RingSender<Event>);

    async fn pre_start(
        &self,
        _myself: ActorRef<SupervisorMessage>,
        (links, events): Self::Arguments,
    ) -> Result<SupervisorState, ActorProcessingErr> {
        Ok(SupervisorState { links, events })
    }

    async fn handle(
        &self,
        _myself: ActorRef<SupervisorMessage>,
        message: SupervisorMessage,
        state: &mut SupervisorState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SupervisorMessage::MessagesDropped(peer) => state.report_loss(peer).await,
            SupervisorMessage::LinkOpened(peer) => state.reset_backoff(peer),
        }
        Ok(())
    }

    async fn handle_supervisor_evt(
        &self,
        _myself: ActorRef<SupervisorMessage>,
        event: SupervisionEvent,
        state: &mut SupervisorState,
    ) -> Result<(), ActorProcessingErr> {
        match event {
            SupervisionEvent::ActorFailed(link, error) => {
                state.on_link_ended(&link, &error.to_string()).await;
            }
            SupervisionEvent::ActorTerminated(link, _, reason) => {
                state
                    .on_link_ended(&link, reason.as_deref().unwrap_or("stopped"))
                    .await;
            }
            _ => {}
        }
        Ok(())
    }
}

impl SupervisorState {
    async fn on_link_ended(&mut self, link: &ActorCell, reason: &str) {
        let Some(ended) = self.links.remove(link.get_id(), Instant::now()) else {
            return;
        };
        // An unreachable peer is retried about once per second (`MAX_BACKOFF`), so only the first
        // failure is logged as a warning.
        let level = if ended.was_open {
            log::Level::Warn
        } else {
            log::Level::Debug
        };
        log::log!(level, peer = ended.peer.0, reason = reason; "mesh: link lost");
        self.report_loss(ended.peer).await;
    }

    async fn report_loss(&mut self, peer: NodeId) {
        if let Some(entry) = self.links.lock().get_mut(&peer) {
            entry.loss_pending = false;
        }
        // The ring is closed only after the node duty, its receiver, has ended; the process then
        // ends too.
        let _ = self.events.send(Event::PeerLost { peer }).await;
    }

    fn reset_backoff(&self, peer: NodeId) {
        if let Some(entry) = self.links.lock().get_mut(&peer) {
            entry.backoff = Duration::ZERO;
        }
    }
}
