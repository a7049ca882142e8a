//! Metrics of a sidecar node in the OpenMetrics text format.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use rillgap_forward::inbound::percent;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::NotRunProof;
use rillgap_forward::store_sync::StoreReply;

/// Upper bound of the first latency bucket, in seconds.
const FIRST_LATENCY_BOUND: f64 = 0.001;
/// Number of latency buckets; each bound is twice the one before.
const LATENCY_BUCKETS: u16 = 14;

/// Upper bound of the first bucket of the forwarding latency, in seconds.
const FIRST_FORWARDING_BOUND: f64 = 0.000_25;
/// Number of buckets of the forwarding latency; each bound is twice the one before.
const FORWARDING_BUCKETS: u16 = 12;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    status: u16,
    code: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProofLabels {
    proof: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabels {
    code: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SlowdownLabels {
    /// `measured`, `stated` or `in_force`.
    source: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    /// `yes` if the retry was charged to the retry budget, otherwise `no`.
    paid: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryBudgetLabels {
    service: String,
    /// Name of the [`RetryCharge`](rillgap_forward::log_record::RetryCharge).
    charge: &'static str,
}

/// Maximum number of tenants with a label of their own, which bounds the number of time series. All
/// further tenants share one label.
const MAX_TENANT_LABELS: usize = 200;
/// Label shared by all tenants beyond [`MAX_TENANT_LABELS`]. A tenant of this name cannot be told
/// apart from them.
const OTHER_TENANTS_LABEL: &str = "other";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
    outcome: &'static str,
}

/// Metrics of a sidecar node; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Answered requests, by status and result code.
    answers: Family<AnswerLabels, Counter>,
    /// Time from the arrival of a request to its answer.
    latency: Histogram,
    /// Time that nodes and links add to a request (metric `forwarding_latency`).
    forwarding: Histogram,
    /// Requests that ended at the node of the back end without an answer (metric
    /// `back_end_failures`).
    failures: Family<CodeLabels, Counter>,
    /// Requests sent to another node (metric `moves`).
    retries: Family<RetryLabels, Counter>,
    /// Charges to the retry budget and retries that it does not cover, by service.
    retry_budget: Family<RetryBudgetLabels, Counter>,
    /// Requests that have the identifier of a call whose request does not run here.
    unknown_parents: Counter,
    tenants: Family<TenantLabels, Counter>,
    tenant_names: Arc<Mutex<BTreeSet<String>>>,
    store_calls: Family<StoreLabels, Counter>,
    link_messages: Family<MessageLabels, Counter>,
    link_bytes: Family<MessageLabels, Counter>,
    /// Requests reported to their senders as not run (metric `not_run`).
    not_run: Family<ProofLabels, Counter>,
    /// Exchanges with the back end that ended without an answer to pass on, and retries.
    exchange_ends: Family<EndLabels, Counter>,
    /// Answers of the back end to another request than the one that waited on the connection.
    foreign_answers: Counter,
    back_end_crashes: Counter,
    unreadable_records: Counter,
    /// Requests sent to the back end, health probes excluded.
    pub back_end_requests: Counter,
    /// Rate limit that the back end states, in requests per second; -1 without a limit.
    pub back_end_rate_limit: Gauge<f64, AtomicU64>,
    /// Time that the back end's own work takes now, in percent of the usual time, by source: -1
    /// without a recent statement.
    back_end_slowdown: Family<SlowdownLabels, Gauge>,
    /// Queued requests that were given back because the back end had become slow.
    pub queue_given_back: Counter,
    /// Share of attempts that the back end itself refuses, in thousandths.
    pub back_end_refused_permille: Gauge<u64, AtomicU64>,
    /// Connections that were opened to the back end.
    pub back_end_connections: Counter,
    /// Calls to the control address that were refused because they are malformed.
    pub refused_control_calls: Counter,
    /// Log lines that were dropped because the queue of the log was full.
    pub log_lines_dropped: Counter,
    /// Version of the configuration in force.
    pub configuration_version: Gauge<u64, AtomicU64>,
    /// Highest epoch of the store that the node has received; 0 if the store has sent none
    /// or is in its first epoch.
    pub store_epoch: Gauge<u64, AtomicU64>,
    /// Age of the proof that the configuration in force is the newest, in seconds; -1 without a
    /// proof.
    pub proof_age: Gauge<f64, AtomicU64>,
    /// Requests that run at the back end.
    pub running: Gauge<u64, AtomicU64>,
    /// Requests that wait for the back end.
    pub queued: Gauge<u64, AtomicU64>,
    /// Requests that may run at the back end at once.
    pub limit: Gauge<u64, AtomicU64>,
    /// Distinct requests (by content) that are refused because back ends crashed while running
    /// them.
    pub quarantined: Gauge<u64, AtomicU64>,
    /// Tenants that are short of tokens and whose bucket this node owns.
    pub tenants_short: Gauge<u64, AtomicU64>,
    /// Requests that were refused by the level of their tenant.
    pub tenant_level_refusals: Counter,
    /// Peers with an open link.
    pub peers: Gauge<u64, AtomicU64>,
    /// Bytes of answers that callers have not read and their connections have not accepted.
    pub unsent_answer_bytes: Gauge<u64, AtomicU64>,
    /// Bytes that the node holds for callers, back ends and peers.
    pub buffered_bytes: Gauge<u64, AtomicU64>,
    /// 1 if the node accepts new callers, otherwise 0.
    pub ready: Gauge<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let buckets = exponential_buckets(FIRST_LATENCY_BOUND, 2.0, LATENCY_BUCKETS);
        let forwarding_buckets =
            exponential_buckets(FIRST_FORWARDING_BOUND, 2.0, FORWARDING_BUCKETS);
        let mut metrics = Self {
            registry: Arc::default(),
            answers: Family::default(),
            latency: Histogram::new(buckets),
            forwarding: Histogram::new(forwarding_buckets),
            failures: Family::default(),
            retries: Family::default(),
            retry_budget: Family::default(),
            unknown_parents: Counter::default(),
            tenants: Family::default(),
            tenant_names: Arc::default(),
            store_calls: Family::default(),
            link_messages: Family::default(),
            link_bytes: Family::default(),
            not_run: Family::default(),
            exchange_ends: Family::default(),
            foreign_answers: Counter::default(),
            back_end_crashes: Counter::default(),
            unreadable_records: Counter::default(),
            refused_control_calls: Counter::default(),
            back_end_requests: Counter::default(),
            back_end_rate_limit: Gauge::default(),
            back_end_slowdown: Family::default(),
            queue_given_back: Counter::default(),
            back_end_refused_permille: Gauge::default(),
            back_end_connections: Counter::default(),
            log_lines_dropped: Counter::default(),
            configuration_version: Gauge::default(),
            store_epoch: Gauge::default(),
            proof_age: Gauge::default(),
            running: Gauge::default(),
            queued: Gauge::default(),
            limit: Gauge::default(),
            quarantined: Gauge::default(),
            tenants_short: Gauge::default(),
            tenant_level_refusals: Counter::default(),
            peers: Gauge::default(),
            unsent_answer_bytes: Gauge::default(),
            buffered_bytes: Gauge::default(),
            ready: Gauge::default(),
        };
        metrics.registry = Arc::new(metrics.build_registry());
        metrics
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Updates the metrics from a log record.
    pub fn observe(&self, record: &LogRecord) {
        match record {
            LogRecord::Answered {
                status,
                code,
                elapsed_micros,
                attempts,
                timing,
                tenant,
                ..
            } => {
                self.count_tenant(tenant, *status);
                // Without a code of the node, the answer is that of a back end.
                let code = code.map_or(0, |code| code.number());
                let status = *status;
                self.answers
                    .get_or_create(&AnswerLabels { status, code })
                    .inc();
                self.latency.observe(*elapsed_micros as f64 / 1e6);
                // The timing covers one attempt only; its time at the back end is 0 if no back end
                // ran the request.
                if *attempts == 1 && timing.back_end_micros > 0 {
                    let outside_forwarding = timing.queued_micros + timing.back_end_micros;
                    let added = elapsed_micros.saturating_sub(outside_forwarding);
                    self.forwarding.observe(added as f64 / 1e6);
                }
            }
            LogRecord::Retried { paid, .. } => {
                let paid = if *paid { "yes" } else { "no" };
                self.retries.get_or_create(&RetryLabels { paid }).inc();
            }
            LogRecord::RetryBudget {
                service, charge, ..
            } => {
                let labels = RetryBudgetLabels {
                    service: service.clone(),
                    charge: charge.name(),
                };
                self.retry_budget.get_or_create(&labels).inc();
            }
            LogRecord::UnknownParent { .. } => {
                self.unknown_parents.inc();
            }
            LogRecord::NotAnswered { code, proof, .. } => {
                let code = code.number();
                self.failures.get_or_create(&CodeLabels { code }).inc();
                if let Some(proof) = proof.map(NotRunProof::name) {
                    self.not_run.get_or_create(&ProofLabels { proof }).inc();
                }
            }
            LogRecord::ExchangeEnded { end, .. } => {
                self.exchange_ends.get_or_create(&EndLabels { end }).inc();
            }
            LogRecord::ForeignAnswer { .. } => {
                self.foreign_answers.inc();
            }
            LogRecord::BackEndCrashed { .. } => {
                self.back_end_crashes.inc();
            }
            LogRecord::UnreadableRecords { unreadable } => {
                self.unreadable_records.inc_by(*unreadable as u64);
            }
            _ => {}
        }
    }

    fn count_tenant(&self, tenant: &str, status: u16) {
        if tenant.is_empty() {
            return;
        }
        let outcome = match status {
            200..=299 => "served",
            429 => "limited",
            503 => "refused",
            _ => "failed",
        };
        let tenant = self.tenant_label(tenant);
        self.tenants
            .get_or_create(&TenantLabels { tenant, outcome })
            .inc();
    }

    /// Returns the label of a tenant: its name, or [`OTHER_TENANTS_LABEL`] if
    /// [`MAX_TENANT_LABELS`] others have their own.
    fn tenant_label(&self, tenant: &str) -> String {
        let mut names = self
            .tenant_names
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if names.contains(tenant) {
            return tenant.to_owned();
        }
        if names.len() >= MAX_TENANT_LABELS {
            return OTHER_TENANTS_LABEL.to_owned();
        }
        names.insert(tenant.to_owned());
        tenant.to_owned()
    }

    /// Counts a message that is sent on a link, and its bytes.
    pub fn count_message(&self, kind: &'static str, bytes: usize) {
        let labels = MessageLabels { kind };
        self.link_messages.get_or_create(&labels).inc();
        self.link_bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: &'static str, reply: &StoreReply) {
        let outcome = match reply {
            StoreReply::Failed(_) => "failed",
            _ => "answered",
        };
        self.store_calls
            .get_or_create(&StoreLabels { call, outcome })
            .inc();
    }

    /// Sets the slowdown of the back end from a source; `None` if there is none.
    pub fn set_slowdown(&self, source: &'static str, slowdown: Option<f64>) {
        let value = slowdown.map_or(-1, |slowdown| i64::from(percent(slowdown)));
        self.back_end_slowdown
            .get_or_create(&SlowdownLabels { source })
            .set(value);
    }

    fn build_registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("rillgap");
        registry.register(
            "answers",
            "Requests answered, by status and result code",
            self.answers.clone(),
        );
        registry.register_with_unit(
            "answer_latency",
            "Time from a request's arrival to its answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register_with_unit(
            "forwarding_latency",
            "Time that nodes and links add to a request of one attempt, without queue and back end",
            Unit::Seconds,
            self.forwarding.clone(),
        );
        registry.register(
            "back_end_failures",
            "Requests that ended at the node of the back end without an answer, by result code",
            self.failures.clone(),
        );
        registry.register(
            "moves",
            "Requests sent to another node, by whether the retry was charged to the retry budget",
            self.retries.clone(),
        );
        registry.register(
            "retry_budget",
            "Retries and calls made for retried requests that were charged to the retry budget, and \
             retries that it did not cover, by service",
            self.retry_budget.clone(),
        );
        registry.register(
            "not_run",
            "Requests reported to their senders as not run, by proof",
            self.not_run.clone(),
        );
        registry.register(
            "exchange_ends",
            "Exchanges with the back end without an answer to pass on, and retries, by their end",
            self.exchange_ends.clone(),
        );
        registry.register(
            "foreign_answers",
            "Answers of the back end to another request than the one that waited on the connection",
            self.foreign_answers.clone(),
        );
        registry.register(
            "unknown_parents",
            "Requests with the identifier of a call whose request does not run here",
            self.unknown_parents.clone(),
        );
        registry.register(
            "tenant_answers",
            "Requests of tenants, by outcome",
            self.tenants.clone(),
        );
        registry.register(
            "tenant_level_refusals",
            "Requests of tenants at their limit that were refused by the tenant's level",
            self.tenant_level_refusals.clone(),
        );
        registry.register(
            "link_messages",
            "Messages sent on links, by kind",
            self.link_messages.clone(),
        );
        registry.register(
            "link_sent_bytes",
            "Bytes of the messages sent on links, by kind",
            self.link_bytes.clone(),
        );
        registry.register(
            "store_epoch",
            "Epoch of the store, which rises when it is restored from a backup; 0 if it has sent \
             none or is in its first one",
            self.store_epoch.clone(),
        );
        registry.register(
            "unreadable_records",
            "Unreadable node records in lists of the store; an entry counts again in every list",
            self.unreadable_records.clone(),
        );
        registry.register(
            "refused_control_calls",
            "Calls to the control address that were refused because they are malformed",
            self.refused_control_calls.clone(),
        );
        registry.register_with_unit(
            "configuration_proof_age",
            "Age of the proof that the configuration in force is the newest; -1 without a proof",
            Unit::Seconds,
            self.proof_age.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store, by call and outcome",
            self.store_calls.clone(),
        );
        registry.register(
            "back_end_crashes",
            "Crashes of the back end while requests were in flight",
            self.back_end_crashes.clone(),
        );
        registry.register(
            "back_end_requests",
            "Requests sent to the back end, health probes excluded",
            self.back_end_requests.clone(),
        );
        registry.register(
            "back_end_rate_limit",
            "Requests per second that the back end states it accepts; -1 without a limit",
            self.back_end_rate_limit.clone(),
        );
        registry.register(
            "back_end_slowdown_percent",
            "Time that the back end's own work takes, in percent of the usual time; -1 if not stated",
            self.back_end_slowdown.clone(),
        );
        registry.register(
            "queue_given_back",
            "Queued requests given back because the back end had become slow",
            self.queue_given_back.clone(),
        );
        registry.register(
            "back_end_connections",
            "Connections opened to the back end",
            self.back_end_connections.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because the queue of the log was full",
            self.log_lines_dropped.clone(),
        );
        let gauges = [
            (
                "back_end_refused_permille",
                "Share of attempts that the back end itself refuses, in thousandths",
                &self.back_end_refused_permille,
            ),
            (
                "configuration_version",
                "Version of the configuration in force",
                &self.configuration_version,
            ),
            (
                "running",
                "Requests that run at the back end",
                &self.running,
            ),
            (
                "queued",
                "Requests that wait for the back end",
                &self.queued,
            ),
            (
                "limit",
                "Requests that may run at the back end at once",
                &self.limit,
            ),
            (
                "quarantined",
                "Distinct requests (by content) that are refused because back ends \
                 crashed while running them",
                &self.quarantined,
            ),
            (
                "tenants_short",
                "Tenants at their limit whose bucket this node owns",
                &self.tenants_short,
            ),
            ("peers", "Peers with an open link", &self.peers),
            (
                "unsent_answer_bytes",
                "Bytes of answers that callers have not read and their connections have not accepted",
                &self.unsent_answer_bytes,
            ),
            (
                "buffered_bytes",
                "Bytes that the node holds for callers, back ends and peers",
                &self.buffered_bytes,
            ),
            (
                "ready",
                "1 if the node accepts new callers, otherwise 0",
                &self.ready,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry
    }
}
