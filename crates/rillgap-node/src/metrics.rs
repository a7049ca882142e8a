//! Collects the metrics of a node and encodes them in the OpenMetrics text format.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use rillgap_core::action::Observation;

/// Upper bound of the first latency bucket, in seconds.
const FIRST_LATENCY_BUCKET: f64 = 0.000_25;

/// Number of latency buckets; each bound is twice the previous one, up to 65 seconds.
const LATENCY_BUCKET_COUNT: u16 = 19;

/// Label value for a ring from the node duty to another duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RingName {
    /// Ring of answers, to the caller duty.
    Answers,
    /// Ring of commands to the back-end duty.
    BackEnd,
    /// Ring of messages, to the mesh duty.
    Mesh,
    /// Ring of store commands, to the platform duty.
    Store,
    /// Ring of replies, to the operator duty.
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

/// Metrics of a node; clones share the same counters.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
    answers: Counter,
    latency: Histogram,
    refusals: Family<RefusalLabels, Counter>,
    retries: Counter,
    delayed_claims: Counter,
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
        let delayed_claims = Counter::default();
        registry.register(
            "delayed_claims",
            "Claims granted after a wait for replicas to vote again",
            delayed_claims.clone(),
        );
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
            delayed_claims,
            serving,
            policy_version,
            view_version,
            full_rings,
        }
    }

    /// Records an observation of the node.
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
            Observation::ClaimDelayed(_) => {
                self.delayed_claims.inc();
            }
            Observation::Serving(serving) => {
                self.serving.set(i64::from(*serving));
            }
            Observation::PolicyInForce(version) => {
                self.policy_version.set(version.0);
            }
            Observation::ViewInForce(transition) => {
                self.view_version.set(transition.to.0);
            }
            Observation::ViewWrite(_)
            | Observation::RemovalRequested(_)
            | Observation::RemovalIgnored(_)
            | Observation::LeavesPermitted { .. }
            | Observation::Leaving
            | Observation::LeaveDeferred { .. }
            | Observation::BackEndDown { .. }
            | Observation::LeaveAnnounced { .. }
            | Observation::ClaimRefused(_)
            | Observation::Shed(_)
            | Observation::LevelChanged(_)
            | Observation::KeyUnchecked { .. } => {}
        }
    }

    /// Increments the counter of full rings for `ring`.
    pub fn count_full_ring(&self, ring: RingName) {
        self.full_rings.get_or_create(&RingLabels { ring }).inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
