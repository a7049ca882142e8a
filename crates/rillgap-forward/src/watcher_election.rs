//! Which nodes watch the store for the others.
//!
//! Calls to the store are priced, and a watch by every node costs one call a node for each change and
//! each renewal. The nodes therefore have an order that all agree on without talking, since it follows from
//! their names, and each follows two nodes that precede it (see [`watch_relay`](crate::watch_relay)): while these
//! have fresh news of the store, from their own watch or by those that they follow, it need not watch. So the first
//! two nodes of the order watch, however many there are.
//!
//! When the news stop, the first nodes of the order take over, and more of them the longer it lasts: if the
//! store is away for all, few nodes call it meanwhile. A node that does not even hear of those that precede it
//! may be cut off from them, and watches for itself.

use std::time::Duration;

use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Nodes with fresh news that a node follows, so that it need not watch.
const ENOUGH_WATCHERS: usize = 2;
/// Nodes that take over first when the news stop: so many that the store hardly refuses all of them, and no more
/// however many nodes there are.
const FIRST_TO_TAKE_OVER: u64 = 16;
/// Time by which each of them lets the one before it go ahead.
const TAKE_OVER_STEP: Duration = Duration::from_millis(20);
/// Time in which the number of those that may take over doubles.
const TAKE_OVER_DOUBLES: Duration = Duration::from_secs(1);
/// Time for which a watch waits. One whose connection has silently died is noticed when it is over, so the bound
/// on a configuration's way to all nodes depends on it.
const WAIT: Duration = Duration::from_secs(1);
/// Time after its start in which a node does not watch yet: links are up by then, so it hears of those
/// that precede it.
const START_PATIENCE: Duration = Duration::from_millis(1_500);
/// Longest time after which a node that hears of nobody watches; the nodes of a part that is cut off differ in it.
const ALONE_STAGGER: Duration = Duration::from_millis(300);

/// Returns the place of a node in the order; the lowest watches first.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What a node sees of those that precede it in the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrecedingNodes {
    /// Followed ones that have fresh news of the store.
    pub fresh_count: usize,
    /// Whether any of the followed ones was heard of late.
    pub has_recent_report: bool,
    /// All that are known.
    pub known_count: u64,
}

/// Whether a node watches the store.
#[derive(Clone, Debug)]
pub struct WatcherElection {
    name_hash: u64,
    patience: Duration,
    needed_since: Option<Instant>,
}

impl WatcherElection {
    /// Creates the duty of a fresh node.
    pub fn new(name: &str) -> Self {
        Self {
            name_hash: name_hash(name),
            patience: START_PATIENCE,
            needed_since: None,
        }
    }

    /// Returns the node's place in the order.
    pub const fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Returns for how long the node's watch is to wait; `None` if it need not watch.
    pub fn update(&mut self, now: Instant, preceding: PrecedingNodes) -> Option<Duration> {
        if preceding.fresh_count >= ENOUGH_WATCHERS {
            self.needed_since = None;
            self.patience = Duration::ZERO;
            return None;
        }
        let since = *self.needed_since.get_or_insert(now);
        let needed_for = now.saturating_since(since).checked_sub(self.patience)?;
        let is_due = if preceding.known_count < FIRST_TO_TAKE_OVER {
            needed_for >= TAKE_OVER_STEP * u32::try_from(preceding.known_count).unwrap_or(u32::MAX)
        } else if preceding.has_recent_report {
            preceding.known_count < may_take_over(needed_for)
        } else {
            needed_for >= self.alone_stagger()
        };
        is_due.then_some(WAIT)
    }

    fn alone_stagger(&self) -> Duration {
        ALONE_STAGGER.mul_f64(self.name_hash as f64 / u64::MAX as f64)
    }
}

/// Returns how many nodes may take over after a time without news.
fn may_take_over(needed_for: Duration) -> u64 {
    let doublings = needed_for.as_micros() / TAKE_OVER_DOUBLES.as_micros();
    let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
    FIRST_TO_TAKE_OVER.saturating_mul(1_u64.checked_shl(doublings).unwrap_or(u64::MAX))
}
