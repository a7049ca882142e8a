//! Token buckets of the tenants that this node owns.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::configuration::RateLimit;

/// Time constant of the decaying average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Minimum and maximum time after which a node that received too few tokens queries again, in
/// milliseconds.
const WAIT_RANGE_MILLIS: (f64, f64) = (20.0, 1_000.0);

/// Reply of an owner to a query for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Number of tokens granted.
    pub tokens: u32,
    /// Time before which the node need not query again, in milliseconds; 0 if it received all
    /// tokens that it requested.
    pub wait_millis: u32,
}

/// Token bucket of one tenant.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    owned_since: Instant,
    /// Tokens requested per second, a decaying average.
    demand: f64,
}

impl Bucket {
    /// Creates an empty bucket: a new owner has no record of the tokens that were spent before.
    fn new(owned_since: Instant) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: owned_since,
            owned_since,
            demand: 0.0,
        }
    }

    fn refill(&mut self, now: Instant, limit: RateLimit) {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * limit.per_second).min(limit.burst);
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
    }
}

/// Token buckets of the tenants that this node owns.
#[derive(Clone, Debug, Default)]
pub struct Buckets {
    buckets: BTreeMap<String, Bucket>,
}

impl Buckets {
    /// Takes tokens from a tenant's bucket, which this node has owned without interruption since
    /// `owned_since`.
    pub fn grant(
        &mut self,
        now: Instant,
        tenant: &str,
        limit: RateLimit,
        owned_since: Instant,
        wanted: u32,
    ) -> Grant {
        let bucket = self.bucket(tenant, owned_since);
        bucket.refill(now, limit);
        bucket.demand += f64::from(wanted) / DEMAND_TIME_CONSTANT.as_secs_f64();
        let tokens = (bucket.tokens as u32).min(wanted);
        bucket.tokens -= f64::from(tokens);
        let missing = wanted - tokens;
        if missing == 0 {
            return Grant {
                tokens,
                wait_millis: 0,
            };
        }
        // If more tokens are requested than are refilled, the wait grows by the same ratio, so that
        // each requesting node queries less often.
        let excess = (bucket.demand / limit.per_second).max(1.0);
        let shortfall = f64::from(missing) - bucket.tokens;
        let millis = shortfall.max(0.0) / limit.per_second * excess * 1_000.0;
        let (min_wait, max_wait) = WAIT_RANGE_MILLIS;
        Grant {
            tokens,
            wait_millis: millis.clamp(min_wait, max_wait) as u32,
        }
    }

    /// Drops the buckets of tenants that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.buckets.retain(|tenant, _| exists(tenant));
    }

    fn bucket(&mut self, tenant: &str, owned_since: Instant) -> &mut Bucket {
        let bucket = self
            .buckets
            .entry(tenant.to_owned())
            .or_insert_with(|| Bucket::new(owned_since));
        if bucket.owned_since < owned_since {
            *bucket = Bucket::new(owned_since);
        }
        bucket
    }
}
