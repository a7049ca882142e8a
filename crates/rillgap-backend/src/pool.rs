//! Pool of connections to the local back end, limited in number.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

/// Read buffer of a connection; also the maximum size of a body chunk.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum time for which a connection stays idle.
///
/// Shorter than the idle timeout of common servers (5 s and more): if the server closes the
/// connection while a request is being sent, the outcome of the request is unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A request as it is sent to the back end.
pub type OutgoingRequest = Request<Full<Bytes>>;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Reason for which a request received no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection accepted the request, and nothing of it was sent.
    #[error("not connected: {0}")]
    NotSent(String),
    /// The connection was lost after all or part of the request may have been sent.
    #[error("connection lost: {0}")]
    Lost(hyper::Error),
}

/// Pool of connections to one back end.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    connect_timeout: Duration,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    permits: Arc<Semaphore>,
}

/// A connection available for reuse; the most recently used one is reused first.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
}

/// A connection in use.
///
/// Dropping the lease closes the connection; [`Lease::return_to_pool`] keeps it for reuse.
///
/// A new connection is opened only if none is idle, so the number of connections never exceeds
/// the number of leases that were held at one time.
#[derive(Debug)]
pub struct Lease {
    sender: Sender,
    pool: ConnectionPool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionPool {
    /// Creates an empty pool of at most `connections` connections.
    pub fn new(address: SocketAddr, connections: usize, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            idle: Arc::default(),
            permits: Arc::new(Semaphore::new(connections)),
        }
    }

    /// Sends a request on an idle connection, or on a new one if there is none.
    ///
    /// If an idle connection is found closed before the request has been written, the next one is
    /// used.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether any of the request may have been sent.
    pub async fn send(
        &self,
        mut request: OutgoingRequest,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let permit = self.permit().await?;
        while let Some(mut sender) = self.take_idle() {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, self.lease(sender, permit))),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost(error.into_error())),
                },
            }
        }
        let mut sender = self.connect().await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, self.lease(sender, permit))),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent(error.into_error().to_string())),
                None => Err(SendError::Lost(error.into_error())),
            },
        }
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.lock_idle().len()
    }

    fn lease(&self, sender: Sender, permit: OwnedSemaphorePermit) -> Lease {
        Lease {
            sender,
            pool: self.clone(),
            _permit: permit,
        }
    }

    async fn permit(&self) -> Result<OwnedSemaphorePermit, SendError> {
        Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.lock_idle();
        let now = Instant::now();
        idle.retain(|connection| {
            !connection.sender.is_closed() && now - connection.idle_since < IDLE_TIMEOUT
        });
        idle.pop().map(|connection| connection.sender)
    }

    async fn connect(&self) -> Result<Sender, SendError> {
        let stream = timeout(self.connect_timeout, TcpStream::connect(self.address))
            .await
            .map_err(|elapsed| SendError::NotSent(elapsed.to_string()))?
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(CONNECTION_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("back end: connection ended: {error}");
            }
        });
        Ok(sender)
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Keeps the connection for reuse; its last response must have been read to the end.
    pub fn return_to_pool(self) {
        self.pool.lock_idle().push(IdleConnection {
            sender: self.sender,
            idle_since: Instant::now(),
        });
    }
}
