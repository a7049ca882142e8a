//! Receiving side of the mesh: accepts links from peers and passes their messages to the node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rillgap_core::event::Event;
use rillgap_core::id::NodeId;
use rillgap_ring::RingSender;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{AbortHandle, Id};
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;

use crate::error::LinkError;
use crate::frame::FrameDecoder;
use crate::hello::{self, Hello};

/// Timeout of the exchange of hellos on a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed `accept`. It fails when descriptors or memory run out, so an immediate
/// retry would fail again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Initial size of the read buffer of a link; the buffer grows if a frame is longer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Accepts links from peers and sends their messages to the node as events.
#[derive(Clone, Debug)]
pub struct MeshReceiver {
    hello: Hello,
    events: RingSender<Event>,
    /// Task that reads the most recent link of each peer.
    links: Arc<Mutex<BTreeMap<NodeId, AbortHandle>>>,
    permits: Arc<Semaphore>,
}

impl MeshReceiver {
    /// Creates a receiver that keeps at most `max_connections` connections open.
    ///
    /// `hello` is the answer to the hello of each peer; messages are sent to `events`.
    pub fn new(hello: Hello, events: RingSender<Event>, max_connections: usize) -> Self {
        Self {
            hello,
            events,
            links: Arc::default(),
            permits: Arc::new(Semaphore::new(max_connections)),
        }
    }

    /// Accepts connections until the task is dropped.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let (stream, address) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::error!("mesh: accept failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
                log::warn!(address:% = address; "mesh: too many connections, closing the new one");
                continue;
            };
            tokio::spawn(self.clone().serve(stream, address, permit));
        }
    }

    async fn serve(self, stream: TcpStream, address: SocketAddr, permit: OwnedSemaphorePermit) {
        let (stream, hello) = match self.exchange_hellos(stream).await {
            Ok(opened) => opened,
            Err(error) => {
                log::warn!(address:% = address, code = error.code().number(); "mesh: connection refused: {error}");
                return;
            }
        };
        let reader = self.clone();
        let task = tokio::spawn(async move {
            let error = reader.read(stream, hello).await;
            let peer = hello.node;
            log::warn!(peer = peer.0, code = error.code().number(); "mesh: link ended: {error}");
            reader.remove_link(peer, tokio::task::id());
            reader.report_loss(peer).await;
            drop(permit);
        });
        self.replace_link(hello.node, task.abort_handle()).await;
    }

    async fn exchange_hellos(
        &self,
        mut stream: TcpStream,
    ) -> Result<(TcpStream, Hello), LinkError> {
        stream.set_nodelay(true)?;
        let hello = timeout(HELLO_TIMEOUT, hello::accept(&mut stream, self.hello))
            .await
            .map_err(|_| LinkError::Timeout)??;
        Ok((stream, hello))
    }

    /// Registers a new link of a peer and aborts the previous one.
    ///
    /// The messages in flight on the previous link are lost, so the loss is reported.
    async fn replace_link(&self, peer: NodeId, task: AbortHandle) {
        let earlier = self
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(peer, task);
        let Some(earlier) = earlier.filter(|task| !task.is_finished()) else {
            return;
        };
        earlier.abort();
        self.report_loss(peer).await;
    }

    /// Removes a link that has ended, unless a newer link of the peer has replaced it.
    fn remove_link(&self, peer: NodeId, task: Id) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if links.get(&peer).is_some_and(|link| link.id() == task) {
            links.remove(&peer);
        }
    }

    /// Sends the messages of a link to the node until the link ends; returns why it ended.
    async fn read(&self, stream: TcpStream, hello: Hello) -> LinkError {
        let mut frames =
            FramedRead::with_capacity(stream, FrameDecoder::default(), READ_BUFFER_BYTES);
        loop {
            let message = match frames.next().await {
                Some(Ok(message)) => message,
                Some(Err(error)) => return error,
                None => return LinkError::Closed,
            };
            let event = Event::Peer {
                from: hello.node,
                incarnation: hello.incarnation,
                message,
            };
            // A full ring blocks this link only; TCP flow control then slows down the peer.
            if self.events.send(event).await.is_err() {
                return LinkError::Closed;
            }
        }
    }

    async fn report_loss(&self, peer: NodeId) {
        // The ring is closed only when the process shuts down.
        let _ = self.events.send(Event::PeerLost { peer }).await;
    }
}
