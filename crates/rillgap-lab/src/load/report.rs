//! What came back for a load: counts and latencies by kind of request.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::{CallRecord, CallResult};
use super::request::RequestKind;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;
/// Most examples of faulty answers that are kept.
const MAX_EXAMPLES: usize = 5;

/// Counts and latencies of calls of one sort.
#[derive(Debug, Serialize)]
pub struct CallReport {
    /// Calls that ended.
    pub calls: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals that state that the request was not run.
    pub not_run: u64,
    /// Refusals that state that the outcome is unknown.
    pub unknown: u64,
    /// Answers that broke off, or connections that were lost before the answer.
    pub cut: u64,
    /// Answers of another caller, or with a wrong digest or length.
    pub wrong: u64,
    /// Answers with an error status of the back end.
    pub error_status: u64,
    /// Calls for which no connection was made.
    pub not_connected: u64,
    /// Calls without a whole answer in the caller's time.
    pub timed_out: u64,
    /// Attempts beyond the first of each call.
    pub extra_attempts: u64,
    /// Refusals by the number of their code.
    pub codes: BTreeMap<u8, u64>,
    /// Refusals after which the call was repeated, by the number of their code.
    pub repeated_codes: BTreeMap<u8, u64>,
    #[serde(serialize_with = "serialize_latencies", rename = "latency_micros")]
    latencies: Histogram<u64>,
}

/// What came back for a whole load.
#[derive(Debug, Default, Serialize)]
pub struct LoadReport {
    /// Counts by kind of request.
    pub kinds: BTreeMap<RequestKind, CallReport>,
    /// Longest time by which a call began later than planned, in microseconds.
    pub latest_start_micros: u64,
    /// Some faulty answers in words.
    pub examples: Vec<String>,
}

/// Something that makes the load command fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCondition {
    /// An answer broke off, or was wrong.
    Cut,
    /// An outcome is unknown, or an answer did not come in time.
    Unknown,
    /// A call was refused or got an error status.
    Refused,
}

/// A condition of failure is unknown.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is none of cut, unknown, refused")]
pub struct FailureConditionError(String);

impl FromStr for FailureCondition {
    type Err = FailureConditionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "cut" => Ok(Self::Cut),
            "unknown" => Ok(Self::Unknown),
            "refused" => Ok(Self::Refused),
            _ => Err(FailureConditionError(text.to_owned())),
        }
    }
}

impl Default for CallReport {
    fn default() -> Self {
        let latencies = Histogram::new_with_max(MAX_LATENCY_MICROS, LATENCY_DIGITS)
            .expect("the constants lie in the histogram's range");
        Self {
            calls: 0,
            whole: 0,
            not_run: 0,
            unknown: 0,
            cut: 0,
            wrong: 0,
            error_status: 0,
            not_connected: 0,
            timed_out: 0,
            extra_attempts: 0,
            codes: BTreeMap::new(),
            repeated_codes: BTreeMap::new(),
            latencies,
        }
    }
}

impl CallReport {
    /// Returns the latency that this share of the whole answers did not exceed.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_quantile(quantile))
    }

    /// Takes in the counts and latencies of another report.
    pub fn merge(&mut self, other: &Self) {
        self.calls += other.calls;
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.cut += other.cut;
        self.wrong += other.wrong;
        self.error_status += other.error_status;
        self.not_connected += other.not_connected;
        self.timed_out += other.timed_out;
        self.extra_attempts += other.extra_attempts;
        add_counts(&mut self.codes, &other.codes);
        add_counts(&mut self.repeated_codes, &other.repeated_codes);
        self.latencies
            .add(&other.latencies)
            .expect("both histograms have the same range");
    }

    /// Counts a call that ended.
    pub fn count(&mut self, record: &CallRecord) {
        self.calls += 1;
        self.extra_attempts += u64::from(record.attempts.saturating_sub(1));
        for code in &record.repeated_codes {
            *self.repeated_codes.entry(*code).or_default() += 1;
        }
        match &record.result {
            CallResult::Whole => self.count_whole(record.latency),
            CallResult::Refused { code, not_run, .. } => self.count_refusal(*code, *not_run),
            CallResult::ErrorStatus { .. } => self.error_status += 1,
            CallResult::Wrong { .. } => self.wrong += 1,
            CallResult::Cut { .. } => self.cut += 1,
            CallResult::NotConnected => self.not_connected += 1,
            CallResult::TimedOut => self.timed_out += 1,
        }
    }

    fn count_whole(&mut self, latency: Duration) {
        self.whole += 1;
        self.latencies.saturating_record(micros(latency));
    }

    fn count_refusal(&mut self, code: u8, not_run: bool) {
        *self.codes.entry(code).or_default() += 1;
        if not_run {
            self.not_run += 1;
        } else {
            self.unknown += 1;
        }
    }

    const fn failures(&self, condition: FailureCondition) -> u64 {
        match condition {
            FailureCondition::Cut => self.cut + self.wrong,
            FailureCondition::Unknown => self.unknown + self.timed_out,
            FailureCondition::Refused => self.not_run + self.error_status + self.not_connected,
        }
    }
}

impl LoadReport {
    /// Counts a call that ended.
    pub fn count(&mut self, kind: RequestKind, record: &CallRecord) {
        self.kinds.entry(kind).or_default().count(record);
        self.latest_start_micros = self.latest_start_micros.max(micros(record.late));
        match &record.result {
            CallResult::Wrong { detail } | CallResult::Cut { detail } => {
                self.keep_example(format!("{}: {detail}", kind.name()));
            }
            _ => {}
        }
    }

    /// Returns the counts of all kinds together.
    pub fn total(&self) -> CallReport {
        let mut total = CallReport::default();
        self.kinds.values().for_each(|kind| total.merge(kind));
        total
    }

    /// Returns how many calls meet a condition of failure.
    pub fn failures(&self, condition: FailureCondition) -> u64 {
        self.kinds
            .values()
            .map(|kind| kind.failures(condition))
            .sum()
    }

    fn keep_example(&mut self, example: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example);
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, report) in &self.kinds {
            writeln!(formatter, "{:<10} {report}", kind.name())?;
        }
        for example in &self.examples {
            writeln!(formatter, "example: {example}")?;
        }
        Ok(())
    }
}

impl fmt::Display for CallReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "calls {} whole {} not-run {} unknown {} cut {} wrong {} error {} unconnected {} timeout {} extra {}",
            self.calls,
            self.whole,
            self.not_run,
            self.unknown,
            self.cut,
            self.wrong,
            self.error_status,
            self.not_connected,
            self.timed_out,
            self.extra_attempts,
        )?;
        for (code, count) in &self.codes {
            write!(formatter, " code-{code} {count}")?;
        }
        for (code, count) in &self.repeated_codes {
            write!(formatter, " repeated-{code} {count}")?;
        }
        write!(
            formatter,
            " latency p50 {:?} p99 {:?} max {:?}",
            self.latency(0.5),
            self.latency(0.99),
            self.latency(1.0),
        )
    }
}

#[derive(Serialize)]
struct LatencySummary {
    p50: u64,
    p90: u64,
    p99: u64,
    p999: u64,
    max: u64,
}

fn serialize_latencies<S: serde::Serializer>(
    latencies: &Histogram<u64>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let summary = LatencySummary {
        p50: latencies.value_at_quantile(0.5),
        p90: latencies.value_at_quantile(0.9),
        p99: latencies.value_at_quantile(0.99),
        p999: latencies.value_at_quantile(0.999),
        max: latencies.max(),
    };
    summary.serialize(serializer)
}

fn add_counts(counts: &mut BTreeMap<u8, u64>, others: &BTreeMap<u8, u64>) {
    for (code, count) in others {
        *counts.entry(*code).or_default() += count;
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
