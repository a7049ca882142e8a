//! Elects the nodes that watch the store for the others.
//!
//! Requests to the store cost money, and if every node watched it, each change and each renewal of
//! a watch would cost one request per node. All nodes therefore agree on an order without
//! communication, since it is that of the hashes of their names, and each node follows two nodes
//! that precede it (see [`watch_relay`](crate::watch_relay)). While these have a recent contact
//! with the store, by their own watch or through the nodes that they follow, the node need not
//! watch. The first two nodes of the order thus watch, however many nodes there are.
//!
//! When recent contacts cease, the first nodes of the order take over, and quickly more of them until one has a contact: those
//! that come first may all be cut off from the store. If so many have none that the store is probably unreachable
//! for all nodes, their number grows slowly. A
//! node that receives no reports from the nodes that precede it may be partitioned from them, and
//! watches the store itself.

use std::time::Duration;

use rillgap_core::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Number of followed nodes with a recent contact at which a node need not watch.
const REQUIRED_RECENT_NODES: usize = 2;
/// Number of nodes that take over first when recent contacts cease, one after the other.
const INITIAL_TAKEOVER_NODES: u64 = 16;
/// Delay of each of these nodes relative to the preceding one: about as long as a reply of the store and
/// its report take.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(10);
/// Number of nodes up to which those that take over then double quickly. If none of so many reaches the store, it
/// is likely to be unreachable for all.
const QUICK_TAKEOVER_NODES: u64 = 128;
/// Time in which the number of nodes that take over doubles, up to [`QUICK_TAKEOVER_NODES`] and
/// beyond.
const QUICK_DOUBLING_PERIOD: Duration = Duration::from_millis(150);
const SLOW_DOUBLING_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a watch request waits. A watch on a dead connection is detected only after this
/// time, so the bound on how soon a configuration reaches all nodes depends on it.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time after its start during which a node does not watch: by its end links are open, and the node
/// has received reports from the nodes that precede it.
const STARTUP_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum delay after which a node that receives no reports watches. The delay differs between the
/// nodes of a partition.
const MAX_ISOLATED_DELAY: Duration = Duration::from_millis(300);

/// Returns the hash of a node's name, which determines the order: the node with the lowest hash
/// watches first.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns a hash, or a distance of hashes, as a fraction of the range of hashes.
pub fn hash_fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// State of the nodes that precede this one in the order, in its own view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrecedingNodes {
    /// Number of followed nodes that have a recent contact with the store.
    pub recent_count: usize,
    /// Whether a report of any followed node arrived recently.
    pub has_recent_report: bool,
    /// Number of all known preceding nodes.
    pub known_count: u64,
}

/// Decides whether a node watches the store.
#[derive(Clone, Debug)]
pub struct WatcherElection {
    name_hash: u64,
    /// [`STARTUP_DELAY`], or zero once enough followed nodes have had a recent contact.
    startup_delay: Duration,
    needed_since: Option<Instant>,
}

impl WatcherElection {
    /// Creates the state of a node that starts.
    pub fn new(name: &str) -> Self {
        Self {
            name_hash: name_hash(name),
            startup_delay: STARTUP_DELAY,
            needed_since: None,
        }
    }

    /// Returns the hash of the node's name.
    pub const fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Returns the time for which each watch request of the node waits; `None` if it need not
    /// watch.
    pub fn update(&mut self, now: Instant, preceding: PrecedingNodes) -> Option<Duration> {
        if preceding.recent_count >= REQUIRED_RECENT_NODES {
            self.needed_since = None;
            self.startup_delay = Duration::ZERO;
            return None;
        }
        self.needed_since.get_or_insert(now);
        let is_due = self.due_at(preceding).is_some_and(|due| due <= now);
        is_due.then_some(WATCH_WAIT)
    }

    /// Returns when the node has to watch; `None` if it need not.
    pub fn due_at(&self, preceding: PrecedingNodes) -> Option<Instant> {
        let is_first = preceding.known_count < INITIAL_TAKEOVER_NODES;
        let delay = if is_first || preceding.has_recent_report {
            takeover_delay(preceding.known_count)
        } else {
            self.isolated_delay()
        };
        self.needed_since
            .map(|since| since + self.startup_delay + delay)
    }

    fn isolated_delay(&self) -> Duration {
        MAX_ISOLATED_DELAY.mul_f64(hash_fraction(self.name_hash))
    }
}

/// Returns how long after recent contacts have ceased a node takes over that so many nodes precede.
fn takeover_delay(preceding: u64) -> Duration {
    let first = u32::try_from(preceding.min(INITIAL_TAKEOVER_NODES)).unwrap_or(u32::MAX);
    let quick = doublings(INITIAL_TAKEOVER_NODES, preceding.min(QUICK_TAKEOVER_NODES));
    let slow = doublings(QUICK_TAKEOVER_NODES, preceding);
    TAKEOVER_STAGGER * first
        + QUICK_DOUBLING_PERIOD.mul_f64(quick)
        + SLOW_DOUBLING_PERIOD.mul_f64(slow)
}

/// Returns how often `nodes` has to double to reach `reached`, with the nodes of each doubling spread evenly
/// over its period; 0 if it need not.
fn doublings(nodes: u64, reached: u64) -> f64 {
    let ratio = reached.max(nodes) as f64 / nodes as f64;
    let whole = ratio.log2().floor();
    whole + ratio / whole.exp2() - 1.0
}
