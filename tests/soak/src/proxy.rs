//! A loopback proxy that delays, resets, cuts one way or silences what passes through it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes passed on at a time.
const CHUNK: usize = 16 * 1024;

/// What a proxy does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    #[default]
    None,
    /// Bytes pass this much later, in both directions.
    Delay(Duration),
    /// Bytes towards the server are held; those back to the client pass.
    HoldRequests,
    /// Bytes back to the client are held; those towards the server pass.
    HoldAnswers,
    /// Nothing passes, and nobody is told.
    Blackhole,
    /// Connections are reset, and so are new ones.
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
    /// Starts a proxy.
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

    /// Returns the address of the proxy.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to connections from now on.
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
    // What is silenced does not reach the server's listener, either.
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

/// Closes so that the peer sees a reset.
fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Waits until a direction is not held any more; returns what happens to connections then.
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
