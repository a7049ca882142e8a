//! Accepts connections, bounds their number and serves HTTP/1.1 and HTTP/2 on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use rillgap_core::code::ResultCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::handler::Handler;

/// Pause after a failed accept, which means that descriptors or memory ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Read and write buffer of an HTTP/1.1 connection in bytes; longer heads end the connection.
const CONNECTION_BUFFER: usize = 64 * 1024;

/// Most header fields of a request.
const MAX_HEADER_FIELDS: usize = 128;

/// Most requests at a time on one HTTP/2 connection.
const MAX_STREAMS: u32 = 128;

/// Longest header list of an HTTP/2 request in bytes; longer ones are refused by the library.
const MAX_HEADER_LIST: u32 = 64 * 1024;

/// One HTTP listener.
#[derive(Clone, Debug)]
pub struct Listener {
    handler: Handler,
    builder: auto::Builder<TokioExecutor>,
    permits: Arc<Semaphore>,
    stop: CancellationToken,
}

impl Listener {
    /// Creates a listener; `stop` ends it gracefully.
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(peer:% = peer; "caller: connection lost: {error}");
            return;
        }
        let has_request = Arc::new(AtomicBool::new(false));
        let service = service_fn(|request| {
            has_request.store(true, Ordering::Relaxed);
            let handler = self.handler.clone();
            async move { Ok::<_, Infallible>(handler.handle(peer, request).await) }
        });
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut is_stopping = false;
        let first_request = tokio::time::sleep(self.handler.limits().request_timeout);
        tokio::pin!(first_request);
        let mut is_timed = true;
        let result = loop {
            tokio::select! {
                biased;
                result = connection.as_mut() => break result,
                () = self.stop.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = &mut first_request, if is_timed => {
                    is_timed = false;
                    if !has_request.load(Ordering::Relaxed) {
                        log::info!(peer:% = peer, code = ResultCode::RequestTimeout.number(); "caller: no request in time, closing the connection");
                        return;
                    }
                }
            }
        };
        if let Err(error) = result {
            log::debug!(peer:% = peer, code = ResultCode::MalformedRequest.number(); "caller: connection ended: {error}");
        }
        drop(permit);
    }
}

fn builder(request_timeout: Duration) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(request_timeout)
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(CONNECTION_BUFFER);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_LIST);
    builder
}
