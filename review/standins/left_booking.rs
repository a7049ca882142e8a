//! Clients that leave a slow booking and look it up: the identifier of the lookup extends that of
//! the booking.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::back_end::{Policy, Reply, Runs};
use crate::client::{Client, Request};
use crate::deployment::{Case, Route, Tenant, configuration, wait};
use crate::node::Settings;
use crate::record::Record;

/// Time for which clients send requests.
const TRAFFIC: Duration = Duration::from_secs(20);
/// Number of clients, and the time between two bookings of each.
const CLIENTS: usize = 6;
const PACE: Duration = Duration::from_millis(1_000);
/// Time for which a back end works on a request, and the factor for slow bookings (`srv_slow`).
const WORK: Duration = Duration::from_millis(120);
const SLOWDOWN: u32 = 8;
/// Time after which a client leaves a booking (`give_up`); a booking at the usual speed is answered
/// long before.
const PATIENCE: Duration = Duration::from_millis(500);
/// Deadline that the clients state.
const DEADLINE: Duration = Duration::from_millis(5_000);
/// `budget-slack` and `revoke-s`.
const RETRY_SLACK: u32 = 113;
const REVOCATION_SECONDS: u32 = 5;
/// Tenant of all clients, and its key.
const TENANT: &str = "north";
const KEY: &str = "key-north";
/// Key that no configuration holds: half of the clients send it with their lookups.
const UNKNOWN_KEY: &str = "key-nobody";

/// A lookup as a client has sent it.
struct Lookup {
    id: String,
    has_known_key: bool,
    status: u16,
}

/// Runs the case; returns whether the rules held.
pub fn run(case: &Case) -> io::Result<bool> {
    let store = case.start_store()?;
    let route = |prefix, service, kind| Route {
        prefix,
        service,
        kind,
        timeout_seconds: 5.0,
        target_seconds: 1.5,
        max_attempts: 2,
    };
    let routes = [
        route("/book/", "bestilling", "non_idempotent"),
        route("/trip/", "logbok", "safe"),
    ];
    let tenants = [Tenant {
        name: TENANT.to_owned(),
        key: KEY.to_owned(),
        per_second: 0.0,
        burst: 0.0,
    }];
    let services = ["bestilling", "logbok"];
    store.write(
        "config",
        "main",
        &configuration(1, &routes, &services, &tenants),
    );
    let mut bookings = Settings::new(
        "bookings",
        "hall-a",
        "bestilling",
        RETRY_SLACK,
        store.address,
    )?;
    let mut trips = Settings::new("trips", "hall-a", "logbok", RETRY_SLACK, store.address)?;
    bookings.revocation_seconds = Some(REVOCATION_SECONDS);
    trips.revocation_seconds = Some(REVOCATION_SECONDS);
    let nodes = case.start_nodes(&[bookings.clone(), trips.clone()])?;
    let slowdown = if case.trouble { SLOWDOWN } else { 1 };
    case.start_back_end(&bookings, 72, work(WORK * slowdown))?;
    let back_end = case.start_back_end(&trips, 143, work(WORK))?;
    wait(5.0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = case.record.clone();
            let address = bookings.callers;
            thread::spawn(move || book_and_look_up(&record, client, Client::new(address, PATIENCE)))
        })
        .collect();
    let lookups: Vec<Lookup> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    wait(1.0);
    drop(nodes);
    Ok(judge(&case.record, &lookups, &back_end.runs()))
}

fn work(time: Duration) -> Policy {
    Arc::new(move |_, _| Reply::Run {
        work: time,
        body: 1_500,
    })
}

fn book_and_look_up(record: &Record, client: usize, mut connection: Client) -> Vec<Lookup> {
    let end = Instant::now() + TRAFFIC;
    let has_known_key = client % 2 == 0;
    let mut lookups = Vec::new();
    for number in 0.. {
        let begin = Instant::now();
        if begin >= end {
            break;
        }
        let booking = format!("c{client}x{number}");
        let status = connection.send(&Request {
            method: "POST",
            path: &format!("/book/{booking}"),
            id: &booking,
            key: Some(KEY),
            deadline: DEADLINE,
            body: b"one taxi",
        });
        record.line(&format!("client {client} sent {booking} (POST /book/, key of {TENANT}), got {status} (0: it left)"));
        let id = format!("{booking}.1");
        let key = if has_known_key { KEY } else { UNKNOWN_KEY };
        let status = connection.send(&Request {
            method: "GET",
            path: &format!("/trip/{booking}"),
            id: &id,
            key: Some(key),
            deadline: DEADLINE,
            body: b"",
        });
        record.line(&format!(
            "client {client} sent {id} (GET /trip/, {key}), got {status}"
        ));
        lookups.push(Lookup {
            id,
            has_known_key,
            status,
        });
        thread::sleep(PACE.saturating_sub(begin.elapsed()));
    }
    lookups
}

fn judge(record: &Record, lookups: &[Lookup], runs: &Runs) -> bool {
    let mut foreign = 0;
    let mut unknown = 0;
    for lookup in lookups {
        let Lookup {
            id,
            has_known_key,
            status,
        } = lookup;
        for run in runs.get(id).into_iter().flatten() {
            let tenant = &run.tenant;
            if !has_known_key {
                unknown += 1;
                record.line(&format!(
                    "BROKEN ROUTE: {id} ran with a key that no configuration held, answer {status}"
                ));
            } else if tenant != TENANT {
                foreign += 1;
                record.line(&format!(
                    "BROKEN UNASKED: {id} ran with Tenant \"{tenant}\", its key is that of {TENANT}, answer {status}"
                ));
            }
        }
    }
    let ran = lookups
        .iter()
        .filter(|lookup| runs.contains_key(&lookup.id))
        .count();
    record.conclude(&format!(
        "{} lookups, {ran} ran; without the tenant of their key (UNASKED): {foreign}; with an unknown key (ROUTE): {unknown}",
        lookups.len()
    ));
    foreign + unknown == 0
}
