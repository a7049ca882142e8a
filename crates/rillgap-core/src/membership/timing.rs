//! Intervals, timeouts and size limits of the membership protocol.
//!
//! [`CONTACT_TIMEOUT`] must be shorter than [`REMOVAL_TIMEOUT`]: a node that the relays of its zone
//! no longer acknowledge stops serving after the former, so it has stopped before it can be removed
//! from the view.

use std::time::Duration;

use crate::claim::settings::MAX_CLOCK_SKEW;

/// Interval between two runs of the periodic work in [`super::Membership::poll`].
pub const TICK: Duration = Duration::from_millis(100);
/// Minimum interval between two heartbeats of a member, which alternate between its two relays.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval between two heartbeats of a member.
pub const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);
/// Heartbeat interval per member of the zone; limits the load on the relays of large zones.
pub const HEARTBEAT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(10);
/// Interval between two exchanges of a zone relay with its partners.
pub const RELAY_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two exchanges of a region relay with its partners.
pub const REGION_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer after which a peer counts as silent.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two messages to a silent peer.
pub const SILENT_PEER_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an acknowledgement of the own zone after which a node stops serving.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a heartbeat after which a relay suspects a member: three missed heartbeats at the
/// minimum interval, as each of the two relays receives every second one.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a relay presumes a member failed and proposes its removal.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a heartbeat or digest after which a member is removed if the machine list omits it.
pub const UNLISTED_REMOVAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum age of a heartbeat that is counted in a digest.
pub const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(2_500);
/// Maximum age of a digest, and of a relay's status, for policy confirmations and reachability.
pub const MAX_DIGEST_AGE: Duration = Duration::from_secs(5);
/// Maximum age of the evidence on which a node votes.
///
/// The ages of the hops add up to 4.9 s in a large zone: 1.6 s from member to relay, 0.5 s to the
/// region relay, 1 s to another region, 1 s to the zone relay there and 0.8 s to the voting member.
pub const VOTE_LEASE: Duration = Duration::from_secs(6);
/// Allowance for the drift between the clocks of two hosts during a lease.
pub const CLOCK_DRIFT_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time after which a node requests a newer policy that was announced but has not arrived.
pub const POLICY_PROPAGATION_TIME: Duration = Duration::from_millis(300);
/// Gap between two polls above which the process is taken to have been paused.
pub const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time for which joins and removals are collected into one change of the view.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a region itself writes changes that it forwarded to another region.
pub const FALLBACK_BATCH_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which a planned leave ends even if the view still contains the node, for example
/// because the store is down.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum difference between the times at which two members activate a view: the relays learn that
/// it may be activated within two exchanges, the members with their next heartbeats.
pub const MAX_ACTIVATION_LAG: Duration = Duration::from_millis(2_500);
/// Time after the activation of a view from which on all its members vote on new keys. A key counts
/// as first used up to twice the clock skew before its timestamp.
pub const SETTLING_TIME: Duration = MAX_CLOCK_SKEW
    .saturating_mul(2)
    .saturating_add(MAX_ACTIVATION_LAG);
/// Maximum time for which a planned leave waits until earlier changes of the view have settled. It
/// covers one restart of another node; while the view changes all the time, stops must end, too.
pub const MAX_LEAVE_DELAY: Duration = Duration::from_secs(12);
/// Interval between two requests to peers to join or to leave; the initial one for joins.
pub const MEMBERSHIP_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer of a member after which a joining node accesses the store itself.
pub const STORE_FALLBACK_DELAY: Duration = Duration::from_secs(3);
/// Minimum interval between two requests for a newer view.
pub const VIEW_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum backoff between failing store requests, before jitter.
pub const MIN_STORE_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum backoff between failing store requests.
pub const MAX_STORE_BACKOFF: Duration = Duration::from_secs(8);
/// Minimum interval between two reads of the machine list, which is large and delayed anyway.
pub const MACHINE_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of a store request that does not wait for a change.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a store request that waits for a change.
pub const STORE_WATCH_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which a replaced view is kept: the default lifetime of a key, plus an allowance for
/// clock skew.
pub const VIEW_RETENTION: Duration = Duration::from_secs(660);

/// Number of relays of a zone, and of a region.
pub const RELAYS_PER_GROUP: usize = 2;
/// Number of members at the head of a region's order that are its relays or monitor them.
pub const REGION_RELAYS_AND_STANDBYS: usize = 4;
/// Maximum number of recent changes in the log and in the view object.
pub const MAX_LOGGED_CHANGES: usize = 64;
/// Maximum number of changes beyond the agreed view; no further change is written until a later
/// view is agreed. Must stay below [`MAX_LOGGED_CHANGES`], as agreement needs all these changes.
pub const MAX_UNAGREED_CHANGES: u64 = 60;
/// Maximum number of views in the history.
pub const MAX_RETAINED_VIEWS: usize = 64;
/// Maximum number of nodes in a list of a digest; lists of a status may hold twice as many.
pub const MAX_LISTED_NODES: usize = 8;
/// Maximum number of times that a proposal is forwarded.
pub const MAX_HOPS: u8 = 4;
