//! A back end that sheds a share of its requests and sends some of these answers once more, late.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::back_end::{Policy, Reply, Runs};
use crate::client::{Client, Request};
use crate::deployment::{Case, Route, configuration, wait};
use crate::node::Settings;
use crate::record::Record;

/// Time for which clients send requests.
const TRAFFIC: Duration = Duration::from_secs(40);
/// Number of clients, each with one connection.
const CLIENTS: u64 = 12;
/// Time between two requests of a client.
const PACE: Duration = Duration::from_millis(200);
/// Time for which the back end works on a request: the mean of `group-booking`.
const WORK: Duration = Duration::from_millis(120);
/// `budget-slack`.
const RETRY_SLACK: u32 = 49;
/// Deadline that the clients state.
const DEADLINE: Duration = Duration::from_millis(5_000);
/// Percentage of the requests that the back end sheds (`srv_grey`, `shed`).
const SHED_PERCENT: u64 = 45;
/// One of so many of these answers is sent a second time (`garble`, `extra late`), which is 2.8% of
/// all answers of the back end.
const EXTRA_ONE_IN: u64 = 16;
/// Time between an answer and its second copy.
const EXTRA_DELAY: Duration = Duration::from_millis(20);

/// Runs the case; returns whether the rules held.
pub fn run(case: &Case) -> io::Result<bool> {
    let store = case.start_store()?;
    let routes = [Route {
        prefix: "/book/",
        service: "viti",
        kind: "non_idempotent",
        timeout_seconds: 5.0,
        target_seconds: 1.5,
        max_attempts: 3,
    }];
    let services = ["njia", "viti"];
    store.write("config", "main", &configuration(1, &routes, &services, &[]));
    let entry = Settings::new("entry", "dom-a", "njia", RETRY_SLACK, store.address)?;
    let target = Settings::new("target", "dom-b", "viti", RETRY_SLACK, store.address)?;
    let nodes = case.start_nodes(&[entry.clone(), target.clone()])?;
    case.start_back_end(&entry, 89, run_all())?;
    let back_end = case.start_back_end(&target, 112, policy(case.trouble))?;
    wait(4.0);
    let statuses = send_requests(&case.record, entry.callers);
    wait(2.0);
    drop(nodes);
    Ok(judge(&case.record, &statuses, &back_end.runs()))
}

fn run_all() -> Policy {
    Arc::new(|_, _| Reply::Run {
        work: WORK,
        body: 1_500,
    })
}

fn policy(trouble: bool) -> Policy {
    let answers = AtomicU64::new(0);
    Arc::new(move |number, _| {
        // 37 and 100 have no common divisor, so the sheds are spread evenly.
        if !trouble || number * 37 % 100 >= SHED_PERCENT {
            return Reply::Run {
                work: WORK,
                body: 1_500,
            };
        }
        let is_extra = answers.fetch_add(1, Ordering::Relaxed) % EXTRA_ONE_IN == 0;
        Reply::Shed {
            again_after: is_extra.then_some(EXTRA_DELAY),
        }
    })
}

type Statuses = BTreeMap<String, u16>;

fn send_requests(record: &Arc<Record>, address: SocketAddr) -> Statuses {
    let statuses = Arc::new(Mutex::new(Statuses::new()));
    let end = Instant::now() + TRAFFIC;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, statuses) = (record.clone(), statuses.clone());
            thread::spawn(move || {
                thread::sleep(PACE / CLIENTS as u32 * client as u32);
                let mut connection = Client::new(address, DEADLINE);
                for number in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("c{client}x{number}");
                    let begin = Instant::now();
                    let status = connection.send(&Request {
                        method: "POST",
                        path: &format!("/book/{id}"),
                        id: &id,
                        key: None,
                        deadline: DEADLINE,
                        body: &[b'b'; 300],
                    });
                    record.line(&format!(
                        "client {client} sent {id} (POST /book/, may run once), got {status}"
                    ));
                    statuses
                        .lock()
                        .unwrap_or_else(|error| error.into_inner())
                        .insert(id, status);
                    thread::sleep(PACE.saturating_sub(begin.elapsed()));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let statuses = statuses.lock().unwrap_or_else(|error| error.into_inner());
    statuses.clone()
}

fn judge(record: &Record, statuses: &Statuses, runs: &Runs) -> bool {
    let mut twice = 0;
    let mut refused = 0;
    for (id, status) in statuses {
        let count = runs.get(id).map_or(0, Vec::len);
        if count > 1 {
            twice += 1;
            record.line(&format!(
                "BROKEN TWICE: {id} may run once and ran {count} times, answer {status}"
            ));
        }
        if count > 0 && matches!(status, 408 | 421 | 429 | 503) {
            refused += 1;
            record.line(&format!(
                "BROKEN REFUSED: {id} was answered {status} and ran {count} times"
            ));
        }
    }
    let served = statuses.values().filter(|status| **status == 200).count();
    record.conclude(&format!(
        "{} requests, {served} answered with 200; TWICE: {twice}, REFUSED: {refused}",
        statuses.len()
    ));
    twice + refused == 0
}
