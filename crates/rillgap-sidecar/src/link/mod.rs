//! Links between nodes: TCP connections on which both ends send requests.

mod codec;
mod long_bodies;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use rillgap_forward::buffer_account::HolderKind;
use rillgap_forward::event::Event;
use rillgap_forward::id::LinkId;
use rillgap_forward::message::{Hello, LinkMessage};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use codec::encode_offer;
pub use codec::{Frame, FrameDecoder, FrameEncoder, FrameError, encode_grant};
use long_bodies::{LONG_BODY_BYTES, LongBodies};

use crate::buffers::Held;
use crate::ending::Ending;
use crate::hub::Hub;
use crate::read::{discard_some, read_some, release_if_empty};

/// Timeout for opening a connection, and then for the exchange of hello messages.
const OPEN_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of bytes that are read before the hello message of a peer is complete.
const MAX_HELLO_BYTES: usize = 64 * 1024;
/// Pause after a link could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a node that ends a link waits for the peer's close, if nothing waited to be sent.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an offer of a peer waits for room after which the caller with the most unread bytes
/// is disconnected.
const RELIEF_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of bytes that wait to be sent when further messages are added, without bodies that
/// the peer has granted; beyond it the peer reads too slowly and the link is closed.
const MAX_UNSENT_BYTES: usize = 8 * 1024 * 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("connection lost: {0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("closed by the peer")]
    Closed,
    #[error("first message is not a hello")]
    NoHello,
    #[error("peer reads too slowly, too many bytes are unsent")]
    TooMuchUnsent,
}

/// Whether this node opened or accepted a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Opened,
    Accepted,
}

/// Opens a link, unless the node ends its links; the hub dispatches its events.
pub fn open(hub: Rc<Hub>, link: LinkId, address: SocketAddr) {
    if hub.ends_links() {
        return;
    }
    tokio::task::spawn_local(async move {
        match timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => run(&hub, link, stream, Direction::Opened).await,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                hub.dispatch(Event::LinkRefused(link));
                return;
            }
            Ok(Err(_)) | Err(_) => {}
        }
        hub.remove_link(link);
    });
}

/// Accepts links until the node ends them.
pub async fn accept(hub: Rc<Hub>, listener: TcpListener) {
    let mut ending = hub.ending();
    let links = Ending::Links;
    while let Some(stream) = ending.accept_until(links, &listener, ACCEPT_PAUSE).await {
        let hub = hub.clone();
        tokio::task::spawn_local(async move {
            let link = hub.new_link();
            run(&hub, link, stream, Direction::Accepted).await;
            hub.remove_link(link);
        });
    }
}

async fn run(hub: &Rc<Hub>, link: LinkId, stream: TcpStream, direction: Direction) {
    let (sender, receiver) = unbounded_channel();
    let mut connection = LinkConnection::new(hub.clone(), stream);
    let hello = hub.with_node(|node| node.hello());
    let received = timeout(OPEN_TIMEOUT, connection.exchange_hello(hello)).await;
    let Ok(Ok(hello)) = received else {
        return;
    };
    hub.add_link(link, sender, connection.held.clone());
    hub.dispatch(match direction {
        Direction::Opened => Event::LinkOpened { link, hello },
        Direction::Accepted => Event::LinkAccepted { link, hello },
    });
    if let Err(error) = connection.carry_messages(link, receiver).await {
        log::debug!(link = link.0; "link: ended: {error}");
    }
}

/// One end of a link.
struct LinkConnection {
    hub: Rc<Hub>,
    /// Counts the bodies of queued messages, the output and the input.
    held: Rc<Held>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    long_bodies: LongBodies,
    /// Length of the granted bodies in the output.
    granted_output: usize,
}

impl LinkConnection {
    fn new(hub: Rc<Hub>, stream: TcpStream) -> Self {
        // Without `TCP_NODELAY` small frames may wait for acknowledgements. The link also works
        // without it, so an error is ignored.
        let _ = stream.set_nodelay(true);
        let held = Rc::new(hub.buffers().open(HolderKind::Link));
        Self {
            hub,
            held,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            long_bodies: LongBodies::default(),
            granted_output: 0,
        }
    }

    /// Sends the node's hello message and returns the peer's.
    async fn exchange_hello(&mut self, hello: Hello) -> Result<Hello, LinkError> {
        let hello = LinkMessage::Hello(hello);
        self.hub.encode_frame(&hello, &mut self.output)?;
        self.flush()?;
        loop {
            if self.input.len() > MAX_HELLO_BYTES {
                return Err(LinkError::NoHello);
            }
            if let Some(frame) = self.hub.decode_frame(&mut self.input)? {
                return match frame {
                    Frame::Message(LinkMessage::Hello(hello)) => Ok(hello),
                    _ => Err(LinkError::NoHello),
                };
            }
            let (mut receiving, sending) = self.stream.split();
            tokio::select! {
                biased;
                received = read_some(&mut receiving, &mut self.input) => {
                    check_received(received?)?;
                }
                ready = sending.writable(), if !self.output.is_empty() => {
                    ready?;
                    self.flush()?;
                }
            }
        }
    }

    /// Sends and receives messages until the link ends, its queue is closed or the node ends its
    /// links.
    async fn carry_messages(
        &mut self,
        link: LinkId,
        mut messages: UnboundedReceiver<LinkMessage>,
    ) -> Result<(), LinkError> {
        let mut ending = self.hub.ending();
        self.held.add(self.input.len() + self.output.len());
        self.deliver(link)?;
        loop {
            let buffers = self.hub.buffers().clone();
            let waits_since = self.long_bodies.waits_since();
            let relief_at = waits_since.map(|since| since + RELIEF_DELAY);
            let (mut receiving, sending) = self.stream.split();
            tokio::select! {
                biased;
                received = read_some(&mut receiving, &mut self.input) => {
                    let received = received?;
                    check_received(received)?;
                    self.held.add(self.long_bodies.uncounted(received));
                    self.deliver(link)?;
                    self.grant_offers()?;
                }
                () = buffers.freed(), if waits_since.is_some() => self.grant_offers()?,
                () = self.hub.sleep_until(relief_at), if relief_at.is_some() => self.relieve(),
                message = messages.recv() => {
                    let Some(message) = message else {
                        return Ok(());
                    };
                    self.encode_batch(message, &mut messages)?;
                    self.flush()?;
                }
                () = ending.reached(Ending::Links), if !self.long_bodies.has_offered() => {
                    return self.end().await;
                }
                ready = sending.writable(), if !self.output.is_empty() => {
                    ready?;
                    self.flush()?;
                }
            }
        }
    }

    /// Grants the offers of the peer for which there is room.
    fn grant_offers(&mut self) -> Result<(), LinkError> {
        while let Some(number) = self.long_bodies.grant(&self.held) {
            let before = self.output.len();
            encode_grant(number, &mut self.output)?;
            self.held.add(self.output.len() - before);
        }
        self.flush()
    }

    /// Makes room for the offers of the peer at the cost of the caller that reads most slowly.
    fn relieve(&mut self) {
        self.long_bodies.restart_wait(self.hub.now());
        self.hub.disconnect_slowest_reader();
    }

    /// Sends what is left, closes the sending side and reads until the peer closes: it then has
    /// everything that was sent, also over a slow connection.
    async fn end(&mut self) -> Result<(), LinkError> {
        let is_slow = !self.output.is_empty();
        while !self.output.is_empty() {
            self.stream.writable().await?;
            self.flush()?;
        }
        self.stream.shutdown().await?;
        if is_slow {
            return self.read_to_end().await;
        }
        // A peer that is paused or cut off does not close the link. It is not waited for.
        timeout(END_TIMEOUT, self.read_to_end())
            .await
            .unwrap_or(Ok(()))
    }

    /// Reads and drops what the peer sends until it closes the link.
    async fn read_to_end(&mut self) -> Result<(), LinkError> {
        while discard_some(&mut self.stream, &mut self.input).await? > 0 {}
        Ok(())
    }

    /// Encodes a message and all others that are queued.
    fn encode_batch(
        &mut self,
        first: LinkMessage,
        messages: &mut UnboundedReceiver<LinkMessage>,
    ) -> Result<(), LinkError> {
        let unsent = self.output.len().saturating_sub(self.granted_output);
        if unsent > MAX_UNSENT_BYTES {
            return Err(LinkError::TooMuchUnsent);
        }
        self.encode_or_offer(first)?;
        while let Ok(message) = messages.try_recv() {
            self.encode_or_offer(message)?;
        }
        Ok(())
    }

    /// Encodes a message, or offers it to the peer if its body is long.
    fn encode_or_offer(&mut self, message: LinkMessage) -> Result<(), LinkError> {
        if let LinkMessage::Cancel(sequence) = message
            && let Some(bytes) = self.long_bodies.withdraw(sequence)
        {
            self.held.remove(bytes);
        }
        if message.body_bytes() <= LONG_BODY_BYTES {
            return self.encode(&message);
        }
        let (number, bytes) = self.long_bodies.offer(message);
        let before = self.output.len();
        encode_offer(number, bytes as u64, &mut self.output)?;
        self.held.add(self.output.len() - before);
        Ok(())
    }

    fn encode(&mut self, message: &LinkMessage) -> Result<(), LinkError> {
        let before = self.output.len();
        self.hub.encode_frame(message, &mut self.output)?;
        self.held.remove(message.body_bytes());
        self.held.add(self.output.len() - before);
        Ok(())
    }

    fn on_grant(&mut self, number: u64) -> Result<(), LinkError> {
        let Some(message) = self.long_bodies.take_offered(number) else {
            return Ok(());
        };
        self.granted_output += message.body_bytes();
        self.encode(&message)?;
        self.flush()
    }

    fn deliver(&mut self, link: LinkId) -> Result<(), LinkError> {
        loop {
            let before = self.input.len();
            let Some(frame) = self.hub.decode_frame(&mut self.input)? else {
                break;
            };
            self.held.remove(before - self.input.len());
            match frame {
                Frame::Message(message) => self.hub.dispatch(Event::Link { link, message }),
                Frame::BodyOffer { number, bytes } => {
                    self.long_bodies.on_offer(self.hub.now(), number, bytes);
                }
                Frame::BodyGrant { number } => self.on_grant(number)?,
            }
        }
        release_if_empty(&mut self.input);
        Ok(())
    }

    fn flush(&mut self) -> Result<(), LinkError> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(written) => {
                    self.output.advance(written);
                    self.held.remove(written);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
        self.granted_output = 0;
        release_if_empty(&mut self.output);
        Ok(())
    }
}

const fn check_received(length: usize) -> Result<(), LinkError> {
    match length {
        0 => Err(LinkError::Closed),
        _ => Ok(()),
    }
}
