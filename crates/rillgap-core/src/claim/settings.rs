//! Bounds and intervals of the claim protocol.

use std::time::Duration;

use crate::id::IdempotencyKey;
use crate::policy::Bounds;
use crate::time::{Now, WallTime};

/// Most by which a caller's clock may be ahead of a node's, and two nodes' clocks apart.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Time after its deadline during which a holder may still tell its caller 'not run', so that
/// nobody may bar it.
pub const PROTECTION_GRACE: Duration = Duration::from_millis(250);

/// Silence of a replica after which its vote is asked for again.
pub const VOTE_RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a round ends with the votes that have come.
pub const ROUND_TIMEOUT: Duration = Duration::from_millis(200);

/// Most rounds of one attempt.
pub const MAX_ROUNDS: u16 = 6;

/// Rounds after which a claimant stops racing another one.
pub const MAX_RACING_ROUNDS: u16 = 4;

/// Longest pause before the second round; it doubles with every further one.
pub const BASE_BACKOFF: Duration = Duration::from_millis(4);

/// Silence after which the node beside a back end is asked again.
pub const GUARD_RESEND_INTERVAL: Duration = Duration::from_millis(60);

/// Time after which the node beside a back end counts as unreachable.
pub const GUARD_TIMEOUT: Duration = Duration::from_millis(150);

/// Most keys that a replica remembers.
pub const MAX_REPLICA_KEYS: usize = 32_768;

/// Most attempts of one key that a replica or a guard remembers as dead.
pub const MAX_DEAD_ATTEMPTS: usize = 32;

/// Most keys that the guard beside a back end remembers.
pub const MAX_GUARDED_KEYS: usize = 32_768;

/// Longest answer that the guard keeps, headers and body, in bytes: a body of 2 KiB and its headers.
pub const MAX_ANSWER_BYTES: usize = 4_096;

/// Most bytes of answers that the guard keeps.
pub const MAX_ANSWER_STORE_BYTES: usize = 4 * 1_024 * 1_024;

/// Attempts that a key has beyond its first and the extra ones of the policy: those that met a
/// node that takes nothing are moved without charge.
pub const UNCHARGED_ATTEMPTS: usize = crate::call::retry::MOST_REROUTES as usize;

/// Bounds of the policy that concern claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Longest life of a key.
    pub key_life: Duration,
    /// Extra attempts of one key.
    pub extra_attempts: u8,
    /// Faults that are planted to prove that tests and observers catch them.
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
    /// Takes over the bounds of a policy.
    pub const fn configure(&mut self, bounds: &Bounds) {
        self.key_life = bounds.key_life();
        self.extra_attempts = bounds.extra_attempts;
    }

    /// Returns how a key's age stands at an entry node.
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

    /// Returns the time before which keys were made that nobody can use any more.
    pub fn forget_before(&self, now: Now) -> WallTime {
        now.wall.minus(self.key_life + 2 * MAX_CLOCK_SKEW)
    }
}

/// How a key's age stands at an entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// May be claimed.
    Usable,
    /// Older than the longest key life.
    TooOld,
    /// Ahead of this node's clock, though a node whose clock is ahead may have taken it.
    Early,
    /// So far ahead that no node can have taken it.
    FromFuture,
}

/// Faults that are planted to prove that tests and observers catch them; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimFaults {
    /// Replicas vote on keys that are older than their membership of the group.
    pub ignore_voter_eligibility: bool,
    /// Replicas grant a key that another attempt holds.
    pub ignore_holder: bool,
    /// Replicas let a holder be barred while its caller may still be told 'not run'.
    pub ignore_protection: bool,
    /// Claimants count votes of earlier rounds.
    pub ignore_round: bool,
    /// Guards start attempts that were barred.
    pub ignore_bars: bool,
    /// Guards start keys that were started before.
    pub ignore_started: bool,
}
