//! Log records: decisions on requests and changes of a node's state.

use rillgap_core::code::ResultCode;
use rillgap_core::id::Fingerprint;

use crate::back_end_notice::RequestRate;
use crate::crash::SuspicionChange;
use crate::message::{NotRunProof, Timing};
use crate::outbound::retry_report::RetryTally;
use crate::rate_limit::lease::VoteStanding;
use crate::rate_limit::level_change::LevelChange;
use crate::retry_budget::RetryBudgetState;
use crate::store_epoch::StoreEpoch;
use crate::store_sync::StoreFailure;

/// A request that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// Incarnation of the back end that the request was sent to.
    pub instance: String,
    /// Content of the request (route, method, target, tenant, body): shows whether several crashes
    /// of back ends involve the same request.
    pub content: Fingerprint,
}

/// An attempt of a request, as the node that answers the request knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Node that the request was sent to; empty without an attempt.
    pub node: String,
    /// Sequence number of the attempt at the sending process; 0 without an attempt.
    pub sequence: u64,
    /// Why it is certain that the attempt did not run; `None` if it is not.
    pub proof: Option<NotRunProof>,
}

/// Effect of a request on the retry budget of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCharge {
    /// A retry was sent and charged.
    Retry,
    /// A call was charged because the run that it is made for is a retry.
    Call,
    /// A retry was not sent because the budget does not cover it.
    Denied,
    /// A call made for a retry was refused because the budget does not cover it.
    CallDenied,
    /// A call was charged because an earlier run of the node may have started the run that it is
    /// made for, as a retry.
    Unattributed,
}

impl RetryCharge {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::Call => "call",
            Self::Denied => "denied",
            Self::CallDenied => "call_denied",
            Self::Unattributed => "unattributed",
        }
    }
}

/// A structured log record.
#[derive(Clone, Debug, PartialEq)]
pub enum LogRecord {
    /// A caller's request was answered.
    Answered {
        /// The caller's identifier of the request.
        request_id: String,
        /// Name of the route, empty if there is none.
        route: String,
        /// HTTP status code of the answer.
        status: u16,
        /// Result code if the node itself produced the answer; `None` if a back end did.
        code: Option<ResultCode>,
        /// Number of attempts.
        attempts: u32,
        /// The last attempt.
        last_attempt: AttemptRecord,
        /// Time since the request was received, in microseconds.
        elapsed_micros: u64,
        /// Version of the configuration by which the route was chosen.
        configuration: u64,
        /// Timing of the last attempt, as reported by the node that received it.
        timing: Timing,
        /// Name of the tenant, empty if the request has no known key.
        tenant: String,
        /// Age of the proof that the configuration was the newest one, in milliseconds; `None` if
        /// there was no proof.
        proof_age_millis: Option<u64>,
    },
    /// A request was sent to another node after an attempt at a first one.
    Retried {
        /// The caller's identifier of the request.
        request_id: String,
        /// The previous attempt.
        attempt: AttemptRecord,
        /// Reason for the retry.
        code: ResultCode,
        /// Whether the retry was paid for from the retry budget.
        paid: bool,
    },
    /// The retry budget of this node was charged, or does not cover a retry.
    RetryBudget {
        /// The caller's identifier of the request.
        request_id: String,
        /// Service that the request is for.
        service: String,
        /// What happened.
        charge: RetryCharge,
        /// Budget after it.
        state: RetryBudgetState,
    },
    /// Requests and retries that this node has sent to a service since the last such record.
    ServiceRetries {
        /// Name of the service.
        service: String,
        /// Time that the record covers, in milliseconds.
        covered_millis: u64,
        /// Numbers of requests and retries.
        tally: RetryTally,
        /// Retry budget at the end of that time.
        state: RetryBudgetState,
        /// This node's part of the deployment's slack, in retries.
        slack_part: f64,
        /// Number of nodes by which the slack is divided; 0 before it is known.
        nodes: usize,
    },
    /// A request has the identifier of a call, but the request that it is made for does not run at
    /// the local back end. It is checked like a caller's request.
    UnknownParent {
        /// The identifier of the request.
        request_id: String,
    },
    /// The inbound side has ended a request without an answer.
    NotAnswered {
        /// The caller's identifier of the request.
        request_id: String,
        /// Sequence number of the attempt at the process that sent it.
        sequence: u64,
        /// Number of the exchange with the back end; 0 if the request was not handed to it.
        exchange: u64,
        /// Reason.
        code: ResultCode,
        /// Why it is certain that the request did not run; `None` if it may have run.
        proof: Option<NotRunProof>,
        /// Time since the request reached the inbound side, in microseconds.
        elapsed_micros: u64,
        /// Number of requests that run.
        running: u32,
        /// Number of queued requests.
        queued: u32,
        /// Maximum number of requests that run at the same time.
        limit: u32,
        /// The lost request, if the back end may have run it.
        lost: Option<LostRequest>,
    },
    /// An exchange with the back end has ended without an answer that is passed on, or was a retry.
    ExchangeEnded {
        /// The caller's identifier of the request.
        request_id: String,
        /// Number of the exchange.
        exchange: u64,
        /// Number of the connection to the back end; 0 if none could be opened.
        connection: u64,
        /// How it ended.
        end: &'static str,
        /// Status of the answer; 0 without one.
        status: u16,
        /// Time since the request was sent, in microseconds.
        elapsed_micros: u64,
    },
    /// The back end has sent an answer to another request than the one that waits on the connection.
    ForeignAnswer {
        /// Identifier of the request that waits.
        request_id: String,
        /// Identifier in the answer.
        answered_id: String,
        /// Number of the connection to the back end.
        connection: u64,
    },
    /// The caller of a request has disconnected.
    Cancelled {
        /// The caller's identifier of the request.
        request_id: String,
    },
    /// The health of the back end, as observed by its node, has changed.
    BackEnd {
        /// Identifier of the incarnation.
        instance: String,
        /// New health.
        health: &'static str,
        /// Cause of the change.
        cause: &'static str,
        /// Sequence number of the last heartbeat.
        sequence: u64,
    },
    /// The rate limit that the back end states in its answers has changed.
    BackEndRateLimit {
        /// Identifier of the incarnation.
        instance: String,
        /// Limit before; `None` if there was none.
        before: Option<RequestRate>,
        /// New limit; `None` if it has ended.
        rate: Option<RequestRate>,
        /// Identifier of the request whose answer states the limit, or that contains it.
        request_id: String,
        /// `answer` of the back end, or `peer` that remembers the limit.
        source: &'static str,
        /// Number of requests that run.
        running: u32,
        /// Number of queued requests.
        queued: u32,
    },
    /// The back end has become much slower than usual, or is no longer.
    BackEndSlowdown {
        /// Identifier of the incarnation.
        instance: String,
        /// Whether it is much slower than usual.
        is_slow: bool,
        /// Time that its own work takes as measured, in percent of the usual time.
        measured_percent: u32,
        /// The same as the back end states it; `None` without a recent statement.
        stated_percent: Option<u32>,
        /// The same in force.
        percent: u32,
        /// Number of requests that run.
        running: u32,
        /// Number of queued requests.
        queued: u32,
    },
    /// The back end begins or ceases to refuse a share of what it gets.
    BackEndRefusals {
        /// Service of the back end.
        service: String,
        /// Identifier of the incarnation.
        instance: String,
        /// Whether it refuses from now on.
        is_refusing: bool,
        /// Share of attempts that it refuses, in thousandths.
        refused_permille: u32,
    },
    /// The back end has ended unexpectedly.
    BackEndCrashed {
        /// Identifier of the incarnation that has ended.
        instance: String,
        /// Number of requests that were in flight.
        in_flight: usize,
        /// Number of distinct contents among them that were already suspected because of earlier
        /// crashes.
        previously_suspected: usize,
    },
    /// The suspicion against a content has changed.
    SuspicionChanged(SuspicionChange),
    /// A caller's request was rejected because its content is quarantined: back ends have crashed
    /// while such requests were in flight.
    RequestQuarantined {
        /// The caller's identifier of the request.
        request_id: String,
        /// Content of the request.
        content: Fingerprint,
    },
    /// The admission of requests that lead to a service has changed.
    Admission {
        /// Service that the requests lead to, directly or through calls made for them.
        service: String,
        /// Lowest priority of which any requests are admitted; 0 is the highest.
        priority: u8,
        /// Percentage of the requests of that priority that are admitted.
        admitted_percent: u32,
    },
    /// A peer has become reachable or unreachable.
    Peer {
        /// Name of the peer.
        peer: String,
        /// Whether the peer is reachable.
        is_up: bool,
        /// Cause of the change.
        cause: &'static str,
    },
    /// A configuration was put in force.
    Configuration {
        /// Version of the configuration.
        version: u64,
        /// Number of routes.
        routes: usize,
        /// Number of tenants.
        tenants: usize,
        /// Where it was received from: `store` or `peer`.
        source: &'static str,
    },
    /// A peer is known to have a newer configuration.
    NewerConfiguration {
        /// Version of the newer configuration.
        version: u64,
        /// Version in force at this node.
        own_version: u64,
        /// Name of the first peer that reported it; empty if its link has ended.
        peer: String,
    },
    /// A peer is queried for a newer configuration.
    ConfigurationQuery {
        /// Version that is expected.
        version: u64,
        /// Version in force at this node.
        own_version: u64,
        /// Name of the peer; empty if its link has ended.
        peer: String,
    },
    /// The store has become available or unavailable.
    Store {
        /// The call that failed, and the failure; `None` if the store is available again.
        failure: Option<(&'static str, StoreFailure)>,
    },
    /// The list of nodes in the store contains entries that cannot be read as records of nodes.
    UnreadableRecords {
        /// Number of these entries.
        unreadable: usize,
    },
    /// The store was restored from a backup.
    StoreRestored {
        /// Last epoch known before.
        before: StoreEpoch,
        /// Epoch that the store has reached.
        epoch: StoreEpoch,
        /// Version of the configuration in force here, which the store may have lost.
        configuration: u64,
        /// Peer that reported the epoch; `None` if it came from the store itself.
        peer: Option<String>,
    },
    /// The node has started or stopped watching the store.
    Watch {
        /// Whether the node watches the store.
        is_watching: bool,
        /// Number of followed peers with a recent contact with the store.
        fresh: usize,
        /// Approximate number of nodes that precede this one in the order of watchers.
        preceding: u64,
    },
    /// Requests with keys are served again, or rejected because the configuration is not known to
    /// be the newest one.
    Freshness {
        /// Whether requests with keys are served.
        is_proven: bool,
        /// Age of the proof in milliseconds; `None` if there is no proof.
        proof_age_millis: Option<u64>,
    },
    /// The node has begun to give out the tokens of a tenant, or has ceased to.
    BucketLease {
        /// Name of the tenant.
        tenant: String,
        /// Whether it has begun.
        is_held: bool,
        /// Votes in force, and nodes that vote.
        standing: VoteStanding,
        /// Number of nodes that precede this one and are lost to it.
        lost: usize,
    },
    /// The node has begun or ceased to offer to own buckets of tenants' tokens.
    BucketOffer {
        /// Whether the node offers to own buckets.
        offers: bool,
        /// Number of known peers.
        peers: usize,
    },
    /// The shortage of tokens of a tenant whose bucket this node owns has begun, moved to another
    /// tier of requests, or ended.
    TenantLimit(LevelChange),
    /// The node refuses callers because it holds as many bytes for others as it may, or accepts them
    /// again.
    BufferShortage {
        /// Whether callers are refused.
        is_short: bool,
        /// Number of bytes that are held.
        held: usize,
        /// Maximum number of bytes.
        limit: usize,
    },
    /// The lifecycle state of the node has changed.
    Lifecycle {
        /// `stopping`, `ending connections` or `exiting`.
        state: &'static str,
        /// Number of requests in flight.
        in_flight: usize,
    },
}
