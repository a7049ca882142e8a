//! Tenants of requests, and the tokens that a tenant's rate limit requires.

use std::sync::Arc;
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::request::RequestKey;
use super::{Origin, Outbound, OutboundContext};
use crate::configuration::{Route, RouteTable, Tenant};
use crate::credential::Credential;
use crate::event::CallerRequest;
use crate::rate_limit::bucket::Grant;
use crate::rate_limit::entry::{Admission, TokenDemand};
use crate::retry_after::spread_retry_after;

/// `Retry-After` while the configuration is not known to be recent, in milliseconds; long enough
/// for several attempts to prove it.
const UNPROVEN_RETRY_AFTER_MILLIS: u32 = 500;
/// `Retry-After` while the owner of a tenant's bucket does not answer, in milliseconds; its
/// successor takes over within that time.
const NO_OWNER_RETRY_AFTER_MILLIS: u32 = 500;
/// Minimum and maximum `Retry-After` of a tenant at its limit, in milliseconds.
const LIMIT_RETRY_AFTER_RANGE_MILLIS: (u32, u32) = (200, 2_000);

/// Refusal of a request before its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub code: ResultCode,
    /// `Retry-After`, in milliseconds; 0 for the default.
    pub retry_after_millis: u32,
}

impl Refusal {
    /// Creates a refusal with the default `Retry-After`.
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_millis: 0,
        }
    }

    pub const fn after(code: ResultCode, retry_after_millis: u32) -> Self {
        Self {
            code,
            retry_after_millis,
        }
    }
}

/// Returns the tenant of a request; `None` if the request is accepted without one.
pub(super) fn authenticate<'a>(
    table: &'a RouteTable,
    route: &Route,
    caller: &CallerRequest,
    origin: Origin,
    is_configuration_fresh: bool,
) -> Result<Option<&'a Arc<Tenant>>, Refusal> {
    // A call belongs to the request that it is made for, whose key has been checked.
    if !table.has_tenants() || origin.is_call() {
        return Ok(None);
    }
    let tenant = match caller.credential {
        Credential::Key(key) => table.tenant_of_key(&key),
        Credential::Absent | Credential::Malformed => None,
    };
    if route.is_public {
        return Ok(tenant.filter(|_| is_configuration_fresh));
    }
    match (caller.credential, tenant) {
        // The identifier is that of a call, and the request that it is made for has just ended.
        (Credential::Absent, _) if caller.parent_id.is_some() => {
            Err(Refusal::new(ResultCode::ParentEnded))
        }
        (Credential::Absent | Credential::Malformed, _) => {
            Err(Refusal::new(ResultCode::Unauthenticated))
        }
        // A configuration that may be outdated neither accepts nor rejects a key.
        (Credential::Key(_), _) if !is_configuration_fresh => Err(Refusal::after(
            ResultCode::ConfigurationUnproven,
            UNPROVEN_RETRY_AFTER_MILLIS,
        )),
        (Credential::Key(_), Some(tenant)) => Ok(Some(tenant)),
        (Credential::Key(_), None) => Err(Refusal::new(ResultCode::Unauthenticated)),
    }
}

impl Outbound {
    /// Returns the token queries that are due to be sent to the owners of buckets.
    pub fn token_queries_due(&mut self, now: Instant) -> Vec<TokenDemand> {
        self.tokens.queries_due(now)
    }

    /// Returns the number of requests that were refused by the level of their tenant.
    pub const fn refused_by_tenant_level(&self) -> u64 {
        self.tokens.refused_by_level()
    }

    /// Sends a request to a node if it needs no token or gets one, leaves it waiting for a token,
    /// or refuses it.
    pub(super) fn dispatch_with_token(
        &mut self,
        now: Instant,
        key: RequestKey,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let level = request.forwarded.level;
        let tenant = request.limited_tenant.as_deref();
        let admission = tenant.map_or(Admission::Granted, |tenant| {
            self.tokens.admit(now, tenant, level, key)
        });
        match admission {
            Admission::Granted => self.dispatch(now, key, context),
            Admission::Waiting => {}
            Admission::Refused { shortage } => {
                self.refuse_at_limit(now, key, shortage, context);
            }
        }
    }

    /// Handles the answer of a bucket's owner: sends waiting requests that get one of its tokens,
    /// and refuses those for which there is none.
    pub fn on_tokens(
        &mut self,
        now: Instant,
        tenant: &str,
        number: u64,
        grant: Grant,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(released) = self.tokens.on_grant(now, tenant, number, grant) else {
            return;
        };
        for key in released.granted {
            if self.requests.contains_key(&key) {
                self.dispatch(now, key, context);
            } else {
                self.tokens.return_token(now, tenant);
            }
        }
        for key in released.refused {
            self.refuse_at_limit(now, key, released.shortage, context);
        }
    }

    /// Refuses all requests that wait for tokens of a tenant whose bucket has no owner.
    pub fn on_no_owner(&mut self, now: Instant, tenant: &str, context: &mut OutboundContext<'_>) {
        for key in self.tokens.release_all(tenant) {
            self.refuse_without_owner(now, key, context);
        }
    }

    /// Refuses requests that have waited too long for a token.
    pub(super) fn refuse_unanswered_token_waits(
        &mut self,
        now: Instant,
        context: &mut OutboundContext<'_>,
    ) {
        for key in self.tokens.take_overdue(now) {
            self.refuse_without_owner(now, key, context);
        }
    }

    fn refuse_without_owner(
        &mut self,
        now: Instant,
        key: RequestKey,
        context: &mut OutboundContext<'_>,
    ) {
        let refusal = Refusal::after(ResultCode::LimitUnknown, NO_OWNER_RETRY_AFTER_MILLIS);
        self.refuse_without_token(now, key, refusal, context);
    }

    fn refuse_at_limit(
        &mut self,
        now: Instant,
        key: RequestKey,
        shortage: Duration,
        context: &mut OutboundContext<'_>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let request_id = &request.forwarded.request_id;
        let retry_after_millis =
            spread_retry_after(shortage, LIMIT_RETRY_AFTER_RANGE_MILLIS, request_id);
        let refusal = Refusal::after(ResultCode::LimitReached, retry_after_millis);
        self.refuse_without_token(now, key, refusal, context);
    }

    /// Refuses a request that holds no token, so that none is returned to the tenant for it.
    fn refuse_without_token(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: Refusal,
        context: &mut OutboundContext<'_>,
    ) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.limited_tenant = None;
        }
        self.answer_with_code(now, key, refusal.code, refusal.retry_after_millis, context);
    }
}
