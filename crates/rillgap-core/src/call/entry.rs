//! Validates requests of callers and of the local back end.

use std::time::Duration;

use crate::action::{Action, Observation};
use crate::admission::{EntryAdmission, RootRequest, RouteId};
use crate::call::attempt_runner::{AttemptRunner, Parent};
use crate::call::outgoing::{OutgoingCall, ParentLink};
use crate::call::ports::Ports;
use crate::call::retry_pool::RetryPool;
use crate::call::sender::{Intake, Sender};
use crate::code::ResultCode;
use crate::event::InboundId;
use crate::fingerprint::fingerprint;
use crate::id::{CallToken, Fingerprint, RootId};
use crate::message::KeyedAttempt;
use crate::policy::{Bounds, IndexedPolicy, RoutePolicy};
use crate::request::{InboundRequest, Origin, Refusal, RetryAfter};
use crate::time::Now;

/// Validates a request and starts its first attempt, or refuses it.
pub fn accept(
    now: Now,
    inbound: InboundId,
    request: InboundRequest,
    sender: &mut Sender,
    runner: &mut AttemptRunner,
    ports: &mut Ports<'_, '_>,
) {
    let admitted = match request.origin {
        Origin::Caller => admit_root(now, inbound, request, sender, ports),
        Origin::LocalBackEnd { token } => {
            admit_child(now, inbound, request, token, sender, runner, ports)
        }
    };
    match admitted {
        Ok(call) => sender.begin(now, call, runner, ports),
        Err(refusal) => refuse(inbound, refusal, ports),
    }
}

/// Refuses an inbound request and reports the refusal for logs and metrics.
pub fn refuse(inbound: InboundId, refusal: Refusal, ports: &mut Ports<'_, '_>) {
    ports.emit(Action::Refuse { inbound, refusal });
    ports.emit(Action::Observe(Observation::Refused { refusal }));
}

fn admit_root(
    now: Now,
    inbound: InboundId,
    request: InboundRequest,
    sender: &mut Sender,
    ports: &mut Ports<'_, '_>,
) -> Result<OutgoingCall, Refusal> {
    let policy = ready_policy(now, inbound, sender, &request, ports)?;
    let route = find_route(&policy, &request)?.clone();
    let keyed = required_key(&route, &request)?;
    let root = RootId(sender.draw_identifier());
    if keyed.is_none() {
        let request = RootRequest {
            service: &request.service,
            route: RouteId::of(&route),
            class: route.class,
            root,
        };
        admit_load(now, &mut sender.entry_admission, request, ports)?;
    }
    let call = new_call(now, inbound, request, &route, sender, ports);
    sender.open_pool(call.id, RetryPool::new(policy.bounds.extra_attempts));
    Ok(OutgoingCall {
        root,
        keyed,
        ..call
    })
}

/// Decides whether the load of the services that a root request involves admits it, and records
/// why not.
///
/// # Errors
///
/// Returns the refusal if one of them would shed the request.
pub fn admit_load(
    now: Now,
    admission: &mut EntryAdmission,
    request: RootRequest<'_>,
    ports: &mut Ports<'_, '_>,
) -> Result<(), Refusal> {
    let admitted = admission.admit(now.instant, request);
    if admitted.is_err() {
        let shed = admission.describe(now.instant, request);
        ports.emit(Action::Observe(Observation::Shed(Box::new(shed))));
    }
    admitted
}

fn admit_child(
    now: Now,
    inbound: InboundId,
    request: InboundRequest,
    token: Option<CallToken>,
    sender: &mut Sender,
    runner: &mut AttemptRunner,
    ports: &mut Ports<'_, '_>,
) -> Result<OutgoingCall, Refusal> {
    let policy = ports.context.configuration.policy().cloned();
    let policy = policy.ok_or_else(|| refusal(ResultCode::NotReady))?;
    let route = find_route(&policy, &request)?.clone();
    let parent = token.and_then(|token| runner.parent(token));
    let parent = parent.ok_or_else(|| refusal(ResultCode::TokenInvalid))?;
    let content = call_content(&request);
    if !sender.is_unbounded() {
        check_deadline(&parent, now)?;
    }
    let Parent {
        attempt,
        dispatch,
        deadline,
        pool,
        children,
    } = parent;
    let bounds: &Bounds = &policy.bounds;
    if !sender.is_unbounded() {
        children
            .admit(content, route.repeatable, bounds, pool)
            .map_err(refusal)?;
    }
    let link = ParentLink { attempt, content };
    let (root, class) = (dispatch.root, dispatch.class);
    let call = new_call(now, inbound, request, &route, sender, ports);
    let deadline = if sender.is_unbounded() {
        call.deadline
    } else {
        call.deadline.min(deadline)
    };
    Ok(OutgoingCall {
        root,
        class,
        deadline,
        parent: Some(link),
        ..call
    })
}

fn check_deadline(parent: &Parent<'_>, now: Now) -> Result<(), Refusal> {
    if parent.deadline <= now.instant {
        return Err(refusal(ResultCode::DeadlineUnmet));
    }
    Ok(())
}

/// Returns the policy if the node currently accepts requests of callers.
///
/// A keyed request is refused here with an unknown outcome: an earlier attempt of the same key
/// may have run, and no claim replica was queried.
fn ready_policy(
    now: Now,
    inbound: InboundId,
    sender: &Sender,
    request: &InboundRequest,
    ports: &mut Ports<'_, '_>,
) -> Result<std::sync::Arc<IndexedPolicy>, Refusal> {
    let context = &*ports.context;
    let policy = context.configuration.policy();
    let accepts = match sender.intake() {
        Intake::Open => true,
        Intake::Keyed => request.key.is_some(),
        Intake::Closed => false,
    };
    if let Some(policy) = policy
        && accepts
        && context.membership.may_claim(now)
    {
        return Ok(policy.clone());
    }
    let reason = match sender.intake() {
        Intake::Open => ResultCode::NotReady,
        Intake::Keyed | Intake::Closed => ResultCode::NodeStopping,
    };
    if request.key.is_none() {
        return Err(refusal(reason));
    }
    ports.emit(Action::Observe(Observation::KeyUnchecked {
        inbound,
        reason,
    }));
    Err(refusal(ResultCode::KeyUnchecked))
}

fn find_route<'a>(
    policy: &'a IndexedPolicy,
    request: &InboundRequest,
) -> Result<&'a RoutePolicy, Refusal> {
    policy
        .route(&request.service, &request.head.method, &request.head.path)
        .ok_or_else(|| refusal(ResultCode::UnknownRoute))
}

fn required_key(
    route: &RoutePolicy,
    request: &InboundRequest,
) -> Result<Option<KeyedAttempt>, Refusal> {
    if route.repeatable {
        return Ok(None);
    }
    let key = request
        .key
        .ok_or_else(|| refusal(ResultCode::KeyRequired))?;
    let fingerprint = request_fingerprint(request, &request.head.path);
    Ok(Some(KeyedAttempt { key, fingerprint }))
}

/// Returns the content of a call, by which its retries are recognized: the fingerprint of
/// service, method, path and body. The query string is left out, so that a back end cannot
/// disguise a retry as a new call by a counter in the query.
fn call_content(request: &InboundRequest) -> Fingerprint {
    let path = request.head.path.split('?').next().unwrap_or_default();
    request_fingerprint(request, path)
}

fn request_fingerprint(request: &InboundRequest, path: &str) -> Fingerprint {
    fingerprint(&[
        request.service.as_str().as_bytes(),
        request.head.method.as_bytes(),
        path.as_bytes(),
        &request.body,
    ])
}

fn new_call(
    now: Now,
    inbound: InboundId,
    request: InboundRequest,
    route: &RoutePolicy,
    sender: &mut Sender,
    ports: &Ports<'_, '_>,
) -> OutgoingCall {
    let max_timeout: Duration = route.deadline();
    let timeout = request
        .timeout
        .map_or(max_timeout, |timeout| timeout.min(max_timeout));
    OutgoingCall {
        id: sender.next_call_id(ports.context.settings),
        held: None,
        is_late: sender.intake() != Intake::Open && request.key.is_some(),
        inbound,
        root: RootId(0),
        parent: None,
        service: request.service,
        route: RouteId::of(route),
        class: route.class,
        repeatable: route.repeatable,
        keyed: None,
        head: request.head,
        body: request.body,
        arrived: now.instant,
        deadline: now.instant + timeout,
        tried: Vec::new(),
        reroutes: 0,
        earlier_failure: None,
        next_attempt: 0,
        attempt: None,
    }
}

const fn refusal(code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after: RetryAfter::DEFAULT,
    }
}
