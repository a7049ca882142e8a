//! The owner of a tenant's token bucket is cut off from the other nodes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::back_end::{Policy, Reply};
use crate::client::{Client, Request};
use crate::deployment::{Case, Route, Tenant, configuration, wait};
use crate::node::{Node, Settings};
use crate::proxy::Network;
use crate::record::Record;

/// `budget-slack`.
const RETRY_SLACK: u32 = 113;
/// Limit of each tenant: `rate-per-s` and `burst`.
const RATE: f64 = 60.0;
const BURST: f64 = 10.0;
/// `quota-window-s`, `quota-overshoot` and `quota-slack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Clients of a tenant on one machine, and the time between two requests of each: 80 a second.
const CLIENTS: u32 = 4;
const PACE: Duration = Duration::from_millis(50);
/// Time for which a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Time for which the back ends work on a request.
const WORK: Duration = Duration::from_millis(10);
/// Time before the cut, and length of the cut.
const CALM_SECONDS: f64 = 7.0;
const CUT_SECONDS: f64 = 7.0;
/// Tenants, whose buckets are owned by `node-a`.
const TENANTS: [&str; 2] = ["t4", "t8"];

/// Runs the case; returns whether the rule held.
pub fn run(case: &Case) -> io::Result<bool> {
    let store = case.start_store()?;
    let routes = [Route {
        prefix: "/trip/",
        service: "logbok",
        kind: "safe",
        timeout_seconds: 2.0,
        target_seconds: 1.0,
        max_attempts: 2,
    }];
    let tenants: Vec<Tenant> = TENANTS
        .iter()
        .map(|name| Tenant {
            name: (*name).to_owned(),
            key: format!("key-{name}"),
            per_second: RATE,
            burst: BURST,
        })
        .collect();
    let services = ["logbok", "bestilling"];
    store.write(
        "config",
        "main",
        &configuration(1, &routes, &services, &tenants),
    );
    let network = Network::default();
    let mut settings = Vec::new();
    for (name, zone, service) in [
        ("node-a", "hall-a", "logbok"),
        ("node-b", "hall-b", "logbok"),
        ("node-c", "hall-c", "bestilling"),
    ] {
        let mut node = Settings::new(name, zone, service, RETRY_SLACK, store.address)?;
        node.mesh_advertised = Some(network.start_proxy(name, node.mesh)?);
        node.revocation_seconds = Some(5);
        settings.push(node);
    }
    let nodes: io::Result<Vec<Node>> = settings
        .iter()
        .map(|settings| Node::start(&case.files, settings.clone()))
        .collect();
    let nodes = nodes?;
    for node in &nodes {
        network.add_process(&node.settings.name, node.process());
    }
    for node in &nodes {
        node.wait_until_ready()?;
    }
    let mut back_ends = Vec::new();
    for settings in &settings {
        back_ends.push(case.start_back_end(settings, 142, work())?);
    }
    wait(6.0);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for tenant in TENANTS {
        for machine in &settings[..2] {
            for client in 0..CLIENTS {
                let (record, is_over) = (case.record.clone(), is_over.clone());
                let label = format!("{tenant}-{}-{client}", machine.name);
                let address = machine.callers;
                clients.push(thread::spawn(move || {
                    send_requests(&record, &is_over, &label, tenant, address)
                }));
            }
        }
    }
    wait(CALM_SECONDS);
    if case.trouble {
        case.record
            .line("cut: node-a is cut off from node-b and node-c; all reach the store");
        network.cut_off("node-a");
    }
    wait(CUT_SECONDS);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    let mut runs: Vec<(String, Duration)> = Vec::new();
    for back_end in &back_ends {
        for (id, times) in back_end.runs() {
            runs.extend(times.into_iter().map(|run| (id.clone(), run.at)));
        }
    }
    Ok(judge(&case.record, &runs))
}

fn work() -> Policy {
    Arc::new(|_, _| Reply::Run {
        work: WORK,
        body: 1_000,
    })
}

fn send_requests(
    record: &Record,
    is_over: &AtomicBool,
    label: &str,
    tenant: &str,
    address: SocketAddr,
) {
    let key = format!("key-{tenant}");
    let mut connection = Client::new(address, PATIENCE);
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{label}-{number}");
        let begin = Instant::now();
        let status = connection.send(&Request {
            method: "GET",
            path: &format!("/trip/{id}"),
            id: &id,
            key: Some(&key),
            deadline: PATIENCE,
            body: b"",
        });
        record.line(&format!(
            "sent {id} (GET /trip/, tenant {tenant}), got {status}"
        ));
        thread::sleep(PACE.saturating_sub(begin.elapsed()));
    }
}

fn judge(record: &Record, runs: &[(String, Duration)]) -> bool {
    let bound = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let mut holds = true;
    for tenant in TENANTS {
        let prefix = format!("{tenant}-");
        let mut times: Vec<Duration> = runs
            .iter()
            .filter(|(id, _)| id.starts_with(&prefix))
            .map(|(_, at)| *at)
            .collect();
        times.sort();
        let (most, from) = most_in_window(&times);
        let is_broken = most as f64 > bound;
        holds &= !is_broken;
        record.conclude(&format!(
            "{}tenant {tenant}: {most} requests ran in the 5 s from {:.2} s on, allowed are {bound:.0}",
            if is_broken { "BROKEN QUOTA: " } else { "" },
            from.as_secs_f64()
        ));
    }
    holds
}

/// Returns the largest number of runs that began within a window, and the begin of that window.
fn most_in_window(times: &[Duration]) -> (usize, Duration) {
    let mut best = (0, Duration::ZERO);
    let mut first = 0;
    for (last, at) in times.iter().enumerate() {
        while *at - times[first] >= WINDOW {
            first += 1;
        }
        if last + 1 - first > best.0 {
            best = (last + 1 - first, times[first]);
        }
    }
    best
}
