//! The calls that a back end makes while it serves one request.
//!
//! A back end may repeat its calls as it likes. What it says about them is not trusted: a
//! call is recognised by its content, the first of a content is free, and every further
//! one is charged to the pool of the request that is being served. A back end that varies
//! the content of its repeats meets the bound on distinct calls.

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
    /// Admits a call and charges it, if it repeats an earlier one, to `pool`.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::CallBoundExceeded`] for too many distinct calls,
    /// [`ResultCode::RetryBudgetSpent`] if the pool is empty, and
    /// [`ResultCode::InProgress`] if the call must not be repeated and may have run.
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

    /// Records that a call was sent on and may run.
    pub fn mark_sent(&mut self, content: Fingerprint) {
        self.set_may_have_run(content, true);
    }

    /// Records that a call that was sent on is proved not to have run.
    pub fn mark_not_run(&mut self, content: Fingerprint) {
        self.set_may_have_run(content, false);
    }

    fn set_may_have_run(&mut self, content: Fingerprint, may_have_run: bool) {
        if let Some(child) = self.by_content.get_mut(&content) {
            child.may_have_run = may_have_run;
        }
    }
}
