//! Figures of a benchmark, as differences and ratios within one run.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::load::CallReport;

/// Share of calls below the quantiles that are reported.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
/// Position of the 99th percentile in [`QUANTILES`].
const P99: usize = 1;
/// Bytes of a mebibyte.
const MEBIBYTE: f64 = 1024.0 * 1024.0;

/// Figures of a whole run.
#[derive(Debug, Serialize)]
pub struct BenchReport {
    /// Calls per second under steady load.
    pub rate: f64,
    /// Calls under way under full load.
    pub concurrency: u32,
    /// Figures by sort of request.
    pub requests: Vec<RequestReport>,
    /// Resident memory of each node at the end, in bytes.
    pub resident_bytes: Vec<u64>,
}

/// Figures of one sort of request.
#[derive(Debug, Serialize)]
pub struct RequestReport {
    /// Name of the sort.
    pub name: &'static str,
    /// Calls straight to the back end under steady load.
    pub direct: CallReport,
    /// Calls through the nodes under steady load.
    pub through: CallReport,
    /// Latency added at the 99th percentile in each round, in microseconds.
    pub added_p99_micros_by_round: Vec<i64>,
    /// Figures under full load.
    pub full_load: Saturation,
}

/// Calls under full load.
#[derive(Debug, Default, Serialize)]
pub struct Saturation {
    /// Whole answers straight from the back end.
    pub direct_calls: u64,
    /// Whole answers through the nodes.
    pub through_calls: u64,
    /// Calls through the nodes without a whole answer.
    pub failed_calls: u64,
    /// Time measured on each path, in seconds.
    pub seconds: f64,
    /// Processor time of all nodes together, in seconds.
    pub processor_seconds: f64,
}

impl RequestReport {
    /// Creates a report without rounds.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            direct: CallReport::default(),
            through: CallReport::default(),
            added_p99_micros_by_round: Vec::new(),
            full_load: Saturation::default(),
        }
    }

    /// Takes in a pair of phases.
    pub fn add_round(&mut self, direct: &CallReport, through: &CallReport) {
        let added = added_micros(direct, through, QUANTILES[P99]);
        self.added_p99_micros_by_round.push(added);
        self.direct.merge(direct);
        self.through.merge(through);
    }
}

impl Saturation {
    /// Takes in a pair of phases and the processor time of the nodes in the second.
    pub fn add_round(
        &mut self,
        direct: &CallReport,
        through: &CallReport,
        duration: Duration,
        processor_time: Duration,
    ) {
        self.direct_calls += direct.whole;
        self.through_calls += through.whole;
        self.failed_calls += through.calls - through.whole;
        self.seconds += duration.as_secs_f64();
        self.processor_seconds += processor_time.as_secs_f64();
    }

    /// Returns whole answers for each second of one core that the nodes used.
    pub fn calls_per_core_second(&self) -> f64 {
        self.through_calls as f64 / self.processor_seconds
    }
}

impl fmt::Display for BenchReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "Steady load, {} calls/s:\n", self.rate)?;
        writeln!(
            formatter,
            "| request | calls | not whole | path | p50 | p99 | p99.9 |"
        )?;
        writeln!(formatter, "|---|---|---|---|---|---|---|")?;
        for request in &self.requests {
            write_latencies(formatter, request)?;
        }
        writeln!(
            formatter,
            "\nFull load, {} calls under way:\n",
            self.concurrency
        )?;
        writeln!(
            formatter,
            "| request | direct calls/s | calls/s through the nodes | not whole | calls/s per core of the nodes |"
        )?;
        writeln!(formatter, "|---|---|---|---|---|")?;
        for request in &self.requests {
            write_saturation(formatter, request)?;
        }
        write!(formatter, "\nResident memory of the nodes:")?;
        for bytes in &self.resident_bytes {
            write!(formatter, " {:.1} MiB", *bytes as f64 / MEBIBYTE)?;
        }
        writeln!(formatter)
    }
}

fn write_latencies(formatter: &mut fmt::Formatter<'_>, request: &RequestReport) -> fmt::Result {
    let RequestReport {
        name,
        direct,
        through,
        ..
    } = request;
    for (path, report) in [("direct", direct), ("through", through)] {
        write!(
            formatter,
            "| {name} | {} | {} | {path} |",
            report.calls,
            report.calls - report.whole
        )?;
        for quantile in QUANTILES {
            write!(formatter, " {} µs |", report.latency(quantile).as_micros())?;
        }
        writeln!(formatter)?;
    }
    write!(formatter, "| {name} | | | **added** |")?;
    for quantile in QUANTILES {
        let added = added_micros(direct, through, quantile);
        write!(formatter, " {added} µs |")?;
    }
    writeln!(formatter)?;
    let rounds = &request.added_p99_micros_by_round;
    let lowest = rounds.iter().min().unwrap_or(&0);
    let highest = rounds.iter().max().unwrap_or(&0);
    writeln!(
        formatter,
        "| {name} | | | added, by round | | {lowest} to {highest} µs | |"
    )
}

fn write_saturation(formatter: &mut fmt::Formatter<'_>, request: &RequestReport) -> fmt::Result {
    let load = &request.full_load;
    writeln!(
        formatter,
        "| {} | {:.0} | {:.0} | {} | {:.0} |",
        request.name,
        load.direct_calls as f64 / load.seconds,
        load.through_calls as f64 / load.seconds,
        load.failed_calls,
        load.calls_per_core_second(),
    )
}

fn added_micros(direct: &CallReport, through: &CallReport, quantile: f64) -> i64 {
    let micros = |report: &CallReport| report.latency(quantile).as_micros() as i64;
    micros(through) - micros(direct)
}
