//! Limits, intervals and policy settings of the claim protocol.

use std::time::Duration;

use crate::id::IdempotencyKey;
use crate::policy::Bounds;
use crate::time::{Now, WallTime};

/// Maximum by which a caller's clock may be ahead of a node's clock, and by which the clocks of two
/// nodes may differ.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Time after the deadline of a claimed attempt during which its caller may still receive a
/// "not run" result, so that the attempt must not be barred.
pub const PROTECTION_GRACE: Duration = Duration::from_millis(250);

/// Time without a vote from a replica after which the claim is sent to it again.
pub const VOTE_RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a round ends with the votes received so far.
pub const ROUND_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of rounds of one attempt, which bounds its messages.
pub const MAX_ROUNDS: u16 = 24;

/// Maximum number of rounds of one attempt that are lost to racing claimants.
pub const MAX_RACING_ROUNDS: u16 = 4;

/// Maximum time for which a claim waits for replicas that will vote again: that of the default
/// `Retry-After`, since a caller that is refused would come back after it.
pub const MAX_QUORUM_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of claims of one node that wait for replicas to vote again. Beyond it claims are
/// refused at once, so that they do not pile up while many replicas are gone.
pub const MAX_WAITING_CLAIMS: usize = 256;

/// Base of the backoff before the next round: the maximum pause after round `n` is this times
/// `2^n`, with `n` capped at [`MAX_BACKOFF_DOUBLINGS`].
pub const BASE_BACKOFF: Duration = Duration::from_millis(4);

/// Number of rounds after which the backoff no longer grows, at 256 ms.
pub const MAX_BACKOFF_DOUBLINGS: u16 = 6;

/// Time without a reply after which a query is sent to a guard again.
pub const GUARD_RESEND_INTERVAL: Duration = Duration::from_millis(60);

/// Time after which a guard that has not replied counts as unreachable.
pub const GUARD_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of keys that a replica records.
pub const MAX_REPLICA_KEYS: usize = 32_768;

/// Maximum number of dead attempts that a replica records, and of barred attempts that a guard
/// records, for one key.
pub const MAX_DEAD_ATTEMPTS: usize = 32;

/// Maximum number of keys that a dispatch guard records.
pub const MAX_GUARDED_KEYS: usize = 32_768;

/// Maximum size in bytes of an answer that the guard stores, headers and body: enough for a body
/// of 2 KiB and its headers.
pub const MAX_ANSWER_BYTES: usize = 4_096;

/// Maximum total size in bytes of the answers that the guard stores.
pub const MAX_ANSWER_STORE_BYTES: usize = 4 * 1_024 * 1_024;

/// Attempts that a key may have beyond its first and the extra ones of the policy, because a
/// request is rerouted free of charge from a node that accepts no requests.
pub const UNCHARGED_ATTEMPTS: usize = crate::call::retry::MAX_REROUTES as usize;

/// Settings of the policy that apply to claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Maximum age at which a key may be claimed.
    pub key_life: Duration,
    /// Attempts of one key beyond the first, over all its requests.
    pub extra_attempts: u8,
    /// Faults injected by tests.
    pub faults: ClaimFaults,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        let mut settings = Self {
            key_life: Duration::ZERO,
            extra_attempts: 0,
            faults: ClaimFaults::default(),
        };
        settings.configure(&Bounds::default());
        settings
    }
}

impl ClaimSettings {
    /// Applies the bounds of a policy.
    pub const fn configure(&mut self, bounds: &Bounds) {
        self.key_life = bounds.key_life();
        self.extra_attempts = bounds.extra_attempts;
    }

    /// Classifies the age of a key at an entry node.
    pub fn age(&self, now: Now, key: IdempotencyKey) -> KeyAge {
        let created_at = key.created_at();
        if created_at.plus(self.key_life) < now.wall {
            return KeyAge::TooOld;
        }
        if created_at > now.wall.plus(2 * MAX_CLOCK_SKEW) {
            return KeyAge::FromFuture;
        }
        if created_at > now.wall.plus(MAX_CLOCK_SKEW) {
            return KeyAge::Early;
        }
        KeyAge::Usable
    }

    /// Returns the creation time before which keys can no longer be used at any node.
    pub fn oldest_usable_creation(&self, now: Now) -> WallTime {
        now.wall.minus(self.key_life + 2 * MAX_CLOCK_SKEW)
    }
}

/// Age of a key by the clock of an entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The key may be claimed.
    Usable,
    /// Older than the maximum key age.
    TooOld,
    /// Ahead of this node's clock, but a node with a faster clock may have accepted it.
    Early,
    /// So far ahead that no node can have accepted it.
    FromFuture,
}

/// Faults that tests inject to prove that their checks detect them; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimFaults {
    /// Replicas vote on keys that are older than their membership in the group.
    pub ignore_voter_eligibility: bool,
    /// Replicas grant a key that another attempt holds.
    pub ignore_holder: bool,
    /// Replicas let a holder be barred while its caller may still receive a "not run" result.
    pub ignore_protection: bool,
    /// Claimants count votes of earlier rounds.
    pub ignore_round: bool,
    /// Guards start attempts that were barred.
    pub ignore_bars: bool,
    /// Guards start keys that were started before.
    pub ignore_started: bool,
}
