//! Waits until every member of the view holds a stored change, then replies to the operator.
//!
//! A change is *accepted* when every member of the view has confirmed its version or a later one;
//! until then it is *pending*.

use std::time::Duration;

use super::context::StepContext;
use crate::id::PolicyVersion;
use crate::operator::{ChangeState, OperatorReply, OperatorRequestId};
use crate::time::Instant;

/// Time after which a change that is not yet accepted is reported as pending.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two checks of the confirmations.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A request of an operator that is answered once a change is accepted.
#[derive(Debug)]
struct Waiter {
    request: OperatorRequestId,
    version: PolicyVersion,
    deadline: Instant,
}

/// Requests of operators that wait for the acceptance of a change.
#[derive(Debug, Default)]
pub struct Acceptance {
    waiters: Vec<Waiter>,
    next_check: Option<Instant>,
}

impl Acceptance {
    /// Replies to `request` once `version` is accepted, or reports it as pending after a timeout.
    pub fn wait(&mut self, now: Instant, request: OperatorRequestId, version: PolicyVersion) {
        self.waiters.push(Waiter {
            request,
            version,
            deadline: now + ACCEPTANCE_TIMEOUT,
        });
        self.next_check = Some(now);
    }

    /// Replies to the requests whose change is accepted or whose timeout has expired.
    pub fn poll(&mut self, context: &mut StepContext<'_>) {
        if self.next_check.is_none_or(|due| context.now < due) {
            return;
        }
        let now = context.now;
        self.waiters.retain(|waiter| {
            let state = state(context, waiter.version);
            let done = state == ChangeState::Accepted || now >= waiter.deadline;
            if done {
                report(context, waiter.request, waiter.version, state);
            }
            !done
        });
        self.next_check = (!self.waiters.is_empty()).then(|| now + CHECK_INTERVAL);
    }

    /// Returns when [`Self::poll`] checks next, or `None` if no request waits.
    pub fn next_wake(&self) -> Option<Instant> {
        self.next_check
    }
}

/// Reports the state of a change to an operator.
pub fn report(
    context: &mut StepContext<'_>,
    request: OperatorRequestId,
    version: PolicyVersion,
    state: ChangeState,
) {
    context.reply(request, OperatorReply::Change { version, state });
}

/// Returns whether a version is accepted and, if not, which members are missing.
///
/// A node that may not serve may have an outdated view, so it reports every version as pending,
/// with at least one member missing.
pub fn state(context: &StepContext<'_>, version: PolicyVersion) -> ChangeState {
    let unconfirmed = context.membership.unconfirmed(version);
    if unconfirmed.missing == 0 && context.may_serve {
        return ChangeState::Accepted;
    }
    ChangeState::Pending {
        missing: unconfirmed.missing.max(1),
        nodes: unconfirmed.nodes,
    }
}
