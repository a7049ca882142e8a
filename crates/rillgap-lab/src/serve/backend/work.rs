//! How the back end runs requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use rillgap_http::{names, timeout};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::bulk::{BulkPace, bulk_stream};
use super::counters::count;
use super::downstream::InboundContext;
use super::response::{describe_body, not_run, short_response};
use super::{BackEnd, DownstreamCall};
use crate::answer::{BulkBody, CALLER_ID_HEADER, DownstreamAnswer, ShortAnswer, digest};
use crate::serve::http::{
    Handler, HandlerResult, ResponseBody, empty_response, json_response, query_value, read_body,
};

/// How much slower a cold back end is at first.
const COLD_FACTOR: f64 = 4.0;
/// Length of a long download that names none, in bytes.
const DEFAULT_BULK_BYTES: u64 = 1024 * 1024;
/// Longest download, in bytes.
const MAX_BULK_BYTES: u64 = 256 * 1024 * 1024;

/// Answers the requests to a back end.
pub(super) struct Requests {
    back_end: Arc<BackEnd>,
}

/// A request that holds a slot; counted as cancelled if it is dropped before its end.
pub(super) struct RunningRequest {
    back_end: Arc<BackEnd>,
    ended: bool,
    _slot: OwnedSemaphorePermit,
}

impl RunningRequest {
    fn begin(back_end: &Arc<BackEnd>, slot: OwnedSemaphorePermit) -> Self {
        count(&back_end.counters.started);
        if back_end.is_leaving() {
            count(&back_end.counters.started_while_leaving);
        }
        Self {
            back_end: Arc::clone(back_end),
            ended: false,
            _slot: slot,
        }
    }

    /// Ends the request: it was answered whole.
    pub(super) fn complete(mut self) {
        self.ended = true;
        count(&self.back_end.counters.completed);
    }

    fn fail(mut self) {
        self.ended = true;
        count(&self.back_end.counters.failed);
    }

    fn expire(mut self) {
        self.ended = true;
        count(&self.back_end.counters.expired);
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if !self.ended {
            count(&self.back_end.counters.cancelled);
        }
    }
}

impl Handler for Requests {
    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        if let Some(name) = path.strip_prefix("/admin/") {
            return Ok(self.back_end.administer(name, request).await);
        }
        match path.as_str() {
            "/health" => {
                let report = self.back_end.report();
                Ok(json_response(StatusCode::OK, &report.health))
            }
            "/load" => {
                let report = self.back_end.report();
                Ok(json_response(StatusCode::OK, &report.load))
            }
            _ => {
                let mut response = self.work(request).await;
                self.announce_leaving(response.headers_mut());
                Ok(response)
            }
        }
    }
}

impl Requests {
    /// Creates the handler of a back end's requests.
    pub(super) const fn new(back_end: Arc<BackEnd>) -> Self {
        Self { back_end }
    }

    fn announce_leaving(&self, headers: &mut HeaderMap) {
        if self.back_end.is_leaving() {
            headers.insert(names::LEAVING, HeaderValue::from_static("1"));
        }
    }

    async fn work(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let deadline = deadline_of(request.headers());
        let (head, body) = request.into_parts();
        let Some(body) = read_body(body).await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let slot = match before(deadline, self.back_end.slots.acquire()).await {
            Some(Ok(slot)) => slot,
            Some(Err(_queue_full)) => {
                count(&self.back_end.counters.shed);
                return not_run();
            }
            None => {
                count(&self.back_end.counters.expired);
                return not_run();
            }
        };
        let running = RunningRequest::begin(&self.back_end, slot);
        self.run(&head, &body, deadline, running).await
    }

    async fn run(
        &self,
        head: &Parts,
        body: &Bytes,
        deadline: Option<Instant>,
        running: RunningRequest,
    ) -> Response<ResponseBody> {
        let executions = self.count_execution(&head.headers);
        if before(deadline, self.take_service_time()).await.is_none() {
            running.expire();
            return empty_response(StatusCode::GATEWAY_TIMEOUT);
        }
        if is_bulk(head.uri.path()) {
            return self.answer_bulk(head, running);
        }
        let answering = self.short_answer(head, body, executions);
        let Some(answer) = before(deadline, answering).await else {
            running.expire();
            return empty_response(StatusCode::GATEWAY_TIMEOUT);
        };
        let status = status_of(&answer);
        if status == StatusCode::OK {
            running.complete();
        } else {
            running.fail();
        }
        short_response(status, &answer)
    }

    fn count_execution(&self, headers: &HeaderMap) -> u32 {
        match header_text(headers, names::IDEMPOTENCY_KEY) {
            Some(key) => self.back_end.counters.count_execution(key),
            None => 0,
        }
    }

    async fn take_service_time(&self) {
        let settings = &self.back_end.settings;
        if settings.service_time.is_zero() {
            return;
        }
        let slowdown = self.back_end.faults().slowdown;
        let age = self.back_end.started_at.elapsed();
        let factor = slowdown * cold_factor(age, settings.cold_start);
        tokio::time::sleep(settings.service_time.mul_f64(factor)).await;
    }

    async fn short_answer(&self, head: &Parts, body: &Bytes, executions: u32) -> ShortAnswer {
        let settings = &self.back_end.settings;
        let context = InboundContext {
            caller: caller_of(&head.headers),
            token: head.headers.get(names::CALL_TOKEN).cloned(),
        };
        let mut downstream = Vec::with_capacity(settings.calls.len());
        for call in &settings.calls {
            downstream.push(self.call_downstream(call, &context).await);
        }
        ShortAnswer {
            service: settings.service.clone(),
            back_end: settings.name.clone(),
            request: format!("{} {}", head.method, head.uri.path()),
            caller: context.caller,
            executions,
            request_digest: digest(body),
            downstream,
        }
    }

    async fn call_downstream(
        &self,
        call: &DownstreamCall,
        context: &InboundContext,
    ) -> DownstreamAnswer {
        self.back_end.downstream.call(call, context).await
    }

    fn answer_bulk(&self, head: &Parts, running: RunningRequest) -> Response<ResponseBody> {
        let query = head.uri.query();
        let length = query_number(query, "bytes").unwrap_or(DEFAULT_BULK_BYTES);
        let length = length.min(MAX_BULK_BYTES);
        let pace = BulkPace {
            pause: Duration::from_millis(query_number(query, "pause_ms").unwrap_or(0)),
            silent_after: self.back_end.faults().silent_after_bytes,
        };
        let caller = caller_of(&head.headers);
        let body = BulkBody::new(&caller, length);
        let body_digest = body.digest();
        let mut response = Response::new(bulk_stream(body, pace, running));
        describe_body(response.headers_mut(), &caller, &body_digest, length);
        response
    }
}

fn deadline_of(headers: &HeaderMap) -> Option<Instant> {
    let remaining = timeout::parse(header_text(headers, names::TIMEOUT)?)?;
    Some(Instant::now() + remaining)
}

/// Runs a future until the deadline; returns `None` if the deadline comes first.
async fn before<T>(deadline: Option<Instant>, future: impl Future<Output = T>) -> Option<T> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline, future).await.ok(),
        None => Some(future.await),
    }
}

/// Returns the factor on the service time: falls from [`COLD_FACTOR`] to one while warming up.
fn cold_factor(age: Duration, cold_start: Duration) -> f64 {
    if age >= cold_start {
        return 1.0;
    }
    let warmth = age.as_secs_f64() / cold_start.as_secs_f64();
    COLD_FACTOR - (COLD_FACTOR - 1.0) * warmth
}

fn status_of(answer: &ShortAnswer) -> StatusCode {
    let whole = answer
        .downstream
        .iter()
        .all(|call| call.status == StatusCode::OK.as_u16());
    if whole {
        StatusCode::OK
    } else {
        StatusCode::BAD_GATEWAY
    }
}

fn is_bulk(path: &str) -> bool {
    path.split('/').any(|segment| segment == "bulk")
}

fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}

fn caller_of(headers: &HeaderMap) -> String {
    header_text(headers, CALLER_ID_HEADER)
        .unwrap_or_default()
        .to_owned()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
