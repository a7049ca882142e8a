//! Accepts connections, limits their number and serves HTTP/1.1 and HTTP/2 on them.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use rillgap_core::code::ResultCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::handler::Handler;
use crate::settings::HttpLimits;

/// Pause after a failed accept, which usually means that file descriptors or memory are exhausted.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(100);

/// Time for which idle connections stay open after a stop.
///
/// A request that is sent while its connection is being closed would be cut off. A
/// caller that sends one within this time is answered, on HTTP/1.1 with `Connection: close`, so
/// that it moves to another connection.
const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Read and write buffer of an HTTP/1.1 connection; a longer request head ends the connection.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum number of header fields of an HTTP/1.1 request.
const MAX_HEADER_FIELDS: usize = 128;

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 128;

/// Maximum size of the header list of an HTTP/2 request; hyper refuses larger ones.
const MAX_HEADER_LIST_BYTES: u32 = 64 * 1024;

/// Reason for which a connection ended abnormally.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error("no request received in time")]
    NoRequest,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(Box<dyn std::error::Error + Send + Sync>),
}

impl ConnectionError {
    const fn code(&self) -> ResultCode {
        match self {
            Self::NoRequest => ResultCode::RequestTimeout,
            Self::Io(_) | Self::Http(_) => ResultCode::MalformedRequest,
        }
    }
}

/// An HTTP listener with a limit on its connections.
#[derive(Clone, Debug)]
pub struct Listener {
    handler: Handler,
    builder: auto::Builder<TokioExecutor>,
    permits: Arc<Semaphore>,
    stop: CancellationToken,
}

impl Listener {
    /// Creates a listener; cancelling `stop` shuts it down gracefully.
    pub fn new(handler: Handler, stop: CancellationToken) -> Self {
        let limits = *handler.limits();
        Self {
            builder: builder(limits.request_timeout),
            permits: Arc::new(Semaphore::new(limits.connections)),
            handler,
            stop,
        }
    }

    /// Accepts connections until the listener is stopped, then waits for the open ones to end.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.stop.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.admit(stream, peer),
                Err(error) => {
                    log::error!("caller: accept failed: {error}");
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                }
            }
        }
        self.wait_for_connections().await;
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => {
                tokio::spawn(self.clone().serve(stream, peer, permit));
            }
            Err(_) => {
                log::warn!(peer:% = peer, code = ResultCode::Overloaded.number(); "caller: too many connections, closing the new one");
            }
        }
    }

    /// Waits until every connection has given its permit back.
    async fn wait_for_connections(&self) {
        let all = u32::try_from(self.handler.limits().connections).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        let _ = self.permits.acquire_many(all).await;
    }

    async fn serve(self, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
        if let Err(error) = self.serve_requests(stream, peer).await {
            log::debug!(peer:% = peer, code = error.code().number(); "caller: connection ended: {error}");
        }
        drop(permit);
    }

    /// Serves a connection until it ends; after a stop, until its requests in flight are answered.
    async fn serve_requests(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> Result<(), ConnectionError> {
        stream.set_nodelay(true)?;
        let has_request = AtomicBool::new(false);
        let service = service_fn(|request: Request<Incoming>| {
            has_request.store(true, Ordering::Relaxed);
            let handler = self.handler.clone();
            let stop = self.stop.clone();
            let allows_connection_header = request.version() < Version::HTTP_2;
            async move {
                let mut response = handler.handle(peer, request).await;
                if allows_connection_header && stop.is_cancelled() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let mut connection = pin!(self.builder.serve_connection(TokioIo::new(stream), service));
        tokio::select! {
            biased;
            result = connection.as_mut() => return result.map_err(ConnectionError::Http),
            () = self.stop.cancelled() => {}
            error = first_request_timeout(&has_request, self.handler.limits()) => return Err(error),
        }
        // A request that the caller is sending on an idle connection is still answered.
        let drained = tokio::time::timeout(SHUTDOWN_GRACE_PERIOD, connection.as_mut());
        if let Ok(result) = drained.await {
            return result.map_err(ConnectionError::Http);
        }
        connection.as_mut().graceful_shutdown();
        connection.await.map_err(ConnectionError::Http)
    }
}

/// Completes if no request is received in time.
///
/// Hyper's own timeout starts only after it has detected the HTTP version.
async fn first_request_timeout(has_request: &AtomicBool, limits: &HttpLimits) -> ConnectionError {
    tokio::time::sleep(limits.request_timeout).await;
    if has_request.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    ConnectionError::NoRequest
}

fn builder(request_timeout: Duration) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(request_timeout)
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(CONNECTION_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    builder
}
