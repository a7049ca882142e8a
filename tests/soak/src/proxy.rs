//! A loopback TCP proxy that delays, holds, blackholes or resets connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes read and forwarded at a time.
const CHUNK: usize = 16 * 1024;

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disturbance {
    /// Bytes are forwarded unchanged.
    #[default]
    None,
    /// Bytes are delayed by this time in both directions.
    Delay(Duration),
    /// Bytes to the server are held; bytes to the client are forwarded.
    HoldRequests,
    /// Bytes to the client are held; bytes to the server are forwarded.
    HoldAnswers,
    /// Bytes are held in both directions, without closing connections.
    Blackhole,
    /// Open and new connections are reset.
    Reset,
}

impl Disturbance {
    const fn holds(self, direction: Direction) -> bool {
        match self {
            Self::Blackhole => true,
            Self::HoldRequests => matches!(direction, Direction::ToServer),
            Self::HoldAnswers => matches!(direction, Direction::ToClient),
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    ToServer,
    ToClient,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Disturbance>,
}

impl Proxy {
    /// Starts a proxy that listens on `listen` and forwards to `server`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (mode, observed) = watch::channel(Disturbance::None);
        tokio::spawn(accept(listener, server, observed));
        Ok(Self {
            address: listen,
            mode,
        })
    }

    /// Returns the address on which the proxy listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of all open and future connections.
    pub fn set_disturbance(&self, disturbance: Disturbance) {
        self.mode.send_replace(disturbance);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, mode: watch::Receiver<Disturbance>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tokio::spawn(relay(client, server, mode.clone()));
    }
}

async fn relay(client: TcpStream, server: SocketAddr, mut mode: watch::Receiver<Disturbance>) {
    // While requests are held, the server does not even see the connection.
    if wait_while_held(&mut mode, Direction::ToServer).await == Disturbance::Reset {
        return reset(client);
    }
    let Ok(upstream) = TcpStream::connect(server).await else {
        return reset(client);
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = upstream.into_split();
    let to_server = pass(client_read, server_write, mode.clone(), Direction::ToServer);
    let to_client = pass(server_read, client_write, mode.clone(), Direction::ToClient);
    let reset_requested = async {
        let is_reset = |mode: &Disturbance| *mode == Disturbance::Reset;
        let _ = mode.wait_for(is_reset).await;
    };
    tokio::select! {
        _ = async { tokio::join!(to_server, to_client) } => {}
        () = reset_requested => {}
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Waits until a direction is no longer held; returns the disturbance that applies then.
async fn wait_while_held(
    mode: &mut watch::Receiver<Disturbance>,
    direction: Direction,
) -> Disturbance {
    match mode.wait_for(|mode| !mode.holds(direction)).await {
        Ok(mode) => *mode,
        Err(_) => Disturbance::Reset,
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Disturbance>,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let Ok(length) = from.read(&mut chunk).await else {
            return;
        };
        match wait_while_held(&mut mode, direction).await {
            Disturbance::Reset => return,
            Disturbance::Delay(delay) => tokio::time::sleep(delay).await,
            _ => {}
        }
        if length == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
