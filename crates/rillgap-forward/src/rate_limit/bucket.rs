//! Buckets of the tenants that this node owns.

use std::collections::BTreeMap;
use std::time::Duration;

use rillgap_core::time::Instant;

use crate::configuration::RateLimit;

/// Time over which demand is averaged.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);
/// Least and longest time after which a node that got too little asks again, in milliseconds.
const WAIT_MILLIS: (f64, f64) = (20.0, 1_000.0);

/// What an owner gives to a node that asked for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Tokens.
    pub tokens: u32,
    /// Time before which it need not ask again, in milliseconds; 0 if it got what it wanted.
    pub wait_millis: u32,
}

/// Tokens of one tenant.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
    owned_since: Instant,
    /// Tokens that are asked for, a second.
    demand: f64,
}

impl Bucket {
    /// A bucket whose owner cannot know what was spent before it owned it starts empty.
    fn new(owned_since: Instant) -> Self {
        Self {
            tokens: 0.0,
            filled_at: owned_since,
            owned_since,
            demand: 0.0,
        }
    }

    fn fill(&mut self, now: Instant, limit: RateLimit) {
        let elapsed = now.saturating_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed * limit.per_second).min(limit.burst);
        self.demand *= (-elapsed / DEMAND_MEMORY.as_secs_f64()).exp();
    }
}

/// Buckets of the tenants that this node owns.
#[derive(Clone, Debug, Default)]
pub struct Buckets {
    buckets: BTreeMap<String, Bucket>,
}

impl Buckets {
    /// Takes tokens out of a tenant's bucket, which the node has owned without a break since
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
        bucket.fill(now, limit);
        bucket.demand += f64::from(wanted) / DEMAND_MEMORY.as_secs_f64();
        let tokens = (bucket.tokens as u32).min(wanted);
        bucket.tokens -= f64::from(tokens);
        let missing = wanted - tokens;
        if missing == 0 {
            return Grant {
                tokens,
                wait_millis: 0,
            };
        }
        // Where more is asked for than comes in, each of the nodes that ask gets its turn more rarely.
        let excess = (bucket.demand / limit.per_second).max(1.0);
        let lacking = f64::from(missing) - bucket.tokens;
        let millis = lacking.max(0.0) / limit.per_second * excess * 1_000.0;
        let (least, longest) = WAIT_MILLIS;
        Grant {
            tokens,
            wait_millis: millis.clamp(least, longest) as u32,
        }
    }

    /// Forgets tenants that are gone.
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
