//! Adds up the retries of a service over the logs of all nodes, and compares them with the retry
//! budget of the deployment.

use std::collections::BTreeMap;
use std::io::{self, BufRead};

use serde::Serialize;

use crate::explain::Record;

/// Message of the records that are added up.
const MESSAGE: &str = "outbound: retries of a service";
/// Length of the slices into which records are divided, in seconds. The figures of a record are
/// spread evenly over the time that it covers.
const SLICE_SECONDS: f64 = 0.5;

/// Bound on the retries that a service receives in any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed on top of the ratio.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window: f64,
}

/// Requests and retries of a service, from one node or all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Sums {
    /// Requests for the service.
    pub requests: f64,
    /// Retries that nodes have sent.
    pub retries: f64,
    /// Calls made for retries.
    pub calls: f64,
    /// Calls that nodes could not attribute after a restart.
    pub unattributed: f64,
}

impl Sums {
    fn of(record: &Record) -> Self {
        let number = |name| record.number(name).unwrap_or(0) as f64;
        Self {
            requests: number("requests"),
            retries: number("retries"),
            calls: number("calls"),
            unattributed: number("unattributed"),
        }
    }

    /// Returns all that counts as a retry.
    pub fn charged(&self) -> f64 {
        self.retries + self.calls + self.unattributed
    }

    fn add_part(&mut self, other: &Self, part: f64) {
        self.requests += other.requests * part;
        self.retries += other.retries * part;
        self.calls += other.calls * part;
        self.unattributed += other.unattributed * part;
    }
}

/// The window of a service with the largest share of the budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorstWindow {
    /// Service.
    pub service: String,
    /// End of the window, in seconds since the Unix epoch.
    pub end: f64,
    /// Sums over the window.
    pub sums: Sums,
    /// Requests of the window that counts: this one, or one that ends half a window or a window
    /// earlier.
    pub counted_requests: f64,
    /// Retries that the budget allows.
    pub allowed: f64,
    /// Node that has sent most retries in the window.
    pub busiest_node: String,
    /// Retries of that node.
    pub busiest_charged: f64,
}

impl WorstWindow {
    /// Returns whether there were more retries than the budget allows.
    pub fn is_exceeded(&self) -> bool {
        self.sums.charged() > self.allowed
    }
}

/// Reads logs and adds up the retries by service.
#[derive(Clone, Debug, Default)]
pub struct RetryLogs {
    records: BTreeMap<String, Vec<Record>>,
}

impl RetryLogs {
    /// Reads a log. `node` is the node of lines that do not name one themselves.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be read.
    pub fn read(&mut self, node: &str, log: impl BufRead) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            let record = Record::parse(&text, node).filter(|record| record.message == MESSAGE);
            let Some(record) = record else {
                continue;
            };
            if let Some(service) = record.text("service") {
                let records = self.records.entry(service.to_owned()).or_default();
                records.push(record);
            }
        }
        Ok(())
    }

    /// Returns the worst window of each service.
    pub fn worst_windows(&self, budget: RetryBudget) -> Vec<WorstWindow> {
        let services = self.records.iter();
        services
            .filter_map(|(service, records)| worst_window(service, records, budget))
            .collect()
    }
}

fn worst_window(service: &str, records: &[Record], budget: RetryBudget) -> Option<WorstWindow> {
    let slices = Slices::of(records);
    let length = (budget.window / SLICE_SECONDS).round() as usize;
    let shares = (0..slices.sums.len()).map(|last| {
        let sums = slices.window(last, length);
        let earlier = [length / 2, length].map(|slices| last.checked_sub(slices));
        let requests = earlier
            .into_iter()
            .flatten()
            .map(|last| slices.window(last, length).requests)
            .fold(sums.requests, f64::max);
        let allowed = budget.ratio * requests + budget.slack;
        (last, sums, requests, allowed)
    });
    let share = |(_, sums, _, allowed): &(usize, Sums, f64, f64)| sums.charged() / allowed;
    let worst = shares.max_by(|left, right| share(left).total_cmp(&share(right)))?;
    let (last, sums, counted_requests, allowed) = worst;
    let (busiest_node, busiest_charged) = busiest(records, &slices, last, length);
    Some(WorstWindow {
        service: service.to_owned(),
        end: slices.begin + (last + 1) as f64 * SLICE_SECONDS,
        sums,
        counted_requests,
        allowed,
        busiest_node,
        busiest_charged,
    })
}

/// Returns the node with most retries in a window of all records, and their number.
fn busiest(records: &[Record], all: &Slices, last: usize, length: usize) -> (String, f64) {
    let mut by_node: BTreeMap<&str, Slices> = BTreeMap::new();
    for record in records {
        let slices = by_node.entry(&record.node).or_insert_with(|| Slices {
            begin: all.begin,
            sums: vec![Sums::default(); all.sums.len()],
        });
        slices.add(record);
    }
    let charged = by_node
        .into_iter()
        .map(|(node, slices)| (node.to_owned(), slices.window(last, length).charged()));
    let busiest = charged.max_by(|left, right| left.1.total_cmp(&right.1));
    busiest.unwrap_or_default()
}

/// Sums by slice of time.
struct Slices {
    /// Begin of the first slice, in seconds since the Unix epoch.
    begin: f64,
    sums: Vec<Sums>,
}

impl Slices {
    fn of(records: &[Record]) -> Self {
        let begins = records.iter().map(|record| record.time - covered(record));
        let begin = begins.fold(f64::INFINITY, f64::min);
        let end = records
            .iter()
            .map(|record| record.time)
            .fold(begin, f64::max);
        let count = ((end - begin) / SLICE_SECONDS).ceil() as usize + 1;
        let mut slices = Self {
            begin,
            sums: vec![Sums::default(); count],
        };
        for record in records {
            slices.add(record);
        }
        slices
    }

    /// Spreads the figures of a record over the slices that it covers.
    fn add(&mut self, record: &Record) {
        let from = record.time - covered(record) - self.begin;
        let until = record.time - self.begin;
        let sums = Sums::of(record);
        let first = (from / SLICE_SECONDS) as usize;
        let last = (until / SLICE_SECONDS) as usize;
        for index in first..=last.min(self.sums.len() - 1) {
            let slice = index as f64 * SLICE_SECONDS;
            let overlap = until.min(slice + SLICE_SECONDS) - from.max(slice);
            let part = if until > from {
                overlap / (until - from)
            } else {
                1.0
            };
            self.sums[index].add_part(&sums, part.max(0.0));
        }
    }

    /// Returns the sums of the window that ends with the slice `last`.
    fn window(&self, last: usize, length: usize) -> Sums {
        let first = (last + 1).saturating_sub(length);
        let mut sums = Sums::default();
        for slice in &self.sums[first..=last] {
            sums.add_part(slice, 1.0);
        }
        sums
    }
}

/// Returns the time that a record covers, in seconds.
fn covered(record: &Record) -> f64 {
    record.number("covered_millis").unwrap_or(0) as f64 / 1_000.0
}
