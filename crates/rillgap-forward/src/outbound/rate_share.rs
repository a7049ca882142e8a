//! Share of this node in the rates that back ends accept.
//!
//! The node beside a back end enforces the rate limit that the back end states, but a request that
//! it refuses has been sent in vain. Each node therefore prefers other back ends once it has sent
//! its equal share of the limit, and uses the limited one beyond that only if the others are full.
//! The shares of all nodes add up to the limit, without any message between them.

use std::collections::BTreeMap;

use rillgap_core::time::Instant;

use crate::back_end_notice::RequestRate;

/// Maximum number of requests that are sent at once after a time without any.
const MAX_CREDIT: f64 = 1.0;

/// Credit of this node at one back end.
#[derive(Clone, Copy, Debug)]
struct Share {
    per_second: f64,
    credit: f64,
    refilled_at: Instant,
}

impl Share {
    fn credit_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        (self.credit + elapsed * self.per_second).min(MAX_CREDIT)
    }

    fn refill(&mut self, now: Instant) {
        self.credit = self.credit_at(now);
        self.refilled_at = now;
    }
}

/// Share of this node in the rates of all back ends with a limit, by the name of their node.
#[derive(Clone, Debug, Default)]
pub(super) struct RateShares {
    shares: BTreeMap<String, Share>,
}

impl RateShares {
    /// Records the rate limit of the back end beside a node, which is divided among `nodes` nodes.
    pub fn observe(&mut self, now: Instant, node: &str, limit: Option<RequestRate>, nodes: usize) {
        let Some(limit) = limit else {
            self.shares.remove(node);
            return;
        };
        let per_second = limit.per_second() / nodes.max(1) as f64;
        if let Some(share) = self.shares.get_mut(node) {
            share.refill(now);
            share.per_second = per_second;
            return;
        }
        let share = Share {
            per_second,
            credit: 0.0,
            refilled_at: now,
        };
        self.shares.insert(node.to_owned(), share);
    }

    /// Returns whether the node has sent its share of the limit of a back end.
    pub fn is_used_up(&self, now: Instant, node: &str) -> bool {
        let share = self.shares.get(node);
        share.is_some_and(|share| share.credit_at(now) < 1.0)
    }

    /// Records a request that is sent to the back end beside a node.
    pub fn spend(&mut self, now: Instant, node: &str) {
        if let Some(share) = self.shares.get_mut(node) {
            share.refill(now);
            share.credit = (share.credit - 1.0).max(0.0);
        }
    }
}
