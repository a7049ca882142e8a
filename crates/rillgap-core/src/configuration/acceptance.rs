//! Acceptance: waits until every machine of the view has confirmed a stored change.

use std::time::Duration;

use super::scope::Scope;
use crate::id::PolicyVersion;
use crate::operator::{ChangeState, OperatorReply, OperatorRequestId};
use crate::time::Instant;

/// Longest wait before a change is reported as pending.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Pause between two looks at the confirmations.
const PAUSE: Duration = Duration::from_millis(50);

/// An operator who waits for a change to be accepted.
#[derive(Debug)]
struct Waiter {
    request: OperatorRequestId,
    version: PolicyVersion,
    until: Instant,
}

/// The operators who wait.
#[derive(Debug, Default)]
pub struct Acceptance {
    waiters: Vec<Waiter>,
    next_look: Option<Instant>,
}

impl Acceptance {
    /// Replies to `request` when `version` is accepted, or after a bounded wait that it is not.
    pub fn wait(&mut self, now: Instant, request: OperatorRequestId, version: PolicyVersion) {
        self.waiters.push(Waiter {
            request,
            version,
            until: now + LONGEST_WAIT,
        });
        self.next_look = Some(now);
    }

    /// Replies to those whose change is accepted or whose wait is over.
    pub fn poll(&mut self, scope: &mut Scope<'_>) {
        if self.next_look.is_none_or(|due| scope.now < due) {
            return;
        }
        let now = scope.now;
        self.waiters.retain(|waiter| {
            let state = state(scope, waiter.version);
            let done = state == ChangeState::Accepted || now >= waiter.until;
            if done {
                report(scope, waiter.request, waiter.version, state);
            }
            !done
        });
        self.next_look = (!self.waiters.is_empty()).then(|| now + PAUSE);
    }

    /// Returns when [`Self::poll`] looks next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.next_look
    }
}

/// Tells an operator how far a change has come.
pub fn report(
    scope: &mut Scope<'_>,
    request: OperatorRequestId,
    version: PolicyVersion,
    state: ChangeState,
) {
    scope.reply(request, OperatorReply::Change { version, state });
}

/// Returns how far a version has come.
///
/// A node that is out of touch may not know the latest view, so it reports none as accepted.
pub fn state(scope: &Scope<'_>, version: PolicyVersion) -> ChangeState {
    let unconfirmed = scope.membership.unconfirmed(version);
    if unconfirmed.missing == 0 && scope.in_touch {
        return ChangeState::Accepted;
    }
    ChangeState::Pending {
        missing: unconfirmed.missing.max(1),
        nodes: unconfirmed.nodes,
    }
}
