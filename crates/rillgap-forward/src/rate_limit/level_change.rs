//! Changes of a tenant's admission level that an operator needs to see, at a bounded rate.

use std::time::Duration;

use rillgap_core::time::Instant;

use super::tenant_level::TenantLevel;
use crate::configuration::RateLimit;
use crate::message::priority_of;

/// Minimum time between two reports that a level has moved.
const MOVE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Kind of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelChangeKind {
    /// Tokens have become short.
    Began,
    /// The level has moved to another tier.
    Moved,
    /// Tokens are no longer short.
    Ended,
}

impl LevelChangeKind {
    /// Returns the name of the kind in log records.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Began => "began",
            Self::Moved => "moved",
            Self::Ended => "ended",
        }
    }
}

/// Change of a tenant's admission level at the owner of its bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelChange {
    /// Name of the tenant.
    pub tenant: String,
    /// Kind of change.
    pub kind: LevelChangeKind,
    /// Lowest priority of which any requests have a chance of a token; 0 is the highest.
    pub priority: u8,
    /// Requests of the tenant at all entry nodes, per second.
    pub demand: f64,
    /// Limit of the tenant, in requests per second.
    pub limit: f64,
    /// Time for which tokens have been short, in milliseconds.
    pub shortage_millis: u64,
}

/// What was reported last on the level of a tenant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LevelReport {
    /// Tier that was reported, and when; `None` if tokens are not short.
    reported: Option<(u8, Instant)>,
    /// Beginning of the reported shortage.
    short_since: Instant,
}

impl LevelReport {
    /// Returns the change to report now, if any.
    pub fn change(
        &mut self,
        now: Instant,
        tenant: &str,
        level: &TenantLevel,
        limit: RateLimit,
    ) -> Option<LevelChange> {
        let kind = self.kind_of_change(now, level)?;
        let tier = level.level().tier();
        if kind == LevelChangeKind::Began {
            self.short_since = now - level.shortage(now);
        }
        self.reported = level.is_short().then_some((tier, now));
        let shortage = now.saturating_since(self.short_since).as_millis();
        Some(LevelChange {
            tenant: tenant.to_owned(),
            kind,
            priority: priority_of(level.level()),
            demand: level.demand(),
            limit: limit.per_second,
            shortage_millis: u64::try_from(shortage).unwrap_or(u64::MAX),
        })
    }

    fn kind_of_change(&self, now: Instant, level: &TenantLevel) -> Option<LevelChangeKind> {
        let Some((tier, reported_at)) = self.reported else {
            return level.is_short().then_some(LevelChangeKind::Began);
        };
        if !level.is_short() {
            return Some(LevelChangeKind::Ended);
        }
        let is_due = now.saturating_since(reported_at) >= MOVE_REPORT_INTERVAL;
        let has_moved = is_due && level.level().tier() != tier;
        has_moved.then_some(LevelChangeKind::Moved)
    }
}
