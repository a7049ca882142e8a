//! Token buckets of the tenants that this node owns.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rillgap_core::admission::Level;
use rillgap_core::time::Instant;

use super::level_change::{LevelChange, LevelReport};
use super::tenant_level::TenantLevel;
use crate::configuration::RateLimit;

/// Time constant of the decaying average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Minimum and maximum time after which a node that received too few tokens queries again, in
/// milliseconds.
const WAIT_RANGE_MILLIS: (f64, f64) = (20.0, 1_000.0);
/// Interval at which the remains of ended demand are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Reply of an owner to a query for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Number of tokens granted.
    pub tokens: u32,
    /// Time before which the node need not query again, in milliseconds; 0 if it received all
    /// tokens that it requested.
    pub wait_millis: u32,
    /// Admission level below which requests have no chance of a token; zero if all have.
    pub level: Level,
    /// Time for which the tenant has been short of tokens, in milliseconds; 0 if it is not.
    pub shortage_millis: u32,
}

/// Token bucket of one tenant.
#[derive(Clone, Debug)]
struct Bucket {
    limit: RateLimit,
    tokens: f64,
    refilled_at: Instant,
    owned_since: Instant,
    /// Tokens requested per second, a decaying average.
    demand: f64,
    level: TenantLevel,
    report: LevelReport,
}

impl Bucket {
    /// Creates an empty bucket: a new owner has no record of the tokens that were spent before.
    fn new(owned_since: Instant, limit: RateLimit) -> Self {
        Self {
            limit,
            tokens: 0.0,
            refilled_at: owned_since,
            owned_since,
            demand: 0.0,
            level: TenantLevel::new(owned_since),
            report: LevelReport::default(),
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.limit.per_second).min(self.limit.burst);
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
    }

    /// Takes tokens; returns their number and the time until more are available, in milliseconds.
    fn take(&mut self, wanted: u32) -> (u32, u32) {
        self.demand += f64::from(wanted) / DEMAND_TIME_CONSTANT.as_secs_f64();
        let tokens = (self.tokens as u32).min(wanted);
        self.tokens -= f64::from(tokens);
        let missing = wanted - tokens;
        if missing == 0 {
            return (tokens, 0);
        }
        // If more tokens are requested than are refilled, the wait grows by the same ratio, so that
        // each requesting node queries less often.
        let excess = (self.demand / self.limit.per_second).max(1.0);
        let shortfall = f64::from(missing) - self.tokens;
        let millis = shortfall.max(0.0) / self.limit.per_second * excess * 1_000.0;
        let (min_wait, max_wait) = WAIT_RANGE_MILLIS;
        (tokens, millis.clamp(min_wait, max_wait) as u32)
    }

    fn update_level(&mut self, now: Instant) {
        self.level.update(now, self.limit, self.tokens);
    }

    fn shortage_millis(&self, now: Instant) -> u32 {
        if !self.level.is_short() {
            return 0;
        }
        let millis = self.level.shortage(now).as_millis();
        u32::try_from(millis).unwrap_or(u32::MAX).max(1)
    }
}

/// Token buckets of the tenants that this node owns.
#[derive(Clone, Debug, Default)]
pub struct Buckets {
    buckets: BTreeMap<String, Bucket>,
    /// Tenants that are short of tokens, or were at the last call of [`Self::poll`].
    short: BTreeSet<String>,
    next_sweep: Instant,
}

impl Buckets {
    /// Takes tokens from a tenant's bucket, which this node has owned without interruption since
    /// `owned_since`, for a node that has seen these requests since its last query.
    pub fn grant(
        &mut self,
        now: Instant,
        tenant: &str,
        limit: RateLimit,
        owned_since: Instant,
        wanted: u32,
        seen: &[(u8, u32)],
    ) -> Grant {
        let bucket = self.bucket(tenant, limit, owned_since);
        bucket.refill(now);
        bucket.level.record_seen(now, seen);
        let (tokens, wait_millis) = bucket.take(wanted);
        if wait_millis > 0 {
            bucket.level.record_shortage(now);
        }
        bucket.update_level(now);
        let grant = Grant {
            tokens,
            wait_millis,
            level: bucket.level.level(),
            shortage_millis: bucket.shortage_millis(now),
        };
        if grant.shortage_millis > 0 && !self.short.contains(tenant) {
            self.short.insert(tenant.to_owned());
        }
        grant
    }

    /// Updates the levels of tenants that are short of tokens; returns the changes to report.
    pub fn poll(&mut self, now: Instant) -> Vec<LevelChange> {
        self.drop_ended_demand(now);
        let mut changes = Vec::new();
        let buckets = &mut self.buckets;
        self.short.retain(|tenant| {
            let Some(bucket) = buckets.get_mut(tenant) else {
                return false;
            };
            bucket.refill(now);
            bucket.update_level(now);
            let change = bucket
                .report
                .change(now, tenant, &bucket.level, bucket.limit);
            changes.extend(change);
            bucket.level.is_short()
        });
        changes
    }

    /// Returns the number of owned tenants that are short of tokens.
    pub fn short_tenants(&self) -> usize {
        self.short.len()
    }

    /// Drops the buckets of tenants that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.buckets.retain(|tenant, _| exists(tenant));
    }

    fn drop_ended_demand(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        for bucket in self.buckets.values_mut() {
            bucket.level.drop_ended_demand(now);
        }
    }

    fn bucket(&mut self, tenant: &str, limit: RateLimit, owned_since: Instant) -> &mut Bucket {
        let bucket = self
            .buckets
            .entry(tenant.to_owned())
            .or_insert_with(|| Bucket::new(owned_since, limit));
        if bucket.owned_since < owned_since {
            *bucket = Bucket::new(owned_since, limit);
        }
        bucket.limit = limit;
        bucket
    }
}
