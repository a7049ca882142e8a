//! Tenants of requests, and the tokens that a tenant's rate limit requires.

use std::sync::Arc;

use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;

use super::request::RequestKey;
use super::returns::CallerReturn;
use super::{Origin, Outbound, OutboundContext};
use crate::configuration::{Route, RouteTable, Tenant};
use crate::credential::Credential;
use crate::event::CallerRequest;
use crate::rate_limit::entry::{Admission, TokenDemand};

/// `Retry-After` while the configuration is not known to be recent, in milliseconds; long enough
/// for several attempts to prove it.
const UNPROVEN_RETRY_AFTER_MILLIS: u32 = 500;
/// `Retry-After` while the owner of a tenant's bucket does not answer, in milliseconds; its
/// successor takes over within that time.
const NO_OWNER_RETRY_AFTER_MILLIS: u32 = 500;

/// Refusal of a request before its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub code: ResultCode,
    /// `Retry-After`, in milliseconds; 0 for the default.
    pub retry_after_millis: u32,
    /// Whether the request is the return of a caller that was refused before.
    pub caller_return: CallerReturn,
}

impl Refusal {
    /// Creates a refusal with the default `Retry-After`.
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_millis: 0,
            caller_return: CallerReturn::None,
        }
    }

    pub const fn after(code: ResultCode, retry_after_millis: u32) -> Self {
        Self {
            code,
            retry_after_millis,
            caller_return: CallerReturn::None,
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
    if !table.has_tenants() || origin != Origin::Caller {
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
        let tenant = request.limited_tenant.clone();
        let admission = tenant.map_or(Admission::Granted, |tenant| {
            self.tokens.admit(now, &tenant, key)
        });
        match admission {
            Admission::Granted => self.dispatch(now, key, context),
            Admission::Waiting => {}
            Admission::Refused { retry_after_millis } => {
                self.refuse_at_limit(now, key, retry_after_millis, context);
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
        tokens: u32,
        wait_millis: u32,
        context: &mut OutboundContext<'_>,
    ) {
        let released = self
            .tokens
            .on_grant(now, tenant, number, tokens, wait_millis);
        let Some(released) = released else {
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
            self.refuse_at_limit(now, key, released.retry_after_millis, context);
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
        retry_after_millis: u32,
        context: &mut OutboundContext<'_>,
    ) {
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
