//! Clients that read their answers slowly while the node that took their requests is stopped.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::back_end::{BackEnd, Policy, Reply, Runs};
use crate::deployment::{Case, HOST, Route, configuration, wait};
use crate::http::Message;
use crate::node::{Node, Settings};
use crate::record::Record;
use crate::sys;

/// What a client sends on its one connection, all of it before the first answer.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    prefix: &'static str,
    requests: usize,
    /// Length of an answer's body, in bytes.
    body: usize,
}

/// A download: one large answer.
const DOWNLOAD: Kind = Kind {
    name: "download",
    prefix: "/scan/",
    requests: 1,
    body: 3_900_000,
};
/// Pipelined `safe` requests, with the longest answers that the site file has for them.
const PIPELINE: Kind = Kind {
    name: "pipeline",
    prefix: "/sample/",
    requests: 130,
    body: 30_000,
};
/// When each client sends its requests, in seconds from the moment of SIGTERM, and what it sends.
/// The later ones fall between the first and the second question for readiness that fail.
const CLIENTS: [(f64, Kind); 4] = [
    (-0.3, DOWNLOAD),
    (-0.3, PIPELINE),
    (0.5, DOWNLOAD),
    (0.5, PIPELINE),
];
/// Time from the start of the clients to SIGTERM, in seconds.
const STOP_DELAY: f64 = 1.0;

/// Time for which the back end works on a request.
const WORK: Duration = Duration::from_millis(90);
/// Deadline that the clients state.
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Bytes that a client reads at a time, and the time between two reads: about 0.8 MB a second, so
/// that it has all answers before its deadline.
const READ_BYTES: usize = 18_000;
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Segments and receive buffer of a client's socket: those of a network, with a small window.
const SEGMENT_BYTES: i32 = 1_400;
const RECEIVE_BUFFER_BYTES: i32 = 16 * 1024;
/// `budget-slack`.
const RETRY_SLACK: u32 = 60;
/// Time within which the platform lets a stopped process end by itself (`grace-s`).
const GRACE: Duration = Duration::from_secs(6);

/// What a client got.
struct Outcome {
    client: usize,
    kind: Kind,
    sent_at: Duration,
    /// When the client had all answers, gave up, or found its connection closed.
    ended_at: Duration,
    complete_answers: usize,
}

impl Outcome {
    /// Returns whether the client was answered completely or gave up at its deadline.
    fn is_excused(&self) -> bool {
        self.complete_answers == self.kind.requests || self.ended_at >= self.sent_at + DEADLINE
    }
}

/// Runs the case; returns whether the rule held.
pub fn run(case: &Case) -> io::Result<bool> {
    let store = case.start_store()?;
    let route = |prefix, service, kind| Route {
        prefix,
        service,
        kind,
        timeout_seconds: 6.0,
        target_seconds: 1.5,
        max_attempts: 2,
    };
    let routes = [
        route(PIPELINE.prefix, "katalog", "safe"),
        route(DOWNLOAD.prefix, "scanbank", "download"),
    ];
    let services = ["udlaan", "katalog", "scanbank"];
    store.write("config", "main", &configuration(1, &routes, &services, &[]));
    let entry = Settings::new("entry", "hal-a", "udlaan", RETRY_SLACK, store.address)?;
    let catalogue = Settings::new("catalogue", "hal-a", "katalog", RETRY_SLACK, store.address)?;
    let scans = Settings::new("scans", "hal-a", "scanbank", RETRY_SLACK, store.address)?;
    let mut nodes = case.start_nodes(&[entry.clone(), catalogue.clone(), scans.clone()])?;
    let back_ends = [
        case.start_back_end(&entry, 116, work())?,
        case.start_back_end(&catalogue, 87, work())?,
        case.start_back_end(&scans, 116, work())?,
    ];
    wait(4.0);
    let clients: Vec<_> = CLIENTS
        .into_iter()
        .enumerate()
        .map(|(client, (delay, kind))| {
            let record = case.record.clone();
            thread::spawn(move || {
                wait(STOP_DELAY + delay);
                read_slowly(&record, client, kind, entry.callers)
            })
        })
        .collect();
    wait(STOP_DELAY);
    let stopped_at = case.trouble.then(|| stop(&case.record, &mut nodes[0]));
    let outcomes: io::Result<Vec<Outcome>> = clients
        .into_iter()
        .map(|client| {
            client
                .join()
                .unwrap_or_else(|_| Err(io::Error::other("client failed")))
        })
        .collect();
    let outcomes = outcomes?;
    wait(0.5);
    drop(nodes);
    Ok(judge(&case.record, &outcomes, &back_ends, stopped_at))
}

fn work() -> Policy {
    Arc::new(|_, request: &Message| {
        let is_download = request.target().starts_with(DOWNLOAD.prefix);
        let kind = if is_download { DOWNLOAD } else { PIPELINE };
        Reply::Run {
            work: WORK,
            body: kind.body,
        }
    })
}

/// Sends SIGTERM to a node and waits for its end, as the platform does. Returns when the signal was
/// sent.
fn stop(record: &Record, node: &mut Node) -> Duration {
    let name = node.settings.name.clone();
    let sent_at = record.now();
    record.line(&format!("platform sends SIGTERM to {name}"));
    node.signal(sys::SIGTERM);
    while record.now() < sent_at + GRACE {
        if node.has_ended() {
            let after = (record.now() - sent_at).as_secs_f64();
            record.line(&format!(
                "{name} has ended by itself, {after:.2} s after SIGTERM"
            ));
            return sent_at;
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!("platform sends SIGKILL to {name}"));
    node.signal(sys::SIGKILL);
    sent_at
}

fn read_slowly(
    record: &Record,
    client: usize,
    kind: Kind,
    address: SocketAddr,
) -> io::Result<Outcome> {
    let mut stream = sys::connect_with_small_window(address, SEGMENT_BYTES, RECEIVE_BUFFER_BYTES)?;
    let mut requests = String::new();
    for number in 0..kind.requests {
        let id = request_id(client, number);
        let (prefix, millis) = (kind.prefix, DEADLINE.as_millis());
        requests.push_str(&format!(
            "GET {prefix}{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {millis}\r\n\r\n"
        ));
    }
    let sent_at = record.now();
    let until = Instant::now() + DEADLINE;
    stream.write_all(requests.as_bytes())?;
    let Kind { name, requests, .. } = kind;
    record.line(&format!(
        "client {client} ({name}) sent its requests ({requests}) and reads slowly"
    ));
    let mut answers = Answers::default();
    let how = loop {
        if answers.complete == kind.requests {
            break "has all answers";
        }
        if Instant::now() >= until {
            break "gives up at its deadline";
        }
        thread::sleep(READ_INTERVAL);
        let mut chunk = [0; READ_BYTES];
        match stream.read(&mut chunk) {
            Ok(0) => break "finds its connection closed",
            Err(_) => break "finds its connection reset",
            Ok(length) => answers.add(&chunk[..length]),
        }
    };
    let ended_at = record.now();
    let (complete, partial) = (answers.complete, answers.input.len());
    record.line(&format!(
        "client {client} ({name}) {how}: {complete} of {requests} answers complete, {partial} bytes of the next one"
    ));
    Ok(Outcome {
        client,
        kind,
        sent_at,
        ended_at,
        complete_answers: complete,
    })
}

fn request_id(client: usize, number: usize) -> String {
    format!("c{client}x{number}")
}

/// Answers that a client has read so far.
#[derive(Default)]
struct Answers {
    complete: usize,
    /// Bytes of the answer that is not complete yet.
    input: Vec<u8>,
    /// Length of that answer, once its head has arrived.
    length: Option<usize>,
}

impl Answers {
    fn add(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
        while let Some(length) = self.length.or_else(|| length_of(&self.input)) {
            self.length = Some(length);
            if self.input.len() < length {
                return;
            }
            self.input.drain(..length);
            self.length = None;
            self.complete += 1;
        }
    }
}

/// Returns the length of the answer at the begin of the input; `None` if its head is incomplete.
fn length_of(input: &[u8]) -> Option<usize> {
    let head = input.windows(4).position(|window| window == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&input[..head]).to_ascii_lowercase();
    let length = text.split("content-length:").nth(1)?.lines().next()?;
    Some(head + 4 + length.trim().parse::<usize>().ok()?)
}

fn judge(
    record: &Record,
    outcomes: &[Outcome],
    back_ends: &[Arc<BackEnd>],
    stopped_at: Option<Duration>,
) -> bool {
    let runs: Runs = back_ends
        .iter()
        .flat_map(|back_end| back_end.runs())
        .collect();
    let mut lost = 0;
    for outcome in outcomes.iter().filter(|outcome| !outcome.is_excused()) {
        // Only requests that were passed on to a back end count, and only around the stop.
        let Some(stopped_at) = stopped_at else {
            continue;
        };
        for number in outcome.complete_answers..outcome.kind.requests {
            let id = request_id(outcome.client, number);
            let Some(run) = runs.get(&id).and_then(|runs| runs.first()) else {
                continue;
            };
            lost += 1;
            let run_after = run.at.as_secs_f64() - stopped_at.as_secs_f64();
            let end_after = outcome.ended_at.as_secs_f64() - stopped_at.as_secs_f64();
            let left = (outcome.sent_at + DEADLINE - outcome.ended_at).as_secs_f64();
            record.line(&format!(
                "BROKEN LOST: {id} began to run {run_after:+.2} s from SIGTERM; its connection ended without its \
                 complete answer {end_after:+.2} s from SIGTERM, {left:.2} s before its deadline"
            ));
        }
    }
    let asked: usize = outcomes.iter().map(|outcome| outcome.kind.requests).sum();
    let complete: usize = outcomes
        .iter()
        .map(|outcome| outcome.complete_answers)
        .sum();
    record.conclude(&format!(
        "{asked} requests, {complete} answered completely; LOST: {lost}"
    ));
    lost == 0
}
