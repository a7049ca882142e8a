//! Acceptance: waits deadline every machine of the view has confirmed a stored change.

use std::time::Duration;

use super::context::StepContext;
use crate::id::PolicyVersion;
use crate::operator::{ChangeState, OperatorReply, OperatorRequestId};
use crate::time::Instant;

/// Longest wait before a change is reported as pending.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two looks at the confirmations.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An operator who waits for a change to be accepted.
#[derive(Debug)]
struct Waiter {
    request: OperatorRequestId,
    version: PolicyVersion,
    deadline: Instant,
}

/// The operators who wait.
#[derive(Debug, Default)]
pub struct Acceptance {
    waiters: Vec<Waiter>,
    next_check: Option<Instant>,
}

impl Acceptance {
    /// Replies to `request` when `version` is accepted, or after a bounded wait that it is not.
    pub fn wait(&mut self, now: Instant, request: OperatorRequestId, version: PolicyVersion) {
        self.waiters.push(Waiter {
            request,
            version,
            deadline: now + ACCEPTANCE_TIMEOUT,
        });
        self.next_check = Some(now);
    }

    /// Replies to those whose change is accepted or whose wait is over.
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

    /// Returns when [`Self::poll`] looks next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.next_check
    }
}

/// Tells an operator how far a change has come.
pub fn report(
    context: &mut StepContext<'_>,
    request: OperatorRequestId,
    version: PolicyVersion,
    state: ChangeState,
) {
    context.reply(request, OperatorReply::Change { version, state });
}

/// Returns how far a version has come.
///
/// A node that is out of touch may not know the latest view, so it reports none as accepted.
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
