//! Accounting of extra attempts: those that a call spends, lends and gets back.

use super::Sender;
use crate::call::attempt_runner::AttemptRunner;
use crate::call::retry_pool::RetryPool;
use crate::id::{AttemptId, CallId};

/// Maximum attempts of one call in a baseline that does not limit the retries of a chain.
const MAX_BASELINE_ATTEMPTS: u16 = 3;

impl Sender {
    pub(super) fn spend(&mut self, id: CallId, runner: &mut AttemptRunner) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        if self.has_unbounded_chain {
            return call.next_attempt < MAX_BASELINE_ATTEMPTS;
        }
        let service = call.service.clone();
        self.retry_budget.try_spend(&service)
            && self
                .with_pool(id, runner, RetryPool::spend)
                .unwrap_or(false)
    }

    /// Applies `work` to the retry pool of a call: its own for a root request, its parent's for
    /// other calls.
    pub(super) fn with_pool<T>(
        &mut self,
        id: CallId,
        runner: &mut AttemptRunner,
        work: impl FnOnce(&mut RetryPool) -> T,
    ) -> Option<T> {
        match self.calls.get(&id)?.parent {
            None => self.pools.get_mut(&id).map(work),
            Some(link) => runner
                .parent_by_attempt(link.attempt)
                .map(|parent| work(parent.pool)),
        }
    }

    pub(super) fn restore(&mut self, attempt: AttemptId, unspent: u8, runner: &mut AttemptRunner) {
        let current = self
            .calls
            .get_mut(&attempt.call)
            .and_then(|call| call.attempt.as_mut());
        let lent = current.map_or(0, |current| std::mem::take(&mut current.lent));
        self.with_pool(attempt.call, runner, |pool| pool.restore(lent, unspent));
    }

    pub(super) fn mark_child_not_run(&mut self, id: CallId, runner: &mut AttemptRunner) {
        let link = self.calls.get(&id).and_then(|call| call.parent);
        if let Some(link) = link
            && let Some(parent) = runner.parent_by_attempt(link.attempt)
        {
            parent.children.mark_not_run(link.content);
        }
    }

    pub(super) fn mark_unsent_child(&mut self, id: CallId, runner: &mut AttemptRunner) {
        let unsent = self
            .calls
            .get(&id)
            .is_some_and(|call| call.attempt.is_none());
        if unsent {
            self.mark_child_not_run(id, runner);
        }
    }
}
