//! Implements the metrics duty, which serves the metrics over HTTP.

use std::convert::Infallible;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::metrics::Metrics;

/// URL path under which the metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Media type of the OpenMetrics text format.
const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Maximum number of concurrent connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 16;

/// Timeout for receiving the headers of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, so that the loop does not spin while the error lasts.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Runs the duty until the process ends; returns at once if no metrics address is configured.
///
/// # Errors
///
/// Fails if the listener cannot be registered with the runtime.
pub async fn run(listener: Option<TcpListener>, metrics: Metrics) -> io::Result<()> {
    let Some(listener) = listener else {
        return Ok(());
    };
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let metrics = metrics.clone();
        tokio::spawn(async move {
            serve(stream, metrics).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, metrics: Metrics) {
    let service = service_fn(move |request| {
        let response = respond(&request, &metrics);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("metrics: connection ended: {error}");
    }
}

fn respond(request: &Request<Incoming>, metrics: &Metrics) -> Response<Full<Bytes>> {
    if request.uri().path() != METRICS_PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut response = Response::new(Full::from(metrics.encode()));
    let media_type = HeaderValue::from_static(MEDIA_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}
