//! Callers: send requests to the node of their machine and report the outcomes to the checker.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::back_end::{INSTANCE_FIELD, LEAVING_FIELD, RATE_LIMIT_FIELD};
use crate::checker::{Answer, Sent, prefix_of};
use crate::crashing::QUARANTINED_CODE;
use crate::deployment::{HOST, Layout};
use crate::notices::AnswerNotice;
use crate::soak::Soak;
use crate::wire::{Connection, Response, encode_request};

/// Deadline that a caller gives a request.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time beyond the deadline for which the caller waits for a response.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);
/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of versions whose own routes the configuration contains: the newest ones.
pub const ROUTED_VERSIONS: u64 = 3;

/// On average one of this many requests uses the key of an earlier version.
const REQUESTS_PER_OLD_KEY: u64 = 20;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Request identifier.
    pub id: String,
    /// Method of the request.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, empty for `GET`.
    pub body: Vec<u8>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether a back end sends the request while it works on another one.
    pub is_call: bool,
    /// Whether the back end makes the call for a run that is a retry.
    pub is_of_retry: bool,
    /// Deadline sent to the node.
    pub deadline: Duration,
}

/// Sends a request to a node and reports the outcome; returns `None` if there is no response. Uses
/// the idle connection if there is one, and returns the connection to `idle` if it can be reused.
pub async fn exchange(
    soak: &Arc<Soak>,
    node: usize,
    idle: &mut Option<Connection>,
    outgoing: &Outgoing,
) -> Option<Response> {
    let was_reused = idle.is_some();
    let mut connection = match idle.take() {
        Some(connection) => connection,
        None => connect(soak, node).await.ok()?,
    };
    let incarnation = soak.incarnation_of(node);
    let key_version = (!outgoing.is_call).then(|| draw_key_version(soak));
    let sent = Sent {
        at: soak.now(),
        node,
        method: outgoing.method,
        target: outgoing.target.clone(),
        body: outgoing.body.clone(),
        is_idempotent: outgoing.is_idempotent,
        caller_service: Layout::service(node),
        key_version,
        is_of_retry: outgoing.is_of_retry,
    };
    let sent_at = sent.at;
    let service = service_of(&outgoing.target);
    soak.checker()
        .on_sent(&outgoing.id, sent, service, outgoing.is_call);
    let answer_timeout = outgoing.deadline + ANSWER_MARGIN;
    let exchanged = tokio::time::timeout(
        answer_timeout,
        send_and_receive(&mut connection, outgoing, key_version),
    );
    let Ok(Ok(response)) = exchanged.await else {
        let now = soak.now();
        soak.checker()
            .on_no_answer(now, &outgoing.id, outgoing.is_call, was_reused);
        return None;
    };
    report(soak, outgoing, &response, (node, incarnation), sent_at);
    if !response.closes() && !connection.has_unread() {
        *idle = Some(connection);
    }
    Some(response)
}

async fn connect(soak: &Arc<Soak>, node: usize) -> io::Result<Connection> {
    let address = soak.layout.callers(node);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(Connection::new(stream))
}

/// Returns the key that callers use from a version of the configuration on.
pub fn key_of(version: u64) -> String {
    format!("key-of-version-{version}")
}

/// Draws the version whose key a caller uses: mostly the newest one, sometimes one of the two
/// before it.
fn draw_key_version(soak: &Arc<Soak>) -> u64 {
    let newest = soak.version.load(Ordering::SeqCst);
    match soak.draw(REQUESTS_PER_OLD_KEY) {
        0 => newest.saturating_sub(1 + soak.draw(2)),
        _ => newest,
    }
}

/// Writes a request and reads its response.
async fn send_and_receive(
    connection: &mut Connection,
    outgoing: &Outgoing,
    key_version: Option<u64>,
) -> io::Result<Response> {
    let mut fields = vec![
        ("Host", HOST.to_owned()),
        ("Attempt-Id", outgoing.id.clone()),
        ("Deadline-Ms", outgoing.deadline.as_millis().to_string()),
        // The node must replace these forged values.
        ("Caller-Service", "forged".to_owned()),
        ("Tenant", "forged".to_owned()),
    ];
    if let Some(version) = key_version {
        fields.push(("Authorization", format!("Token {}", key_of(version))));
    }
    let bytes = encode_request(outgoing.method, &outgoing.target, &fields, &outgoing.body);
    connection.write(&bytes).await?;
    connection.read_response().await
}

/// Reports a response to the checker.
fn report(
    soak: &Arc<Soak>,
    outgoing: &Outgoing,
    response: &Response,
    (node, incarnation): (usize, u32),
    sent_at: Duration,
) {
    let now = soak.now();
    let answer = Answer {
        status: response.status,
        id: response.fields.get("Attempt-Id"),
        signature: response.fields.get("Response-Signature"),
        body: &response.body,
    };
    let notice = notice_of(response);
    let newest = soak.version.load(Ordering::SeqCst);
    let mut checker = soak.checker();
    if let Some(notice) = notice {
        checker.notices().on_passed_on(now, node, &notice);
    }
    checker.on_answer(now, &outgoing.id, &answer, outgoing.is_call);
    if String::from_utf8_lossy(answer.body).contains(QUARANTINED_CODE) {
        checker.on_quarantined(now, &outgoing.target);
    }
    if matches!(answer.status, 408 | 421 | 429 | 503) {
        checker.on_promised_not_run(now, &outgoing.id);
    }
    if let Some(version) = version_of(&outgoing.target) {
        if answer.signature.is_some() {
            checker.on_version_served(now, node, incarnation, version);
        } else if answer.status == 404 && version + ROUTED_VERSIONS > newest {
            checker.on_version_unknown(sent_at, node, incarnation, version);
        }
    }
}

/// Returns what the back end that sent a response states about itself; `None` if a node sent it.
fn notice_of(response: &Response) -> Option<AnswerNotice> {
    let instance = response.fields.get(INSTANCE_FIELD)?.to_owned();
    let rate_limit = response.fields.get(RATE_LIMIT_FIELD);
    Some(AnswerNotice {
        instance,
        rate_limit: rate_limit.and_then(|text| text.parse().ok()),
        is_leaving: response.fields.get(LEAVING_FIELD).is_some(),
    })
}

/// Returns the service to which requests for a target are routed.
fn service_of(target: &str) -> &'static str {
    match prefix_of(target) {
        "/front/" => "front",
        "/middle/" | "/once/" => "middle",
        _ => "deep",
    }
}

/// Returns the version of the configuration that added the route of a target, or `None` for routes
/// that all versions have.
fn version_of(target: &str) -> Option<u64> {
    let version = prefix_of(target).strip_prefix("/v")?;
    version.strip_suffix('/')?.parse().ok()
}

/// Sends requests to one node, one at a time, until the soak ends.
pub async fn run(soak: Arc<Soak>, node: usize) {
    let mut idle = None;
    loop {
        let pause = Duration::from_millis(10 + soak.draw(80));
        tokio::time::sleep(pause * soak.pause_factor.load(Ordering::Relaxed).max(1)).await;
        // An open connection is used as long as the node keeps it open, even if the node is not
        // ready; a new one is opened only to a node that is ready.
        if idle.is_none() && !soak.machines[node].is_ready.load(Ordering::Relaxed) {
            continue;
        }
        let outgoing = draw_request(&soak);
        let is_ready = soak.machines[node].is_ready.load(Ordering::Relaxed);
        if is_ready && soak.draw(25) == 0 {
            cancel_early(&soak, node, &outgoing).await;
            continue;
        }
        exchange(&soak, node, &mut idle, &outgoing).await;
    }
}

fn draw_request(soak: &Arc<Soak>) -> Outgoing {
    let newest = soak.version.load(Ordering::SeqCst);
    let (method, path, is_idempotent) = match soak.draw(10) {
        0..=2 => ("POST", "/once/calls".to_owned(), false),
        3..=5 => ("GET", "/front/calls".to_owned(), true),
        6 => ("GET", "/middle/plain".to_owned(), true),
        7 => ("GET", format!("/v{newest}/plain"), true),
        _ => ("GET", "/deep/plain".to_owned(), true),
    };
    let length = match method {
        "POST" => usize::try_from(soak.draw(3_000)).unwrap_or(0),
        _ => 0,
    };
    Outgoing {
        id: soak.next_id(),
        method,
        target: format!("{path}?n={}", soak.draw(1_000)),
        body: vec![b'b'; length],
        is_idempotent,
        is_call: false,
        is_of_retry: false,
        deadline: DEADLINE,
    }
}

/// Sends a request and closes the connection after a short random time, mostly before the response.
async fn cancel_early(soak: &Arc<Soak>, node: usize, outgoing: &Outgoing) {
    let mut none = None;
    let wait = Duration::from_millis(soak.draw(40));
    let left = tokio::time::timeout(wait, exchange(soak, node, &mut none, outgoing)).await;
    if left.is_err() {
        let now = soak.now();
        soak.checker().on_caller_left(now, &outgoing.id);
    }
}

/// Service of the routes that each version adds.
pub const VERSION_SERVICE: &str = "deep";
