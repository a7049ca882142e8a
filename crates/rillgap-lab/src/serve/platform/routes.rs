//! HTTP routes of the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::query::{Wait, parse_condition, parse_duration, parse_session, parse_wait};
use super::{FaultChange, MachineEntry, Platform};
use crate::serve::http::{
    ConnectionDropped, Handler, HandlerResult, ResponseBody, empty_response, json_response,
    read_body, read_json,
};

/// Header with the index that a blocking query waits to be passed.
const INDEX_HEADER: HeaderName = HeaderName::from_static("x-consul-index");
/// Time to live of a session that names none.
const DEFAULT_SESSION_LIFE: Duration = Duration::from_secs(15);

/// One object as answered.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct KeyValue<'a> {
    key: &'a str,
    create_index: u64,
    modify_index: u64,
    flags: u64,
    session: Option<String>,
    value: String,
}

/// One machine as answered.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct CatalogNode {
    node: String,
    meta: BTreeMap<&'static str, &'static str>,
}

/// Body of a request for a session.
#[derive(Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
struct SessionRequest {
    ttl: Option<String>,
}

/// Answer to a request for a session.
#[derive(Serialize)]
#[serde(rename_all = "UPPERCASE")]
struct SessionAnswer {
    id: String,
}

/// Counts a blocking query for as long as it waits, also when its caller goes away.
struct WaitCount<'a>(&'a Platform);

impl<'a> WaitCount<'a> {
    fn new(platform: &'a Platform) -> Self {
        platform.lock().statistics.begin_wait();
        Self(platform)
    }
}

impl Drop for WaitCount<'_> {
    fn drop(&mut self) {
        self.0.lock().statistics.end_wait();
    }
}

/// Answers the requests to a platform.
pub(super) struct Routes {
    platform: Arc<Platform>,
}

impl Handler for Routes {
    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        if let Some(name) = path.strip_prefix("/admin/") {
            return Ok(self.administer(name, request).await);
        }
        self.suffer_faults().await?;
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return self.object(key, request).await;
        }
        if let Some(operation) = path.strip_prefix("/v1/session/") {
            return Ok(self.session(operation, request).await);
        }
        if path == "/v1/catalog/nodes" {
            return Ok(self.machines(&request).await);
        }
        Ok(empty_response(StatusCode::NOT_FOUND))
    }
}

impl Routes {
    /// Creates the routes of a platform.
    pub(super) const fn new(platform: Arc<Platform>) -> Self {
        Self { platform }
    }

    async fn suffer_faults(&self) -> Result<(), ConnectionDropped> {
        let faults = self.platform.lock().faults;
        if faults.down {
            return Err(ConnectionDropped);
        }
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        Ok(())
    }

    async fn object(&self, key: &str, request: Request<Incoming>) -> HandlerResult {
        match *request.method() {
            Method::GET => Ok(self.read(key, request.uri().query()).await),
            Method::PUT => self.write(key, request).await,
            _ => Ok(empty_response(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn read(&self, key: &str, query: Option<&str>) -> Response<ResponseBody> {
        self.platform.lock().statistics.reads += 1;
        if let Some(wait) = parse_wait(query) {
            self.wait_until(wait, || self.platform.lock().store.wait_index(key))
                .await;
        }
        let state = self.platform.lock();
        let index = state.store.wait_index(key);
        let response = match state.store.get(key) {
            Some(object) => json_response(
                StatusCode::OK,
                &[KeyValue {
                    key,
                    create_index: object.create_index,
                    modify_index: object.modify_index,
                    flags: 0,
                    session: object.session.map(|session| session.to_string()),
                    value: STANDARD.encode(&object.value),
                }],
            ),
            None => empty_response(StatusCode::NOT_FOUND),
        };
        with_index(response, index)
    }

    async fn write(&self, key: &str, request: Request<Incoming>) -> HandlerResult {
        let Some(condition) = parse_condition(request.uri().query()) else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        let Some(value) = read_body(request.into_body()).await else {
            return Ok(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
        };
        let (written, answer_lost) = {
            let mut state = self.platform.lock();
            state.statistics.writes += 1;
            let written = state.store.put(key, value.to_vec(), condition);
            let answer_lost = written && state.faults.take_lost_write_answer();
            (written, answer_lost)
        };
        if written {
            self.platform.notify();
        }
        if answer_lost {
            return Err(ConnectionDropped);
        }
        Ok(json_response(StatusCode::OK, &written))
    }

    async fn machines(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        self.platform.lock().statistics.reads += 1;
        let visible = || self.platform.lock().machines.visible(Instant::now());
        if let Some(wait) = parse_wait(request.uri().query()) {
            self.wait_until(wait, || visible().index).await;
        }
        let version = visible();
        let nodes: Vec<CatalogNode> = version.machines.into_iter().map(catalog_node).collect();
        with_index(json_response(StatusCode::OK, &nodes), version.index)
    }

    /// Waits until an index has passed the one that was seen, or the wait is over.
    async fn wait_until(&self, wait: Wait, current: impl Fn() -> u64) {
        let _count = WaitCount::new(&self.platform);
        let mut changes = self.platform.changes.subscribe();
        while current() <= wait.after {
            let changed = tokio::time::timeout_at(wait.until, changes.changed()).await;
            if changed.is_err() {
                return;
            }
        }
    }

    async fn session(&self, operation: &str, request: Request<Incoming>) -> Response<ResponseBody> {
        if let Some(id) = operation.strip_prefix("renew/").and_then(parse_session) {
            let renewed = self.platform.lock().store.renew_session(Instant::now(), id);
            return match renewed {
                true => json_response(StatusCode::OK, &[SessionAnswer { id: id.to_string() }]),
                false => empty_response(StatusCode::NOT_FOUND),
            };
        }
        if let Some(id) = operation.strip_prefix("destroy/").and_then(parse_session) {
            self.platform.lock().store.end_session(id);
            self.platform.notify();
            return json_response(StatusCode::OK, &true);
        }
        if operation == "create" {
            let body: SessionRequest = read_json(request.into_body()).await.unwrap_or_default();
            let life = body.ttl.as_deref().and_then(parse_duration);
            let life = life.unwrap_or(DEFAULT_SESSION_LIFE);
            let id = self
                .platform
                .lock()
                .store
                .create_session(Instant::now(), life);
            return json_response(StatusCode::OK, &SessionAnswer { id: id.to_string() });
        }
        empty_response(StatusCode::NOT_FOUND)
    }

    async fn administer(&self, name: &str, request: Request<Incoming>) -> Response<ResponseBody> {
        match (request.method().clone(), name) {
            (Method::PUT, "machines") => {
                let Some(machines) = read_json::<Vec<MachineEntry>>(request.into_body()).await
                else {
                    return empty_response(StatusCode::BAD_REQUEST);
                };
                self.platform.set_machines(machines);
                empty_response(StatusCode::NO_CONTENT)
            }
            (Method::PUT, "faults") => {
                let Some(change) = read_json::<FaultChange>(request.into_body()).await else {
                    return empty_response(StatusCode::BAD_REQUEST);
                };
                self.platform.set_faults(&change);
                empty_response(StatusCode::NO_CONTENT)
            }
            (Method::GET, "statistics") => {
                json_response(StatusCode::OK, &self.platform.statistics())
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

fn catalog_node(machine: MachineEntry) -> CatalogNode {
    let state = if machine.leaving { "leaving" } else { "live" };
    CatalogNode {
        node: machine.node,
        meta: BTreeMap::from([("state", state)]),
    }
}

fn with_index(mut response: Response<ResponseBody>, index: u64) -> Response<ResponseBody> {
    response
        .headers_mut()
        .insert(INDEX_HEADER, HeaderValue::from(index));
    response
}
