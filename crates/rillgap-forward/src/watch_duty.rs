//! Which nodes watch the store for the others.
//!
//! Calls to the store are priced, and a watch by every node costs one call a node for each change and
//! each renewal. A node therefore watches only if too few of its linked peers do it for it: of those
//! that precede it in an order that all nodes agree on without talking, since it follows from their
//! names. The first nodes of that order always watch; when they fall silent, the next ones take over.
//! News travels over links, from node to node, so one watcher that the store still answers is enough.

use std::time::Duration;

use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Preceding peers that must watch, so that a node need not.
const ENOUGH_WATCHERS: usize = 2;
/// Linked peers that watch from which a watch may wait long: the news comes by another one.
const MANY_WATCHERS: usize = 4;
/// Time for which a watch waits while few watch. One whose connection has silently died is noticed
/// when it is over, so the bound on a configuration's way to all nodes depends on it.
const SHORT_WAIT: Duration = Duration::from_secs(1);
/// Time for which a watch waits while many watch.
const LONG_WAIT: Duration = Duration::from_secs(3);
/// Least and longest time after its start at which a node begins to watch, by its place: links are up
/// by then, so it hears of those that precede it.
const START_STAGGER: (Duration, Duration) =
    (Duration::from_millis(1_500), Duration::from_millis(3_000));
/// Least and longest time after which it takes over from watchers that fell silent.
const TAKE_OVER_STAGGER: (Duration, Duration) = (Duration::ZERO, Duration::from_millis(300));

/// Returns the place of a node in the order; the lowest watches first.
pub fn place(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Peers that watch, as one node sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watchers {
    /// Those that precede the node.
    pub preceding: usize,
    /// All.
    pub all: usize,
}

/// Whether a node watches the store.
#[derive(Clone, Debug)]
pub struct WatchDuty {
    place: u64,
    stagger: (Duration, Duration),
    needed_since: Option<Instant>,
}

impl WatchDuty {
    /// Creates the duty of a fresh node.
    pub fn new(name: &str) -> Self {
        Self {
            place: place(name),
            stagger: START_STAGGER,
            needed_since: None,
        }
    }

    /// Returns the node's place in the order.
    pub const fn place(&self) -> u64 {
        self.place
    }

    /// Returns for how long the node's watch is to wait; `None` if it need not watch.
    pub fn update(&mut self, now: Instant, watchers: Watchers) -> Option<Duration> {
        if watchers.preceding >= ENOUGH_WATCHERS {
            self.needed_since = None;
            self.stagger = TAKE_OVER_STAGGER;
            return None;
        }
        let since = *self.needed_since.get_or_insert(now);
        let share = self.place as f64 / u64::MAX as f64;
        let (least, longest) = self.stagger;
        if now < since + least + (longest - least).mul_f64(share) {
            return None;
        }
        Some(if watchers.all >= MANY_WATCHERS {
            LONG_WAIT
        } else {
            SHORT_WAIT
        })
    }
}
