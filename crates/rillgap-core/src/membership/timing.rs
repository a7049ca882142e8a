//! Intervals and limits of the membership protocol.
//!
//! The limits depend on each other: a node that its zone's relays no longer acknowledge stops
//! serving after [`CONTACT_TIMEOUT`], which is shorter than [`REMOVAL_TIMEOUT`], so that it has
//! stopped before it can be removed.

use std::time::Duration;

/// Time between two calls of [`super::Membership::poll`].
pub const TICK: Duration = Duration::from_millis(100);
/// Shortest time between two heartbeats of a member; its two relays are served in turn.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two heartbeats of a member.
pub const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);
/// Time that each member of a zone adds to the interval, so that relays of large zones are
/// spared.
pub const HEARTBEAT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(10);
/// Time between two exchanges of a zone's relay with its partners.
pub const RELAY_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two exchanges of a region's relay with its partners.
pub const REGION_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered peer counts as silent.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two messages to a silent peer.
pub const SILENT_PEER_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time without an acknowledgement of the own zone during which a node serves.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a heartbeat after which a relay suspects a member: three missed heartbeats.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a relay accuses a member.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without any news after which a member that the machine list omits is removed.
pub const UNLISTED_REMOVAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest age of a member's heartbeat that still counts in a digest.
pub const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(2_500);
/// Longest age of a digest for confirmations and reachability.
pub const MAX_DIGEST_AGE: Duration = Duration::from_secs(5);
/// Longest age of the evidence under which a node votes.
///
/// The ages of the hops add up, in a large zone to 1.6 s from member to relay, 0.5 s to the
/// region's relay, 1 s to another region, 1 s to the relay there and 0.8 s to the voting member.
pub const VOTE_LEASE: Duration = Duration::from_secs(6);
/// Allowance for clocks that run at different rates during a lease.
pub const CLOCK_DRIFT_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time that a new policy has to come by itself before it counts as missed.
pub const POLICY_PROPAGATION_TIME: Duration = Duration::from_millis(300);
/// Gap between two polls that shows that the process was frozen.
pub const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time during which joins and removals are collected into one view.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a region writes changes that another region was asked to write.
pub const FALLBACK_BATCH_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which a planned leave ends, whether or not the store took part.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two attempts to join or to leave by way of peers.
pub const MEMBERSHIP_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a node without news of any peer turns to the store itself.
pub const STORE_FALLBACK_DELAY: Duration = Duration::from_secs(3);
/// Time between two requests for a newer view.
pub const VIEW_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between two failing requests to the store.
pub const MIN_STORE_BACKOFF: Duration = Duration::from_millis(300);
/// Longest time between two failing requests to the store.
pub const MAX_STORE_BACKOFF: Duration = Duration::from_secs(8);
/// Shortest time between two reads of the machine list, which is long and lags anyway.
pub const MACHINE_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a request to the store that waits for no change counts as failed.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a request to the store that waits for a change counts as failed.
pub const STORE_WATCH_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which activated views are kept: the default life of a key and the clocks' skew.
pub const VIEW_RETENTION: Duration = Duration::from_secs(660);

/// Relays of one zone, and of one region.
pub const RELAYS_PER_GROUP: usize = 2;
/// First members of a region's order that watch whether its relays live.
pub const REGION_STANDBYS: usize = 4;
/// Changes that are kept and stored beside the view.
pub const MAX_LOGGED_CHANGES: usize = 64;
/// Changes beyond the agreed view after which no further change is proposed.
pub const MAX_UNAGREED_CHANGES: u64 = 60;
/// Most activated views that are kept.
pub const MAX_RETAINED_VIEWS: usize = 64;
/// Most nodes that a digest or status names.
pub const MAX_LISTED_NODES: usize = 8;
/// Most often that a join or proposal is handed on.
pub const MAX_HOPS: u8 = 4;
