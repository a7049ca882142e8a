//! The calls that a back end makes while it serves one request.
//!
//! A back end may retry its calls at will, and its statements about them are not trusted: a
//! call is identified by its content, the fingerprint of what it asks for. The first call of a
//! content is free, and each further one is charged to the retry pool of the request that is
//! being served. A back end that varies the content of its retries reaches the limit of
//! distinct calls.

use std::collections::BTreeMap;

use crate::call::retry_pool::RetryPool;
use crate::code::ResultCode;
use crate::id::Fingerprint;
use crate::policy::Bounds;

#[derive(Debug, Default)]
struct Child {
    may_have_run: bool,
}

/// Calls made so far for one request.
#[derive(Debug, Default)]
pub struct Children {
    by_content: BTreeMap<Fingerprint, Child>,
}

impl Children {
    /// Admits a call; a retry of an earlier call is charged to `pool`.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::CallBoundExceeded`] for too many distinct calls,
    /// [`ResultCode::RetryBudgetSpent`] if the pool is empty, and
    /// [`ResultCode::InProgress`] if the call is not repeatable and may have run.
    pub fn admit(
        &mut self,
        content: Fingerprint,
        repeatable: bool,
        bounds: &Bounds,
        pool: &mut RetryPool,
    ) -> Result<(), ResultCode> {
        match self.by_content.get(&content) {
            None => self.admit_first(content, bounds),
            Some(child) if child.may_have_run && !repeatable => Err(ResultCode::InProgress),
            Some(_) if pool.spend() => Ok(()),
            Some(_) => Err(ResultCode::RetryBudgetSpent),
        }
    }

    fn admit_first(&mut self, content: Fingerprint, bounds: &Bounds) -> Result<(), ResultCode> {
        if self.by_content.len() >= usize::from(bounds.calls_per_request) {
            return Err(ResultCode::CallBoundExceeded);
        }
        self.by_content.insert(content, Child::default());
        Ok(())
    }

    /// Records that a call was dispatched and may run.
    pub fn mark_sent(&mut self, content: Fingerprint) {
        self.set_may_have_run(content, true);
    }

    /// Records that a dispatched call has provably not run.
    pub fn mark_not_run(&mut self, content: Fingerprint) {
        self.set_may_have_run(content, false);
    }

    fn set_may_have_run(&mut self, content: Fingerprint, may_have_run: bool) {
        if let Some(child) = self.by_content.get_mut(&content) {
            child.may_have_run = may_have_run;
        }
    }
}
