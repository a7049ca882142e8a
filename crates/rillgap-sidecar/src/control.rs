//! Serves readiness, the heartbeats of the back end and the metrics over HTTP.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rillgap_core::code::ResultCode;
use rillgap_forward::event::Event;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::dialect::{ControlCall, ControlError};
use crate::hub::Hub;

/// Maximum length of a call's body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Timeout for the head of a call, which also ends idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of open connections of a listener; further ones are closed at once.
const MAX_CONNECTIONS: usize = 256;
/// Maximum length of a call's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Content type of the metrics answer.
const OPEN_METRICS_CONTENT_TYPE: &str =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Content type of the readiness answer.
const JSON_CONTENT_TYPE: &str = "application/json";

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlService {
    /// Calls of the platform and of the back end.
    Calls,
    /// Metrics in the OpenMetrics text format.
    Metrics,
}

/// Serves a listener until the process ends.
pub async fn serve(hub: Rc<Hub>, listener: TcpListener, service: ControlService) {
    let connections = Rc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let hub = hub.clone();
        let connections = connections.clone();
        tokio::task::spawn_local(async move {
            let Ok(_permit) = connections.try_acquire() else {
                return;
            };
            let answer = service_fn(move |request| answer(hub.clone(), request, service));
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), answer);
            if let Err(error) = connection.await {
                log::debug!("control: connection ended: {error}");
            }
        });
    }
}

async fn answer(
    hub: Rc<Hub>,
    request: Request<Incoming>,
    service: ControlService,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if service == ControlService::Metrics {
        hub.update_gauges();
        return Ok(text(
            StatusCode::OK,
            OPEN_METRICS_CONTENT_TYPE,
            hub.metrics().encode(),
        ));
    }
    let (parts, body) = request.into_parts();
    let body = timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    let Ok(Ok(body)) = body else {
        let code = ResultCode::BodyTooLong.number();
        log::warn!(code, path = parts.uri.path(); "control: call refused: body cut short, late or too long");
        return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let body = body.to_bytes();
    let call = hub
        .dialect()
        .control_call(parts.method.as_str(), parts.uri.path(), &body);
    Ok(match call {
        Ok(ControlCall::Readiness) => readiness(&hub),
        Ok(call) => empty(execute(&hub, call).await),
        Err(ControlError::UnknownCall) => empty(StatusCode::NOT_FOUND),
        Err(error @ ControlError::Malformed(_)) => {
            record_malformed_call(&hub, parts.uri.path(), &error);
            empty(StatusCode::BAD_REQUEST)
        }
    })
}

/// Counts a malformed call, and logs it if the count is a power of two: a faulty client may send
/// malformed calls without end.
fn record_malformed_call(hub: &Hub, path: &str, error: &ControlError) {
    let calls = &hub.metrics().refused_control_calls;
    let count = calls.inc() + 1;
    if count.is_power_of_two() {
        let code = ResultCode::MalformedRequest.number();
        log::warn!(code, path, count; "control: call refused: {error}");
    }
}

async fn execute(hub: &Rc<Hub>, call: ControlCall) -> StatusCode {
    let acknowledged = match call {
        ControlCall::Readiness => return readiness_status(hub),
        ControlCall::Heartbeat(heartbeat) => hub.announce(|announcement| Event::Heartbeat {
            announcement,
            heartbeat,
        }),
        ControlCall::Leave { incarnation } => hub.announce(|announcement| Event::BackEndLeft {
            announcement,
            incarnation,
        }),
    };
    match acknowledged.await {
        Ok(true) => StatusCode::OK,
        Ok(false) | Err(_) => StatusCode::NOT_FOUND,
    }
}

fn readiness_status(hub: &Hub) -> StatusCode {
    if hub.with_node(|node| node.is_ready()) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Returns the readiness answer. The status says whether the node accepts new callers. The body
/// gives version and age of the configuration in force, since the store may have been restored from
/// a backup that holds an older one.
fn readiness(hub: &Hub) -> Response<Full<Bytes>> {
    let now = hub.now();
    let body = hub.with_node(|node| {
        let version = node.configuration_version();
        let age = seconds_or_null(node.configuration_age(now));
        let proof_age = seconds_or_null(node.proof_age(now));
        let epoch = node.store_epoch().unwrap_or_default().0;
        format!(
            r#"{{"configuration-version":{version},"configuration-age-seconds":{age},"proof-age-seconds":{proof_age},"store-epoch":{epoch}}}"#
        )
    });
    text(readiness_status(hub), JSON_CONTENT_TYPE, body)
}

fn seconds_or_null(duration: Option<Duration>) -> String {
    duration.map_or_else(
        || "null".to_owned(),
        |duration| format!("{:.1}", duration.as_secs_f64()),
    )
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn text(status: StatusCode, content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}
