//! Checks of a request before its first attempt.

use std::sync::Arc;

use rillgap_core::admission::Level;
use rillgap_core::code::ResultCode;
use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;

use super::request::Request;
use super::returns::{CallerReturn, Returned, kind_of};
use super::tenancy::{self, Refusal};
use super::{
    NO_BACK_END_RETRY_AFTER_MILLIS, OVERLOADED_RETRY_AFTER_RANGE_MILLIS, Origin, Outbound,
    OutboundContext, answer,
};
use crate::action::Action;
use crate::configuration::{Route, RouteTable, Tenant};
use crate::crash::Suspicion;
use crate::event::CallerRequest;
use crate::log_record::LogRecord;
use crate::message::{ForwardedRequest, content_fingerprint, level_for_tenant, level_of_return};
use crate::retry_after::spread_retry_after;

/// Fraction of the route's target latency after which a refused caller is asked back at the latest.
const MAX_TOLD_FRACTION: f64 = 0.4;
/// Fraction of the route's target latency from the first refusal of a caller within which a return
/// precedes newcomers. The rest is needed for the answer.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Configuration entries that apply to a request.
struct Resolved<'a> {
    table: &'a RouteTable,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
}

impl Outbound {
    /// Checks a request, resolves its tenant, route and service, and builds its state.
    pub(super) fn prepare(
        &mut self,
        now: Instant,
        caller: CallerRequest,
        origin: Origin,
        context: &mut OutboundContext<'_>,
    ) -> Result<Request, (Box<CallerRequest>, Refusal)> {
        let resolved = match resolve(&caller, origin, context) {
            Ok(resolved) => resolved,
            Err(refusal) => return Err((Box::new(caller), refusal)),
        };
        let Resolved {
            table,
            route,
            tenant,
        } = resolved;
        let service = self.weights.choose(&route).to_owned();
        self.budget.count_request(now, &service);
        let is_call = origin != Origin::Caller;
        let may_be_return = !is_call && self.refusals.remembers_any(now);
        let is_tracked = may_be_return || context.inbound.crashes().has_recurrent();
        let content = is_tracked.then(|| fingerprint(&caller, &route, tenant.as_deref()));
        if let Some(refusal) = quarantine(now, &caller.request_id, content, context) {
            return Err((Box::new(caller), refusal));
        }
        let known = content.filter(|_| may_be_return);
        let returned = known.and_then(|content| self.refusals.take(now, content));
        let (level, is_retry) = match origin {
            Origin::Caller => {
                let level = caller_level(&caller, &route, tenant.as_deref());
                (self.level_after_return(now, level, returned, &route), false)
            }
            Origin::BackEnd { level, is_retry } => (level, is_retry),
        };
        if !is_call && !self.admission.admits(now, &route.name, &service, level) {
            let content =
                content.unwrap_or_else(|| fingerprint(&caller, &route, tenant.as_deref()));
            let refusal = self.refuse_overloaded(now, &caller, &route, &service, content, returned);
            return Err((Box::new(caller), refusal));
        }
        if !is_call {
            self.return_share.record_admitted(level.tier());
        }
        if is_retry {
            self.budget.spend(now, &service);
        }
        let timeout = caller
            .deadline
            .map_or(route.timeout(), |deadline| deadline.min(route.timeout()));
        let parent_id = caller.parent_id.filter(|_| is_call);
        let forwarded = ForwardedRequest {
            request_id: caller.request_id,
            method: caller.method,
            target: caller.target,
            fields: caller.fields,
            body: caller.body,
            caller_service: self.own_service.clone(),
            service,
            route: route.name.clone(),
            is_idempotent: route.is_idempotent(),
            tenant: tenant.as_ref().map(|tenant| tenant.name.clone()),
            level,
            is_call,
            is_retry,
            remaining_micros: 0,
            queue_limit_micros: 0,
            remembered_rate_limit: None,
        };
        let mut request = Request::new(
            now,
            now + timeout,
            route,
            parent_id,
            table.version(),
            Arc::new(forwarded),
        );
        let limited = tenant.filter(|tenant| tenant.limit.is_some());
        request.limited_tenant = limited.map(|tenant| tenant.name.clone());
        request.caller_deadline = caller.deadline.map(|deadline| now + deadline);
        request.returned = returned;
        Ok(request)
    }

    /// Returns the level of a caller's request, given its return after a refusal.
    fn level_after_return(
        &mut self,
        now: Instant,
        level: Level,
        returned: Option<Returned>,
        route: &Route,
    ) -> Level {
        if may_precede(now, returned, route) && self.return_share.try_spend(level.tier()) {
            level_of_return(level)
        } else {
            level
        }
    }

    /// Returns the refusal of a request that admission control does not admit, and remembers it.
    fn refuse_overloaded(
        &mut self,
        now: Instant,
        caller: &CallerRequest,
        route: &Route,
        service: &str,
        content: Fingerprint,
        returned: Option<Returned>,
    ) -> Refusal {
        let shortage = self.admission.shortage(now, &route.name, service);
        let range = retry_after_range(route);
        let retry_after = spread_retry_after(shortage, range, &caller.request_id);
        let told_millis = answer::bounded_retry_after(retry_after, caller.deadline);
        self.remember_refusal(now, content, told_millis, returned);
        Refusal {
            caller_return: kind_of(returned),
            ..Refusal::after(ResultCode::Overloaded, told_millis)
        }
    }
}

/// Returns whether a request is a return as told that can still be answered within the target
/// latency of its route. Later, its answer is worth less than that of the newcomer in whose place it
/// would be served.
fn may_precede(now: Instant, returned: Option<Returned>, route: &Route) -> bool {
    let max_wait = route.target_latency().mul_f64(MAX_WAIT_FRACTION);
    returned.is_some_and(|returned| {
        returned.kind == CallerReturn::AsTold
            && now.saturating_since(returned.first_refused) <= max_wait
    })
}

/// Returns the bounds of the `Retry-After` of a request that admission control refuses, in
/// milliseconds: the caller should come back while the answer still has its full value.
fn retry_after_range(route: &Route) -> (u32, u32) {
    let (min, max) = OVERLOADED_RETRY_AFTER_RANGE_MILLIS;
    let in_time = route.target_latency().mul_f64(MAX_TOLD_FRACTION);
    let in_time = u32::try_from(in_time.as_millis()).unwrap_or(max);
    (min, in_time.clamp(min, max))
}

/// Resolves the configuration entries for a request and authenticates its tenant.
fn resolve<'a>(
    caller: &CallerRequest,
    origin: Origin,
    context: &OutboundContext<'a>,
) -> Result<Resolved<'a>, Refusal> {
    let is_refused = context.refuses_callers && origin == Origin::Caller;
    if context.is_exiting || is_refused {
        return Err(Refusal::new(ResultCode::NodeStopping));
    }
    let Some(table) = context.table else {
        return Err(Refusal::after(
            ResultCode::NotReady,
            NO_BACK_END_RETRY_AFTER_MILLIS,
        ));
    };
    let Some(route) = table.lookup(&caller.host, &caller.target) else {
        return Err(Refusal::new(ResultCode::UnknownRoute));
    };
    if caller.request_id.is_empty() {
        return Err(Refusal::new(ResultCode::MalformedRequest));
    }
    let tenant =
        tenancy::authenticate(table, route, caller, origin, context.is_configuration_fresh)?;
    Ok(Resolved {
        table,
        route: route.clone(),
        tenant: tenant.cloned(),
    })
}

/// Returns the fingerprint of a request's content: route, method, target, tenant and body.
fn fingerprint(caller: &CallerRequest, route: &Route, tenant: Option<&Tenant>) -> Fingerprint {
    let tenant = tenant.map(|tenant| tenant.name.as_str());
    let CallerRequest {
        method,
        target,
        body,
        ..
    } = caller;
    content_fingerprint(&route.name, method, target, tenant, body)
}

/// Returns the refusal of a request whose content is quarantined, and logs it.
fn quarantine(
    now: Instant,
    request_id: &str,
    content: Option<Fingerprint>,
    context: &mut OutboundContext<'_>,
) -> Option<Refusal> {
    let content = content?;
    let crashes = context.inbound.crashes();
    if crashes.suspicion(now, content) != Suspicion::Quarantined {
        return None;
    }
    let retry_after = crashes.quarantine_remaining_millis(now, content);
    context.out.push(Action::Log(LogRecord::RequestQuarantined {
        request_id: request_id.to_owned(),
        content,
    }));
    Some(Refusal::after(ResultCode::Quarantined, retry_after))
}

/// Returns the admission level of a caller's request: by the priority of its tenant, if that has
/// one, else by the priority of the route.
fn caller_level(caller: &CallerRequest, route: &Route, tenant: Option<&Tenant>) -> Level {
    let priority = tenant
        .and_then(|tenant| tenant.priority)
        .unwrap_or(route.priority);
    level_for_tenant(priority, route.priority, &caller.request_id)
}
