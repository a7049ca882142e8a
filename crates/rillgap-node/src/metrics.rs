//! Metrics of a node in the OpenMetrics text format.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use rillgap_core::action::Observation;

/// Lower end of the latency buckets in seconds.
const FIRST_LATENCY_BUCKET: f64 = 0.000_25;

/// Number of latency buckets, each twice as wide as the one before: up to 65 seconds.
const LATENCY_BUCKET_COUNT: u16 = 19;

/// A ring that leads away from the node duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RingName {
    /// To the caller duty.
    Answers,
    /// To the back-end duty.
    BackEnd,
    /// To the mesh duty.
    Mesh,
    /// To the platform duty.
    Store,
    /// To the operator duty.
    Operator,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RingLabels {
    ring: RingName,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: u8,
    outcome: &'static str,
}

/// Metrics of a node; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
    answers: Counter,
    latency: Histogram,
    refusals: Family<RefusalLabels, Counter>,
    retries: Counter,
    serving: Gauge,
    policy_version: Gauge<u64, AtomicU64>,
    view_version: Gauge<u64, AtomicU64>,
    full_rings: Family<RingLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("rillgap");
        let answers = Counter::default();
        registry.register("answers", "Requests answered whole", answers.clone());
        let latency = Histogram::new(exponential_buckets(
            FIRST_LATENCY_BUCKET,
            2.0,
            LATENCY_BUCKET_COUNT,
        ));
        registry.register_with_unit(
            "answer_latency",
            "Time from a request's arrival to the end of its answer",
            Unit::Seconds,
            latency.clone(),
        );
        let refusals = Family::default();
        registry.register(
            "refusals",
            "Requests refused, by result code",
            refusals.clone(),
        );
        let retries = Counter::default();
        registry.register("retries", "Extra attempts made", retries.clone());
        let serving = Gauge::default();
        registry.register(
            "serving",
            "Whether the node serves requests",
            serving.clone(),
        );
        let policy_version = Gauge::default();
        registry.register(
            "policy_version",
            "Version of the policy in force",
            policy_version.clone(),
        );
        let view_version = Gauge::default();
        registry.register(
            "view_version",
            "Version of the membership view in force",
            view_version.clone(),
        );
        let full_rings = Family::default();
        registry.register(
            "full_rings",
            "Times that the node duty found a ring full",
            full_rings.clone(),
        );
        Self {
            registry: Arc::new(registry),
            answers,
            latency,
            refusals,
            retries,
            serving,
            policy_version,
            view_version,
            full_rings,
        }
    }

    /// Takes in an observation of the node.
    pub fn observe(&self, observation: &Observation) {
        match observation {
            Observation::Answered { latency } => {
                self.answers.inc();
                self.latency.observe(latency.as_secs_f64());
            }
            Observation::Refused { refusal } => {
                let labels = RefusalLabels {
                    code: refusal.code.number(),
                    outcome: refusal.code.outcome().token(),
                };
                self.refusals.get_or_create(&labels).inc();
            }
            Observation::Retried => {
                self.retries.inc();
            }
            Observation::Serving(serving) => {
                self.serving.set(i64::from(*serving));
            }
            Observation::PolicyInForce(version) => {
                self.policy_version.set(version.0);
            }
            Observation::ViewInForce(version) => {
                self.view_version.set(version.0);
            }
        }
    }

    /// Counts that the node duty found a ring full.
    pub fn count_full_ring(&self, ring: RingName) {
        self.full_rings.get_or_create(&RingLabels { ring }).inc();
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
