//! State of one request at the node that received it.

use std::sync::Arc;
use std::time::Duration;

use rillgap_core::time::Instant;

use super::queue_limit;
use crate::configuration::Route;
use crate::id::{ConnectionId, LinkId, PipelineIndex, Sequence};
use crate::log_record::AttemptRecord;
use crate::message::{
    ForwardedAnswer, ForwardedRequest, NotRunProof, RememberedRateLimit, ServiceAdmissionLevel,
    Timing,
};

/// Identifies a request by its connection and its position in the connection's pipeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestKey {
    pub connection: ConnectionId,
    pub pipeline_index: PipelineIndex,
}

impl RequestKey {
    /// Returns the lowest key of a connection.
    pub const fn first(connection: ConnectionId) -> Self {
        Self {
            connection,
            pipeline_index: PipelineIndex(0),
        }
    }

    /// Returns the highest key of a connection.
    pub const fn last(connection: ConnectionId) -> Self {
        Self {
            connection,
            pipeline_index: PipelineIndex(u64::MAX),
        }
    }
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    link: LinkId,
    sequence: Sequence,
    /// Whether its answer has begun and is overdue.
    is_overdue: bool,
}

/// State of a request that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub arrived: Instant,
    pub deadline: Instant,
    pub route: Arc<Route>,
    /// Whether the request is a call that the local back end makes for another request.
    pub is_call: bool,
    /// Identifier of the request that a call is made for.
    pub parent_id: Option<String>,
    /// Version of the configuration by which the request was routed.
    pub configuration: u64,
    pub forwarded: Arc<ForwardedRequest>,
    /// Tenant whose rate limit the request counts towards; `None` if it needs no token.
    pub limited_tenant: Option<String>,
    /// Names of the nodes that the request was sent to, in order.
    tried_nodes: Vec<String>,
    /// Names of the nodes that the request must not be sent to again.
    excluded_nodes: Vec<String>,
    /// Names of the nodes whose back ends have refused the request themselves.
    refusing_nodes: Vec<String>,
    /// Number of back ends that the request may have reached.
    pub possible_arrivals: u32,
    /// Number of these back ends that have refused to run the request.
    pub refusals: u32,
    /// Number of attempts after the first.
    pub retries: u32,
    /// Whether a back end may have worked on the request.
    pub may_have_run: bool,
    /// Longest `Retry-After` among the refusals so far, in milliseconds; `None` without a refusal.
    pub retry_after_millis: Option<u32>,
    /// Time in the queue and at the back end of the last attempt.
    pub timing: Timing,
    /// Whether the last attempt failed because a call made for it has failed.
    pub has_failed_call: bool,
    /// Levels of the services that the last answer involved; empty unless the request is a call.
    pub involved: Vec<ServiceAdmissionLevel>,
    /// Failure that a back end answered, kept while another back end is tried.
    pub failed_answer: Option<ForwardedAnswer>,
    current: Option<Attempt>,
    /// Earlier attempt whose answer has begun and is overdue. It goes on beside the current one, and the first
    /// whole answer counts.
    overdue: Option<Attempt>,
    /// Sequence number of the last attempt; 0 before the first one.
    last_sequence: u64,
    /// Why it is certain that the last attempt did not run; `None` if it is not.
    last_proof: Option<NotRunProof>,
}

impl Request {
    pub fn new(
        arrived: Instant,
        deadline: Instant,
        route: Arc<Route>,
        parent_id: Option<String>,
        configuration: u64,
        forwarded: Arc<ForwardedRequest>,
    ) -> Self {
        Self {
            arrived,
            deadline,
            route,
            is_call: parent_id.is_some(),
            parent_id,
            configuration,
            forwarded,
            limited_tenant: None,
            tried_nodes: Vec::new(),
            excluded_nodes: Vec::new(),
            refusing_nodes: Vec::new(),
            possible_arrivals: 0,
            refusals: 0,
            retries: 0,
            may_have_run: false,
            retry_after_millis: None,
            timing: Timing::default(),
            has_failed_call: false,
            involved: Vec::new(),
            failed_answer: None,
            current: None,
            overdue: None,
            last_sequence: 0,
            last_proof: None,
        }
    }

    /// Begins an attempt at a node and returns the request as it is to be sent. A retry may wait for
    /// `max_retry_wait` in a queue at most.
    pub fn begin_attempt(
        &mut self,
        now: Instant,
        link: LinkId,
        node: &str,
        sequence: Sequence,
        remembered_rate_limit: Option<RememberedRateLimit>,
        max_retry_wait: Duration,
    ) -> Arc<ForwardedRequest> {
        let remaining = self.deadline.saturating_since(now);
        let elapsed = now.saturating_since(self.arrived);
        let limit = queue_limit(&self.route, self.is_call, elapsed);
        self.tried_nodes.push(node.to_owned());
        self.excluded_nodes.push(node.to_owned());
        self.possible_arrivals += 1;
        self.current = Some(Attempt {
            link,
            sequence,
            is_overdue: false,
        });
        self.last_sequence = sequence.0;
        self.last_proof = None;
        let forwarded = Arc::make_mut(&mut self.forwarded);
        forwarded.is_retry |= self.possible_arrivals > 1;
        let limit = if forwarded.is_retry {
            limit.min(max_retry_wait)
        } else {
            limit
        };
        forwarded.remaining_micros = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
        forwarded.queue_limit_micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        forwarded.remembered_rate_limit = remembered_rate_limit;
        self.forwarded.clone()
    }

    /// Ends the attempt with this sequence number. Returns its link; `None` if it is not in flight.
    pub fn end_attempt(&mut self, sequence: Sequence) -> Option<LinkId> {
        let is_ended = |attempt: &mut Attempt| attempt.sequence == sequence;
        let ended = self.current.take_if(is_ended);
        let ended = ended.or_else(|| self.overdue.take_if(is_ended));
        ended.map(|attempt| attempt.link)
    }

    /// Records that the answer to an attempt has begun and is overdue. Returns whether this is the current
    /// attempt, another one may be made beside it, and none is.
    pub fn mark_overdue(&mut self, sequence: Sequence) -> bool {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|attempt| attempt.sequence == sequence) else {
            return false;
        };
        current.is_overdue = true;
        self.overdue.is_none() && self.route.is_idempotent()
    }

    /// Returns whether the answer to an attempt in flight has begun and is overdue.
    pub fn is_overdue(&self, sequence: Sequence) -> bool {
        let mut attempts = self.current.iter().chain(&self.overdue);
        attempts.any(|attempt| attempt.sequence == sequence && attempt.is_overdue)
    }

    /// Keeps the current attempt beside the next one.
    pub fn keep_overdue_attempt(&mut self) {
        self.overdue = self.current.take();
        self.may_have_run = true;
    }

    /// Makes the overdue attempt the current one again if there is no other.
    pub fn resume_overdue_attempt(&mut self) {
        if self.current.is_none() {
            self.current = self.overdue.take();
        }
    }

    /// Records that the last attempt did not run.
    pub fn record_not_run(&mut self, proof: NotRunProof, retry_after_millis: u32) {
        self.last_proof = Some(proof);
        if proof.has_reached_back_end() {
            self.refusals += 1;
        } else {
            self.possible_arrivals = self.possible_arrivals.saturating_sub(1);
        }
        let longest = self.retry_after_millis.unwrap_or(0).max(retry_after_millis);
        self.retry_after_millis = Some(longest);
    }

    /// Returns the number of back ends that may have run the request.
    pub const fn possible_runs(&self) -> u32 {
        self.possible_arrivals - self.refusals
    }

    /// Returns whether an attempt is in flight.
    pub const fn is_in_flight(&self) -> bool {
        self.current.is_some() || self.overdue.is_some()
    }

    /// Returns the sequence numbers of the attempts in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = Sequence> + use<> {
        let attempts = self.current.into_iter().chain(self.overdue);
        attempts.map(|attempt| attempt.sequence)
    }

    /// Returns the sequence numbers of the attempts in flight on a link.
    pub fn in_flight_on(&self, link: LinkId) -> impl Iterator<Item = Sequence> + use<> {
        let attempts = self.current.into_iter().chain(self.overdue);
        let on_link = attempts.filter(move |attempt| attempt.link == link);
        on_link.map(|attempt| attempt.sequence)
    }

    /// Records that the back end beside the last node has refused the request itself.
    pub fn record_refusing_node(&mut self) {
        self.refusing_nodes.extend(self.tried_nodes.last().cloned());
    }

    /// Allows attempts at the nodes whose back ends have refused the request themselves.
    pub fn readmit_refusing_nodes(&mut self) {
        let refusing = std::mem::take(&mut self.refusing_nodes);
        self.excluded_nodes
            .retain(|excluded| !refusing.contains(excluded));
    }

    /// Returns whether the request must not be sent to a node, since it was sent there before.
    pub fn is_excluded(&self, node: &str) -> bool {
        self.excluded_nodes.iter().any(|excluded| excluded == node)
    }

    /// Returns the last attempt for the log.
    pub fn last_attempt(&self) -> AttemptRecord {
        AttemptRecord {
            node: self.tried_nodes.last().cloned().unwrap_or_default(),
            sequence: self.last_sequence,
            proof: self.last_proof,
        }
    }

    pub fn attempts(&self) -> u32 {
        u32::try_from(self.tried_nodes.len()).unwrap_or(u32::MAX)
    }
}
