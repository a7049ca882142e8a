//! Records for the log: each decision on a request, each change of what a node believes.

use rillgap_core::code::ResultCode;
use rillgap_core::id::Fingerprint;

use crate::crash::SuspicionChange;
use crate::message::Timing;
use crate::store_epoch::StoreEpoch;
use crate::store_sync::StoreFailure;

/// Work that has ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// Incarnation of the back end that had the request.
    pub instance: String,
    /// What the request asks for: tells whether requests that are lost together with back ends are the same.
    pub content: Fingerprint,
}

/// A record for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRecord {
    /// A request was answered.
    Answered {
        /// The caller's identifier.
        request_id: String,
        /// Route, empty if there is none.
        route: String,
        /// Status that the caller got.
        status: u16,
        /// Code of an answer of the node's own.
        code: Option<ResultCode>,
        /// Node that was asked last, empty if none was.
        peer: String,
        /// Nodes that were asked.
        attempts: u32,
        /// Time since the request arrived, in microseconds.
        elapsed_micros: u64,
        /// Version of the configuration that chose the route.
        configuration: u64,
        /// Where the time of the last attempt went, as far as the node that was asked has told.
        timing: Timing,
        /// Tenant, empty if the request has shown no known key.
        tenant: String,
        /// Age of the proof that the configuration was the newest one, in milliseconds, if there is one.
        proof_age_millis: Option<u64>,
    },
    /// A request was sent to another node after a first one.
    Retried {
        /// The caller's identifier.
        request_id: String,
        /// Node that was asked before.
        from: String,
        /// Why.
        code: ResultCode,
        /// Whether the move was paid from the retry budget.
        paid: bool,
    },
    /// The inbound side did not get an answer for a request.
    NotAnswered {
        /// The caller's identifier.
        request_id: String,
        /// Why.
        code: ResultCode,
        /// Time since the request arrived at this side, in microseconds.
        elapsed_micros: u64,
        /// Requests that run.
        running: u32,
        /// Requests that wait.
        queued: u32,
        /// Requests that may run at once.
        limit: u32,
        /// What was lost, if the back end may have worked on the request.
        lost: Option<LostRequest>,
    },
    /// The caller of a request has gone.
    Cancelled {
        /// The caller's identifier.
        request_id: String,
    },
    /// What the node believes of its back end has changed.
    BackEnd {
        /// Incarnation.
        instance: String,
        /// New standing.
        health: &'static str,
        /// What changed it.
        cause: &'static str,
        /// Number of the last heartbeat.
        sequence: u64,
    },
    /// The back end has ended unexpectedly.
    BackEndCrashed {
        /// Incarnation that has ended.
        instance: String,
        /// Requests that were under way.
        in_flight: usize,
        /// Contents among them that other back ends have ended under before.
        previously_suspected: usize,
    },
    /// The standing of requests that back ends end under has changed.
    SuspicionChanged(SuspicionChange),
    /// A caller's request was refused because back ends have ended under requests like it.
    RequestQuarantined {
        /// The caller's identifier.
        request_id: String,
        /// What it asks for.
        content: Fingerprint,
    },
    /// What is let in for the sake of a service has moved.
    Admission {
        /// Service that requests lead to, themselves or by the calls made for them.
        service: String,
        /// Lowest priority of which anything is let in; 0 is the highest.
        priority: u8,
        /// Share of that priority that is let in, in percent.
        admitted_percent: u32,
    },
    /// A peer can be reached, or not any more.
    Peer {
        /// Name of the peer.
        peer: String,
        /// Whether it can be reached.
        is_up: bool,
        /// What changed it.
        cause: &'static str,
    },
    /// A configuration is in force.
    Configuration {
        /// Version.
        version: u64,
        /// Routes.
        routes: usize,
        /// Tenants.
        tenants: usize,
        /// `store` or `peer`.
        source: &'static str,
    },
    /// A newer configuration is known to exist at a peer.
    NewerConfiguration {
        /// Its version.
        version: u64,
        /// Version in force.
        own_version: u64,
        /// The peer that was first to tell; empty if its link is not known any more.
        peer: String,
    },
    /// A peer is asked for a newer configuration.
    ConfigurationQuery {
        /// Version that is expected.
        version: u64,
        /// Version in force.
        own_version: u64,
        /// The peer; empty if its link is not known any more.
        peer: String,
    },
    /// The store answers, or not any more.
    Store {
        /// The call that failed and why; `None` if the store answers again.
        failure: Option<(&'static str, StoreFailure)>,
    },
    /// The store holds entries in place of nodes' records that are none.
    UnreadableRecords {
        /// How many.
        unreadable: usize,
    },
    /// The store has come back from a copy.
    StoreRestored {
        /// Epoch that was known before.
        before: StoreEpoch,
        /// Epoch that it has reached.
        epoch: StoreEpoch,
        /// Version of the configuration in force here, which the store may have lost.
        configuration: u64,
        /// Peer that has told of it; `None` if the store itself has.
        peer: Option<String>,
    },
    /// The node begins to watch the store for itself and others, or ends it.
    Watch {
        /// Whether it watches.
        is_watching: bool,
        /// Followed peers that have fresh news of the store.
        fresh: usize,
        /// Nodes that precede this one in the order of watchers, about.
        preceding: u64,
    },
    /// Requests with keys are served, or refused because the configuration is not known to be the
    /// newest one.
    Freshness {
        /// Whether they are served.
        is_proven: bool,
        /// Age of the proof in milliseconds, if there is one.
        proof_age_millis: Option<u64>,
    },
    /// The node offers to own buckets of tenants' tokens, or does not any more.
    BucketOffer {
        /// Whether it offers.
        offers: bool,
        /// Known peers.
        peers: usize,
    },
    /// A tenant's bucket does not hold all tokens that were wanted.
    TenantLimit {
        /// Tenant.
        tenant: String,
        /// Tokens that were given.
        granted: u32,
        /// Time before which there are no more, in milliseconds.
        wait_millis: u32,
    },
    /// The node's own state.
    Lifecycle {
        /// `started`, `stopping`, `exiting`.
        state: &'static str,
        /// Requests in flight.
        in_flight: usize,
    },
}
