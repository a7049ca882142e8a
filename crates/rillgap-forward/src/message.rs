//! Messages between nodes.
//!
//! Fields and variants are encoded by position: their order, types and number are the wire format.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

use bitcode::{Decode, Encode};
use rillgap_core::admission::Level;
use rillgap_core::code::ResultCode;
use rillgap_core::fingerprint::fingerprint;
use rillgap_core::id::Fingerprint;

use crate::back_end_notice::RequestRate;
use crate::configuration::Configuration;
use crate::crash::ContentEvidence;
use crate::freshness::QueryNumber;
use crate::id::Sequence;
use crate::rate_limit::lease::{Vote, VoteRequest};
use crate::store_epoch::StoreEpoch;
use crate::watch_relay::ContactReport;

/// Lowest priority; larger numbers are treated like it. 0 is the highest priority.
const LOWEST_PRIORITY: u8 = 7;
/// Tiers of admission levels for each priority. For a tenant with its own priority, the upper tier
/// holds requests on routes of a higher priority than the tenant's, the lower tier those on routes
/// of a lower one.
const TIERS_PER_PRIORITY: u8 = 3;
/// Number of positions within a rank of a queue. Fewer than levels, so that requests of earlier
/// roots are not overtaken indefinitely.
pub const POSITIONS_PER_RANK: u8 = 8;
/// Tier of the requests that are shed last.
const HIGHEST_TIER: u8 = (LOWEST_PRIORITY + 1) * TIERS_PER_PRIORITY - 1;
/// Number of tiers of admission levels.
pub const TIER_COUNT: usize = HIGHEST_TIER as usize + 1;

/// Returns the admission level of a caller's request on a route of this priority.
pub fn level_of(priority: u8, request_id: &str) -> Level {
    level_for_tenant(priority, priority, request_id)
}

/// Returns the admission level of a request of a tenant that has its own priority, which takes
/// precedence over that of the route.
pub fn level_for_tenant(tenant_priority: u8, route_priority: u8, request_id: &str) -> Level {
    let priority = tenant_priority.min(LOWEST_PRIORITY);
    let tier_offset = match route_priority.cmp(&tenant_priority) {
        Ordering::Less => 0,
        Ordering::Equal => 1,
        Ordering::Greater => 2,
    };
    let tier = HIGHEST_TIER - priority * TIERS_PER_PRIORITY - tier_offset;
    Level::in_tier(tier, request_id.as_bytes())
}

/// Returns the priority of the requests with an admission level.
pub const fn priority_of(level: Level) -> u8 {
    HIGHEST_TIER.saturating_sub(level.tier()) / TIERS_PER_PRIORITY
}

/// Returns the tier of the requests with a rank in a queue.
pub const fn tier_of(rank: u8) -> u8 {
    HIGHEST_TIER.saturating_sub(rank / 2)
}

/// Name, address and service of a node, as stored and sent to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeRecord {
    /// Name, unique in the deployment.
    pub name: String,
    /// Address that the node listens on for links.
    pub address: SocketAddr,
    /// Failure zone.
    pub zone: String,
    /// Service of the back end beside the node.
    pub service: String,
}

/// What the node beside a back end knows of the rate limit that the back end states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum RateLimitReport {
    /// The node has had no answer of this incarnation yet.
    #[default]
    Unknown,
    /// The back end states no limit.
    Unlimited,
    /// The back end states this limit.
    Limited(RequestRate),
}

/// Rate limit of a back end that the sender of a request remembers and the node beside the back end
/// does not: that node has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RememberedRateLimit {
    /// Incarnation of the back end.
    pub instance: Fingerprint,
    /// Rate limit.
    pub rate: RequestRate,
}

/// Load of a back end, as measured by the node beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Load {
    /// Maximum number of requests that run at the same time.
    pub limit: u32,
    /// Number of requests that run.
    pub running: u32,
    /// Number of queued requests, by tier; saturates at [`u16::MAX`].
    pub queued: [u16; TIER_COUNT],
    /// Mean time that a request takes, in microseconds.
    pub mean_micros: u32,
    /// Admission level below which the node sheds requests; zero while it sheds none.
    pub level: Level,
    /// Fraction of recent requests that the back end itself has failed, in thousandths.
    pub failing_permille: u32,
    /// Rate limit that the back end states in its answers.
    pub rate_limit: RateLimitReport,
}

impl Load {
    /// Returns the number of queued requests in all tiers.
    pub fn total_queued(&self) -> u32 {
        self.queued.iter().map(|queued| u32::from(*queued)).sum()
    }

    /// Returns the number of requests that run or would be started before a new one of this level.
    pub fn ahead_of(&self, level: Level) -> u32 {
        let tier = usize::from(level.tier().min(HIGHEST_TIER));
        let queued: u32 = self.queued[tier..].iter().copied().map(u32::from).sum();
        self.running + queued
    }
}

/// Status of a node and of the back end beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Status {
    /// Service that the back end runs.
    pub service: String,
    /// Current incarnation of the back end; `None` if it is unknown.
    pub instance: Option<Fingerprint>,
    /// Whether the back end accepts new requests.
    pub is_serving: bool,
    /// Whether this incarnation has announced that it leaves service, or has left.
    pub has_left: bool,
    /// Whether the node is in a planned stop.
    pub is_stopping: bool,
    /// Load of the back end.
    pub load: Load,
    /// Whether the node watches the store and its watch was answered recently.
    pub is_watching: bool,
    /// Whether the node offers to own buckets of tenants' tokens.
    pub can_own_buckets: bool,
}

/// First message in both directions of a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// Version of the protocol between nodes.
    pub protocol: u32,
    /// Record of the sender.
    pub node: NodeRecord,
    /// Incarnation of the sender: differs between its runs.
    pub incarnation: u64,
    /// Status of the sender and its back end.
    pub status: Status,
    /// Version of the sender's configuration; 0 for none.
    pub configuration_version: u64,
    /// Last known epoch of the store at the sender; `None` if it has recorded none.
    pub store_epoch: Option<StoreEpoch>,
}

/// A request as it is forwarded to the back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardedRequest {
    /// The caller's identifier of the request.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Request target.
    pub target: String,
    /// End-to-end header fields, encoded.
    pub fields: Vec<u8>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Service of the back end beside the node at which the request entered.
    pub caller_service: String,
    /// Service that is to run the request.
    pub service: String,
    /// Name of the route.
    pub route: String,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Tenant that the caller's key belongs to; `None` if the request has no key.
    pub tenant: Option<String>,
    /// Admission level of the root of the chain.
    pub level: Level,
    /// Whether a back end made the request while it works on another one (a call).
    pub is_call: bool,
    /// Whether the request, or an ancestor in its chain, was sent to a back end before.
    pub is_retry: bool,
    /// Time left until the deadline of the request, in microseconds.
    pub remaining_micros: u64,
    /// Maximum time that the request may wait in a queue, in microseconds.
    pub queue_limit_micros: u64,
    /// Time within which the answer must be whole once it has begun, in microseconds.
    pub answer_grace_micros: u64,
    /// Rate limit of the back end that the node beside it may have forgotten.
    pub remembered_rate_limit: Option<RememberedRateLimit>,
}

impl ForwardedRequest {
    /// Returns the fingerprint of what the request asks for, called its content.
    pub fn content(&self) -> Fingerprint {
        let tenant = self.tenant.as_deref();
        content_fingerprint(&self.route, &self.method, &self.target, tenant, &self.body)
    }

    /// Returns the position within the rank; 0 is served first.
    ///
    /// The position is derived from the admission level, which all calls of one root share. When a
    /// service sheds calls of one priority, the same chains complete; in order of arrival, every
    /// chain would lose a call now and then.
    pub fn position_in_rank(&self) -> u8 {
        let level_in_tier = self.level.0 % Level::PER_TIER;
        let group = level_in_tier * u32::from(POSITIONS_PER_RANK) / Level::PER_TIER;
        POSITIONS_PER_RANK - 1 - u8::try_from(group).unwrap_or(0)
    }

    /// Returns the rank in a queue; 0 is served first.
    ///
    /// The priority of the root applies to its whole chain. Within a priority, calls precede new
    /// requests: if a call is shed, the work already done for its chain is wasted.
    pub fn rank(&self) -> u8 {
        let class = if self.is_call { 0 } else { 1 };
        let tiers_below_highest = HIGHEST_TIER - self.level.tier().min(HIGHEST_TIER);
        tiers_below_highest * 2 + class
    }
}

/// Returns the fingerprint of what a request asks for, called its content.
///
/// The identifier and the deadline are left out because they differ between attempts, and the
/// caller's service because a request may enter at any node.
pub fn content_fingerprint(
    route: &str,
    method: &str,
    target: &str,
    tenant: Option<&str>,
    body: &[u8],
) -> Fingerprint {
    let tenant = tenant.unwrap_or_default();
    fingerprint(&[
        route.as_bytes(),
        method.as_bytes(),
        target.as_bytes(),
        tenant.as_bytes(),
        body,
    ])
}

/// A response of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end header fields, encoded.
    pub fields: Vec<u8>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl ForwardedAnswer {
    /// Returns whether the status code is a success.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }
}

/// Time that an attempt took at the node beside the back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Timing {
    /// Time in the queue, in microseconds.
    pub queued_micros: u64,
    /// Time at the back end, in microseconds; 0 if the request was not sent to it.
    pub back_end_micros: u64,
}

/// Why it is certain that a request did not run at a back end and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum NotRunProof {
    /// The node beside the back end has ended the request before it was handed to a connection.
    NotStarted,
    /// No connection to the back end could be opened, so that no byte of the request was sent.
    NotConnected,
    /// The back end has answered that it did not run the request.
    Refused,
    /// Another incarnation than the expected one has answered that the request is not for it.
    Misdirected,
}

impl NotRunProof {
    /// Returns whether the request has reached a back end, which did not run it.
    pub const fn has_reached_back_end(self) -> bool {
        matches!(self, Self::Refused | Self::Misdirected)
    }

    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotStarted => "not started",
            Self::NotConnected => "not connected",
            Self::Refused => "refused by the back end",
            Self::Misdirected => "not for this incarnation",
        }
    }
}

/// Result of a request at the node beside the back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardResult {
    /// The back end sent a complete answer.
    Answered(ForwardedAnswer),
    /// The request did not run at this node and will not.
    NotRun {
        /// Reason.
        code: ResultCode,
        /// Why this is certain.
        proof: NotRunProof,
        /// Time after which a retry may be admitted, in milliseconds.
        retry_after_millis: u32,
    },
    /// The request may have run, but no answer was received.
    Unknown {
        /// Reason.
        code: ResultCode,
    },
}

/// Admission level below which the back ends of a service shed requests.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceAdmissionLevel {
    /// Name of the service.
    pub service: String,
    /// Admission level; zero while nothing is shed.
    pub level: Level,
}

/// Response to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardResponse {
    /// Sequence number of the request on its link.
    pub sequence: Sequence,
    /// Load of the back end.
    pub load: Load,
    /// Admission levels of the services that calls made for the request went to.
    pub downstream_levels: Vec<ServiceAdmissionLevel>,
    /// Whether a call made for the request has failed.
    pub has_failed_call: bool,
    /// Time spent in the queue and at the back end.
    pub timing: Timing,
    /// Result of the request.
    pub result: ForwardResult,
}

/// A peer's answer on how fresh its configuration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessAnswer {
    /// Epoch of the store that the proof is based on.
    pub epoch: StoreEpoch,
    /// Number of the query.
    pub number: QueryNumber,
    /// Version of the peer's configuration.
    pub version: u64,
    /// Age of the proof that this version is the newest one, at the time of the answer, in
    /// microseconds.
    pub age_micros: u64,
}

/// A query for tokens of a tenant's bucket.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TokenQuery {
    /// Number of the query.
    pub number: u64,
    /// Name of the tenant.
    pub tenant: String,
    /// Number of tokens that are needed; 0 if the query only reports demand.
    pub wanted: u32,
    /// Requests that the sender has received since its last query: numbers of bins of admission
    /// levels, each with a number of requests.
    pub seen: Vec<(u8, u32)>,
}

/// Answer to a query for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TokenAnswer {
    /// Number of the query.
    pub number: u64,
    /// Name of the tenant.
    pub tenant: String,
    /// Result of the query.
    pub result: TokenResult,
}

/// Result of a query for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TokenResult {
    /// The owner grants tokens from its bucket.
    Granted {
        /// Number of tokens.
        tokens: u32,
        /// Time until more tokens are available, in milliseconds; 0 if all requested tokens were
        /// granted.
        wait_millis: u32,
        /// Admission level below which requests have no chance of a token; zero if all have.
        level: Level,
        /// Time for which the tenant has been short of tokens, in milliseconds; 0 if it is not.
        shortage_millis: u32,
    },
    /// The bucket is owned by this other node.
    OwnedBy(NodeRecord),
}

/// A message on a link.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkMessage {
    /// First message, identifies the sender.
    Hello(Hello),
    /// Run this request.
    Request {
        /// Sequence number of the request on its link.
        sequence: Sequence,
        /// The request.
        request: Arc<ForwardedRequest>,
    },
    /// The result of this request is no longer needed.
    Cancel(Sequence),
    /// The answer to a request that may be repeated has begun and is not whole although it is overdue.
    AnswerOverdue(Sequence),
    /// Response to a request.
    Response(ForwardResponse),
    /// Status of the sender, sent on changes and periodically as a heartbeat.
    Status(Status),
    /// Requests a [`Self::Pong`].
    Ping,
    /// Answer to a ping.
    Pong,
    /// The sender has this version of the configuration.
    ConfigurationOffer(u64),
    /// Requests the configuration if it is newer than this version.
    ConfigurationQuery(u64),
    /// A configuration.
    Configuration(Arc<Configuration>),
    /// Subscribes to (`true`) or cancels (`false`) reports of the receiver's last contact with the
    /// store.
    Follow(bool),
    /// The sender's last contact with the store.
    StoreContact(ContactReport),
    /// The store was restored from a backup and has reached this epoch.
    StoreEpoch(StoreEpoch),
    /// Requests the age of the proof that the receiver's configuration is the newest one.
    FreshnessQuery(QueryNumber),
    /// Answer to a freshness query.
    FreshnessAnswer(FreshnessAnswer),
    /// Requests tokens of a tenant's bucket.
    TokenQuery(TokenQuery),
    /// Answer to a token query.
    TokenAnswer(TokenAnswer),
    /// Requests a vote on the owners of buckets.
    VoteRequest(VoteRequest),
    /// Answer to a request for a vote.
    Vote(Vote),
    /// The sender's evidence on requests that are suspected of crashing back ends.
    CrashEvidence(Vec<ContentEvidence>),
}

impl LinkMessage {
    /// Returns the length of the body that the message contains, in bytes.
    pub fn body_bytes(&self) -> usize {
        match self {
            Self::Request { request, .. } => request.body.len(),
            Self::Response(ForwardResponse {
                result: ForwardResult::Answered(answer),
                ..
            }) => answer.body.len(),
            _ => 0,
        }
    }

    /// Returns the kind of the message, for metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Request { .. } => "request",
            Self::Cancel(_) => "cancel",
            Self::AnswerOverdue(_) => "answer-overdue",
            Self::Response(_) => "response",
            Self::Status(_) => "status",
            Self::Ping => "ping",
            Self::Pong => "pong",
            Self::ConfigurationOffer(_) => "configuration-offer",
            Self::ConfigurationQuery(_) => "configuration-query",
            Self::Configuration(_) => "configuration",
            Self::Follow(_) => "follow",
            Self::StoreContact(_) => "store-news",
            Self::StoreEpoch(_) => "store-epoch",
            Self::FreshnessQuery(_) => "freshness-query",
            Self::FreshnessAnswer(_) => "freshness-answer",
            Self::TokenQuery(_) => "token-query",
            Self::TokenAnswer(_) => "token-answer",
            Self::VoteRequest(_) => "vote-request",
            Self::Vote(_) => "vote",
            Self::CrashEvidence(_) => "crash-evidence",
        }
    }
}
