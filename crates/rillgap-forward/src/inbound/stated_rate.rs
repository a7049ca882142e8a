//! Rate limit that the local back end states in its answers.

use std::time::Duration;

use rillgap_core::time::Instant;

use crate::back_end_notice::{RateLimitNotice, RequestRate};
use crate::incarnation::Incarnation;

/// Time after the last answer with a limit during which answers without one do not end it: answers
/// on different connections overtake each other.
const LIMIT_END_DELAY: Duration = Duration::from_millis(500);

/// Rate limit of one incarnation of the back end.
#[derive(Clone, Debug)]
struct Limit {
    incarnation: Incarnation,
    rate: RequestRate,
    /// When the last answer with a limit arrived.
    stated_at: Instant,
}

/// Rate limit that the local back end states in its answers.
#[derive(Clone, Debug, Default)]
pub(super) struct StatedRate {
    limit: Option<Limit>,
}

impl StatedRate {
    /// Returns the rate that an incarnation accepts; `None` if it states no limit.
    pub fn rate(&self, incarnation: Option<&Incarnation>) -> Option<RequestRate> {
        let limit = self.limit.as_ref()?;
        (Some(&limit.incarnation) == incarnation).then_some(limit.rate)
    }

    /// Records what an answer of an incarnation states. Returns whether the rate has changed.
    pub fn observe(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        notice: RateLimitNotice,
    ) -> bool {
        let before = self.rate(Some(incarnation));
        match notice {
            RateLimitNotice::Unreadable => {}
            RateLimitNotice::Limited(rate) => {
                self.limit = Some(Limit {
                    incarnation: incarnation.clone(),
                    rate,
                    stated_at: now,
                });
            }
            RateLimitNotice::Unlimited => {
                self.limit.take_if(|limit| {
                    limit.incarnation == *incarnation
                        && now.saturating_since(limit.stated_at) >= LIMIT_END_DELAY
                });
            }
        }
        before != self.rate(Some(incarnation))
    }
}
