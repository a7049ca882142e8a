//! Slowdown that the local back end states in its answers and on its health endpoint.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::slowdown::bounded;
use crate::back_end_notice::LoadNotice;
use crate::incarnation::Incarnation;

/// Time for which a statement is valid.
const VALIDITY: Duration = Duration::from_secs(1);

/// Last slowdown that an incarnation of the back end has stated.
#[derive(Clone, Debug, Default)]
pub(super) struct StatedSlowdown {
    last: Option<Statement>,
}

#[derive(Clone, Debug)]
struct Statement {
    incarnation: Incarnation,
    slowdown: f64,
    stated_at: Instant,
}

impl StatedSlowdown {
    /// Records what an incarnation states. A statement without a slowdown ends an earlier one; an
    /// absent or unreadable statement does not.
    pub fn observe(&mut self, now: Instant, incarnation: &Incarnation, notice: LoadNotice) {
        let LoadNotice::Stated(load) = notice else {
            return;
        };
        self.last = load.slowdown_percent.map(|percent| Statement {
            incarnation: incarnation.clone(),
            slowdown: bounded(f64::from(percent) / 100.0),
            stated_at: now,
        });
    }

    /// Returns the slowdown that an incarnation has stated, while the statement is valid.
    pub fn at(&self, now: Instant, incarnation: Option<&Incarnation>) -> Option<f64> {
        let last = self.last.as_ref()?;
        let is_valid = now.saturating_since(last.stated_at) < VALIDITY;
        (is_valid && Some(&last.incarnation) == incarnation).then_some(last.slowdown)
    }
}
