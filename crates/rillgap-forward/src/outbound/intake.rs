//! Checks of a request before its first attempt.

use std::sync::Arc;
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::code::ResultCode;
use rillgap_core::id::Fingerprint;
use rillgap_core::time::Instant;

use super::request::Request;
use super::tenancy::{self, Refusal};
use super::{
    NO_BACK_END_RETRY_AFTER_MILLIS, NO_ROOM_RETRY_AFTER_MILLIS, Origin, Outbound, OutboundContext,
    THROTTLED_RETRY_AFTER_MILLIS,
};
use crate::action::Action;
use crate::answer_pace;
use crate::configuration::{Route, RouteTable, Tenant};
use crate::crash::Suspicion;
use crate::event::CallerRequest;
use crate::log_record::{LogRecord, RetryCharge};
use crate::message::{ForwardedRequest, content_fingerprint, level_for_tenant};

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
        let (level, is_retry) = match origin {
            Origin::Caller => (caller_level(&caller, &route, tenant.as_deref()), false),
            Origin::EndedRetry | Origin::Unattributed => {
                (caller_level(&caller, &route, tenant.as_deref()), true)
            }
            Origin::BackEnd { level, is_retry } => (level, is_retry),
        };
        if !is_retry {
            self.budget.count_request(now, &service);
            self.retry_reports.count_request(now, &service);
        }
        let content = tracked_fingerprint(&caller, &route, tenant.as_deref(), context);
        let quarantined = content.filter(|content| is_quarantined(now, *content, context));
        if let Some(content) = quarantined {
            let retry_after = context
                .inbound
                .crashes()
                .quarantine_remaining_millis(now, content);
            let refusal = Refusal::after(ResultCode::Quarantined, retry_after);
            context.out.push(Action::Log(LogRecord::RequestQuarantined {
                request_id: caller.request_id.clone(),
                content,
            }));
            return Err((Box::new(caller), refusal));
        }
        let is_call = origin.is_call();
        if !is_call && !self.admission.admits(now, &route.name, &service, level) {
            let refusal = Refusal::after(ResultCode::Overloaded, THROTTLED_RETRY_AFTER_MILLIS);
            return Err((Box::new(caller), refusal));
        }
        if origin == Origin::Unattributed {
            self.budget.charge_unattributed(now, &service);
            let id = &caller.request_id;
            self.log_retry_charge(now, id, &service, RetryCharge::Unattributed, context);
        } else if is_retry && !self.charge_call(now, &caller, &service, context) {
            let refusal = Refusal::after(ResultCode::RetryNotCovered, THROTTLED_RETRY_AFTER_MILLIS);
            return Err((Box::new(caller), refusal));
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
            answer_grace_micros: micros(answer_pace::grace(route.target_latency())),
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
        Ok(request)
    }
}

/// Resolves the configuration entries for a request and authenticates its tenant.
fn resolve<'a>(
    caller: &CallerRequest,
    origin: Origin,
    context: &OutboundContext<'a>,
) -> Result<Resolved<'a>, Refusal> {
    let is_refused = context.refuses_callers && !origin.is_call();
    if context.is_exiting || is_refused {
        return Err(Refusal::new(ResultCode::NodeStopping));
    }
    // A call is a part of a request that has been accepted.
    if context.is_short_of_buffers && !origin.is_call() {
        return Err(Refusal::after(
            ResultCode::BuffersFull,
            NO_ROOM_RETRY_AFTER_MILLIS,
        ));
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

/// Returns the fingerprint of a request's content (route, method, target, tenant and body), or
/// `None` while no content is recurrent or quarantined, so that none needs to be computed.
fn tracked_fingerprint(
    caller: &CallerRequest,
    route: &Route,
    tenant: Option<&Tenant>,
    context: &OutboundContext<'_>,
) -> Option<Fingerprint> {
    if !context.inbound.crashes().has_recurrent() {
        return None;
    }
    let tenant = tenant.map(|tenant| tenant.name.as_str());
    let CallerRequest {
        method,
        target,
        body,
        ..
    } = caller;
    Some(content_fingerprint(
        &route.name,
        method,
        target,
        tenant,
        body,
    ))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn is_quarantined(now: Instant, content: Fingerprint, context: &OutboundContext<'_>) -> bool {
    context.inbound.crashes().suspicion(now, content) == Suspicion::Quarantined
}

/// Returns the admission level of a caller's request: by the priority of its tenant, if that has
/// one, else by the priority of the route.
fn caller_level(caller: &CallerRequest, route: &Route, tenant: Option<&Tenant>) -> Level {
    let priority = tenant
        .and_then(|tenant| tenant.priority)
        .unwrap_or(route.priority);
    level_for_tenant(priority, route.priority, &caller.request_id)
}
