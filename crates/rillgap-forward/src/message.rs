//! Messages between nodes.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

use bitcode::{Decode, Encode};
use rillgap_core::admission::Level;
use rillgap_core::code::ResultCode;
use rillgap_core::fingerprint::fingerprint;
use rillgap_core::id::Fingerprint;

use crate::configuration::Configuration;
use crate::crash::ContentEvidence;
use crate::freshness::QueryNumber;
use crate::id::Sequence;
use crate::store_epoch::StoreEpoch;

/// Lowest priority that is told apart; all beyond it are treated like it. 0 is the highest.
const LOWEST_PRIORITY: u8 = 7;
/// Tiers of admission levels for each priority: where the priority is the tenant's, requests on
/// routes of a higher priority than that come first, and those on routes of a lower one last.
const TIERS_PER_PRIORITY: u8 = 3;
/// Places within a rank of a queue; not one for each level, so that roots that came first are not overtaken for ever.
const PLACES: u8 = 8;
/// Tier of the requests that are shed last.
const HIGHEST_TIER: u8 = (LOWEST_PRIORITY + 1) * TIERS_PER_PRIORITY - 1;
/// Number of tiers.
pub const TIER_COUNT: usize = HIGHEST_TIER as usize + 1;

/// Returns the admission level of a caller's request on a route of this priority.
pub fn level_of(priority: u8, request_id: &str) -> Level {
    level_for_tenant(priority, priority, request_id)
}

/// Returns the admission level of a request of a tenant that has a priority of its own, which goes
/// before that of the route.
pub fn level_for_tenant(tenant_priority: u8, route_priority: u8, request_id: &str) -> Level {
    let priority = tenant_priority.min(LOWEST_PRIORITY);
    let behind = match route_priority.cmp(&tenant_priority) {
        Ordering::Less => 0,
        Ordering::Equal => 1,
        Ordering::Greater => 2,
    };
    let tier = HIGHEST_TIER - priority * TIERS_PER_PRIORITY - behind;
    Level::in_tier(tier, request_id.as_bytes())
}

/// Returns the priority that the requests of a level have.
pub const fn priority_of(level: Level) -> u8 {
    HIGHEST_TIER.saturating_sub(level.tier()) / TIERS_PER_PRIORITY
}

/// Returns the tier of the requests that have a rank in a queue.
pub const fn tier_of(rank: u8) -> u8 {
    HIGHEST_TIER.saturating_sub(rank / 2)
}

/// A node as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeRecord {
    /// Name, unique in the deployment.
    pub name: String,
    /// Address for links.
    pub address: SocketAddr,
    /// Failure zone.
    pub zone: String,
    /// Service of the back end beside the node.
    pub service: String,
}

/// Load of a back end, as the node beside it sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Load {
    /// Requests that may run at once.
    pub limit: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait, by tier; [`u16::MAX`] stands for that many or more.
    pub queued: [u16; TIER_COUNT],
    /// Mean time that a request takes, in microseconds.
    pub mean_micros: u32,
    /// Level below which the node would shed requests; zero while it would shed none.
    pub level: Level,
    /// Share of recent requests that the back end itself has failed, in thousandths.
    pub failing_permille: u32,
}

impl Load {
    /// Returns the number of requests that wait.
    pub fn total_queued(&self) -> u32 {
        self.queued.iter().map(|queued| u32::from(*queued)).sum()
    }

    /// Returns the requests that run, or are started before a new one of this level.
    pub fn ahead_of(&self, level: Level) -> u32 {
        let tier = usize::from(level.tier().min(HIGHEST_TIER));
        let queued: u32 = self.queued[tier..].iter().copied().map(u32::from).sum();
        self.running + queued
    }
}

/// What a node says about the back end beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Status {
    /// Service that the back end runs.
    pub service: String,
    /// Whether the back end takes new requests.
    pub is_serving: bool,
    /// Whether the node is in a planned stop.
    pub is_stopping: bool,
    /// Load of the back end.
    pub load: Load,
    /// Whether the node watches the store and has lately heard of it.
    pub is_watching: bool,
    /// Whether the node would own buckets of tenants' tokens.
    pub can_own_buckets: bool,
}

/// First message in both directions of a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// Version of the protocol.
    pub protocol: u32,
    /// The sender.
    pub node: NodeRecord,
    /// Run of the sender.
    pub incarnation: u64,
    /// The sender's back end.
    pub status: Status,
    /// Version of the sender's configuration; 0 for none.
    pub configuration_version: u64,
    /// Epoch of the store, as far as the sender has heard of it.
    pub store_epoch: Option<StoreEpoch>,
}

/// A request as it goes to the back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardedRequest {
    /// The caller's identifier of the request.
    pub request_id: String,
    /// Method.
    pub method: String,
    /// Target.
    pub target: String,
    /// End-to-end fields, encoded.
    pub fields: Vec<u8>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Service beside whose back end the request began.
    pub caller_service: String,
    /// Service that is to run the request.
    pub service: String,
    /// Name of the route.
    pub route: String,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Tenant whose key the caller has shown.
    pub tenant: Option<String>,
    /// Admission level of the caller's request at the root of the chain.
    pub level: Level,
    /// Whether a back end made the request while it works on another.
    pub is_call: bool,
    /// Whether the request, or one further up its chain, was sent to a back end before.
    pub is_retry: bool,
    /// Time that is left for the request, in microseconds.
    pub remaining_micros: u64,
    /// Longest time for which the request may wait in a queue, in microseconds.
    pub queue_limit_micros: u64,
}

impl ForwardedRequest {
    /// Returns the fingerprint of what the request asks for.
    pub fn content(&self) -> Fingerprint {
        let tenant = self.tenant.as_deref();
        content_fingerprint(&self.route, &self.method, &self.target, tenant, &self.body)
    }

    /// Returns the place within the rank; 0 is served first.
    ///
    /// It follows from the level, which all calls made for one root have. Where a service sheds calls of one priority, the
    /// same chains go through whole; in the order of arrival each chain would lose a call now and then.
    pub fn position_in_rank(&self) -> u8 {
        let within = self.level.0 % Level::PER_TIER;
        let group = within * u32::from(PLACES) / Level::PER_TIER;
        PLACES - 1 - u8::try_from(group).unwrap_or(0)
    }

    /// Returns the rank in a queue; 0 is served first.
    ///
    /// The priority of the root decides for the whole chain. Within it, calls go before new
    /// requests: they decide whether work that is already done was for nothing.
    pub fn rank(&self) -> u8 {
        let last = if self.is_call { 0 } else { 1 };
        let below = HIGHEST_TIER - self.level.tier().min(HIGHEST_TIER);
        below * 2 + last
    }
}

/// Returns the fingerprint of what a request asks for.
///
/// The identifier and the deadline differ from try to try, and the machine at which a request begins, and with it
/// the caller's service, is any: they are left out.
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

/// An answer of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardedAnswer {
    /// Status code.
    pub status: u16,
    /// End-to-end fields, encoded.
    pub fields: Vec<u8>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl ForwardedAnswer {
    /// Returns whether the request was served.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }
}

/// Where the time of an attempt went at the node beside the back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Timing {
    /// Time in the queue, in microseconds.
    pub queued_micros: u64,
    /// Time at the back end, in microseconds; 0 if the request did not get there.
    pub back_end_micros: u64,
}

/// What became of a request at the node beside the back end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardResult {
    /// The back end answered whole.
    Answered(ForwardedAnswer),
    /// The request did not run there and never will.
    NotRun {
        /// Why.
        code: ResultCode,
        /// Whether it had reached the back end.
        arrived: bool,
        /// Time after which there may be room, in milliseconds.
        retry_after_millis: u32,
    },
    /// The request may have run; there is no answer.
    Unknown {
        /// Why.
        code: ResultCode,
    },
}

/// Level below which the back ends of a service would shed requests.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceAdmissionLevel {
    /// The service.
    pub service: String,
    /// The level.
    pub level: Level,
}

/// Answer to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardResponse {
    /// Number of the request on its link.
    pub sequence: Sequence,
    /// Load of the back end.
    pub load: Load,
    /// Levels of the services that calls made for the request went to.
    pub downstream_levels: Vec<ServiceAdmissionLevel>,
    /// Whether a call made for the request has failed.
    pub has_failed_call: bool,
    /// Where the time went.
    pub timing: Timing,
    /// What became of the request.
    pub result: ForwardResult,
}

/// A peer's word on how fresh its configuration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessAnswer {
    /// Epoch of the store that the proof rests on.
    pub epoch: StoreEpoch,
    /// Number of the query.
    pub number: QueryNumber,
    /// Version of the configuration that the peer has.
    pub version: u64,
    /// Age of the peer's proof that it is the newest one, when it answers, in microseconds.
    pub age_micros: u64,
}

/// A query for tokens of a tenant's bucket.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TokenQuery {
    /// Number of the query.
    pub number: u64,
    /// Tenant.
    pub tenant: String,
    /// Tokens that are wanted.
    pub wanted: u32,
}

/// Answer to a query for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TokenAnswer {
    /// Number of the query.
    pub number: u64,
    /// Tenant.
    pub tenant: String,
    /// What became of the query.
    pub result: TokenResult,
}

/// What became of a query for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TokenResult {
    /// Tokens.
    Granted {
        /// Tokens.
        tokens: u32,
        /// Time before which there are no more, in milliseconds; 0 if all were given that were wanted.
        wait_millis: u32,
    },
    /// This node owns the bucket.
    OwnedBy(NodeRecord),
}

/// A message on a link.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkMessage {
    /// Introduction.
    Hello(Hello),
    /// Run this request.
    Request {
        /// Number of the request on its link.
        sequence: Sequence,
        /// The request.
        request: Arc<ForwardedRequest>,
    },
    /// Nobody waits for this request any more.
    Cancel(Sequence),
    /// Answer to a request.
    Response(ForwardResponse),
    /// The sender's back end has changed, or a sign of life.
    Status(Status),
    /// Say that you live.
    Ping,
    /// Answer to a ping.
    Pong,
    /// The sender has this version of the configuration.
    ConfigurationOffer(u64),
    /// Send the configuration if it is newer than this version.
    ConfigurationQuery(u64),
    /// A configuration.
    Configuration(Arc<Configuration>),
    /// Tell news of the store from now on, or do not any more.
    Follow(bool),
    /// Age of the sender's news of the store in microseconds; `None` if it has no fresh ones.
    StoreContact(Option<u64>),
    /// The store has come back from a copy and has reached this epoch.
    StoreEpoch(StoreEpoch),
    /// How fresh is your configuration?
    FreshnessQuery(QueryNumber),
    /// Answer to that.
    FreshnessAnswer(FreshnessAnswer),
    /// Give tokens of a tenant's bucket.
    TokenQuery(TokenQuery),
    /// Answer to that.
    TokenAnswer(TokenAnswer),
    /// What the sender knows of requests under which back ends end.
    CrashEvidence(Vec<ContentEvidence>),
}

impl LinkMessage {
    /// Returns the kind of the message, for metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Request { .. } => "request",
            Self::Cancel(_) => "cancel",
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
            Self::CrashEvidence(_) => "crash-evidence",
        }
    }
}
