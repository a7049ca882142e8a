//! Supervisor of the outgoing links: drops ended links and reports their loss.

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

/// Time after a first failure during which no new link is tried.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest time between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A link that is open or being opened.
#[derive(Clone, Debug)]
pub struct OpenLink {
    /// Address to which it leads.
    pub address: SocketAddr,
    /// Bound on its waiting frames.
    pub budget: Arc<SendBudget>,
    /// Its actor.
    pub actor: ActorRef<LinkMessage>,
}

/// What is known of one peer.
#[derive(Debug, Default)]
pub struct PeerEntry {
    /// The link, if there is one.
    pub link: Option<OpenLink>,
    /// Time before which no new link is tried.
    pub retry_at: Option<Instant>,
    /// Whether a loss is already on its way to the node.
    pub loss_pending: bool,
    backoff: Duration,
}

/// The outgoing links by peer, shared by the sending side and the supervisor.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    peers: Arc<Mutex<BTreeMap<NodeId, PeerEntry>>>,
}

impl LinkTable {
    /// Gives access to the table.
    pub fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, PeerEntry>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets a link that ended; `None` if it was replaced before.
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

/// A link that ended.
#[derive(Clone, Copy, Debug)]
struct EndedLink {
    peer: NodeId,
    /// Whether it had been opened, or was the first try to open one.
    was_open: bool,
}

/// Message to the supervisor.
#[derive(Clone, Copy, Debug)]
pub enum SupervisorMessage {
    /// Messages to a peer were dropped.
    MessagesDropped(NodeId),
    /// A link was opened, so the next failure starts with a short pause again.
    LinkOpened(NodeId),
}

/// State of the supervisor.
#[derive(Debug)]
pub struct SupervisorState {
    links: LinkTable,
    events: RingSender<Event>,
}

/// Supervisor of the outgoing links.
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
        // A peer that stays away is tried every second; only its first loss is news.
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
        // The node duty ends before the rings do; a closed ring means that the process ends.
        let _ = self.events.send(Event::PeerLost { peer }).await;
    }

    fn reset_backoff(&self, peer: NodeId) {
        if let Some(entry) = self.links.lock().get_mut(&peer) {
            entry.backoff = Duration::ZERO;
        }
    }
}
