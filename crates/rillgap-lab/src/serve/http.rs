//! What the stand-ins share of HTTP serving.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};

/// Body of a stand-in's answer.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// Longest request body that a stand-in takes, in bytes.
const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;

/// The stand-in closes the connection without an answer, as a failing peer does.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without an answer")]
pub struct ConnectionDropped;

/// Result of handling one request.
pub type HandlerResult = Result<Response<ResponseBody>, ConnectionDropped>;

/// Handles the requests of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; the future is dropped when its caller goes away.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HandlerResult> + Send;
}

/// Serves connections until the task is dropped.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
            }
            Err(error) => log::warn!("stand-in: accept failed: {error}"),
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("stand-in: no-delay refused: {error}");
    }
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    });
    let result = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!("stand-in: connection ended: {error}");
    }
}

/// Reads a whole request body, or returns `None` if it breaks off or is too long.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, MAX_REQUEST_BYTES).collect().await.ok()?;
    Some(whole.to_bytes())
}

/// Reads a whole request body as JSON, or returns `None` if it is not of the expected form.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    let whole = read_body(body).await?;
    serde_json::from_slice(&whole).ok()
}

/// Makes an answer with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = bytes_response(status, Bytes::from(body));
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Makes an answer with the given bytes as its body.
pub fn bytes_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(body).boxed());
    *response.status_mut() = status;
    response
}

/// Makes an answer without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    bytes_response(status, Bytes::new())
}

/// Returns the value of a parameter of the query.
pub fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
